package histories

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/verify/workload"
)

// Guards against work that is lost, doubled or given up while the store refuses rows of records now and then, alone and
// together with what changes or delays the owner.
func TestRefusedRowsBesideFaults(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, faults := range map[string][]fault{
		"alone":         {{at: s, duration: 12 * s, kind: storeRefusesRows, amount: 3}},
		"often":         {{at: s, duration: 12 * s, kind: storeRefusesRows, amount: 2}},
		"owner cut off": {{at: s, duration: 8 * s, kind: storeRefusesRows, amount: 3}, {at: 2 * s, duration: 6 * s, kind: cutEntryStore}},
		"owners killed": {{at: s, duration: 12 * s, kind: storeRefusesRows, amount: 3}, {at: 3 * s, kind: killEntry}, {at: 5 * s, kind: killEntry, target: 1}, {at: 7 * s, kind: killEntry, target: 2}},
		"all killed":    {{at: s, duration: 8 * s, kind: storeRefusesRows, amount: 3}, {at: 4 * s, kind: killAll}},
		"late orders": {{at: s, duration: 8 * s, kind: storeRefusesRows, amount: 3}, {at: 2 * s, duration: 4 * s, kind: delayedOrders, target: 0, amount: 5},
			{at: 2500 * ms, duration: 4 * s, kind: lostOrderReplies, target: 2, amount: 3}},
		"executors crash": {{at: s, duration: 10 * s, kind: storeRefusesRows, amount: 3}, {at: 3 * s, duration: s, kind: crashExecutor, target: 1},
			{at: 5 * s, duration: s, kind: restartSameID, target: 3}, {at: 6 * s, duration: 2 * s, kind: drainExecutors, target: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				work := workload.Generate(rand.New(rand.NewPCG(seed, 2)),
					workload.Config{MinSubmissions: 10, MaxSubmissions: 20, ArrivalWindow: arrivalWindow, Executors: executorCount})
				for _, v := range runPlan(t, plan{work: work, faults: faults}) {
					t.Errorf("seed %d, %v %s: %s", seed, v.At, v.Invariant, v.Detail)
				}
			}
		})
	}
}
