package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/wire"
)

// answer is what a store or an owner answers to a write, and when. The zero value of after is at once, never is not at all.
type answer struct {
	after time.Duration
	kind  errkind.Kind
}

const never = time.Hour

// answeringTable gives the same answer to each commit.
type answeringTable struct {
	store.Table
	answer  answer
	calls   atomic.Int64
	pending atomic.Int64
	// atEnd is the kind of the error of a commit that is cut off, endsAfter how long it then takes to end.
	atEnd     errkind.Kind
	endsAfter time.Duration
}

func (a *answeringTable) Commit(ctx context.Context, _ store.Txn) ([]uint64, error) {
	a.calls.Add(1)
	a.pending.Add(1)
	defer a.pending.Add(-1)
	select {
	case <-ctx.Done():
		time.Sleep(a.endsAfter)
		return nil, errkind.New(a.atEnd, "no answer")
	case <-time.After(a.answer.after):
	}
	if a.answer.kind == errkind.None {
		return []uint64{1}, nil
	}
	return nil, errkind.New(a.answer.kind, "as set up")
}

// virtualGateway returns a gateway that follows virtual time.
func virtualGateway(table store.Table) *Gateway {
	g := newGateway(newTable(), noResponse)
	c := clock.NewRuntime()
	g.store, g.clock, g.breaker.clock = table, c, c
	g.owner = member.NewOwnerLink(c, zerolog.Nop())
	return g
}

// connectAnsweringOwner connects an owner that gives the same answer to each write, and returns the number of writes.
func connectAnsweringOwner(t *testing.T, g *Gateway, a answer) *atomic.Int64 {
	t.Helper()
	calls := new(atomic.Int64)
	connectOwner(t, g, func(_ *wire.CreateRow, reply wire.Reply) {
		calls.Add(1)
		time.AfterFunc(a.after, func() {
			if a.kind == errkind.None {
				reply(&wire.Ack{})
				return
			}
			reply(wire.ErrorReply(errkind.New(a.kind, "as set up")))
		})
	})
	return calls
}

