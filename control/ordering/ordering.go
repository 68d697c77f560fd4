// Package ordering decides the order in which pending steps are assigned executors.
package ordering

import "time"

// PendingStep is a step whose tasks are ready to start.
type PendingStep struct {
	// Priority 0 is the highest.
	Priority int
	// SoftDeadline is when the submission has to be complete to be on time, HardDeadline when its
	// result loses all value. Both are on any common clock.
	SoftDeadline, HardDeadline time.Duration
	// RemainingPath is the estimated run time of the remaining critical path.
	RemainingPath time.Duration
	// Work is the estimated remaining work in processor seconds.
	Work float64
	// Arrived breaks ties.
	Arrived time.Duration
	ID      string
}

// Timeliness is the best outcome that a submission can still reach.
type Timeliness uint8

// Timeliness values, in the order in which steps of one priority are assigned executors.
const (
	OnTime Timeliness = iota
	Late
	Expired
)

// HardDeadlineFactor is the multiple of its objective up to which a late submission is still useful.
const HardDeadlineFactor = 3

// Timeliness returns the outcome that can be reached, and the slack for it.
func (w *PendingStep) Timeliness(now time.Duration) (Timeliness, time.Duration) {
	if slack := w.SoftDeadline - w.RemainingPath - now; slack >= 0 {
		return OnTime, slack
	}
	if slack := w.HardDeadline - w.RemainingPath - now; slack >= 0 {
		return Late, slack
	}
	return Expired, 0
}

// Less reports whether a is assigned executors before b. Within a priority, steps that can still
// be on time go first, shortest remaining work first: under overload this completes more
// submissions on time than least slack first, which starts all of them at the last moment. A step
// that waits too long becomes late and is ordered by slack behind those on time, so that it does
// not delay them. Steps past their hard deadline come last, the oldest first.
func Less(a, b *PendingStep, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	ap, as := a.Timeliness(now)
	bp, bs := b.Timeliness(now)
	if ap != bp {
		return ap < bp
	}
	if ap == OnTime && a.Work != b.Work {
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
