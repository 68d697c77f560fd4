package histories

import (
	"testing"
	"time"
)

// Guards against work that is lost, doubled or given up while the store refuses rows of records now and then, alone and
// together with what changes or delays the owner.
func TestRefusedRowsBesideFaults(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runEach(t, map[string][]fault{
		"alone":         {{at: s, duration: 12 * s, kind: storeRefusesRows, amount: 3}},
		"often":         {{at: s, duration: 12 * s, kind: storeRefusesRows, amount: 2}},
		"owner cut off": {{at: s, duration: 8 * s, kind: storeRefusesRows, amount: 3}, {at: 2 * s, duration: 6 * s, kind: cutEntryStore}},
		"owners killed": {{at: s, duration: 12 * s, kind: storeRefusesRows, amount: 3}, {at: 3 * s, kind: killEntry}, {at: 5 * s, kind: killEntry, target: 1}, {at: 7 * s, kind: killEntry, target: 2}},
		"all killed":    {{at: s, duration: 8 * s, kind: storeRefusesRows, amount: 3}, {at: 4 * s, kind: killAll}},
		"late orders": {{at: s, duration: 8 * s, kind: storeRefusesRows, amount: 3}, {at: 2 * s, duration: 4 * s, kind: delayedOrders, target: 0, amount: 5},
			{at: 2500 * ms, duration: 4 * s, kind: lostOrderReplies, target: 2, amount: 3}},
		"executors crash": {{at: s, duration: 10 * s, kind: storeRefusesRows, amount: 3}, {at: 3 * s, duration: s, kind: crashExecutor, target: 1},
			{at: 5 * s, duration: s, kind: restartSameID, target: 3}, {at: 6 * s, duration: 2 * s, kind: drainExecutors, target: 0}},
	})
}
