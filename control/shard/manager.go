package shard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// LeaseRow is the value of a shard's lease row, key "shard/<id>".
type LeaseRow struct {
	//lint:ignore U1000 selects the array encoding
	_msgpack struct{} `msgpack:",as_array"`

	// Owner and Addr are empty when the shard is free.
	Owner string
	Addr  string
	Epoch uint64
	// Renewals increases with every renewal, so that the row changes.
	Renewals uint64
	// Members are the registered entries that the owner asks for holds in a store outage.
	Members []string
	// DeferMS is the rest of the time for which tasks of unreachable VMs must not be
	// reassigned, because an earlier owner may still extend its lease by holds.
	DeferMS int64
}

// Key prefixes in the table service.
const (
	LeasePrefix = "shard/"
	epochPrefix = "shard-epoch/"
)

// Timing of the manager.
const (
	// scanInterval separates scans of the lease rows and registrations.
	scanInterval = 30 * time.Second
	// probeInterval separates reads of shards that are suspected to have no owner.
	probeInterval = time.Second
	// silence is how long an entry may send no digest before its shards are suspected.
	// Digests are sent every 8 s.
	silence = 10 * time.Second
	// suspicion is how long a shard is read every probeInterval after a hint.
	suspicion = 20 * time.Second
	// renewRetry separates attempts of a failed renewal.
	renewRetry = time.Second
	// balanceInterval separates hand-overs of shards to entries that own fewer.
	balanceInterval = 15 * time.Second
	// stepInterval separates steps of the manager.
	stepInterval = 250 * time.Millisecond
)

// Of returns the shard of a VM.
func Of(zone, vm string, shardsPerZone int) string {
	return fmt.Sprintf("%s-%d", zone, xxhash.Sum64String(vm)%uint64(max(shardsPerZone, 1)))
}

// ManagerConfig configures the shard manager of an entry.
type ManagerConfig struct {
	Entry       string
	Addr        string
	Zone        string
	Incarnation uint64
	Table       store.Table
	Clock       clock.Clock
	Recorder    *history.Recorder
	Log         zerolog.Logger
	// Scheduler configures the decisions of every owner.
	Scheduler scheduler.Config
	// Follower receives registrations and holds, and supplies the generations of the
	// registration; nil outside of an entry.
	Follower *confsync.Follower
	// Promises are the holds granted by this entry; nil creates a set.
	Promises *lease.ExtensionGrants
	// AskHold asks another entry for a hold; nil means that no other entry can be reached.
	AskHold func(ctx context.Context, member string) bool
	// OnEntries is called with the other registered entries after they were read.
	OnEntries func([]confsync.Registration)
	// OnOwner is called after a shard was acquired and loaded, before its owner runs.
	OnOwner   func(*Owner)
	OnMembers func(wire.Members)
	OnEvict   func(cause errkind.Kind)
	// OnReleased is called after a shard was handed over, so that the other entries learn of it at once.
	OnReleased func()
}

// Manager acquires, renews and releases shard leases and runs their owners. It
// also keeps the entry's registration, which is renewed in the same transaction.
type Manager struct {
	cfg      ManagerConfig
	renewals *store.Writer
	takers   *store.Writer
	commits  *Committer
	renewNow chan struct{}
	renewing chan struct{}

	mu       sync.Mutex
	owned    map[string]*ownedShard
	rows     map[string]*knownRow
	wanted   map[string]bool
	heard    map[string]time.Duration
	entries  map[string]*knownEntry
	own      confsync.Registration
	ownVer   uint64
	regLease lease.ExtendableLease
	stopping bool
	released bool
	rescan   bool
	// nextBalance is the earliest time of the next hand-over.
	nextBalance time.Duration
	probe       probeResult
	wg          sync.WaitGroup
}

// knownRow is a lease row as last read.
type knownRow struct {
	row      LeaseRow
	version  uint64
	obs      lease.Observation
	suspect  time.Duration
	freeFrom time.Duration
}

