package gateway

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

const testID = "00000000000000b1"

func newGateway(table *standin.Table, lastResponse func() time.Duration) *Gateway {
	c := clock.Boottime{}
	return New(Config{Store: table, Clock: c, Log: zerolog.Nop(), Owner: member.NewOwnerLink(c, zerolog.Nop()),
		Manifest: func() *manifest.Manifest { return nil }, ManifestAge: func() time.Duration { return 0 }, StoreLastResponse: lastResponse,
		MaxRowBytes: standin.MaxRowBytes, Observe: func(string, int, time.Duration, error) {}, ObserveForward: func(error) {}, ForwardEarly: true})
}

func noResponse() time.Duration { return 0 }

func newTable() *standin.Table { return standin.NewTable(1000, 1000) }

func testSubmission() *submission.Submission {
	return &submission.Submission{ID: testID, Steps: []submission.Step{{Count: 1}}}
}

func rowVersion(t *testing.T, table *standin.Table, key string) uint64 {
	t.Helper()
	rows, err := table.Get(context.Background(), key)
	assert.NilError(t, err)
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

// Guards against storing a submission again when a requester retries it.
func TestRepeatedSubmissionIsStoredOnce(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	for range 2 {
		assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	}
	assert.Equal(t, rowVersion(t, table, dispatch.WorkKey(testID)), uint64(1))
}

// Guards against reporting a submission as rejected after the store's reply to the
// commit was lost or late: it may have been stored.
func TestLostReplyIsNotReportedAsRejection(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	table.SetFaults(standin.Faults{LoseResponses: 1})
	assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	assert.Equal(t, rowVersion(t, table, dispatch.WorkKey(testID)), uint64(1))

	table.SetFaults(standin.Faults{DelayCommits: 1000, CommitDelay: time.Hour})
	s := testSubmission()
	s.ID = "00000000000000b2"
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, s)
	assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%v", err)
}

// Guards against requesters that wait for the write budget although the store is
// known to be down.
func TestRequestsAreRejectedImmediatelyWhileStoreIsDown(t *testing.T) {
	table := newTable()
	lastResponse := time.Duration(0)
	g := newGateway(table, func() time.Duration { return lastResponse })
	table.SetFaults(standin.Faults{Down: true})
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
	start := time.Now()
	err = g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
	assert.Assert(t, time.Since(start) < writeRetryInterval, "the rejection took %s", time.Since(start))
	table.SetFaults(standin.Faults{})
	lastResponse = clock.Boottime{}.Now()
	assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
}

// Guards against an unknown state after the submission is accepted while there is no owner.
func TestStateWithoutOwnerComesFromStore(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	_, err := g.State(t.Context(), nil, testID)
	assert.Equal(t, errkind.Of(err), errkind.NotFound)
	assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	state, err := g.State(t.Context(), nil, testID)
	assert.NilError(t, err)
	assert.Equal(t, state, submission.Queued)
	r := submission.Record{State: submission.Completed, Tasks: make([]submission.TaskRecord, 1)}
	value, err := r.Encode()
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.ProgressKey(testID), Value: value}}})
	assert.NilError(t, err)
	state, err = g.State(t.Context(), nil, testID)
	assert.NilError(t, err)
	assert.Equal(t, state, submission.Completed)
}

// Guards against reporting NotFound when the state could not be read.
func TestUnreadableStateIsNotNotFound(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	table.SetFaults(standin.Faults{Down: true})
	_, err := g.State(t.Context(), nil, testID)
	assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
}

// Cancellations must be durable and idempotent, and must fail for unknown submissions.
func TestCancel(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	assert.Equal(t, errkind.Of(g.Cancel(t.Context(), nil, "00000000000000b3")), errkind.NotFound)
	assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	assert.NilError(t, g.Cancel(t.Context(), nil, testID))
	written := rowVersion(t, table, dispatch.CancelKey(testID))
	assert.NilError(t, g.Cancel(t.Context(), nil, testID))
	assert.Equal(t, rowVersion(t, table, dispatch.CancelKey(testID)), written)
}

// connectOwner connects the gateway to an owner that answers writes with handle.
func connectOwner(t *testing.T, g *Gateway, handle func(m *wire.CreateRow, reply wire.Reply)) {
	t.Helper()
	near, far := net.Pipe()
	owner := wire.NewPeer(far, func(_ *wire.Peer, m wire.Message, reply wire.Reply) {
		if row, ok := m.(*wire.CreateRow); ok {
			handle(row, reply)
		}
	})
	p := wire.NewPeer(near, g.owner.Handle)
	t.Cleanup(func() { p.Close(); owner.Close() })
	accepted, _ := g.owner.AcceptLead(p, &wire.Lead{Epoch: 1, Owner: "owner"})
	assert.Assert(t, accepted)
}

