package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/vm/executor"
)

const (
	// startMargin is how long before the earliest bound of a start input the last run may begin.
	startMargin = 500 * time.Millisecond
	// minStartWindow is the time that a new decision needs until its run begins: a commit and an
	// order, with a slow store. Nothing is placed when less is left.
	minStartWindow = time.Second
)

// startInput is something that others may change and that forbids the start of a run. The owner learns of a change some time after
// it was acknowledged, and has to have stopped starting runs against it within a bound of that time.
type startInput struct {
	// name is the name of the input in logs.
	name string
	// asOf is the time as of which all changes are known, 0 while nothing is.
	asOf time.Duration
	// bound is how long after a change was acknowledged a run may still begin, 0 for an input that limits no start.
	bound time.Duration
}

// limit returns the time until which a run may begin by what is known of the input: it may have changed right after it was last known.
func (i startInput) limit() time.Duration {
	if i.asOf == 0 {
		return 0
	}
	return i.asOf + i.bound - startMargin
}

// startInputs returns all inputs that limit starts. A manifest is not among them: each one that was ever in force may be followed.
func (o *Owner) startInputs() []startInput {
	var inputs []startInput
	for _, i := range [...]startInput{{"evacuations", o.evacuations.AsOf, o.bounds.Evacuation}, {"cancellations", o.cancellationsAsOf, o.bounds.Cancel}} {
		if i.bound > 0 {
			inputs = append(inputs, i)
		}
	}
	return inputs
}

// oldestInput returns the input with the earliest limit. ok is false where nothing limits starts.
func (o *Owner) oldestInput() (oldest startInput, ok bool) {
	for _, i := range o.startInputs() {
		if !ok || i.limit() < oldest.limit() {
			oldest, ok = i, true
		}
	}
	return oldest, ok
}

// mayStart reports whether all start inputs are known recently enough to start runs. An owner that has just started, or was cut
// off or suspended, waits until it has read them again. Every decision that leads to a start depends on it, and the deadline
// of each order on the same limit.
func (o *Owner) mayStart(now time.Duration) bool {
	oldest, limited := o.oldestInput()
	return !limited || now+minStartWindow <= oldest.limit()
}

// MaxInputAge returns the age of the cancellations up to which runs may start, 0 for any.
func (b *Bounds) MaxInputAge() time.Duration {
	if b.Cancel == 0 {
		return 0
	}
	return max(0, b.Cancel-startMargin-minStartWindow)
}

// SetCancellationsAsOf records that all cancellations that were acknowledged before a time have been passed to Cancel.
func (o *Owner) SetCancellationsAsOf(at time.Duration) {
	o.cancellationsAsOf = max(o.cancellationsAsOf, at)
}

// startDeadline returns the latest time at which a run may begin on the node, in milliseconds on
// the executor's clock, 0 for no limit but the lease. It holds however late the order is executed:
// the executor's clock may be slow, but not fast.
func (o *Owner) startDeadline(n *node) int64 {
	oldest, limited := o.oldestInput()
	if !limited {
		return 0
	}
	left := time.Duration(float64(oldest.limit()-n.clockAt) * executor.MinClockRate)
	return n.clock + left.Milliseconds()
}

// holdPlacement logs when placing stops because a start input is not known, and when it goes on.
func (o *Owner) holdPlacement(held bool, now time.Duration) {
	if held == o.placementHeld {
		return
	}
	o.placementHeld = held
	if !held {
		o.placementChanged = true
		events.PlacementResumed.Log(o.log).Strs("evacuated", o.evacuations.Zones.Names()).Dur("held", now-o.placementHeldAt).Send()
		return
	}
	o.placementHeldAt = now
	oldest, _ := o.oldestInput()
	age := time.Duration(0)
	if oldest.asOf != 0 {
		age = now - oldest.asOf
	}
	events.PlacementHeld.Log(o.log).Str("input", oldest.name).Dur("age", age).Send()
}
