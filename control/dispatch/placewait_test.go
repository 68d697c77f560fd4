package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// rackFixture is a fixture with executors of four processors in named racks, which keep their runs until they are ended.
type rackFixture struct {
	*fixture
	bounds Bounds
	racks  map[string]string
	// kinds are the labels of executors, none by default.
	kinds   map[string]string
	running map[string][]executor.Run
	ends    map[string]int64
	seen    int
	submits int
}

func newRackFixture(t *testing.T, racks map[string]string, change func(*Bounds)) *rackFixture {
	b := testBounds()
	b.RemoteFactor, b.Features.PlaceWait = 2, true
	if change != nil {
		change(&b)
	}
	f := &rackFixture{fixture: newFixture(t), bounds: b, racks: racks, running: make(map[string][]executor.Run), ends: make(map[string]int64)}
	f.takeOver(testEpoch)
	return f
}

func (f *rackFixture) takeOver(epoch uint64) {
	f.owner = New(f.bounds, epoch, f.now, func(now time.Duration) int64 { return now.Milliseconds() }, zerolog.Nop())
}

func (f *rackFixture) report(id string, ended ...executor.End) {
	info := testInfo(id, f.now)
	info.Rack, info.Kind = f.racks[id], f.kinds[id]
	f.owner.ApplyReport(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-" + id, Info: info, FullSnapshot: true, Running: f.running[id], Ended: ended}, f.now)
}

// run advances the time in passes of 100 ms. Ordered starts begin to run.
func (f *rackFixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for _, id := range slices.Sorted(maps.Keys(f.racks)) {
			f.report(id)
		}
		f.pass()
		for _, m := range f.messages[f.seen:] {
			for _, s := range m.Orders.Starts {
				f.running[m.Orders.Executor] = append(f.running[m.Orders.Executor], executor.Run{Task: s.Task, Number: s.Run})
				f.answerStart(m.Orders.Executor, s.Task, s.Run, executor.OK, 0)
			}
		}
		f.seen = len(f.messages)
	}
}

// end ends all runs on an executor.
func (f *rackFixture) end(id string) {
	var ends []executor.End
	for _, r := range f.running[id] {
		f.ends[id]++
		ends = append(ends, executor.End{Number: f.ends[id], Task: r.Task, Run: r.Number, Cause: executor.Done})
	}
	f.running[id] = nil
	f.report(id, ends...)
}

func (f *rackFixture) submit(priority int, step submission.Step) string {
	f.submits++
	s := testSubmission(step)
	s.ID, s.Priority, s.Accepted, s.Stretch = fmt.Sprintf("%016x", f.submits), priority, f.now.Milliseconds(), 5
	f.add(s)
	return s.ID
}

// on returns the executors on which the runs of a submission were started.
func (f *rackFixture) on(id string) []string {
	var out []string
	for _, s := range f.starts() {
		if strings.HasPrefix(s, id) {
			out = append(out, s[strings.Index(s, "@")+1:])
		}
	}
	slices.Sort(out)
	return out
}

func dataStep(cpu int64, estimate time.Duration, rack string) submission.Step {
	return submission.Step{Count: 1, Request: task.Resources{CPU: cpu, Memory: 100}, Estimate: estimate, DataRack: rack}
}

func twoRacks() map[string]string { return map[string]string{"a1": "ra", "b1": "rb"} }

// busyRack fills rack ra with a task of the given estimate and adds one of two seconds that wants the rack.
func busyRack(t *testing.T, estimate time.Duration, change func(*Bounds)) (*rackFixture, string) {
	f := newRackFixture(t, twoRacks(), change)
	f.run(100 * time.Millisecond)
	f.submit(0, dataStep(4000, estimate, "ra"))
	f.run(200 * time.Millisecond)
	return f, f.submit(0, dataStep(1000, 2*time.Second, "ra"))
}

// Guards against runs that start away from their data although room there is about to come free.
func TestTaskWaitsForItsRackAndStartsThere(t *testing.T) {
	f, id := busyRack(t, time.Second, nil)
	f.run(600 * time.Millisecond)
	assert.Equal(t, len(f.on(id)), 0)
	f.end("a1")
	f.run(200 * time.Millisecond)
	assert.DeepEqual(t, f.on(id), []string{"a1"})
	assert.Equal(t, f.owner.Counters().PlaceWaits, uint64(1))
	assert.Equal(t, f.owner.Counters().PlaceWaitsLocal, uint64(1))
	assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(0))
}

