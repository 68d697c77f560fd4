// Package ordering decides in which order steps that wait get their executors.
package ordering

import "time"

// PendingStep is a step whose tasks may start.
type PendingStep struct {
	// Priority 0 comes first.
	Priority int
	// SoftDeadline is when the submission has to be complete to be in time, LateDue when it
	// has to be complete to be worth anything. Both are on any common clock.
	SoftDeadline, HardDeadline time.Duration
	// RemainingPath is the estimated time of the longest chain of work that is left.
	RemainingPath time.Duration
	// Work is the estimated work that is left, in processor seconds.
	Work float64
	// Arrived breaks ties.
	Arrived time.Duration
	ID      string
}

// timeliness is what a submission can still reach.
type timeliness uint8

const (
	onTime timeliness = iota
	late
	expired
)

// timeliness returns what can be reached, and the slack that is left for it.
func (w *PendingStep) timeliness(now time.Duration) (timeliness, time.Duration) {
	if slack := w.SoftDeadline - w.RemainingPath - now; slack >= 0 {
		return onTime, slack
	}
	if slack := w.HardDeadline - w.RemainingPath - now; slack >= 0 {
		return late, slack
	}
	return expired, 0
}

// Less reports whether a gets its executors before b. Within a priority, what can
// still be in time goes first, the least work before the rest: under overload
// more submissions are in time than by slack, which makes all of them start at
// the last moment. What would wait too long becomes late, and goes by its slack
// after the others, so that it does not make them late. Work that is late beyond
// use comes last, the oldest first.
func Less(a, b *PendingStep, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	ap, as := a.timeliness(now)
	bp, bs := b.timeliness(now)
	if ap != bp {
		return ap < bp
	}
	if ap == onTime && a.Work != b.Work {
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
