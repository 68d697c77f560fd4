package coordinator

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
)

const (
	// maxPassGap is the time between two scheduling passes from which the owner is late: its process was suspended or starved, or a pass
	// took long.
	maxPassGap = time.Second
	// catchUpTime is how long a late owner takes in what has arrived before it decides again. Messages that wait in the sockets are
	// received in this time.
	catchUpTime = 200 * time.Millisecond
)

// pace tells whether an owner's loop runs in time.
type pace struct {
	// lastPassAt is when the last pass began, 0 before the first.
	lastPassAt time.Duration
	// catchUpUntil is when a late owner decides again.
	catchUpUntil time.Duration
}

// begin records the begin of a pass. It returns the time since the last one if the owner is late, otherwise 0.
func (p *pace) begin(now time.Duration) (late time.Duration) {
	if gap := now - p.lastPassAt; p.lastPassAt != 0 && gap > maxPassGap {
		late, p.catchUpUntil = gap, now+catchUpTime
	}
	p.lastPassAt = now
	return late
}

// catchingUp reports whether the owner was late and has to take in what has arrived before it decides. Without decisions it
// still commits, extends leases and acknowledges.
func (o *owner) catchingUp(now time.Duration) bool { return now < o.pace.catchUpUntil }

// beginPass records the begin of a pass, and logs if it is late.
func (o *owner) beginPass(now time.Duration) {
	if late := o.pace.begin(now); late > 0 {
		o.dispatcher.CountLatePass()
		events.OwnerLate.Log(o.cfg.Log).Uint64("epoch", o.dispatcher.Epoch()).Dur("since_last_pass", late).Send()
	}
}