// Guards against a task that waits on when the expected room does not come, and against one that misses its start elsewhere.
func TestTaskStartsElsewhereWhenWaitEnds(t *testing.T) {
	f, id := busyRack(t, time.Second, nil)
	began := f.now
	for f.now < began+3*time.Second && len(f.on(id)) == 0 {
		f.run(100 * time.Millisecond)
	}
	assert.DeepEqual(t, f.on(id), []string{"b1"})
	assert.Assert(t, f.now-began > 500*time.Millisecond, "started elsewhere after %s", f.now-began)
	assert.Assert(t, f.now-began <= 2200*time.Millisecond, "waited %s for a gain of 2 s", f.now-began)
	assert.Equal(t, f.owner.Counters().PlaceWaitsRemote, uint64(1))
	assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(1))
}

// Guards against waits where none pays or is called for: the room comes too late, the rack has no executor alive, the
// platform names no factor, or the decision is switched off.
func TestTaskStartsElsewhereAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		estimate time.Duration
		change   func(*Bounds)
		prepare  func(*rackFixture)
	}{
		"late room": {10 * time.Second, nil, nil},
		"no rack": {time.Second, nil, func(f *rackFixture) {
			f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-a1", Info: testInfo("a1", f.now), ExecutorEnded: true}, f.now)
			delete(f.racks, "a1")
		}},
		"no factor":    {time.Second, func(b *Bounds) { b.RemoteFactor = 0 }, nil},
		"switched off": {time.Second, func(b *Bounds) { b.Features.PlaceWait = false }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f, id := busyRack(t, c.estimate, c.change)
			if c.prepare != nil {
				c.prepare(f)
			}
			f.run(100 * time.Millisecond)
			assert.DeepEqual(t, f.on(id), []string{"b1"})
			assert.Equal(t, f.owner.Counters().PlaceWaits, uint64(0))
		})
	}
}

// Guards against a takeover that loses a waiting task or starts it elsewhere without a new decision.
func TestWaitIsRecomputedByNewOwner(t *testing.T) {
	f, id := busyRack(t, 2*time.Second, nil)
	f.running["a1"][0].ProgressPercent = 60
	f.run(300 * time.Millisecond)
	assert.Equal(t, len(f.on(id)), 0)
	old := f.owner
	f.takeOver(testEpoch + 1)
	for _, j := range old.jobs {
		f.add(j.sub)
	}
	f.run(300 * time.Millisecond)
	assert.Equal(t, len(f.on(id)), 0)
	assert.Equal(t, f.owner.Counters().PlaceWaits, uint64(1))
	f.end("a1")
	f.run(200 * time.Millisecond)
	assert.DeepEqual(t, f.on(id), []string{"a1"})
}

// Guards against room that is promised to every step of a pass: one slot comes free, and all wait for it.
func TestPromisedRoomCountsInSamePass(t *testing.T) {
	f := newRackFixture(t, map[string]string{"a1": "ra", "b1": "rb", "b2": "rb"}, nil)
	f.run(100 * time.Millisecond)
	f.submit(0, dataStep(3000, time.Minute, "ra"))
	f.run(100 * time.Millisecond)
	f.submit(0, dataStep(1000, 800*time.Millisecond, "ra"))
	f.run(200 * time.Millisecond)
	var ids []string
	for range 4 {
		ids = append(ids, f.submit(0, dataStep(1000, 2*time.Second, "ra")))
	}
	f.run(200 * time.Millisecond)
	elsewhere := 0
	for _, id := range ids {
		elsewhere += len(f.on(id))
	}
	assert.Equal(t, elsewhere, 3)
}

// Guards against a task that waits by choice and stops work of lower priority elsewhere, or that waits behind such work
// at its rack.
func TestWaitingTaskPreemptsOnlyAtItsRack(t *testing.T) {
	f := newRackFixture(t, twoRacks(), nil)
	f.run(100 * time.Millisecond)
	f.submit(2, dataStep(4000, time.Minute, "ra"))
	f.submit(2, dataStep(3000, time.Minute, "rb"))
	f.run(500 * time.Millisecond)
	id := f.submit(0, dataStep(1000, 10*time.Second, "ra"))
	f.run(1200 * time.Millisecond)
	assert.Equal(t, len(f.on(id)), 0)
	assert.Assert(t, len(f.stops()) > 0)
	for _, s := range f.stops() {
		assert.Assert(t, strings.HasSuffix(s, "@a1"), s)
	}
}

func gangStep(members int, cpu int64, estimate time.Duration) submission.Step {
	return submission.Step{Count: members, Request: task.Resources{CPU: cpu, Memory: 100}, Estimate: estimate, Gang: true, SameRack: true}
}

