package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/wire"
)

// Key identifies one incarnation of an upstream.
type Key struct {
	VM          string
	Incarnation uint64
}

// KeyOf returns the key of u.
func KeyOf(u *wire.Upstream) Key { return Key{u.VM, u.Incarnation} }

const (
	// zonePenalty is the load difference above which an upstream in another
	// availability zone is preferred.
	zonePenalty = 0.25
	// otherEntriesLoadTTL is how long an agent's report of slots used by other entries is
	// trusted. After that one extra request is tried per interval.
	otherEntriesLoadTTL = 25 * time.Millisecond
)

// PickResult is the result of Pick.
type PickResult uint8

// Results of Pick.
const (
	// Picked: an upstream was chosen and one of its slots is counted as used.
	Picked PickResult = iota
	// NoFreeSlot: there are eligible upstreams, but none has a free slot.
	NoFreeSlot
	// NoUpstream: there is no eligible upstream.
	NoUpstream
)

// Picker chooses the least loaded upstream with a free slot and prefers its own
// availability zone. It derives the load from its own requests and the free
// slots that agents report. It is safe for concurrent use; the zero value can't be used.
type Picker struct {
	zone string

	mu   sync.Mutex
	rand *rand.Rand
	load map[Key]*load
}

// load is the estimated load of an upstream. usedByOthers is the number of slots that
// other entries use.
type load struct {
	inFlight     int
	usedByOthers int
	reportedAt   time.Time
}

// NewPicker returns a picker for an entry in the availability zone.
func NewPicker(zone string, seed uint64) *Picker {
	return &Picker{zone: zone, rand: rand.New(rand.NewPCG(seed, 0)), load: make(map[Key]*load)}
}

// Pick chooses among the upstreams for which skip returns false. remaining is the
// number of free slots on eligible upstreams after the choice.
func (p *Picker) Pick(upstreams []wire.Upstream, skip func(*wire.Upstream) bool, now time.Time) (chosen wire.Upstream, remaining int, v PickResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v = NoUpstream
	best, bestScore := -1, 0.0
	for i := range upstreams {
		u := &upstreams[i]
		if skip(u) {
			continue
		}
		if v == NoUpstream {
			v = NoFreeSlot
		}
		l := p.loadOf(KeyOf(u))
		used := l.inFlight + l.usedByOthersAt(now)
		if used >= int(u.Slots) {
			continue
		}
		remaining += int(u.Slots) - used
		if score := p.score(u, used); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return wire.Upstream{}, 0, v
	}
	l := p.loadOf(KeyOf(&upstreams[best]))
	l.usedByOthers, l.inFlight = l.usedByOthersAt(now), l.inFlight+1
	if now.Sub(l.reportedAt) > otherEntriesLoadTTL {
		l.reportedAt = now
	}
	return upstreams[best], remaining - 1, Picked
}

func (p *Picker) score(u *wire.Upstream, used int) float64 {
	score := float64(used)/float64(u.Slots) + p.rand.Float64()*0.01
	if u.Zone != p.zone {
		score += zonePenalty
	}
	return score
}

// usedByOthersAt returns the slots used by other entries, less one when the report has expired.
func (l *load) usedByOthersAt(now time.Time) int {
	if l.usedByOthers > 0 && now.Sub(l.reportedAt) > otherEntriesLoadTTL {
		return l.usedByOthers - 1
	}
	return l.usedByOthers
}

func (p *Picker) loadOf(k Key) *load {
	l, ok := p.load[k]
	if !ok {
		l = &load{}
		p.load[k] = l
	}
	return l
}

// Done ends a request counted by Pick. free is the number of free slots that the
// agent reported, or -1 when it is unknown.
func (p *Picker) Done(u *wire.Upstream, free int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loadOf(KeyOf(u))
	l.inFlight--
	if free >= 0 {
		l.usedByOthers, l.reportedAt = max(0, int(u.Slots)-free-l.inFlight), now
	}
}

// Retain drops the load of upstreams that are not listed and have no request in progress.
func (p *Picker) Retain(listed map[Key]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, l := range p.load {
		if !listed[k] && l.inFlight == 0 {
			delete(p.load, k)
		}
	}
}