// knownEntry is the registration of another entry as last read.
type knownEntry struct {
	reg     confsync.Registration
	version uint64
	obs     lease.Observation
}

type ownedShard struct {
	owner   *Owner
	row     LeaseRow
	version uint64
	lease   lease.ExtendableLease
	// members are all entries listed in rows that may be in the table.
	members map[string]bool
	// reassignAfter is the end of the deferral of LeaseRow.DeferMS on this entry's clock.
	reassignAfter time.Duration
	loaded        bool
	stop          context.CancelFunc
	finished      chan struct{}
}

// NewManager returns a manager that owns nothing.
func NewManager(cfg ManagerConfig) *Manager {
	if cfg.Promises == nil {
		cfg.Promises = lease.NewExtensionGrants()
	}
	if cfg.Follower == nil {
		cfg.Follower = confsync.NewFollower(cfg.Table, cfg.Clock)
	}
	return &Manager{
		cfg: cfg, renewals: store.NewWriter(cfg.Table, cfg.Entry+"/lease"), takers: store.NewWriter(cfg.Table, cfg.Entry+"/acquire"),
		commits: NewCommitter(cfg.Table, store.NewWriter(cfg.Table, cfg.Entry+"/commit"), cfg.Clock, cfg.Log),
		probe:   probeResult{turn: make(chan struct{}, 1)}, renewNow: make(chan struct{}, 1), renewing: make(chan struct{}, 1), owned: make(map[string]*ownedShard), rows: make(map[string]*knownRow),
		wanted: make(map[string]bool), heard: make(map[string]time.Duration), entries: make(map[string]*knownEntry),
		own:      confsync.Registration{ID: cfg.Entry, Addr: cfg.Addr, Zone: cfg.Zone, Incarnation: cfg.Incarnation},
		regLease: lease.ExtendableLease{TTL: confsync.LeaseTTL},
	}
}

// Run maintains the registration and the leases until ctx ends. It does not release them; see Release.
func (m *Manager) Run(ctx context.Context) {
	for _, loop := range []func(context.Context){m.renewLoop, m.holdLoop, m.commits.Run} {
		m.wg.Add(1)
		go func() { defer m.wg.Done(); loop(ctx) }()
	}
	var nextScan, nextProbe time.Duration
	for ctx.Err() == nil {
		now := m.cfg.Clock.Now()
		if now >= nextScan || m.takeRescan() {
			if m.scan(ctx) == nil {
				nextScan = now + scanInterval
			} else {
				nextScan = now + probeInterval
			}
		}
		if now >= nextProbe {
			m.probeSuspects(ctx)
			nextProbe = now + probeInterval
		}
		m.acquireDue(ctx)
		if id, ok := m.surplus(now); ok {
			if err := m.handOver(ctx, id); err != nil {
				m.cfg.Log.Warn().Err(err).Str("shard", id).Msg("hand shard over")
			}
		}
		sleep(ctx, stepInterval)
	}
	m.mu.Lock()
	for _, s := range m.owned {
		s.stop()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// Want asks the manager to acquire the shard if it has no owner.
func (m *Manager) Want(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted[id] = true
}

// Suspect asks the manager to read the shard's row soon, because its owner does not answer.
func (m *Manager) Suspect(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.rows[id]; ok {
		k.suspect = m.cfg.Clock.Now() + suspicion
	}
}

// Heard records a digest of another entry: it is alive and owns these shards.
func (m *Manager) Heard(entry string, shards []wire.ShardDigest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	m.heard[entry] = now
	known, registered := m.entries[entry]
	if !registered {
		m.rescan = true
	}
	listed := make(map[string]bool, len(shards))
	for _, d := range shards {
		listed[d.Shard] = true
		k, ok := m.rows[d.Shard]
		if !ok {
			k = &knownRow{}
			m.rows[d.Shard] = k
		}
		if d.Epoch > k.row.Epoch && registered {
			// The version is read when the shard is suspected.
			*k = knownRow{row: LeaseRow{Owner: entry, Addr: known.reg.Addr, Epoch: d.Epoch}}
		}
	}
	for id, k := range m.rows {
		if k.row.Owner == entry && !listed[id] {
			k.suspect = now + suspicion
		}
	}
}

// Gone records that the connection to another entry has broken.
func (m *Manager) Gone(entry string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heard, entry)
	for _, k := range m.rows {
		if k.row.Owner == entry {
			k.suspect = m.cfg.Clock.Now() + suspicion
		}
	}
}

// Owner returns the owner of a shard held by this entry.
func (m *Manager) Owner(id string) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	if !ok || !s.loaded {
		return nil, false
	}
	return s.owner, true
}

