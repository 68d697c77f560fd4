package coordinator

import (
	"sync"

	"github.com/chicorystand/chicorystand/control/dispatch"
)

// counters add up the totals of several periods of ownership.
type counters struct {
	mu sync.Mutex
	// earlier is the sum of the periods that have ended, current that of the present one.
	earlier, current dispatch.Counters
}

// update takes in the totals of the present period.
func (c *counters) update(now dispatch.Counters) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = now
}

// endPeriod keeps the totals of the present period.
func (c *counters) endPeriod() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlier, c.current = c.earlier.Add(c.current), dispatch.Counters{}
}

func (c *counters) load() dispatch.Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earlier.Add(c.current)
}
