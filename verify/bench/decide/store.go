package decide

import "time"

// Stated speed of the store.
const (
	commitInterval = 100 * time.Millisecond
	storeLatency   = 10 * time.Millisecond
	storeWrites    = 400
	commitRows     = 100
)

// store models commit loops that share a store: one transaction of at most 100 rows in
// each 100 ms for each entry, 10 ms latency, 400 transactions/s for all.
type store struct {
	l      *load
	loops  []commitLoop
	freeAt time.Duration
	writes int
}

type commitLoop struct {
	waiting []func()
	lastAt  time.Duration
	armed   bool
}

func newStore(l *load, entries int) *store { return &store{l: l, loops: make([]commitLoop, entries)} }

// commit runs done when the row is durable.
func (s *store) commit(entry int, done func()) {
	c := &s.loops[entry]
	c.waiting = append(c.waiting, done)
	s.arm(c)
}

func (s *store) arm(c *commitLoop) {
	if c.armed || len(c.waiting) == 0 {
		return
	}
	c.armed = true
	s.l.at(max(s.l.now, c.lastAt+commitInterval), func() { s.send(c) })
}

func (s *store) send(c *commitLoop) {
	n := min(len(c.waiting), commitRows)
	group := c.waiting[:n:n]
	c.waiting = c.waiting[n:]
	c.lastAt = s.l.now
	s.freeAt = max(s.freeAt, s.l.now) + time.Second/storeWrites
	s.writes++
	s.l.at(s.freeAt+storeLatency, func() {
		for _, done := range group {
			done()
		}
		c.armed = false
		s.arm(c)
	})
}
