package histories

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/workload"
)

// Guards against promises that break where a task may have two runs at once: a third run, a run after the end of the task
// or its last permitted failure, a run that begins after a newer one, work that is lost, and room that is given twice.
func TestRandomHistoriesWithCopies(t *testing.T) {
	planGenerator := rapid.Custom(generatePlanWithCopies)
	copies := 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := planGenerator.Example(seed)
			p.unguarded = seed%2 == 0
			events, violations := playPlan(t, p)
			copies += countCopies(events)
			for _, v := range violations {
				t.Errorf("%v %s: %s", v.At, v.Invariant, v.Detail)
			}
			if len(violations) > 0 {
				for _, f := range p.faults {
					t.Log(f)
				}
			}
		})
	}
	t.Logf("%d runs began beside another run of their task", copies)
}

// countCopies counts the runs that began while another run of their task was executing.
func countCopies(events []history.Event) int {
	running, copies := make(map[string]int), 0
	for _, e := range events {
		switch e.Kind {
		case history.TaskRunStart:
			if running[e.Task]++; running[e.Task] > 1 {
				copies++
			}
		case history.TaskRunEnd:
			running[e.Task]--
		}
	}
	return copies
}

// Guards against the failures of TestRandomHistoriesWithCopies where an executor is unresponsive and comes back, and the owner, the
// store, the copy's executor or the operators' evacuations fail around the copy.
func TestCopiesBesideFaults(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	silent := []fault{{at: 4 * s, duration: 2500 * ms, kind: unresponsiveExecutor}, {at: 8 * s, duration: 4 * s, kind: cutAgent, target: 1},
		{at: 13 * s, duration: 1600 * ms, kind: unresponsiveExecutor, target: 2}}
	total := 0
	for name, faults := range map[string][]fault{
		"alone":                         {},
		"owner dies before the commit":  {{at: 5200 * ms, kind: killEntry}, {at: 8300 * ms, kind: killEntry, target: 1}, {at: 14200 * ms, kind: killEntry, target: 2}},
		"owner dies after the order":    {{at: 5400 * ms, kind: killEntry}, {at: 5400 * ms, kind: killEntry, target: 1}, {at: 5400 * ms, kind: killEntry, target: 2}},
		"owner dies after the end":      {{at: 7 * s, kind: killEntry}, {at: 7 * s, kind: killEntry, target: 1}, {at: 7 * s, kind: killEntry, target: 2}},
		"store down":                    {{at: 5 * s, duration: 3 * s, kind: storeDown}},
		"store refuses rows":            {{at: 4 * s, duration: 8 * s, kind: storeRefusesRows, amount: 3}},
		"replies of the store are lost": {{at: 5 * s, duration: 5 * s, kind: storeLosesReplies, amount: 3}},
		"copies are lost":               {{at: 6 * s, duration: s, kind: crashExecutor, target: 2}, {at: 9 * s, duration: s, kind: restartSameID, target: 3}},
		"orders of copies are late":     {{at: 5 * s, duration: 4 * s, kind: delayedOrders, target: 3, amount: 5}, {at: 5 * s, duration: 4 * s, kind: lostOrderReplies, target: 2, amount: 4}},
		"runs fail":                     {{at: 3 * s, duration: 6 * s, kind: failingRuns, target: 3}, {at: 3 * s, duration: 6 * s, kind: failingRuns}},
		"executors drain":               {{at: 4500 * ms, duration: 3 * s, kind: drainExecutors, target: 3}},
		"zone is evacuated":             {{at: 5300 * ms, duration: 4 * s, kind: evacuateZone, target: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				work := workload.Generate(rand.New(rand.NewPCG(seed, 4)),
					workload.Config{MinSubmissions: 6, MaxSubmissions: 12, ArrivalWindow: arrivalWindow, Executors: executorCount, Copies: true})
				events, violations := playPlan(t, plan{work: work, faults: append(faults, silent...)})
				total += countCopies(events)
				for _, v := range violations {
					t.Errorf("seed %d, %v %s: %s", seed, v.At, v.Invariant, v.Detail)
				}
			}
		})
	}
	assert.Assert(t, total > 0, "no task had two runs at once")
	t.Logf("%d runs began beside another run of their task", total)
}