// Guards against a gang that is split over racks since the cheapest executor for its first member is on a rack without
// room for all of it.
func TestGangStartsOnRackThatHoldsAll(t *testing.T) {
	f := newRackFixture(t, map[string]string{"a1": "ra", "b1": "rb", "b2": "rb"}, nil)
	f.run(100 * time.Millisecond)
	f.submit(0, dataStep(2000, time.Minute, "rb"))
	f.run(200 * time.Millisecond)
	id := f.submit(0, gangStep(3, 2000, 4*time.Second))
	f.run(200 * time.Millisecond)
	on := f.on(id)
	assert.Equal(t, len(on), 3)
	for _, e := range on {
		assert.Equal(t, f.racks[e], "rb", "%v", on)
	}
	assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(0))
}

// Guards against a gang that is split although a rack has room for all of it soon, and against one that never starts.
func TestGangWaitsForOneRackUntilWaitEnds(t *testing.T) {
	for _, free := range []bool{true, false} {
		f := newRackFixture(t, twoRacks(), nil)
		f.run(100 * time.Millisecond)
		f.submit(0, dataStep(1000, time.Second, "ra"))
		f.submit(0, dataStep(1000, time.Minute, "rb"))
		f.run(200 * time.Millisecond)
		id := f.submit(0, gangStep(4, 1000, 2*time.Second))
		f.run(500 * time.Millisecond)
		assert.Equal(t, len(f.on(id)), 0)
		if free {
			f.end("a1")
			f.run(200 * time.Millisecond)
			assert.DeepEqual(t, f.on(id), []string{"a1", "a1", "a1", "a1"})
			assert.Equal(t, f.owner.Counters().PlaceWaitsLocal, uint64(1))
			continue
		}
		f.run(1800 * time.Millisecond)
		assert.Equal(t, len(f.on(id)), 4)
		assert.Equal(t, f.owner.Counters().PlaceWaitsRemote, uint64(1))
		assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(4))
	}
}

// Guards against remote runs that make their executor look slow, from which its runs are then moved.
func TestRemoteRunDoesNotMakeExecutorSlow(t *testing.T) {
	const rounds, perRound, factor = 3, 4, 3
	f := newRackFixture(t, twoRacks(), func(b *Bounds) { b.RemoteFactor = factor })
	f.run(100 * time.Millisecond)
	step := dataStep(1000, 400*time.Millisecond, "ra")
	step.Count = perRound
	round := func(on string, d time.Duration) {
		f.submit(0, step)
		f.run(200 * time.Millisecond)
		assert.Equal(t, len(f.running[on]), perRound)
		f.run(d - 200*time.Millisecond)
		f.end(on)
	}
	for range rounds {
		round("a1", 400*time.Millisecond)
	}
	f.submit(0, dataStep(4000, time.Minute, "ra"))
	f.run(200 * time.Millisecond)
	for range rounds {
		round("b1", factor*400*time.Millisecond)
	}
	assert.Equal(t, len(f.owner.estimates), 1)
	for _, e := range f.owner.estimates {
		ratio, _, ok := e.Accuracy()
		assert.Assert(t, ok, "too few run times")
		assert.Assert(t, ratio < 1.3, "run times are %.2f of the estimates", ratio)
	}
	for _, n := range f.owner.executors {
		slowdown := n.speed.Slowdown(f.now)
		assert.Assert(t, slowdown < suspectSlowdown, "%s is slower by %.2f", n.info.ID, slowdown)
	}
	assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(rounds*perRound))
}

// Guards against steps without a preferred rack that are served differently while others wait for theirs.
func TestStepsWithoutRackAreServedAsBefore(t *testing.T) {
	served := make(map[bool][]string)
	for _, on := range []bool{true, false} {
		f := newRackFixture(t, map[string]string{"a1": "ra", "a2": "ra", "b1": "rb", "b2": "rb", "c1": "rc", "d1": "rd"}, func(b *Bounds) { b.Features.PlaceWait = on })
		f.kinds = map[string]string{"a1": "plain", "a2": "plain", "b1": "plain", "b2": "plain", "c1": "racked", "d1": "racked"}
		var plain []string
		for i := range 30 {
			step := dataStep(int64(500+100*(i%20)), time.Duration(1+i%4)*time.Second, "")
			step.Count, step.Gang, step.BestEffort, step.Label = 1+i%3, i%5 == 0, i%7 == 0, "plain"
			plain = append(plain, f.submit(i%3, step))
			racked := dataStep(2000, time.Second, "rc")
			racked.Label = "racked"
			f.submit(0, racked)
			f.run(200 * time.Millisecond)
			if i%4 == 3 {
				f.end([]string{"a1", "a2", "b1", "b2"}[i%16/4])
				f.end("c1")
				f.end("d1")
			}
		}
		assert.Equal(t, f.owner.Counters().PlaceWaits > 0, on)
		assert.Assert(t, f.owner.Counters().RemoteStarts > 0)
		for _, s := range f.starts() {
			if slices.Contains(plain, s[:strings.Index(s, ".")]) {
				served[on] = append(served[on], s)
			}
		}
		// The messages to executors have no fixed order.
		slices.Sort(served[on])
	}
	assert.Assert(t, len(served[true]) > 0)
	assert.DeepEqual(t, served[true], served[false])
}

