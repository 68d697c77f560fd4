package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

const incarnation = 7

var conn1 = ConnID{Entry: 1, Seq: 1}

func newOpenGate(t *testing.T, slots int) *Gate {
	t.Helper()
	g := New(incarnation, slots)
	assert.NilError(t, g.OpenConn(conn1, func() {}))
	return g
}

func request(seq uint64) *wire.Request {
	return &wire.Request{ID: wire.RequestID{Entry: 1, Seq: seq}, Incarnation: incarnation, ConfigGen: 3, DeadlineMS: 1000}
}

// Guards against admitting a request that must not run; each refusal is proof that it does not.
func TestAdmitRefuses(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(g *Gate, r *wire.Request)
		want    errkind.Kind
	}{
		{"valid request", func(*Gate, *wire.Request) {}, errkind.None},
		{"older incarnation", func(_ *Gate, r *wire.Request) { r.Incarnation-- }, errkind.WrongIncarnation},
		{"older configuration", func(g *Gate, _ *wire.Request) { g.RaiseGeneration(4) }, errkind.ConfigStale},
		{"deadline exceeded", func(_ *Gate, r *wire.Request) { r.DeadlineMS = 0 }, errkind.DeadlineExceeded},
		{"no free slot", func(g *Gate, _ *wire.Request) { g.Admit(conn1, request(50), 0); g.Admit(conn1, request(51), 0) }, errkind.SlotsFull},
		{"drain began over 1 s ago", func(g *Gate, _ *wire.Request) { g.Drain(-DrainGrace) }, errkind.Draining},
		{"drain began less than 1 s ago", func(g *Gate, _ *wire.Request) { g.Drain(-DrainGrace + 1) }, errkind.None},
		{"drain undone", func(g *Gate, _ *wire.Request) { g.Drain(-DrainGrace); g.Undrain() }, errkind.None},
		{"connection ended", func(g *Gate, _ *wire.Request) { g.CloseConn(conn1) }, errkind.Tombstoned},
		{"duplicate of a running request", func(g *Gate, r *wire.Request) { g.Admit(conn1, r, 0) }, errkind.AlreadyExists},
		{"duplicate of a refused request", func(g *Gate, r *wire.Request) {
			bad := *r
			bad.Incarnation--
			g.Admit(conn1, &bad, 0)
		}, errkind.AlreadyExists},
		{"below the window of sequence numbers", func(g *Gate, _ *wire.Request) { g.Admit(conn1, request(1+replayWindowSize), 0) }, errkind.AlreadyExists},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, r := newOpenGate(t, 2), request(1)
				c.prepare(g, r)
				assert.Equal(t, g.Admit(conn1, r, 0), c.want)
			})
		})
	}
}

// Guards against an original frame that runs after the agent has reported not-run, however
// late it arrives.
func TestResolveFencesTheConnection(t *testing.T) {
	g := New(incarnation, 2)
	closed := make(chan struct{})
	assert.NilError(t, g.OpenConn(conn1, func() { close(closed) }))
	resp, _ := g.Resolve(&wire.Resolve{ID: request(1).ID, Incarnation: incarnation, Conn: conn1.Seq}, 0)
	assert.Equal(t, resp.Outcome, wire.OutcomeNotRun)
	<-closed
	late := 100 * Retention
	assert.Equal(t, g.Admit(conn1, request(1), late), errkind.Tombstoned)
	assert.Equal(t, errkind.Of(g.OpenConn(conn1, func() {})), errkind.Tombstoned, "a late Hello must not open the connection again")
	assert.NilError(t, g.OpenConn(ConnID{Entry: 1, Seq: 2}, func() {}))
}

