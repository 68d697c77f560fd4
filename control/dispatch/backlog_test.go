package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/backlog"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/wire"
)

// estimateBacklog switches the estimate on, for a queue and a more urgent one.
func estimateBacklog(f *fixture) {
	f.owner.bounds.Features.Backlog = true
	m := &manifest.Manifest{Version: 1, Routes: []manifest.Route{{Name: "q", Service: "pool", Priority: 1}, {Name: "urgent", Service: "pool"}}}
	m.BuildIndex()
	f.owner.SetManifest(m)
	f.now += backlogSettleTime
}

// backlogFixture has executors with 8 processors in all and submissions of a task of 2 s each, of which ten have ended before.
func backlogFixture(t *testing.T, submissions int) *fixture {
	t.Helper()
	f := newFixture(t)
	estimateBacklog(f)
	f.executor("e1", nil)
	f.executor("e2", nil)
	for i := range submissions {
		s := testSubmission(testStep(1))
		s.ID, s.Priority, s.Stretch, s.Accepted = fmt.Sprintf("%016x", i), 1, 30, f.now.Milliseconds()
		s.Steps[0].Estimate = 2 * time.Second
		f.add(s)
	}
	f.pass()
	for _, job := range f.owner.jobs {
		if t := job.tasks[0]; t.node != nil {
			t.phase = phaseRunning
			for range 10 {
				t.fullRun, t.changedAt = true, f.now-2*time.Second
				f.owner.observeEnd(t, f.now)
			}
		}
	}
	return f
}

func queueOf(m *wire.Backlog, name string) *wire.QueueBacklog {
	for i := range m.Queues {
		if m.Queues[i].Queue == name && !m.Queues[i].BestEffort {
			return &m.Queues[i]
		}
	}
	return nil
}

// Guards against an estimate that does not follow from the tables: 400 waiting tasks of 2 s take 100 s on 8 processors, and a
// queue of higher priority does not wait for them.
func TestBacklogFollowsFromTheTables(t *testing.T) {
	f := backlogFixture(t, 408)
	q := queueOf(f.owner.Backlog(f.now), "q")
	assert.Assert(t, q != nil)
	class := backlog.ClassOf(2)
	assert.Assert(t, q.DelayMS[class] > 95_000 && q.DelayMS[class] < 105_000, "%d ms", q.DelayMS[class])
	// Work of the same class may be larger, so that only that of smaller ones counts, as long as it has slack: 58 s.
	assert.Assert(t, q.LeastMS[class] < 2_000, "%d ms", q.LeastMS[class])
	assert.Assert(t, q.LeastMS[class+1] > 57_000 && q.LeastMS[class+1] <= 58_000, "%d ms", q.LeastMS[class+1])
	assert.Equal(t, q.FreeCPU, int64(0))
	assert.Assert(t, queueOf(f.owner.Backlog(f.now), "urgent") == nil, "work of a lower priority holds up a queue")
}

// Guards against refusals by an owner that does not know the executors, the zones or the accuracy of the estimates yet, and
// against any message where the estimate is switched off.
func TestNoBacklogWhileTheTablesAreIncomplete(t *testing.T) {
	f := backlogFixture(t, 408)
	f.owner.startedAt = f.now - backlogSettleTime + time.Millisecond
	assert.Equal(t, len(f.owner.Backlog(f.now).Queues), 0, "just after a takeover")
	f.owner.startedAt = 0
	f.owner.placementHeld = true
	assert.Equal(t, len(f.owner.Backlog(f.now).Queues), 0, "the evacuated zones are not known")
	f.owner.placementHeld = false
	clear(f.owner.estimates)
	q := queueOf(f.owner.Backlog(f.now), "q")
	assert.Assert(t, q.LeastMS[backlog.Classes-1] < 10_000, "the bound is %d ms without a known accuracy", q.LeastMS[backlog.Classes-1])
	f.owner.bounds.Features.Backlog = false
	assert.Assert(t, f.owner.Backlog(f.now) == nil)
}

// Guards against counting work twice that runs, waits or comes later: a job with a chain of two steps of ten tasks.
func TestBacklogCountsEachTaskOnce(t *testing.T) {
	f := backlogFixture(t, 0)
	f.add(testSubmission(testStep(10), testStep(10, 0)))
	f.pass()
	in := f.owner.backlogInput(f.now)
	passable, held := 0.0, 0.0
	for _, w := range in.Waiting {
		if w.Restricted {
			passable += w.Reserved
		} else {
			held += w.Reserved
		}
	}
	assert.Equal(t, held, 2.0, "two tasks wait for processors")
	assert.Equal(t, passable, 10.0, "ten tasks wait for the first step")
	runs := 0
	for _, n := range in.Nodes {
		runs += len(n.Runs)
	}
	assert.Equal(t, runs, 8)
	assert.Equal(t, f.owner.jobs[testID].tasks[0].rec.State, submission.TaskAssigned)
}

// The message is built on the owner's loop, which must not be held up: 300 executors with 4 runs each, 500 waiting steps.
func BenchmarkBacklog(b *testing.B) {
	f := &fixture{now: time.Hour}
	f.owner = f.newOwner(testEpoch)
	estimateBacklog(f)
	for i := range 300 {
		f.executor(fmt.Sprint("e", i), nil)
	}
	for i := range 1700 {
		s := testSubmission(testStep(1), testStep(3, 0), testStep(2, 0, 1))
		s.ID, s.Priority, s.Accepted = fmt.Sprintf("%016x", i), 1, f.now.Milliseconds()
		assert.NilError(b, f.owner.Add(s, nil, f.now))
	}
	f.owner.Tick(f.now)
	assert.Equal(b, len(f.owner.waiting), 500)
	for b.Loop() {
		f.owner.Backlog(f.now)
	}
}
