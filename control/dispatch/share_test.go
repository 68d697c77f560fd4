package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a queue that gets all capacity since its submissions are smaller, and against another order where that is switched off
// or there is room for all.
func TestQueuesOfOnePriorityShareCapacity(t *testing.T) {
	for _, c := range []struct {
		enabled bool
		small   int
		want    map[string]int
	}{{true, 20, map[string]int{"small": 2, "large": 2}}, {false, 20, map[string]int{"small": 4, "large": 0}}, {true, 1, map[string]int{"small": 1, "large": 2}}} {
		f := newFixture(t)
		f.owner.bounds.Features.FairShares = c.enabled
		f.executor("e1", nil)
		for i := range c.small + 1 {
			s := testSubmission(testStep(1))
			s.ID, s.Queue, s.Stretch, s.Accepted = fmt.Sprintf("%016x", i), "small", 30, f.now.Milliseconds()
			if i == c.small {
				s.Queue, s.Steps = "large", testSubmission(testStep(2)).Steps
			}
			f.add(s)
		}
		f.pass()
		started := map[string]int{"small": 0, "large": 0}
		for _, j := range f.owner.jobs {
			for _, task := range j.tasks {
				if task.node != nil {
					started[j.sub.Queue]++
				}
			}
		}
		assert.DeepEqual(t, started, c.want)
	}
}