// Guards against requests that wait for a store that does not serve this entry although the owner could write for it, against
// refusals of what may be stored, against unknown outcomes of what was never sent, and against answers later than a quarter of the caller's time.
func TestWriteWhileStoreIsUnresponsive(t *testing.T) {
	const ms = time.Millisecond
	unavailable, ambiguous, queueFull := errkind.StoreUnavailable, errkind.StoreAmbiguous, errkind.QueueFull
	silent, ok := answer{after: never}, answer{}
	for name, c := range map[string]struct {
		store answer
		// unsent is set if the store's connection never opens.
		unsent bool
		// owner is nil if none is connected.
		owner    *answer
		want     errkind.Kind
		min, max time.Duration
		// commits and forwards are the numbers of calls on each path, 0 for any that is allowed.
		commits, forwards int64
		// endsAfter is how long a call to the store goes on after it was cancelled.
		endsAfter time.Duration
		// noForward is set if nothing goes through the owner before the direct write has failed.
		noForward bool
	}{
		"store in time":                          {store: answer{after: 20 * ms}, owner: &ok, min: 20 * ms, max: 20 * ms},
		"store silent, owner served":             {store: silent, owner: &ok, min: 100 * ms, max: 110 * ms},
		"store silent, row exists":               {store: silent, owner: &answer{kind: errkind.Conflict}, min: 100 * ms, max: 110 * ms},
		"store silent, no owner":                 {store: silent, want: ambiguous, min: 600 * ms, max: 750 * ms},
		"store not reachable, no owner":          {store: silent, unsent: true, want: unavailable, min: 600 * ms, max: 750 * ms},
		"store not reachable, owner refuses":     {store: silent, unsent: true, owner: &answer{kind: unavailable}, want: unavailable, min: 600 * ms, max: 750 * ms},
		"store not reachable, owner cut off":     {store: silent, unsent: true, owner: &silent, want: ambiguous, min: 600 * ms, max: 750 * ms},
		"store silent, owner cut off":            {store: silent, owner: &silent, want: ambiguous, min: 600 * ms, max: 750 * ms},
		"both late, store first":                 {store: answer{after: 400 * ms}, owner: &answer{after: 350 * ms}, min: 400 * ms, max: 400 * ms},
		"both late, owner first":                 {store: answer{after: 500 * ms}, owner: &answer{after: 300 * ms}, min: 400 * ms, max: 410 * ms},
		"both take 400 ms":                       {store: answer{after: 400 * ms}, owner: &answer{after: 400 * ms}, min: 400 * ms, max: 400 * ms, commits: 1, forwards: 1},
		"call goes on, no owner":                 {store: silent, want: ambiguous, endsAfter: 50 * ms, min: 600 * ms, max: 750 * ms},
		"call goes on, owner cut off":            {store: silent, owner: &silent, want: ambiguous, endsAfter: 50 * ms, min: 600 * ms, max: 750 * ms},
		"call goes on, no early write":           {store: silent, owner: &ok, noForward: true, want: ambiguous, endsAfter: 50 * ms, min: 600 * ms, max: 750 * ms},
		"both too late":                          {store: answer{after: 900 * ms}, owner: &answer{after: 800 * ms}, want: ambiguous, min: 600 * ms, max: 750 * ms},
		"store resets, owner served":             {store: answer{kind: ambiguous}, owner: &ok, max: 10 * ms},
		"store resets, owner refuses":            {store: answer{kind: ambiguous}, owner: &answer{kind: queueFull}, want: ambiguous, min: 600 * ms, max: 750 * ms},
		"store refuses late, owner served":       {store: answer{150 * ms, errkind.PermissionDenied}, owner: &answer{after: 200 * ms}, min: 300 * ms, max: 310 * ms},
		"store refuses late, owner cut off":      {store: answer{150 * ms, errkind.PermissionDenied}, owner: &silent, want: ambiguous, min: 600 * ms, max: 750 * ms},
		"store refuses late, owner refuses":      {store: answer{150 * ms, errkind.PermissionDenied}, owner: &answer{100 * ms, unavailable}, want: errkind.PermissionDenied, min: 150 * ms, max: 210 * ms},
		"store turns away at once, no owner":     {store: answer{kind: unavailable}, want: unavailable, min: 300 * ms, max: 750 * ms},
		"store turns away, answer of owner lost": {store: answer{kind: unavailable}, owner: &answer{kind: ambiguous}, want: ambiguous, min: 600 * ms, max: 750 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &answeringTable{answer: c.store, atEnd: ambiguous, endsAfter: c.endsAfter}
				if c.unsent {
					table.atEnd = unavailable
				}
				g := virtualGateway(table)
				g.forwardEarly = !c.noForward
				forwarded := new(atomic.Int64)
				if c.owner != nil {
					forwarded = connectAnsweringOwner(t, g, *c.owner)
				}
				start := time.Now()
				err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
				took := time.Since(start)
				assert.Equal(t, errkind.Of(err), c.want, "%v", err)
				assert.Assert(t, took >= c.min && took <= c.max, "the answer took %v", took)
				time.Sleep(c.endsAfter)
				synctest.Wait()
				assert.Assert(t, c.commits == 0 || table.calls.Load() == c.commits && forwarded.Load() == c.forwards, "%d and %d calls", table.calls.Load(), forwarded.Load())
				assert.Equal(t, table.pending.Load(), int64(0), "a commit goes on after the answer")
				assert.Assert(t, table.calls.Load() <= 6 && forwarded.Load() <= 6, "%d and %d calls", table.calls.Load(), forwarded.Load())
			})
		})
	}
}

// Guards against each request waiting again for a store that does not serve this entry.
func TestFurtherWritesGoThroughOwnerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &answeringTable{answer: answer{after: never}, atEnd: errkind.StoreAmbiguous}
		g := virtualGateway(table)
		connectAnsweringOwner(t, g, answer{})
		assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
		for range 20 {
			start := time.Now()
			assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
			assert.Assert(t, time.Since(start) < 10*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, g.breaker.open())
		assert.Assert(t, table.calls.Load() < 15, "%d calls to a store that does not answer", table.calls.Load())
	})
}

// Guards against a request that is given up although an owner takes over while it waits.
func TestOwnerThatConnectsLaterGetsTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := virtualGateway(&answeringTable{answer: answer{after: never}, atEnd: errkind.StoreAmbiguous})
		time.AfterFunc(300*time.Millisecond, func() { connectAnsweringOwner(t, g, answer{}) })
		assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	})
}

// Guards against sending writes to an owner that has gone silent, or that the store does not serve: their outcome would be unknown.
func TestSilentOwnerGetsNoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := virtualGateway(&answeringTable{answer: answer{after: never}, atEnd: errkind.StoreUnavailable})
		calls := connectAnsweringOwner(t, g, answer{after: never})
		time.Sleep(maxOwnerSilence + time.Millisecond)
		err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
		assert.Equal(t, errkind.Of(err), errkind.StoreUnavailable)
		assert.Equal(t, calls.Load(), int64(0))
	})
}

