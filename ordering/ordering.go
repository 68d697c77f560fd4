// Package ordering decides in which order steps that wait get their executors.
package ordering

import "time"

// Waiting is a step whose tasks may start.
type Waiting struct {
	// Priority 0 comes first.
	Priority int
	// Due is when the submission has to be complete, on any common clock.
	Due time.Duration
	// Remaining is the estimated time of the longest chain of work that is left.
	Remaining time.Duration
	// Arrived breaks ties.
	Arrived time.Duration
	ID      string
}

// slack is the time that the step can wait and still be in time.
func (w *Waiting) slack(now time.Duration) time.Duration { return w.Due - w.Remaining - now }

// Less reports whether a gets its executors before b. Within a priority, work
// that can still be in time goes by its slack; work that is late already comes
// after it, the oldest first, so that it does not make others late.
func Less(a, b *Waiting, now time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	as, bs := a.slack(now), b.slack(now)
	if (as < 0) != (bs < 0) {
		return bs < 0
	}
	if as >= 0 && as != bs {
		return as < bs
	}
	if a.Arrived != b.Arrived {
		return a.Arrived < b.Arrived
	}
	return a.ID < b.ID
}
