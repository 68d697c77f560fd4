// Package intake decides which connections an entry keeps and which bodies it reads, within the memory and the descriptors of
// its machine. It holds the state of the connections, and knows no network and no clock.
package intake

import "time"

// phase is what a connection is doing. Connections of lower phases are closed first when there are too many.
type phase uint8

const (
	// readingHeader connections have not sent the whole header of a request yet.
	readingHeader phase = iota
	// idle connections have had an answer and wait for the next request.
	idle
	// reading connections send the body of a request.
	reading
	// answering connections receive an answer.
	answering
	// handling connections wait for an answer. They are never evicted: their submission may have been stored.
	handling
)

// unknownSize is the size of what has no end that is known.
const unknownSize = 1 << 40

// Conn is the state of a connection.
type Conn struct {
	// Owner is the connection that this is the state of.
	Owner any

	phase phase
	// open is set while the connection counts, evicted once it has been chosen for eviction, closeAfterResponse when it is to end with its answer.
	open, evicted, closeAfterResponse bool
	index                             int
	// opened is the time at which the connection came, started that of the beginning of its body, progress that of its last byte.
	opened, started, progress time.Duration
	// size is the declared length, or the largest legal one; received is what has come of it.
	size, received int64
	// charged is the connection's part of the budget; large tells whether it counts as large.
	charged int64
	large   bool
}

// Evicted reports whether the connection was chosen for eviction.
func (c *Conn) Evicted() bool { return c.evicted }

// Unanswerable reports whether the connection has no request that could still be answered.
func (c *Conn) Unanswerable() bool { return c.phase < reading || c.phase == answering }

// Missing returns the number of bytes to come.
func (c *Conn) Missing() int64 { return max(0, c.size-c.received) }

// Budget is what all connections together may take. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	conns  []*Conn
	// bytes and large are the sums of the charges, and of those of large bodies.
	bytes, large int64
}

// NewBudget returns a budget without connections.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return len(b.conns) }

// Bytes returns the sum of the charges.
func (b *Budget) Bytes() int64 { return b.bytes }

// Open adds a connection. If there are too many, it returns the one to close instead. ok is false if the new one is to be
// closed, since all others wait for their answer; the oldest of these then ends with its answer.
func (b *Budget) Open(c *Conn, now time.Duration) (victim *Conn, ok bool) {
	if b.limits.Connections > 0 && len(b.conns) >= b.limits.Connections {
		if victim = b.evictionCandidate(now); victim == nil {
			b.markOldest()
			return nil, false
		}
		b.evict(victim)
		b.Close(victim)
	}
	*c = Conn{Owner: c.Owner, phase: readingHeader, open: true, index: len(b.conns), opened: now, progress: now}
	b.conns = append(b.conns, c)
	return victim, true
}

// quietTime is the time without a byte after which a connection is closed before others. A process that is busy accepts many
// connections before it reads from them, and must not close them for each other.
const quietTime = time.Second

// evictionCandidate returns the connection to close for a new one, nil if there is none. A client that does not read its answer goes
// first. Of quiet connections those without a whole header go first, then idle ones, then those with a body, which may be ordinary
// requests. If none is quiet, the one with the least recent progress goes.
func (b *Budget) evictionCandidate(now time.Duration) *Conn {
	var worst *Conn
	for _, c := range b.conns {
		switch {
		case c.phase == answering && now-c.progress > b.limits.ScarcePace.Stall:
			return c
		case c.phase >= answering:
		case worst == nil || c.closesBefore(worst, now):
			worst = c
		}
	}
	return worst
}

func (c *Conn) closesBefore(other *Conn, now time.Duration) bool {
	quiet, otherQuiet := now-c.progress > quietTime, now-other.progress > quietTime
	if quiet != otherQuiet {
		return quiet
	}
	if !quiet {
		return c.progress < other.progress
	}
	return c.phase < other.phase || c.phase == other.phase && c.evictBefore(other)
}

func (b *Budget) markOldest() {
	var oldest *Conn
	for _, c := range b.conns {
		if !c.closeAfterResponse && (oldest == nil || c.opened < oldest.opened) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.closeAfterResponse = true
	}
}

// evictBefore reports whether c is evicted before other: the one with the most bytes missing, among equals the one with the
// least recent progress.
func (c *Conn) evictBefore(other *Conn) bool {
	if c.Missing() != other.Missing() {
		return c.Missing() > other.Missing()
	}
	return c.progress < other.progress
}

// Close removes a connection and its charge.
func (b *Budget) Close(c *Conn) {
	if !c.open {
		return
	}
	b.release(c)
	last := len(b.conns) - 1
	b.conns[c.index] = b.conns[last]
	b.conns[c.index].index = c.index
	b.conns[last] = nil
	b.conns = b.conns[:last]
	c.open = false
}

// Handle records that the bytes of a request have come. It returns false if the connection was evicted before.
func (b *Budget) Handle(c *Conn, now time.Duration) bool {
	c.phase, c.progress = handling, now
	return !c.evicted
}

// Answer records that an answer is being sent.
func (b *Budget) Answer(c *Conn, now time.Duration) {
	if c.phase >= answering {
		c.phase, c.progress = answering, now
	}
}

