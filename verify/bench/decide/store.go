package decide

import "time"

// Assumed performance of the store.
const (
	commitInterval = 100 * time.Millisecond
	storeLatency   = 10 * time.Millisecond
	storeWrites    = 400
	commitRows     = 100
)

// store models one commit loop per entry on a shared store: each loop sends one transaction of
// at most 100 rows every 100 ms; the store has 10 ms latency and 400 transactions/s in total.
type store struct {
	l      *load
	loops  []commitLoop
	idleAt time.Duration
	writes int
}

type commitLoop struct {
	pending   []func()
	lastAt    time.Duration
	scheduled bool
}

func newStore(l *load, entries int) *store { return &store{l: l, loops: make([]commitLoop, entries)} }

// commit queues a row of an entry and calls done when the row is durable.
func (s *store) commit(entry int, done func()) {
	c := &s.loops[entry]
	c.pending = append(c.pending, done)
	s.scheduleCommit(c)
}

func (s *store) scheduleCommit(c *commitLoop) {
	if c.scheduled || len(c.pending) == 0 {
		return
	}
	c.scheduled = true
	s.l.schedule(max(s.l.now, c.lastAt+commitInterval), func() { s.sendBatch(c) })
}

func (s *store) sendBatch(c *commitLoop) {
	n := min(len(c.pending), commitRows)
	batch := c.pending[:n:n]
	c.pending = c.pending[n:]
	c.lastAt = s.l.now
	s.idleAt = max(s.idleAt, s.l.now) + time.Second/storeWrites
	s.writes++
	s.l.schedule(s.idleAt+storeLatency, func() {
		for _, done := range batch {
			done()
		}
		c.scheduled = false
		s.scheduleCommit(c)
	})
}
