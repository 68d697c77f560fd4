// Package placewait decides whether a task or a gang waits for its preferred rack or starts elsewhere at once. It compares
// the expected end there, after the wait for room, with the expected end elsewhere, where the run takes longer. It has no
// state, no clock and no network: the caller asks again whenever room may have changed, and at Decision.Until.
package placewait

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxSpread is the highest relative spread of run time estimates that is assumed, also while a queue's is unknown.
	MaxSpread = 0.9
	// spreadWeight is the share of the spread by which the expected gain of a wait is lowered. In trials with the weight 0.9,
	// work with wrong estimates took more time to its end (docs/design/place-wait.md).
	spreadWeight = 0.5
	// maxDemand is the demand for a rack, as a share of its room, from which its queue counts as one that does not drain.
	// It is above 1 since a demand that was observed over some seconds varies.
	maxDemand = 1.1
	// maxSlowdown bounds the slowdown of an executor in the comparison. Runs are moved off executors that are slower, and
	// the estimate of one that ran a single task varies.
	maxSlowdown = 2.0
	// maxTaken bounds the share of released slots that count as lost for a gang, so that its expected delay stays finite while
	// all slots of the pool are reserved.
	maxTaken = 0.95
)

// Task is a task that is ready to start, or a whole gang.
type Task struct {
	// Width is the number of slots that have to be free at the same time: 1 for a task, the members of a gang.
	Width int
	// Run is the expected run time at the preferred rack on an executor of full speed.
	Run time.Duration
	// Spread is the relative spread of the run times of the queue around their estimates, at most MaxSpread.
	Spread float64
	// RemoteFactor is the ratio of the run time elsewhere to that at the preferred rack.
	RemoteFactor float64
	// ElsewhereSlowdown is the slowdown of the best executor elsewhere, 1 for full speed.
	ElsewhereSlowdown float64
	// Displaced is the share, 0 to 1, of the capacity elsewhere for which other work would have a better use.
	Displaced float64
	// LatestElsewhere is the last time from which the work can be on time when started elsewhere.
	LatestElsewhere time.Duration
	// Waited is how long the task has waited for the rack already.
	Waited time.Duration
}

// Release is a number of slots that are expected to come free.
type Release struct {
	At    time.Duration
	Slots float64
}

// Claim is work of the same or a higher priority that waits before the task for the same rack.
type Claim struct {
	// Slots and Run are those of one task.
	Slots float64
	Run   time.Duration
	// Count is the number of equal tasks in a row. 0 counts as 1.
	Count int
}

// Rack is the preferred rack. A slot is room for one task of the asking step.
type Rack struct {
	// Free is the number of slots that are free now.
	Free float64
	// Releases are in the order of their times.
	Releases []Release
	// Ahead are in the order in which they are served.
	Ahead []Claim
	// Taken is the share, 0 to 1, of the released slots that other work is expected to take while a gang waits for the
	// last of its slots, since a wait reserves nothing. It lengthens the expected delay of gangs.
	Taken float64
	// Slowdown is the slowdown of the rack's executors, 1 for full speed.
	Slowdown float64
	// Demand is the share of the rack's room that the tasks that want it take if all of them run there, by those that
	// arrived recently. What runs there now does not count: remote runs also fill racks that could take all of their own.
	Demand float64
}

// Decision tells whether to wait. There and Elsewhere are the compared times from now to the expected end.
type Decision struct {
	Wait bool
	// Until is the time at which the task starts elsewhere if the rack still has no room.
	Until            time.Duration
	There, Elsewhere time.Duration
	Reason           Reason
}

// Reason is why a task waits or does not.
type Reason uint8

// The reasons.
const (
	// WaitPays: the end at the rack is expected before that elsewhere.
	WaitPays Reason = iota
	// RoomNow: the rack has room now.
	RoomNow
	// NoGain: a run elsewhere takes no longer.
	NoGain
	// ElsewhereSooner: the end elsewhere is expected before that at the rack.
	ElsewhereSooner
	// GainUsedUp: the wait has taken as long as a run elsewhere would lose and take from other work.
	GainUsedUp
	// DeadlineReached: with a later start elsewhere the work would be late.
	DeadlineReached
	// NeverDrains: more tasks want the rack than it can take, for long already.
	NeverDrains
	// NoRack: no executor of the rack could take the task even if it were empty.
	NoRack
)

var reasonNames = [...]string{"wait_pays", "room_now", "no_gain", "elsewhere_sooner", "gain_used_up", "deadline_reached", "never_drains", "no_rack"}

func (r Reason) String() string { return reasonNames[r] }

// Gain returns by how much a run elsewhere is expected to take longer than one at the rack.
func Gain(t Task, r Rack) time.Duration {
	return scale(t.Run, t.RemoteFactor*slowdown(t.ElsewhereSlowdown)) - scale(t.Run, slowdown(r.Slowdown))
}

