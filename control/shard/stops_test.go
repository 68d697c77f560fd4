package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// startOne starts a task and returns its agent and its attempt.
func (w *fuzzCluster) startOne(id string) (*fakeAgent, uint32) {
	assert.NilError(w.t, w.submitOne(id))
	var found *fakeAgent
	var attempt uint32
	w.locked(func() {
		for _, a := range w.agents {
			if n, ok := a.running[id]; ok {
				found, attempt = a, n
			}
		}
	})
	assert.Assert(w.t, found != nil)
	return found, attempt
}

func (w *fuzzCluster) record(id string) task.Record {
	var rec task.Record
	w.do(func() { rec = w.owner.tables.Tasks[id].Record })
	return rec
}

func runFuzzCluster(t *testing.T, f func(w *fuzzCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newFuzzCluster(t, ctx)
		defer func() { w.cancel() }()
		f(w)
	})
}

// Guards against a task that stays assigned for good: its attempt ended by an eviction order that the owner had given up.
func TestEndByAGivenUpEvictionIsApplied(t *testing.T) {
	runFuzzCluster(t, func(w *fuzzCluster) {
		a, attempt := w.startOne("t")
		w.locked(func() { a.stop("t", attempt) })
		ev := &wire.TaskEvent{VM: a.id, ID: "t", Attempt: attempt, Event: wire.TaskStopped, Checkpoint: "c", ProgressMS: 5000}
		w.do(func() { w.owner.TaskEvent(w.ctx, ev, func(err error) { assert.NilError(w.t, err) }) })
		time.Sleep(time.Second)
		rec := w.record("t")
		assert.Equal(w.t, rec.Attempt, attempt+1)
		assert.Equal(w.t, rec.Checkpoint, "c")
		assert.Equal(w.t, w.runningOn("t"), 1)
	})
}

// Guards against an eviction that is counted twice, or without its cause, when its report arrives before the answer to its order.
func TestReportedEvictionIsCountedOnce(t *testing.T) {
	runFuzzCluster(t, func(w *fuzzCluster) {
		var causes []errkind.Kind
		a, attempt := w.startOne("t")
		ev := &wire.TaskEvent{VM: a.id, ID: "t", Attempt: attempt, Event: wire.TaskStopped, Checkpoint: "c", ProgressMS: 5000}
		acked := 0
		w.do(func() {
			w.owner.cfg.OnEvict = func(cause errkind.Kind) { causes = append(causes, cause) }
			w.owner.evict(w.ctx, w.owner.tables.Tasks["t"], errkind.SlotsFull)
			w.owner.TaskEvent(w.ctx, ev, func(err error) { assert.NilError(w.t, err); acked++ })
			assert.Assert(w.t, !tables.OccupiesVM(w.owner.tables.Tasks["t"].Record.State))
		})
		time.Sleep(time.Second)
		var gotAcked int
		var gotCauses []errkind.Kind
		w.do(func() { gotAcked, gotCauses = acked, causes })
		assert.Equal(w.t, gotAcked, 1)
		assert.DeepEqual(w.t, gotCauses, []errkind.Kind{errkind.SlotsFull})
		assert.Equal(w.t, w.record("t").Evictions, uint32(1))
	})
}

// Guards against work that is run again: the eviction by a draining agent is learnt from the answer to a stop, after its report was lost.
func TestFenceKeepsTheCheckpointOfAnEviction(t *testing.T) {
	runFuzzCluster(t, func(w *fuzzCluster) {
		a, attempt := w.startOne("t")
		w.locked(func() {
			a.stop("t", attempt)
			a.outbox = append(a.outbox, &wire.TaskEvent{VM: a.id, ID: "t", Attempt: attempt, Event: wire.TaskStopped,
				Checkpoint: "c", ProgressMS: 5000, Reason: errkind.Draining})
		})
		w.announce(a)
		time.Sleep(time.Second)
		rec := w.record("t")
		assert.Equal(w.t, rec.Attempt, attempt+1)
		assert.Equal(w.t, rec.Checkpoint, "c")
		assert.Equal(w.t, rec.Progress, 5*time.Second)
		assert.Equal(w.t, rec.Evictions, uint32(1))
	})
}

// Guards against a VM that gets no work for good, because an old connection delivers a drain that has been undone since.
func TestDrainNoticeOnReplacedConnectionIsIgnored(t *testing.T) {
	runFuzzCluster(t, func(w *fuzzCluster) {
		a := w.agents[0]
		old := a.link
		w.announce(a)
		report := func(c Caller) (draining bool) {
			w.do(func() {
				w.owner.SetDraining(a.id, c, true)
				draining = w.owner.tables.VMs[a.id].Draining
			})
			return draining
		}
		assert.Assert(w.t, !report(old), "a report on the replaced connection")
		assert.Assert(w.t, report(a.link))
	})
}