// Owners returns the owners of all shards held by this entry.
func (m *Manager) Owners() []*Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*Owner, 0, len(m.owned))
	for _, s := range m.owned {
		if s.loaded {
			out = append(out, s.owner)
		}
	}
	return out
}

// Locate returns the last known lease row of a shard.
func (m *Manager) Locate(id string) (LeaseRow, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.owned[id]; ok {
		return s.row, s.loaded
	}
	k, ok := m.rows[id]
	if !ok {
		return LeaseRow{}, false
	}
	return k.row, k.row.Owner != ""
}

// Shards returns the ids of all known shards.
func (m *Manager) Shards() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.rows))
	for id := range m.rows {
		out = append(out, id)
	}
	for id := range m.owned {
		if _, ok := m.rows[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}

// valid reports whether the lease with the epoch is held at this moment.
func (m *Manager) valid(id string, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	return ok && s.row.Epoch == epoch && s.lease.Valid(m.cfg.Clock.Now())
}

func (m *Manager) lostShard(id string, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.owned[id]; ok && s.row.Epoch == epoch {
		m.drop(id, s)
	}
}

// drop stops the owner of a lost shard. m.mu is held.
func (m *Manager) drop(id string, s *ownedShard) {
	delete(m.owned, id)
	s.stop()
	if k, ok := m.rows[id]; ok {
		k.suspect = m.cfg.Clock.Now() + suspicion
	}
	events.ShardLost.Log(m.cfg.Log).Str("shard", id).Uint64("epoch", s.row.Epoch).Send()
}

func (m *Manager) takeRescan() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rescan
	m.rescan = false
	return r
}

// releaseTimeout bounds how long a planned stop waits for commits in flight.
const releaseTimeout = 5 * time.Second

// Release stops every owner after its commits in flight are resolved and their
// callers answered, marks its lease row free, so that another entry can take the
// shard over without waiting, and removes the registration.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	owned := make(map[string]*ownedShard, len(m.owned))
	for id, s := range m.owned {
		owned[id] = s
	}
	m.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range owned {
		wg.Add(1)
		go func() { defer wg.Done(); s.owner.Drain(drainCtx) }()
	}
	wg.Wait()
	if err := m.renew(ctx, true); err != nil {
		m.cfg.Log.Warn().Err(err).Msg("release shards")
	}
	for _, s := range owned {
		s.stop()
		<-s.finished
	}
}

// Holds reports whether this entry holds a valid lease on the shard and has loaded it.
func (m *Manager) Holds(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	return ok && s.loaded && s.lease.Valid(m.cfg.Clock.Now())
}

// Digests summarises the membership lists of the shards that this entry holds. A
// shard whose lease has lapsed is left out, so that other entries suspect it.
func (m *Manager) Digests(ctx context.Context) []wire.ShardDigest {
	var out []wire.ShardDigest
	for _, o := range m.Owners() {
		if !o.cfg.Valid() {
			continue
		}
		var d wire.ShardDigest
		if o.Do(ctx, func() { d = o.Members().Digest }) == nil {
			out = append(out, d)
		}
	}
	return out
}
