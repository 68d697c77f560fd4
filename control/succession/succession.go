// Package succession decides which entry should own the work: how long an entry waits before it takes over, and when
// an owner hands over to a more capable entry.
package succession

import "time"

// Capability is what the machine of an entry has. A value of 0 is unknown.
type Capability struct {
	// CPU is in thousandths of a processor.
	CPU      int64   `msgpack:"c"`
	MemoryMB int64   `msgpack:"m"`
	LinkMbps float64 `msgpack:"l"`
}

// Entry is an entry as the owner knows it.
type Entry struct {
	Name       string
	Capability Capability
	// Connected is how long the owner's connection to the entry has been up without a break, 0 if it is down.
	Connected time.Duration
	// Silent is the time since the entry last answered the owner.
	Silent time.Duration
}

// Situation is the state of the owner.
type Situation struct {
	// Calm is set if no commit is in progress, the store answers, and all reachable executors are settled.
	Calm bool
	// RecentHandOver is set if the ownership was handed over before and no owner has served for HandOverInterval since.
	RecentHandOver bool
	// SinceOwnHandOver is the time since this process last handed over, 0 if it never did.
	SinceOwnHandOver time.Duration
}

const (
	// HandOverInterval is the shortest time between two hand-overs in a deployment.
	HandOverInterval = 30 * time.Second
	// returnInterval is the shortest time between two hand-overs by one process. One that owns the work again has seen its
	// successor fail, and may see that again.
	returnInterval = 2 * time.Minute
	// minConnected is how long an entry must have been connected before it is handed the ownership, so that one that
	// restarts again and again is not.
	minConnected = 5 * time.Second
	// maxSilence is the longest time without an answer from such an entry: two heartbeat intervals of the owner.
	maxSilence = 1500 * time.Millisecond
	// exceedFactor is by how much one resource must be larger in a clearly more capable entry. A hand-over costs as much as
	// a takeover, which small differences do not repay.
	exceedFactor = 2

	// slowLinkMbps is the link speed below which an entry waits although it knows of no more capable one: a new owner reads
	// all unfinished work, which takes seconds on a slow link.
	slowLinkMbps = 50
	// minDelay is longer than the interval at which entries read the owner's row, twice, so that a more capable entry
	// takes a row that was given up first.
	minDelay = 300 * time.Millisecond
	// maxDelay is that and the longest random delay of the others.
	maxDelay = 600 * time.Millisecond
)

// Known reports whether anything is known.
func (c Capability) Known() bool { return c != Capability{} }

// pairs returns the resources of two entries. It returns false if one of them has a resource unknown that the other has known:
// a comparison of the others only would not be transitive.
func pairs(a, b Capability) ([3][2]float64, bool) {
	all := [3][2]float64{{float64(a.CPU), float64(b.CPU)}, {float64(a.MemoryMB), float64(b.MemoryMB)}, {a.LinkMbps, b.LinkMbps}}
	for _, p := range all {
		if (p[0] > 0) != (p[1] > 0) {
			return all, false
		}
	}
	return all, true
}

// Exceeds reports whether c is clearly more capable than other: it has less of nothing and at least twice of
// something. It is a strict partial order, so that hand-overs never lead back.
func (c Capability) Exceeds(other Capability) bool {
	all, comparable := pairs(c, other)
	more := false
	for _, p := range all {
		if p[0] < p[1] {
			return false
		}
		more = more || p[0] > 0 && p[0] >= exceedFactor*p[1]
	}
	return comparable && more
}

// weakestShare returns the smallest part that c has of any of other's resources, at most 1.
func (c Capability) weakestShare(other Capability) float64 {
	all, _ := pairs(c, other)
	share := 1.0
	for _, p := range all {
		if p[1] > 0 {
			share = min(share, p[0]/p[1])
		}
	}
	return share
}

// Strongest returns the capability that exceeds most of the others, and false if none exceeds another.
func Strongest(all []Capability) (Capability, bool) {
	best, most := Capability{}, 0
	for _, c := range all {
		n := 0
		for _, other := range all {
			if c.Exceeds(other) {
				n++
			}
		}
		if n > most || n == most && n > 0 && c.Exceeds(best) {
			best, most = c, n
		}
	}
	return best, most > 0
}

// TakeoverDelay returns how much longer than others an entry waits before it takes over. strongest is the capability of the most capable
// entry, with nothing known where the entries are alike. An entry that it clearly exceeds waits the longer, the less it has.
func TakeoverDelay(self, strongest Capability) time.Duration {
	switch {
	case strongest.Known() && strongest.Exceeds(self):
		missing := 1 - exceedFactor*min(self.weakestShare(strongest), 1.0/exceedFactor)
		return minDelay + time.Duration(missing*float64(maxDelay-minDelay))
	case !strongest.Known() && self.LinkMbps > 0 && self.LinkMbps < slowLinkMbps:
		return minDelay
	}
	return 0
}

// ShouldHandOver returns the most capable entry that the owner should give the ownership up for, if any. The takeover delay lets
// that entry, or one like it, take over before the less capable ones.
func ShouldHandOver(self Capability, others []Entry, s Situation) (Entry, bool) {
	if !s.Calm || s.RecentHandOver || s.SinceOwnHandOver > 0 && s.SinceOwnHandOver < returnInterval {
		return Entry{}, false
	}
	best, found := Entry{Capability: self}, false
	for _, e := range others {
		if e.Connected >= minConnected && e.Silent <= maxSilence && e.Capability.Exceeds(best.Capability) {
			best, found = e, true
		}
	}
	return best, found
}