// Idle records that an answer has been sent. It returns false if the connection is to be closed now.
func (b *Budget) Idle(c *Conn, now time.Duration) bool {
	b.release(c)
	c.phase, c.progress, c.size, c.received = idle, now, 0, 0
	ends := c.evicted || c.closeAfterResponse && len(b.conns) >= b.limits.Connections
	// Below the limit nobody needs the connection any more.
	c.closeAfterResponse = false
	return !ends
}

// Head records bytes of a header that takes the given memory in all, of which the usual part is not charged.
func (b *Budget) Head(c *Conn, memory, usual int64, now time.Duration) (victims []*Conn, ok bool) {
	c.phase, c.progress = readingHeader, now
	if memory <= usual {
		return nil, c.open
	}
	c.size = unknownSize
	return b.charge(c, memory-c.charged, true, now)
}

// Body records the beginning of a body and charges it with its header and its first buffer. A declared length below 0 is not
// known; limit is the largest legal one.
func (b *Budget) Body(c *Conn, declared, limit, charge int64, now time.Duration) (victims []*Conn, ok bool) {
	b.release(c)
	c.phase, c.started, c.progress = reading, now, now
	c.size, c.received = declared, 0
	if declared < 0 {
		c.size = limit
	}
	return b.charge(c, charge, max(declared, charge) > b.limits.SmallBody, now)
}

// Receive records bytes of a body.
func (b *Budget) Receive(c *Conn, n int64, now time.Duration) {
	c.received += n
	c.progress = now
}

// Grow charges a larger buffer for a body. It returns the evicted connections, whose charges are returned at once; ok is
// false if the connection itself has to.
func (b *Budget) Grow(c *Conn, n int64, now time.Duration) (victims []*Conn, ok bool) {
	return b.charge(c, n, n > b.limits.SmallBody, now)
}

// Shrink returns a part of the charge of a body.
func (b *Budget) Shrink(c *Conn, n int64) {
	n = min(n, c.charged)
	c.charged -= n
	b.bytes -= n
	if c.large {
		b.large -= n
	}
}

// Drop returns the charge of a body that is refused. What comes of it still has to keep to the pace.
func (b *Budget) Drop(c *Conn) { b.release(c) }

func (b *Budget) charge(c *Conn, n int64, large bool, now time.Duration) (victims []*Conn, ok bool) {
	if c.evicted || !c.open {
		return nil, false
	}
	if n <= 0 || b.limits.Bytes == 0 {
		return nil, true
	}
	if large && !c.large {
		c.large = true
		b.large += c.charged
	}
	for !b.fits(c, n) {
		victim := b.mostMissing(c, now)
		if victim == c {
			return victims, false
		}
		b.evict(victim)
		victims = append(victims, victim)
	}
	c.charged += n
	b.bytes += n
	if c.large {
		b.large += n
	}
	return victims, true
}

// fits reports whether there is enough memory. A single large body is read whatever its size, which the operator's limit bounds.
func (b *Budget) fits(c *Conn, n int64) bool {
	if c.large && b.large == c.charged {
		return true
	}
	return b.bytes+n <= b.limits.Bytes && (!c.large || b.large+n <= b.limits.LargeBytes)
}

// mostMissing returns the connection to evict for a charge of asker, which may be asker itself. Those that have stalled go
// first, then the one with the most bytes missing. A large body takes nothing from a small one.
func (b *Budget) mostMissing(asker *Conn, now time.Duration) *Conn {
	worst, worstStalled := asker, false
	for _, c := range b.conns {
		if c == asker || c.charged == 0 || c.phase >= answering || asker.large && !c.large {
			continue
		}
		stalled := now-c.progress > b.limits.ScarcePace.Stall
		if stalled && !worstStalled || stalled == worstStalled && c.evictBefore(worst) {
			worst, worstStalled = c, stalled
		}
	}
	return worst
}

// evict returns the charge of a connection, which gets no other.
func (b *Budget) evict(c *Conn) {
	c.evicted = true
	b.release(c)
}

func (b *Budget) release(c *Conn) {
	b.bytes -= c.charged
	if c.large {
		b.large -= c.charged
	}
	c.charged, c.large = 0, false
}

// Scarce reports whether more than half of the bytes, or of the connections without the idle ones, is in use. Idle connections are
// closed for new ones at any time.
func (b *Budget) Scarce() bool {
	const half = 2
	return b.limits.Bytes > 0 && (b.bytes > b.limits.Bytes/half || b.large > b.limits.LargeBytes/half) ||
		b.limits.Connections > 0 && b.busy() > b.limits.Connections/half
}

// busy returns the number of connections that are not idle.
func (b *Budget) busy() int {
	n := 0
	for _, c := range b.conns {
		if c.phase != idle {
			n++
		}
	}
	return n
}

// Overdue evicts and returns the connections whose bodies come, or whose answers are read, too slowly.
func (b *Budget) Overdue(now time.Duration) []*Conn {
	pace := b.limits.Pace
	if b.Scarce() {
		pace = b.limits.ScarcePace
	}
	var victims []*Conn
	for _, c := range b.conns {
		slow := c.phase == reading && !pace.meets(now-c.started, now-c.progress, c.received) ||
			c.phase == answering && now-c.progress > pace.Stall
		if slow && !c.evicted {
			b.evict(c)
			victims = append(victims, c)
		}
	}
	return victims
}