// Guards against answers later than a quarter of the time that the caller names, for each method.
func TestAnswersWithinQuarterOfCallersTime(t *testing.T) {
	m := &manifest.Manifest{Version: 1, Routes: []manifest.Route{{Name: "q", Host: "h.example", Prefix: "/q/"}}}
	m.BuildIndex()
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for deadline, ms := range map[time.Duration]string{3 * time.Second: "", time.Second: "1000", 30 * time.Second: "30000"} {
			synctest.Test(t, func(t *testing.T) {
				g := virtualGateway(silentTable{&answeringTable{answer: answer{after: never}, atEnd: errkind.StoreAmbiguous}})
				g.manifest = func() *manifest.Manifest { return m }
				connectAnsweringOwner(t, g, answer{after: never})
				r := httptest.NewRequestWithContext(t.Context(), method, "http://h.example/q/"+testID, strings.NewReader(`{"steps":[{"count":1,"cpu":1}]}`))
				r.Header.Set("X-Deadline-Ms", ms)
				w, start := httptest.NewRecorder(), time.Now()
				platform.RequestHandler(g).ServeHTTP(w, r)
				assert.Assert(t, w.Code >= http.StatusServiceUnavailable, "%s: %d %s", method, w.Code, w.Body)
				assert.Assert(t, time.Since(start) <= min(deadline, 3*time.Second)/4, "%s of %v: %v", method, deadline, time.Since(start))
			})
		}
	}
}

// silentTable does not answer reads either.
type silentTable struct{ *answeringTable }

func (s silentTable) Get(ctx context.Context, _ ...string) ([]store.Row, error) {
	<-ctx.Done()
	return nil, errkind.New(errkind.StoreUnavailable, "no answer")
}

// Guards against a breaker that opens although the store answers: a cancelled write is none that has failed.
func TestCancelledWritesAreNoStoreFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := virtualGateway(&answeringTable{answer: answer{after: 300 * time.Millisecond}, atEnd: errkind.StoreAmbiguous})
		// The store answers other calls of this process all the time.
		g.breaker.lastResponse = func() time.Duration { return g.clock.Now() }
		connectAnsweringOwner(t, g, answer{after: 10 * time.Millisecond})
		// More writes would last longer than maxOwnerSilence.
		for range 6 {
			assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
			synctest.Wait()
			assert.Equal(t, g.breaker.failingSince, time.Duration(0), "a write that the owner was faster with counts as failed")
		}
		assert.Equal(t, g.writeLatency.forwardDelay(), maxForwardDelay, "the latency is not learnt from cancelled writes")
	})
	synctest.Test(t, func(t *testing.T) {
		g := virtualGateway(&answeringTable{answer: answer{after: never}, atEnd: errkind.StoreAmbiguous})
		for range 20 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(50*time.Millisecond, cancel)
			assert.Assert(t, g.Submit(ctx, &manifest.Route{Name: "q"}, testSubmission()) != nil)
			synctest.Wait()
		}
		assert.Assert(t, !g.breaker.open(), "requesters that go away open the breaker")
	})
}

// Guards against an owner that sends each write twice to a store that is slow for it.
func TestOwnerMakesNoEarlyWritesThroughItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &answeringTable{answer: answer{after: 400 * time.Millisecond}, atEnd: errkind.StoreAmbiguous}
		g := virtualGateway(table)
		g.owning = func() bool { return true }
		forwarded := connectAnsweringOwner(t, g, answer{})
		assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
		assert.Equal(t, forwarded.Load(), int64(0))
		assert.Equal(t, table.calls.Load(), int64(1))
	})
}

// Guards against a cancellation that fails although its read and its write take less than the time left.
func TestCancellationAtSlowStoreWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := virtualGateway(slowTable{&answeringTable{answer: answer{after: 250 * time.Millisecond}, atEnd: errkind.StoreAmbiguous}})
		assert.NilError(t, g.Cancel(t.Context(), &manifest.Route{Name: "q"}, testID))
	})
}

// slowTable takes as long for reads as for writes. Each row exists.
type slowTable struct{ *answeringTable }

func (s slowTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if _, err := s.Commit(ctx, store.Txn{}); err != nil {
		return nil, err
	}
	return []store.Row{{Key: keys[0]}}, nil
}
