package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// finalStateBytes is more than a record without tasks takes.
const finalStateBytes = 20

// refusalHistory plays random work on one executor that executes all orders, a store that refuses rows for a while or for good,
// and changes of the owner.
type refusalHistory struct {
	*fixture
	rng  *rand.Rand
	subs []*submission.Submission
	// refused holds the keys that the store refuses now, and forGood those that it always refuses.
	refused map[string]bool
	forGood string
	// running holds the run of each task that is at work, ended the listed ends, and done the tasks that have ended so.
	running map[string]uint32
	ended   []executor.End
	done    map[string]bool
	lastEnd int64
	epoch   uint64
	// records holds the stored records by submission, as far as they were read since the last commit.
	records map[string]*storedRecord
}

func newRefusalHistory(t *testing.T, seed uint64) *refusalHistory {
	h := &refusalHistory{fixture: newFixture(t), rng: rand.New(rand.NewPCG(seed, 1)), refused: make(map[string]bool),
		running: make(map[string]uint32), done: make(map[string]bool), epoch: testEpoch}
	gang := testStep(6)
	gang.Gang = true
	for i, steps := range [][]submission.Step{{testStep(3), testStep(2, 0)}, {testStep(partTasks + 40)}, {gang}, {testStep(2)}, {testStep(4)}} {
		s := testSubmission(steps...)
		s.ID, s.MaxAttempts = fmt.Sprintf("%016x", i+1), 0
		h.subs = append(h.subs, s)
	}
	h.forGood = ProgressKey(h.subs[4].ID)
	h.takeOver()
	return h
}

// takeOver replaces the owner by one that knows only what is stored.
func (h *refusalHistory) takeOver() {
	h.epoch++
	h.owner, h.messages = h.newOwner(h.epoch), nil
	for _, s := range h.subs {
		h.add(s)
	}
	h.report()
}

// report reports the executor and drops the ends that the owner has acknowledged.
func (h *refusalHistory) report() {
	var running []executor.Run
	for name, run := range h.running {
		running = append(running, executor.Run{Task: name, Number: run, ProgressPercent: 50})
	}
	h.largeExecutor("e1", running, h.ended...)
}

// execute carries out the orders that were sent, and checks what the owner may rely on.
func (h *refusalHistory) execute() {
	h.records = make(map[string]*storedRecord)
	for _, m := range h.messages {
		h.acknowledge(m.Orders.LastSeen)
		results := &wire.OrderResults{Epoch: h.epoch, Executor: "e1", StartedAt: 1}
		for _, s := range m.Orders.Starts {
			h.start(s)
			results.Results = append(results.Results, wire.OrderResult{Task: s.Task, Run: s.Run, Outcome: executor.OK})
		}
		for _, s := range m.Orders.Stops {
			if run, ok := h.running[s.Task]; ok && run <= s.Run {
				h.end(s.Task, executor.Stopped)
			}
			results.Results = append(results.Results, wire.OrderResult{Task: s.Task, Run: s.Run, Stop: true})
		}
		h.owner.ApplyOrderResults(results, h.now)
	}
	h.messages = nil
}

func (h *refusalHistory) start(s wire.StartOrder) {
	rec := h.stored(s.Task)
	assert.Assert(h.t, rec.State == submission.TaskAssigned && rec.Run == s.Run, "start of %s run %d, its record is %+v", s.Task, s.Run, rec)
	assert.Assert(h.t, !h.done[s.Task], "%s is started after its end", s.Task)
	run, ok := h.running[s.Task]
	assert.Assert(h.t, !ok || run == s.Run, "%s run %d is started beside run %d", s.Task, s.Run, run)
	h.running[s.Task] = s.Run
}

func (h *refusalHistory) end(name string, cause executor.EndCause) {
	h.lastEnd++
	h.ended = append(h.ended, executor.End{Number: h.lastEnd, Task: name, Run: h.running[name], Cause: cause})
	delete(h.running, name)
	h.done[name] = h.done[name] || cause == executor.Done
}

// acknowledge drops ends, whose records must no longer name the run.
func (h *refusalHistory) acknowledge(last int64) {
	for len(h.ended) > 0 && h.ended[0].Number <= last {
		e := h.ended[0]
		rec := h.stored(e.Task)
		assert.Assert(h.t, rec.State != submission.TaskAssigned || rec.Run != e.Run, "end %d of %s run %d is acknowledged, its record is %+v", e.Number, e.Task, e.Run, rec)
		h.ended = h.ended[1:]
	}
}

// stored returns the record of a task as a new owner would read it.
func (h *refusalHistory) stored(name string) submission.TaskRecord {
	id, tid, _ := submission.ParseName(name)
	j := h.owner.jobs[id]
	r, ok := h.records[id]
	if !ok {
		var err error
		r, err = decodeRecord(newJob(j.sub, 0), h.rows)
		assert.NilError(h.t, err)
		h.records[id] = r
	}
	if r == nil {
		return submission.TaskRecord{}
	}
	return r.Tasks[j.offset(tid)]
}

// step plays one random event.
func (h *refusalHistory) step() {
	h.now += time.Duration(10+h.rng.IntN(40)) * time.Millisecond
	switch h.rng.IntN(30) {
	case 0:
		h.takeOver()
	case 1, 2:
		s := h.subs[h.rng.IntN(len(h.subs))]
		key := partKey(s.ID, h.rng.IntN(2))
		h.refused[key] = !h.refused[key]
	case 3, 4, 5, 6, 7, 8:
		for name := range h.running {
			if h.rng.IntN(3) == 0 {
				h.end(name, []executor.EndCause{executor.Done, executor.Stopped, executor.Done}[h.rng.IntN(3)])
			}
		}
		h.report()
	}
	h.pass(func(w store.Write) bool {
		// The store accepts a final state alone.
		record := !w.Delete && len(w.Value) > finalStateBytes
		return record && (h.refused[w.Key] && h.rng.IntN(4) > 0 || w.Key == h.forGood)
	})
}

func (h *refusalHistory) pass(refuses refusingStore) {
	h.owner.Tick(h.now)
	h.commitUnless(refuses)
	h.messages = append(h.messages, h.owner.Flush(h.now, true)...)
	h.execute()
}

// Guards against starts without a record, ends that are acknowledged without one, and second runs, while the store refuses
// rows now and then and owners change; and against submissions that then do not end.
func TestRandomRefusals(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newRefusalHistory(t, seed)
			for range 200 {
				h.step()
			}
			for range 150 {
				h.now += 50 * time.Millisecond
				for name := range h.running {
					h.end(name, executor.Done)
				}
				h.report()
				h.pass(acceptAll)
			}
			for _, s := range h.subs {
				state, known := h.owner.State(s.ID)
				assert.Assert(t, known && state.Final(), "submission %s is %s", s.ID, state)
				if state == submission.Completed {
					continue
				}
				assert.Assert(t, state == submission.Failed)
				for name := range h.running {
					assert.Assert(t, !strings.HasPrefix(name, s.ID), "%s runs on", name)
				}
			}
		})
	}
}
