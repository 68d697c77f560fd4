package ordering

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func withWork(w PendingStep, work float64) PendingStep {
	w.Work = work
	return w
}

// Steps that can still be on time go first, shortest remaining work first, then late ones that
// still have value; an overload would otherwise make all of them late, one after the other.
func TestOrder(t *testing.T) {
	const now = 100 * time.Second
	at := func(id string, priority int, soft, hard, path, arrived time.Duration) PendingStep {
		return PendingStep{ID: id, Priority: priority, SoftDeadline: now + soft, HardDeadline: now + hard, RemainingPath: path, Arrived: now + arrived}
	}
	list := []PendingStep{
		at("expired, younger", 1, -9*time.Second, -time.Second, time.Second, -20*time.Second),
		at("late", 1, -time.Second, 9*time.Second, time.Second, -9*time.Second),
		at("little slack", 1, 3*time.Second, 9*time.Second, 2*time.Second, -time.Second),
		at("expired, older", 1, -9*time.Second, -time.Second, time.Second, -30*time.Second),
		at("ample slack", 1, 9*time.Second, 30*time.Second, time.Second, -2*time.Second),
		withWork(at("much work, little slack", 1, 2*time.Second, 9*time.Second, time.Second, -3*time.Second), 50),
		withWork(at("late, little work", 1, -time.Second, 12*time.Second, time.Second, -9*time.Second), 1),
		at("urgent priority", 0, -9*time.Second, -time.Second, time.Second, 0),
	}
	for i := range list {
		if list[i].Work == 0 {
			list[i].Work = 10
		}
	}
	slices.SortFunc(list, func(a, b PendingStep) int {
		if Less(&a, &b, now) {
			return -1
		}
		return 1
	})
	var ids []string
	for _, w := range list {
		ids = append(ids, w.ID)
	}
	assert.DeepEqual(t, ids, []string{"urgent priority", "little slack", "ample slack", "much work, little slack", "late", "late, little work", "expired, older", "expired, younger"})
}
