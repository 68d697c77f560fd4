package eviction

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/task"
)

func candidate(id string, cpu int64, loss time.Duration) Candidate {
	return Candidate{ID: id, Reserved: task.Resources{CPU: cpu, Memory: cpu}, Loss: loss}
}

// No more work may be lost than necessary, and none when the evictions do not free enough.
func TestChoose(t *testing.T) {
	list := []Candidate{candidate("a", 1000, 5*time.Second), candidate("b", 1000, time.Second), candidate("c", 3000, 2*time.Second)}
	for name, c := range map[string]struct {
		need, free int64
		chosen     []int
		loss       time.Duration
		ok         bool
	}{
		"fits already":          {1000, 1000, nil, 0, true},
		"the least loss":        {1000, 0, []int{1}, time.Second, true},
		"pruned":                {3000, 0, []int{2}, 2 * time.Second, true},
		"all":                   {5000, 0, []int{1, 2, 0}, 8 * time.Second, true},
		"more than all of them": {6000, 0, nil, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			chosen, loss, ok := Choose(list, task.Resources{CPU: c.need, Memory: c.need}, task.Resources{CPU: c.free, Memory: c.free})
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, loss, c.loss)
			assert.DeepEqual(t, append([]int{}, chosen...), append([]int{}, c.chosen...))
		})
	}
}

// A task that reserves none of the resources that are short is never evicted.
func TestTaskWithoutNeededResourceIsNotEvicted(t *testing.T) {
	list := []Candidate{{ID: "a", Reserved: task.Resources{Memory: 4000}}, candidate("b", 1000, time.Hour)}
	chosen, _, ok := Choose(list, task.Resources{CPU: 1000}, task.Resources{})
	assert.Assert(t, ok)
	assert.DeepEqual(t, chosen, []int{1})
}
