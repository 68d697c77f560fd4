package histories

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/verify/workload"
)

// Guards against a new owner or a new agent that starts runs again whose ends did not fit the first lists of the executors.
func TestOwnerChangesWhileListsOfEndsAreCut(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, faults := range map[string][]fault{
		"all processes die in an outage of the store": {{at: 5 * s, duration: 4 * s, kind: storeDown}, {at: 8500 * ms, kind: killAll}},
		"all entries die in an outage of the store": {{at: 5 * s, duration: 4 * s, kind: storeDown},
			{at: 8500 * ms, kind: killEntry}, {at: 8500 * ms, kind: killEntry, target: 1}, {at: 8500 * ms, kind: killEntry, target: 2}},
		"the store stays slow": {{at: 4 * s, duration: 4 * s, kind: storeDown}, {at: 8 * s, duration: 6 * s, kind: storeSlow, amount: 5},
			{at: 8500 * ms, kind: killAll}},
		"no owner dies": {{at: 5 * s, duration: 4 * s, kind: storeDown}, {at: 12 * s, duration: 4 * s, kind: storeDown}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				work := workload.Generate(rand.New(rand.NewPCG(seed, 3)),
					workload.Config{MinSubmissions: 15, MaxSubmissions: 25, ArrivalWindow: arrivalWindow / 2, Executors: executorCount})
				for _, v := range runPlan(t, plan{work: work, faults: faults}) {
					t.Errorf("seed %d, %v %s: %s", seed, v.At, v.Invariant, v.Detail)
				}
			}
		})
	}
}
