package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

// lateCommit is how long after its call the store carries out a write without an answer.
const lateCommit = 6 * time.Second

// twoEntries returns the gateways of two entries of one store.
func twoEntries(table *standin.Table) (a, b *Gateway) {
	a, b = virtualGateway(table), virtualGateway(table)
	return a, b
}

// submitWithoutAnswer submits a submission whose writes have no answer and are carried out late.
func submitWithoutAnswer(t *testing.T, table *standin.Table, g *Gateway) {
	t.Helper()
	table.SetFaults(standin.Faults{DelayCommits: 1000, CommitDelay: lateCommit})
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Equal(t, errkind.Of(err).Attributes().Execution, errkind.ExecutionUnknown, "%v", err)
	table.SetFaults(standin.Faults{})
}

// storedRows returns the submission's row and cancellation, nil for one that does not exist.
func storedRows(t *testing.T, table *standin.Table, id string) (work, cancellation *store.Row) {
	t.Helper()
	rows, err := table.Get(t.Context(), dispatch.WorkKey(id), dispatch.CancelKey(id))
	assert.NilError(t, err)
	for i := range rows {
		if rows[i].Key == dispatch.WorkKey(id) {
			work = &rows[i]
		} else {
			cancellation = &rows[i]
		}
	}
	return work, cancellation
}

// A requester whose submission had no answer cancels it at another entry and is told that it does not exist. The write of the
// submission used to take effect seconds later, and its tasks ran.
func TestLateWriteOfCancelledSubmissionHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		a, b := twoEntries(table)
		submitWithoutAnswer(t, table, a)
		assert.Equal(t, errkind.Of(b.Cancel(t.Context(), nil, testID)), errkind.NotFound)
		for range 2 {
			_, err := a.State(t.Context(), nil, testID)
			assert.Equal(t, errkind.Of(err), errkind.NotFound, "%v", err)
			time.Sleep(2 * lateCommit)
		}
		work, _ := storedRows(t, table, testID)
		assert.Assert(t, work == nil || submission.IsTombstone(work.Value), "the cancelled submission is stored")
	})
}

// A retry of the submission after the cancellation must neither store it nor be told that it is accepted, by the store or by the
// owner, and a second cancellation needs no further write.
func TestCancelledSubmissionIsNotAcceptedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		a, b := twoEntries(table)
		submitWithoutAnswer(t, table, a)
		assert.Equal(t, errkind.Of(b.Cancel(t.Context(), nil, testID)), errkind.NotFound)
		err := b.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
		assert.Equal(t, errkind.Of(err), errkind.Tombstoned, "%v", err)

		cutOff := virtualGateway(&answeringTable{Table: table, answer: answer{after: never}, atEnd: errkind.StoreAmbiguous})
		calls := connectAnsweringOwner(t, cutOff, answer{kind: errkind.Tombstoned})
		err = cutOff.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
		assert.Equal(t, errkind.Of(err), errkind.Tombstoned, "%v", err)
		assert.Equal(t, calls.Load(), int64(1))

		commits := table.Counts().Commits
		assert.Equal(t, errkind.Of(b.Cancel(t.Context(), nil, testID)), errkind.NotFound)
		assert.Equal(t, table.Counts().Commits, commits, "the second cancellation writes a row")
		time.Sleep(2 * lateCommit)
		_, cancellation := storedRows(t, table, testID)
		assert.Assert(t, cancellation == nil)
	})
}

// storedAfterRead stores a submission right after the first read.
type storedAfterRead struct {
	*standin.Table
	value []byte
}

func (s *storedAfterRead) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	rows, err := s.Table.Get(ctx, keys...)
	if s.value != nil {
		s.Apply(store.Write{Key: keys[0], Value: s.value})
		s.value = nil
	}
	return rows, err
}

// A submission that is stored while its cancellation is in progress must be cancelled, and not be denied.
func TestSubmissionStoredDuringItsCancellationIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value, err := testSubmission().Encode()
		assert.NilError(t, err)
		table := newTable()
		g := virtualGateway(&storedAfterRead{Table: table, value: value})
		assert.NilError(t, g.Cancel(t.Context(), nil, testID))
		work, cancellation := storedRows(t, table, testID)
		assert.Assert(t, work != nil && !submission.IsTombstone(work.Value))
		assert.Assert(t, cancellation != nil)
	})
}

// A denial is acknowledged only once its tombstone is durable: without an answer of the store its outcome is not known.
func TestCancellationWithoutTombstoneIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		g := virtualGateway(table)
		table.SetFaults(standin.Faults{DelayCommits: 1000, CommitDelay: lateCommit})
		err := g.Cancel(t.Context(), nil, testID)
		assert.Equal(t, errkind.Of(err).Attributes().Execution, errkind.ExecutionUnknown, "%v", err)
	})
}

// A caller that cancels random ids must not fill the store, and is told when to come back.
func TestTombstonesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		g := virtualGateway(table)
		const seconds, perSecond = 60, 40
		limited := 0
		for i := range seconds * perSecond {
			err := g.Cancel(t.Context(), nil, fmt.Sprintf("%016x", i))
			if errkind.Of(err) == errkind.RateLimited {
				limited++
			}
			time.Sleep(time.Second / perSecond)
		}
		written := int(table.Counts().Rows)
		assert.Equal(t, written+limited, seconds*perSecond)
		assert.Assert(t, written <= tombstoneBurst+tombstonesPerSecond*(seconds+1), "%d rows", written)
		// A submission that exists is cancelled all the same.
		assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, &submission.Submission{ID: "ffffffffffffffff", Steps: []submission.Step{{Count: 1}}}))
		assert.NilError(t, g.Cancel(t.Context(), nil, "ffffffffffffffff"))
	})
}

// A write that goes through the owner must meet the tombstone too.
func TestTombstoneThroughOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := virtualGateway(&answeringTable{Table: newTable(), answer: answer{after: never}, atEnd: errkind.StoreAmbiguous})
		var forwarded *wire.CreateRow
		connectOwner(t, g, func(m *wire.CreateRow, reply wire.Reply) {
			forwarded = m
			reply(&wire.Ack{})
		})
		assert.Equal(t, errkind.Of(g.Cancel(t.Context(), nil, testID)), errkind.NotFound)
		assert.Equal(t, forwarded.Key, dispatch.WorkKey(testID))
		assert.Assert(t, submission.IsTombstone(forwarded.Value))
	})
}
