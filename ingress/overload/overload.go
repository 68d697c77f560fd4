// Package overload decides at an entry which submissions are refused on arrival: those that cannot end while their result has
// any value, by the estimates that the owner sends. A caller who was refused is told when to return, and later submissions of the
// same queue and size are not admitted before it. Package control/backlog makes the estimates.
package overload

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/backlog"
	"github.com/chicorystand/chicorystand/ingress/unsettled"
	"github.com/chicorystand/chicorystand/wire"
)

// Reason is why a submission is refused.
type Reason string

// Reasons.
const (
	// Admitted submissions are not refused.
	Admitted Reason = ""
	// TooLate submissions would lose all value before they end.
	TooLate Reason = "too_late"
	// OutOfTurn submissions would be admitted before others that were refused earlier.
	OutOfTurn Reason = "out_of_turn"
)

// Decision is the outcome for one request.
type Decision struct {
	Reason Reason
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
	// Class is the size class. Delay is the expected time until the submission would begin, Least the lower bound.
	Class        int
	Delay, Least time.Duration
}

// OK reports whether the submission is admitted.
func (d Decision) OK() bool { return d.Reason == Admitted }

// Controller decides. It is safe for concurrent use.
type Controller struct {
	estimate func() (*wire.Backlog, time.Duration)

	mu        sync.Mutex
	rand      *rand.Rand
	lines     map[lineKey]*line
	unsettled *unsettled.IDs
}

// NewController returns a controller. estimate returns the owner's last message, nil when there is none, and the time since its arrival.
// The seed is that of the random part of the times of return, which should differ between entries.
func NewController(estimate func() (*wire.Backlog, time.Duration), seed uint64) *Controller {
	return &Controller{estimate: estimate, rand: rand.New(rand.NewPCG(seed, 0)), lines: make(map[lineKey]*line), unsettled: unsettled.New()}
}

// Admit decides on a submission. After an admission, Settle has to be called with the outcome of storing it.
func (c *Controller) Admit(r *Request, now time.Duration) Decision {
	m, age := c.estimate()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.decide(r, m, age, now)
	if d.OK() {
		c.admit(r, now)
	}
	return d
}

// AdmitAccepted admits a submission that was to be refused, since it turns out to be stored already, or that cannot be found out.
func (c *Controller) AdmitAccepted(r *Request, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admit(r, now)
}

// Settle records that an attempt to store an admitted submission has ended.
func (c *Controller) Settle(id string, outcomeUnknown bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled.End(id, outcomeUnknown, now)
}

func (c *Controller) decide(r *Request, m *wire.Backlog, age, now time.Duration) Decision {
	d := Decision{Class: backlog.ClassOf(r.Work)}
	if r.Exempt || r.Objective <= 0 || m == nil || age > maxEstimateAge || c.unsettled.Contains(r.ID, now) {
		return d
	}
	q := find(m, r)
	if q == nil {
		return d
	}
	o := outlookOf(q, r, age)
	d.Delay, d.Least = o.delay, o.least
	l := c.line(r, now)
	switch {
	case o.fits:
	case o.tooLate(r):
		d.Reason = TooLate
	case o.onTime(r):
	case l != nil && l.holdsBack(r.ID, now):
		d.Reason = OutOfTurn
	}
	if !d.OK() {
		if l == nil {
			l = new(line)
			c.lines[r.line()] = l
		}
		// Each entry has a line of its own, and all share the capacity.
		turn := o.turn * time.Duration(max(1, m.Entries))
		d.RetryAfter = l.join(r.ID, o.untilOnTime(r), turn, now, c.rand)
	}
	return d
}

func (r *Request) line() lineKey { return lineKey{r.Queue, r.BestEffort, backlog.ClassOf(r.Work)} }

// line returns the line of a request, nil when nobody has a place.
func (c *Controller) line(r *Request, now time.Duration) *line {
	k := r.line()
	l := c.lines[k]
	if l == nil {
		return nil
	}
	if l.expire(now); len(l.places) == 0 {
		delete(c.lines, k)
		return nil
	}
	return l
}

func (c *Controller) admit(r *Request, now time.Duration) {
	if l := c.line(r, now); l != nil {
		l.leave(r.ID)
	}
	c.unsettled.Begin(r.ID)
}
