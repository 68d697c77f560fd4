package coordinator

import (
	"sync"

	"github.com/chicorystand/chicorystand/control/dispatch"
)

// counters sums the totals of several ownership terms.
type counters struct {
	mu sync.Mutex
	// ended is the sum over the terms that have ended, current the totals of the running one.
	ended, current dispatch.Counters
}

// update sets the totals of the running term.
func (c *counters) update(now dispatch.Counters) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = now
}

// endTerm adds the totals of the running term to those of the ended ones. handOver is set if the term ended by a hand-over.
func (c *counters) endTerm(handOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.current = c.ended.Add(c.current), dispatch.Counters{}
	if handOver {
		c.ended.HandOvers++
	}
}

func (c *counters) load() dispatch.Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended.Add(c.current)
}
