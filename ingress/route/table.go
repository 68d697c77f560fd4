// Package route selects upstreams for requests and protects them from overload with
// limits per customer, bounded queues, retry budgets, hedging and outlier ejection.
package route

import (
	"slices"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/wire"
)

const (
	// takeoverGrace is how long upstreams that a new shard owner has not listed yet stay
	// in use. Agents announce themselves to a new owner within this time.
	takeoverGrace = 10 * time.Second
	// drainNoticeTTL is how long a drain reported by the agent itself is remembered. The
	// membership list or the agent's next rejection renews it.
	drainNoticeTTL = 5 * time.Second
)

// Table is the routing table of an entry, built from the membership lists of all
// shards. It is safe for concurrent use.
type Table struct {
	picker *Picker

	// updateMu serializes changes of the lists, including the loads that the picker retains.
	updateMu sync.Mutex
	// mu is acquired while the picker's lock is held, so it must not be held during calls
	// of the picker; that would deadlock.
	mu        sync.RWMutex
	shards    map[string]shardMembers
	byService map[string][]wire.Upstream
	draining  map[Key]time.Time
	// evacuated are the zones under evacuation.
	evacuated []string
}

// shardMembers is the membership list of a shard. previous is the list of the previous
// owner, used until previousUntil.
type shardMembers struct {
	list          wire.Members
	previous      []wire.Upstream
	previousUntil time.Time
}

// NewTable returns an empty table for an entry in the availability zone.
func NewTable(zone string, seed uint64) *Table {
	return &Table{picker: NewPicker(zone, seed), shards: make(map[string]shardMembers),
		byService: make(map[string][]wire.Upstream), draining: make(map[Key]time.Time)}
}

// Apply replaces the list of a shard unless m is not newer than the current one. A new
// owner starts with an empty list; upstreams of the previous owner stay in use until
// they are listed, restarted, or takeoverGrace has passed.
func (t *Table) Apply(m wire.Members) bool {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	listed := t.replace(m)
	if listed == nil {
		return false
	}
	t.picker.Retain(listed)
	return true
}

// replace sets the list of a shard and returns all upstreams listed afterwards, or nil
// when m is not newer than the current list.
func (t *Table) replace(m wire.Members) map[Key]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	old := t.shards[m.Digest.Shard]
	d := old.list.Digest
	if m.Digest.Epoch < d.Epoch || (m.Digest.Epoch == d.Epoch && m.Digest.Version <= d.Version) {
		return nil
	}
	next := shardMembers{list: m, previous: old.previous, previousUntil: old.previousUntil}
	if m.Digest.Epoch > d.Epoch && len(old.list.Upstreams) > 0 {
		next.previous, next.previousUntil = old.list.Upstreams, now.Add(takeoverGrace)
		time.AfterFunc(takeoverGrace, t.refresh)
	}
	t.shards[m.Digest.Shard] = next
	return t.rebuild(now)
}

func (t *Table) refresh() {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	t.mu.Lock()
	listed := t.rebuild(time.Now())
	t.mu.Unlock()
	t.picker.Retain(listed)
}

// rebuild recomputes the upstreams of each service and returns every listed upstream.
// Slices already returned to readers are not modified.
func (t *Table) rebuild(now time.Time) map[Key]bool {
	t.byService = make(map[string][]wire.Upstream)
	listed := make(map[Key]bool)
	vms := make(map[string]bool)
	for _, s := range t.shards {
		for _, u := range s.list.Upstreams {
			vms[u.VM], listed[KeyOf(&u)] = true, true
			t.byService[u.Service] = append(t.byService[u.Service], u)
		}
	}
	for id, s := range t.shards {
		if !now.Before(s.previousUntil) {
			s.previous = nil
			t.shards[id] = s
		}
		for _, u := range s.previous {
			if !vms[u.VM] {
				listed[KeyOf(&u)] = true
				t.byService[u.Service] = append(t.byService[u.Service], u)
			}
		}
	}
	for k, at := range t.draining {
		if now.Sub(at) > drainNoticeTTL {
			delete(t.draining, k)
		}
	}
	return listed
}

// Digest returns the digest of a shard's list.
func (t *Table) Digest(shard string) wire.ShardDigest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.shards[shard].list.Digest
}

// Upstreams returns the upstreams of all services.
func (t *Table) Upstreams() []wire.Upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []wire.Upstream
	for _, list := range t.byService {
		out = append(out, list...)
	}
	return out
}

// ForService returns the members that serve a service. The caller must not modify the slice.
func (t *Table) ForService(service string) []wire.Upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byService[service]
}

// SetDraining records a drain, or its end, that an upstream reported to this entry
// itself. It applies until the membership list shows it.
func (t *Table) SetDraining(k Key, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if draining {
		t.draining[k] = time.Now()
	} else {
		delete(t.draining, k)
	}
}

// SetEvacuated sets the zones under evacuation, whose upstreams get no requests.
func (t *Table) SetEvacuated(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = zones
}

// Draining reports whether u gets no new requests: it is draining according to the membership list
// or its own report, or its zone is under evacuation.
func (t *Table) Draining(u *wire.Upstream) bool {
	if u.Draining {
		return true
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if slices.Contains(t.evacuated, u.Zone) {
		return true
	}
	if len(t.draining) == 0 {
		return false
	}
	at, ok := t.draining[KeyOf(u)]
	return ok && time.Since(at) < drainNoticeTTL
}

// Pick chooses the least loaded upstream of the service that is not draining and
// for which skip returns false; see Picker.Pick.
func (t *Table) Pick(service string, skip func(*wire.Upstream) bool) (wire.Upstream, int, PickResult) {
	return t.picker.Pick(t.ForService(service), func(u *wire.Upstream) bool { return t.Draining(u) || skip(u) }, time.Now())
}

// Done ends a request counted by Pick; see Picker.Done.
func (t *Table) Done(u *wire.Upstream, free int) { t.picker.Done(u, free, time.Now()) }