// Guards against wrong outcomes at every stage of a request's life cycle.
func TestResolveOutcomes(t *testing.T) {
	answer := &wire.Response{Outcome: wire.OutcomeAnswered, Body: []byte("answer")}
	for _, c := range []struct {
		name    string
		prepare func(g *Gate, q *wire.Resolve)
		want    wire.Outcome
	}{
		{"never arrived", func(*Gate, *wire.Resolve) {}, wire.OutcomeNotRun},
		{"running", func(g *Gate, _ *wire.Resolve) { g.Admit(conn1, request(1), 0) }, wire.OutcomeRunning},
		{"finished", func(g *Gate, _ *wire.Resolve) { g.Admit(conn1, request(1), 0); g.Finish(request(1).ID, answer, 0) }, wire.OutcomeAnswered},
		{"sent to an older incarnation", func(_ *Gate, q *wire.Resolve) { q.Incarnation-- }, wire.OutcomeUnknown},
		{"response evicted to free memory", func(g *Gate, _ *wire.Resolve) {
			g.Admit(conn1, request(1), 0)
			g.Finish(request(1).ID, &wire.Response{Body: make([]byte, maxRetainedBytes/2+1)}, 0)
			g.Admit(conn1, request(2), 0)
			g.Finish(request(2).ID, &wire.Response{Body: make([]byte, maxRetainedBytes/2+1)}, 0)
		}, wire.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newOpenGate(t, 2)
			q := &wire.Resolve{ID: request(1).ID, Incarnation: incarnation, Conn: conn1.Seq}
			c.prepare(g, q)
			resp, _ := g.Resolve(q, 0)
			assert.Equal(t, resp.Outcome, c.want)
		})
	}
}

// Guards against a drain that finishes before a response is written, and against one that
// finishes although it was undone.
func TestDrainWaitsForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGate(t, 2)
		assert.Equal(t, g.Admit(conn1, request(1), 0), errkind.None)
		finished, _ := g.Drain(0)
		isFinished := func() bool {
			synctest.Wait()
			select {
			case <-finished:
				return true
			default:
				return false
			}
		}
		time.Sleep(2 * DrainGrace)
		g.Finish(request(1).ID, &wire.Response{}, 0)
		assert.Assert(t, !isFinished(), "the response is not yet written")
		g.ResponseWritten()
		assert.Assert(t, isFinished())

		g.Undrain()
		finished, reopened := g.Drain(0)
		g.Undrain()
		<-reopened
		time.Sleep(2 * DrainGrace)
		assert.Assert(t, !isFinished(), "the drain was undone")
	})
}

// Guards against a drain that never finishes because the last request ended after its deadline had been answered.
func TestDrainFinishesAfterRequestOutlivesItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGate(t, 1)
		assert.Equal(t, g.Admit(conn1, request(1), 0), errkind.None)
		finished, _ := g.Drain(0)
		time.Sleep(2 * DrainGrace)
		g.ResponseWritten()
		g.Finish(request(1).ID, &wire.Response{}, 0)
		synctest.Wait()
		select {
		case <-finished:
		default:
			t.Fatal("the drain has not finished, although no request is in progress")
		}
	})
}

// Guards against unbounded memory use: results must expire after Retention.
func TestRecordsExpire(t *testing.T) {
	g := newOpenGate(t, 2)
	g.Admit(conn1, request(1), 0)
	g.Finish(request(1).ID, &wire.Response{Body: []byte("x")}, 0)
	g.Admit(conn1, request(2), Retention)
	assert.Equal(t, len(g.records), 1)
	assert.Equal(t, g.retainedBytes, 0)
}

// A request that ran must not be taken for one that did not: its result has to be there as long as an
// entry accepts the absence of a result as proof, which is 45 s after the sending, however soon it ended.
func TestResultOutlivesProofOfAbsence(t *testing.T) {
	const longestProof = 45 * time.Second
	g := newOpenGate(t, 1)
	assert.Equal(t, g.Admit(conn1, request(1), 0), errkind.None)
	g.Finish(request(1).ID, &wire.Response{Outcome: wire.OutcomeAnswered}, 0)
	resp, _ := g.Resolve(&wire.Resolve{ID: request(1).ID, Conn: conn1.Seq, Incarnation: g.incarnation}, longestProof)
	assert.Equal(t, resp.Outcome, wire.OutcomeAnswered)
}
