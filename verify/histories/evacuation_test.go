package histories

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/verify/workload"
)

// Guards against starts in an evacuated zone, and against work that is lost there, when the owner or the
// store fails at the worst moment: the owner dies in the second after the operator's write, or the write
// falls into an outage, is hidden by a dropped history, or arrives while the owner is cut off.
func TestEvacuationBesideFaults(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runEach(t, map[string][]fault{
		"owner dies after the write": {
			{at: 5 * s, duration: 8 * s, kind: evacuateZone}, {at: 5200 * ms, kind: killEntry, target: 0}, {at: 5200 * ms, kind: killEntry, target: 1},
			{at: 5200 * ms, kind: killEntry, target: 2}},
		"all processes die after the write": {
			{at: 5 * s, duration: 8 * s, kind: evacuateZone, target: 1}, {at: 5100 * ms, kind: killAll}},
		"write during an outage of the store": {
			{at: 4 * s, duration: 4 * s, kind: storeDown}, {at: 5 * s, duration: 8 * s, kind: evacuateZone}},
		"write while the store is slow and loses replies": {
			{at: 4 * s, duration: 4 * s, kind: storeSlow, amount: 5}, {at: 5 * s, duration: 8 * s, kind: evacuateZone},
			{at: 8100 * ms, duration: s, kind: storeLosesReplies, amount: 2}},
		"history is dropped": {
			{at: 4900 * ms, duration: 300 * ms, kind: storeDown}, {at: 5 * s, duration: 8 * s, kind: evacuateZone}, {at: 5100 * ms, kind: storeCompacts}},
		"owner is cut off from the store": {
			{at: 4900 * ms, duration: 4 * s, kind: cutEntryStore, target: 0}, {at: 4900 * ms, duration: 4 * s, kind: cutEntryStore, target: 1},
			{at: 4900 * ms, duration: 4 * s, kind: cutEntryStore, target: 2}, {at: 5 * s, duration: 8 * s, kind: evacuateZone}},
		"restored and evacuated again at once": {
			{at: 3 * s, duration: s, kind: evacuateZone}, {at: 9200 * ms, duration: 6 * s, kind: evacuateZone}, {at: 9300 * ms, kind: killEntry, target: 1}},
		"orders are executed late": {
			{at: 4500 * ms, duration: 3 * s, kind: delayedOrders, target: 0, amount: 5}, {at: 4500 * ms, duration: 3 * s, kind: delayedOrders, target: 2, amount: 3},
			{at: 5 * s, duration: 8 * s, kind: evacuateZone}},
		"executors join the zone": {
			{at: 5 * s, duration: 8 * s, kind: evacuateZone}, {at: 5500 * ms, duration: s, kind: crashExecutor, target: 0},
			{at: 6 * s, duration: s, kind: restartSameID, target: 2}},
		"two zones, one after the other": {
			{at: 4 * s, duration: 6 * s, kind: evacuateZone}, {at: 6 * s, duration: 8 * s, kind: evacuateZone, target: 1}, {at: 7 * s, kind: killEntry}},
	})
}

// runEach plays each list of faults beside three draws of work.
func runEach(t *testing.T, cases map[string][]fault) {
	t.Helper()
	for name, faults := range cases {
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
