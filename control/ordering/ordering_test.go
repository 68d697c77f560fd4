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

// What can still be in time goes first, the least work before the rest, then what
// is late but of use; an overload would otherwise make everything late, one after
// the other.
func TestOrder(t *testing.T) {
	const now = 100 * time.Second
	at := func(id string, priority int, due, lateDue, remaining, arrived time.Duration) PendingStep {
		return PendingStep{ID: id, Priority: priority, SoftDeadline: now + due, HardDeadline: now + lateDue, RemainingPath: remaining, Arrived: now + arrived}
	}
	list := []PendingStep{
		at("beyond use, younger", 1, -9*time.Second, -time.Second, time.Second, -20*time.Second),
		at("late", 1, -time.Second, 9*time.Second, time.Second, -9*time.Second),
		at("little slack", 1, 3*time.Second, 9*time.Second, 2*time.Second, -time.Second),
		at("beyond use, older", 1, -9*time.Second, -time.Second, time.Second, -30*time.Second),
		at("much slack", 1, 9*time.Second, 30*time.Second, time.Second, -2*time.Second),
		withWork(at("much work, little slack", 1, 2*time.Second, 9*time.Second, time.Second, -3*time.Second), 50),
		withWork(at("late, little work", 1, -time.Second, 12*time.Second, time.Second, -9*time.Second), 1),
		at("urgent class", 0, -9*time.Second, -time.Second, time.Second, 0),
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
	assert.DeepEqual(t, ids, []string{"urgent class", "little slack", "much slack", "much work, little slack", "late", "late, little work", "beyond use, older", "beyond use, younger"})
}