// The store turns away some VMs and serves others. A requester whose connection happens to lead to an
// entry that is turned away must be served all the same, through the owner, and only once.
func TestEntryWithoutStoreWritesThroughOwner(t *testing.T) {
	table := newTable()
	link := standin.NewLink(table)
	g := newGateway(table, noResponse)
	g.store = link
	link.SetDisconnected(true)
	connectOwner(t, g, func(m *wire.CreateRow, reply wire.Reply) {
		_, err := table.Commit(t.Context(), store.Txn{Conds: []store.Cond{{Key: m.Key}}, Writes: []store.Write{{Key: m.Key, Value: m.Value}}})
		if err != nil {
			reply(wire.ErrorReply(err))
			return
		}
		reply(&wire.Ack{})
	})
	for range 3 {
		start := time.Now()
		assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
		assert.Assert(t, time.Since(start) < defaultAnswerTime/2, "the answer took %v", time.Since(start))
	}
	assert.Equal(t, rowVersion(t, table, dispatch.WorkKey(testID)), uint64(1))
}

// The answer of a write through the owner is lost after the row was written. The requester must not be
// told that the submission will never run.
func TestLostAnswerOfForwardedWriteIsNotARejection(t *testing.T) {
	table := newTable()
	link := standin.NewLink(table)
	g := newGateway(table, noResponse)
	g.store = link
	link.SetDisconnected(true)
	connectOwner(t, g, func(m *wire.CreateRow, _ wire.Reply) {
		_, _ = table.Commit(t.Context(), store.Txn{Conds: []store.Cond{{Key: m.Key}}, Writes: []store.Write{{Key: m.Key, Value: m.Value}}})
	})
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%v", err)
	assert.Equal(t, rowVersion(t, table, dispatch.WorkKey(testID)), uint64(1))
}

// An owner that can't reach the store either, or has too much to write, has written nothing: the
// requester is told so at once.
func TestRejectionByOwnerIsARejection(t *testing.T) {
	link := standin.NewLink(newTable())
	g := newGateway(newTable(), noResponse)
	g.store = link
	link.SetDisconnected(true)
	connectOwner(t, g, func(_ *wire.CreateRow, reply wire.Reply) {
		reply(wire.ErrorReply(errkind.New(errkind.QueueFull, "nothing was written")))
	})
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
}

// Guards against an unknown outcome of a write that was never made: its last attempt had no time left to end.
func TestRejectedWriteIsNotTriedAgainWithoutTimeLeft(t *testing.T) {
	link := standin.NewLink(newTable())
	g := newGateway(newTable(), noResponse)
	g.store = link
	link.SetDisconnected(true)
	start := time.Now()
	connectOwner(t, g, func(_ *wire.CreateRow, reply wire.Reply) {
		if time.Since(start) < defaultAnswerTime-minAttemptTime+writeRetryInterval/2 {
			reply(wire.ErrorReply(errkind.New(errkind.QueueFull, "nothing was written")))
		}
	})
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
}

// The store is known to be down, the answer of a write through the owner is lost, and the next one is
// rejected. The first may have been written, so the rejection of the second is none of the submission.
func TestRejectionAfterLostAnswerIsNotARejection(t *testing.T) {
	link := standin.NewLink(newTable())
	g := newGateway(newTable(), noResponse)
	g.store = link
	link.SetDisconnected(true)
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
	assert.Assert(t, g.breaker.open())
	writes := 0
	connectOwner(t, g, func(_ *wire.CreateRow, reply wire.Reply) {
		if writes++; writes == 1 {
			reply(wire.ErrorReply(errkind.New(errkind.StoreAmbiguous, "no answer")))
			return
		}
		reply(wire.ErrorReply(errkind.New(errkind.StoreUnavailable, "nothing was written")))
	})
	err = g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Assert(t, writes > 1)
	assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%v", err)
}

// Guards against a submission that can never be stored and is tried again and again, through the store or its owner, until its
// requester gives up without having learnt why.
func TestSubmissionThatCannotBeStoredIsRefusedAtOnce(t *testing.T) {
	for _, down := range []bool{false, true} {
		table := newTable()
		table.SetFaults(standin.Faults{Down: down})
		g := newGateway(table, noResponse)
		s := testSubmission()
		s.Steps[0].Image = strings.Repeat("x", standin.MaxRowBytes)
		err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, s)
		assert.Equal(t, errkind.Of(err), errkind.TooLarge)
		assert.Equal(t, errkind.Of(err).Attributes().Execution, errkind.ExecutionNotRun)
		assert.ErrorContains(t, err, "at most 65536")
		assert.Equal(t, table.Counts().Commits+table.Counts().Refused, int64(0))
	}
}

// Guards against a submission that is shown as queued, while there is no owner, although its record was refused and it has failed.
func TestStateOfSubmissionWithRefusedRecordComesFromStore(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	r := submission.Record{State: submission.Failed}
	value, err := r.Encode()
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.ProgressKey(testID), Value: value}}})
	assert.NilError(t, err)
	state, err := g.State(t.Context(), nil, testID)
	assert.NilError(t, err)
	assert.Equal(t, state, submission.Failed)
}