// MaxWait returns the longest wait for the rack: what the run elsewhere loses itself, and what it takes from other work by
// that. It is at most twice the gain, which is the bound on what a wait in vain costs.
func MaxWait(t Task, r Rack) time.Duration {
	return scale(Gain(t, r), 1+min(max(t.Displaced, 0), 1))
}

// Decide compares the expected ends.
func Decide(t Task, r Rack, now time.Duration) Decision {
	longest := MaxWait(t, r)
	if longest <= 0 {
		return Decision{Reason: NoGain}
	}
	delay, reached := r.delay(t.Width, now, now+longest)
	local := scale(t.Run, slowdown(r.Slowdown))
	d := Decision{There: delay + local, Elsewhere: local + longest}
	until, limit := t.limit(longest, now)
	switch {
	case reached && delay == 0:
		d.Reason = RoomNow
	case until <= now:
		d.Reason = limit
	case r.Demand >= maxDemand:
		d.Reason = NeverDrains
	case !reached || delay >= scale(longest, t.confidence()):
		d.Reason = ElsewhereSooner
	case now+delay > until:
		// The room would come after the decision has reversed, so that the wait can only be in vain.
		d.Reason = limit
	default:
		d.Wait, d.Until = true, until
	}
	return d
}

// limit returns the time at which the decision reverses whatever the expected room, and why it does.
func (t Task) limit(longest, now time.Duration) (time.Duration, Reason) {
	began := now - t.Waited
	until, reason := began+longest, GainUsedUp
	// Work that could not be on time elsewhere when it became ready loses nothing at that point.
	if t.LatestElsewhere > began && t.LatestElsewhere < until {
		until, reason = t.LatestElsewhere, DeadlineReached
	}
	return until, reason
}

// confidence returns the share of the longest wait that the expected delay may have. The expected loss elsewhere and the
// expected room both depend on the estimates.
func (t Task) confidence() float64 {
	return 1 - spreadWeight*min(max(t.Spread, 0), MaxSpread)
}

// delay returns the time until width slots are free after the work ahead was served, and whether that is before the
// horizon. The work ahead gives its slots back after its run time.
func (r Rack) delay(width int, now, horizon time.Duration) (time.Duration, bool) {
	follow := room{free: r.Free, at: now, horizon: horizon, releases: r.Releases}
	for _, c := range r.Ahead {
		if !follow.serve(c) {
			return horizon - now, false
		}
	}
	if !follow.advance(float64(width)) {
		return horizon - now, false
	}
	wait := follow.at - now
	if width > 1 && wait > 0 {
		wait = scale(wait, 1/(1-min(max(r.Taken, 0), maxTaken)))
	}
	return min(wait, horizon-now), wait < horizon-now
}

// room follows the free slots of a rack up to a horizon.
type room struct {
	free        float64
	at, horizon time.Duration
	// releases are those of the rack, returned those of the work that was served since.
	releases, returned []Release
}

// advance goes on to the time from which a number of slots is free, and reports whether that is before the horizon.
func (r *room) advance(need float64) bool {
	for r.free+slotEpsilon < need {
		from := &r.releases
		if len(r.returned) > 0 && (len(r.releases) == 0 || r.returned[0].At < r.releases[0].At) {
			from = &r.returned
		}
		if len(*from) == 0 || (*from)[0].At >= r.horizon {
			return false
		}
		next := (*from)[0]
		*from = (*from)[1:]
		r.free += next.Slots
		r.at = max(r.at, next.At)
	}
	return true
}

// serve starts the tasks of a claim, as many at a time as there is room for.
func (r *room) serve(c Claim) bool {
	for left := max(1, c.Count); left > 0; {
		if !r.advance(c.Slots) {
			return false
		}
		n := left
		if c.Slots > 0 {
			n = int(min(float64(left), max(1, (r.free+slotEpsilon)/c.Slots)))
		}
		taken := float64(n) * c.Slots
		r.free -= taken
		r.returned = insert(r.returned, Release{r.at + c.Run, taken})
		left -= n
	}
	return true
}

// slotEpsilon absorbs the rounding of fractions of slots.
const slotEpsilon = 1e-6

// insert adds a release in the order of times.
func insert(releases []Release, r Release) []Release {
	i, _ := slices.BinarySearchFunc(releases, r.At, func(x Release, at time.Duration) int {
		if x.At <= at {
			return -1
		}
		return 1
	})
	return slices.Insert(releases, i, r)
}

func slowdown(s float64) float64 { return min(max(1, s), maxSlowdown) }

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(min(float64(d)*f, math.MaxInt64/4))
}
