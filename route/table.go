// Package route chooses upstreams for requests and protects them: limits for
// each customer, bounded queues, retry budgets, hedging and outlier ejection.
package route

import (
	"math/rand/v2"
	"sync"

	"github.com/chicorystand/chicorystand/wire"
)

// Table is the routing table of an entry, built from the membership lists of all
// shards. It is safe for concurrent use.
type Table struct {
	zone string

	mu     sync.Mutex
	rand   *rand.Rand
	shards map[string]wire.Members
	load   map[string]*load
}

// load is what an entry knows about an upstream from its own traffic.
type load struct {
	inFlight int
	free     int
	known    bool
}

// NewTable returns an empty table of an entry in the availability zone.
func NewTable(zone string, seed uint64) *Table {
	return &Table{zone: zone, rand: rand.New(rand.NewPCG(seed, 0)), shards: make(map[string]wire.Members), load: make(map[string]*load)}
}

// Apply replaces the list of a shard unless it is older than the known one.
func (t *Table) Apply(m wire.Members) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.shards[m.Digest.Shard].Digest
	if m.Digest.Epoch < old.Epoch || (m.Digest.Epoch == old.Epoch && m.Digest.Version <= old.Version) {
		return false
	}
	t.shards[m.Digest.Shard] = m
	return true
}

// Known returns the digest of a shard's list.
func (t *Table) Known(shard string) wire.ShardDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shards[shard].Digest
}

// Upstreams returns all members.
func (t *Table) Upstreams() []wire.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.Upstream
	for _, m := range t.shards {
		out = append(out, m.Upstreams...)
	}
	return out
}

// Pick chooses the least loaded upstream of the service that is not excluded and
// counts a request on it. Upstreams in the entry's own zone win ties.
func (t *Table) Pick(service string, exclude map[string]bool) (wire.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best wire.Upstream
	bestScore, found := 0.0, false
	for _, m := range t.shards {
		for _, u := range m.Upstreams {
			if u.Service != service || u.Draining || exclude[u.VM] {
				continue
			}
			if score := t.score(u); !found || score < bestScore {
				best, bestScore, found = u, score, true
			}
		}
	}
	if found {
		t.loadOf(best.VM).inFlight++
	}
	return best, found
}

// zonePenalty is the load difference at which another zone becomes preferable.
const zonePenalty = 0.25

func (t *Table) score(u wire.Upstream) float64 {
	l := t.loadOf(u.VM)
	used := float64(l.inFlight)
	if l.known {
		used = max(used, float64(int(u.Slots)-l.free))
	}
	score := used/float64(max(u.Slots, 1)) + t.rand.Float64()*0.01
	if u.Zone != t.zone {
		score += zonePenalty
	}
	return score
}

func (t *Table) loadOf(vm string) *load {
	l, ok := t.load[vm]
	if !ok {
		l = &load{}
		t.load[vm] = l
	}
	return l
}

// Done ends a request counted by Pick. free is the number of free slots that the
// agent reported, or -1 when it is not known.
func (t *Table) Done(vm string, free int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.loadOf(vm)
	l.inFlight--
	if free >= 0 {
		l.free, l.known = free, true
	}
}
