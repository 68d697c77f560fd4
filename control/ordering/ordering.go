// Package ordering decides in which order steps that wait get their executors.
package ordering

import "time"

// Waiting is a step whose tasks may start.
type Waiting struct {
	// Priority 0 comes first.
	Priority int
	// Due is when the submission has to be complete to be in time, LateDue when it
	// has to be complete to be worth anything. Both are on any common clock.
	Due, LateDue time.Duration
	// Remaining is the estimated time of the longest chain of work that is left.
	Remaining time.Duration
	// Work is the estimated work that is left, in processor seconds.
	Work float64
	// Arrived breaks ties.
	Arrived time.Duration
	ID      string
}

// prospect is what a submission can still reach.
type prospect uint8

const (
	inTime prospect = iota
	late
	worthless
)

// prospect returns what can be reached, and the slack that is left for it.
func (w *Waiting) prospect(now time.Duration) (prospect, time.Duration) {
	if slack := w.Due - w.Remaining - now; slack >= 0 {
		return inTime, slack
	}
	if slack := w.LateDue - w.Remaining - now; slack >= 0 {
		return late, slack
	}
	return worthless, 0
}

// Less reports whether a gets its executors before b. Within a priority, what can
// still be in time goes first, the least work before the rest: under overload
// more submissions are in time than by slack, which makes all of them start at
// the last moment. What would wait too long becomes late, and goes by its slack
// after the others, so that it does not make them late. Work that is late beyond
// use comes last, the oldest first.
func Less(a, b *Waiting, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	ap, as := a.prospect(now)
	bp, bs := b.prospect(now)
	if ap != bp {
		return ap < bp
	}
	if ap == inTime && a.Work != b.Work {
		return a.Work < b.Work
	}
	if as != bs {
		return as < bs
	}
	if a.Arrived != b.Arrived {
		return a.Arrived < b.Arrived
	}
	return a.ID < b.ID
}