// Guards against gangs that start split at once, and count as demand for a rack that they don't want more than others.
func TestSplitGangsAreNoDemandForARack(t *testing.T) {
	f := newRackFixture(t, twoRacks(), nil)
	f.run(100 * time.Millisecond)
	f.submit(0, dataStep(2000, 10*time.Minute, "ra"))
	f.submit(0, dataStep(2000, 10*time.Minute, "rb"))
	f.run(200 * time.Millisecond)
	id := f.submit(0, gangStep(4, 1000, 10*time.Second))
	f.run(200 * time.Millisecond)
	assert.Equal(t, len(f.on(id)), 4)
	for key, d := range f.owner.placeWaits.demand {
		work := d.work[0]
		assert.Assert(t, work <= 40, "%v has a demand of %.0f processor seconds", key, work)
	}
}

// Guards against a task that avoids the only executor with room at its rack, and makes the rest of its step start elsewhere
// without a decision.
func TestTaskThatAvoidsItsRackDoesNotReleaseOthers(t *testing.T) {
	f := newRackFixture(t, twoRacks(), nil)
	f.run(100 * time.Millisecond)
	f.submit(0, dataStep(2000, time.Second, "ra"))
	f.run(200 * time.Millisecond)
	step := dataStep(1000, 4*time.Second, "ra")
	step.Count = 4
	id := f.submit(0, step)
	f.owner.jobs[id].tasks[0].failedOn = []string{"a1"}
	f.run(200 * time.Millisecond)
	assert.DeepEqual(t, f.on(id), []string{"a1", "a1", "b1"})
	assert.Equal(t, f.owner.Counters().PlaceWaits, uint64(1))
}

// Guards against waits that are switched off and still limit where a task preempts, or that make it preempt before its delay.
func TestPreemptionWithoutWaitsIsUnlimited(t *testing.T) {
	f := newRackFixture(t, twoRacks(), func(b *Bounds) { b.Features.PlaceWait = false })
	f.run(100 * time.Millisecond)
	f.submit(2, dataStep(4000, time.Minute, "ra"))
	f.submit(2, dataStep(4000, time.Minute, "rb"))
	f.run(500 * time.Millisecond)
	// The run at the preferred rack would lose more.
	f.running["a1"][0].ProgressPercent = 50
	f.run(100 * time.Millisecond)
	id := f.submit(0, dataStep(1000, time.Second, "ra"))
	f.run(preemptDelay)
	assert.Equal(t, len(f.stops()), 0)
	f.run(preemptInterval + 200*time.Millisecond)
	assert.Equal(t, len(f.on(id)), 0)
	assert.Assert(t, len(f.stops()) > 0)
	for _, s := range f.stops() {
		assert.Assert(t, strings.HasSuffix(s, "@b1"), s)
	}
}

// Guards against a gang that starts on another rack than that of its data, although that has room for it soon, and against
// one that waits for it on when the room does not come.
func TestGangWaitsForRackOfItsData(t *testing.T) {
	for _, free := range []bool{true, false} {
		f := newRackFixture(t, twoRacks(), nil)
		f.run(100 * time.Millisecond)
		f.submit(0, dataStep(1000, time.Second, "ra"))
		f.run(200 * time.Millisecond)
		step := gangStep(4, 1000, 2*time.Second)
		step.DataRack, step.SameRack = "ra", false
		id := f.submit(0, step)
		f.run(500 * time.Millisecond)
		assert.Equal(t, len(f.on(id)), 0)
		if free {
			f.end("a1")
			f.run(200 * time.Millisecond)
			assert.DeepEqual(t, f.on(id), []string{"a1", "a1", "a1", "a1"})
			assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(0))
			continue
		}
		f.run(4 * time.Second)
		assert.DeepEqual(t, f.on(id), []string{"b1", "b1", "b1", "b1"})
		assert.Equal(t, f.owner.Counters().RemoteStarts, uint64(4))
	}
}
