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
	// Renewals is incremented by every renewal, so that observers see the row change.
	Renewals uint64
	// Members are the registered entries from which the owner requests extensions in a store outage.
	Members []string
	// ReassignDelayMS is the remaining time during which tasks of unreachable VMs must not be
	// reassigned, because a previous owner may still extend its lease without asking this one.
	ReassignDelayMS int64
}

// Key prefixes in the table service.
const (
	LeasePrefix = "shard/"
	epochPrefix = "shard-epoch/"
)

// Timing of the shard manager.
const (
	// scanInterval separates full scans of the lease rows and registrations.
	scanInterval = 30 * time.Second
	// probeInterval separates reads of the rows of shards that are suspected to have no owner.
	probeInterval = time.Second
	// digestTimeout is how long an entry may send no digest before its shards are suspected.
	// Digests are sent every 8 s.
	digestTimeout = 10 * time.Second
	// suspectDuration is how long a suspected shard's row is read every probeInterval.
	suspectDuration = 20 * time.Second
	// renewRetry is the delay before a failed renewal is retried.
	renewRetry = time.Second
	// balanceInterval separates hand-overs of shards to entries that own fewer.
	balanceInterval = 15 * time.Second
	// stepInterval is the period of the manager's main loop.
	stepInterval = 250 * time.Millisecond
)

// ForVM returns the id of the shard to which a VM belongs.
func ForVM(zone, vm string, shardsPerZone int) string {
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
	// Scheduler configures the scheduler of every owner.
	Scheduler scheduler.Config
	// Follower is told of renewed registrations and lease extensions, and supplies the generations
	// for the registration; nil outside an entry.
	Follower *confsync.Follower
	// ExtensionGrants are the lease extensions granted by this entry; nil creates an empty set.
	ExtensionGrants *lease.ExtensionGrants
	// RequestExtension requests a lease extension from another entry; nil means that no other entry is reachable.
	RequestExtension func(ctx context.Context, member string) bool
	// OnEntries is called with the other registered entries after each scan.
	OnEntries func([]confsync.Registration)
	// OnAcquired is called after a shard was acquired and loaded, before its owner runs.
	OnAcquired func(*Owner)
	OnMembers  func(wire.Members)
	OnEvict    func(cause errkind.Kind)
	// OnReleased is called after a shard was handed over, so that other entries can be notified at once.
	OnReleased func()
}

// Manager acquires, renews and releases shard leases and runs the shard owners. It also maintains the
// entry's registration, which is renewed in the same transaction as the leases.
type Manager struct {
	cfg           ManagerConfig
	renewWriter   *store.Writer
	acquireWriter *store.Writer
	committer     *Committer
	renewNow      chan struct{}
	renewLock     chan struct{}

	mu                  sync.Mutex
	owned               map[string]*ownedShard
	rows                map[string]*knownRow
	wanted              map[string]bool
	lastDigest          map[string]time.Duration
	entries             map[string]*knownEntry
	registration        confsync.Registration
	registrationVersion uint64
	registrationLease   lease.ExtendableLease
	stopping            bool
	released            bool
	rescan              bool
	// nextBalance is the earliest time of the next hand-over.
	nextBalance time.Duration
	probe       probeResult
	wg          sync.WaitGroup
}

// knownRow is a lease row as last read from the store.
type knownRow struct {
	row           LeaseRow
	version       uint64
	observation   lease.Observation
	suspectUntil  time.Duration
	availableFrom time.Duration
}

// knownEntry is the registration of another entry as last read from the store.
type knownEntry struct {
	reg         confsync.Registration
	version     uint64
	observation lease.Observation
}

type ownedShard struct {
	owner   *Owner
	row     LeaseRow
	version uint64
	lease   lease.ExtendableLease
	// members are all entries listed in row versions that may be in the store.
	members map[string]bool
	// reassignAfter is the time on this entry's clock until which LeaseRow.ReassignDelayMS applies.
	reassignAfter time.Duration
	loaded        bool
	// releasing is set before the write that marks the row free is sent. That write may take effect long before its reply.
	releasing bool
	cancel    context.CancelFunc
	finished  chan struct{}
}

func (s *ownedShard) valid(now time.Duration) bool { return !s.releasing && s.lease.Valid(now) }

// NewManager returns a manager that owns no shards.
func NewManager(cfg ManagerConfig) *Manager {
	if cfg.ExtensionGrants == nil {
		cfg.ExtensionGrants = lease.NewExtensionGrants()
	}
	if cfg.Follower == nil {
		cfg.Follower = confsync.NewFollower(cfg.Table, cfg.Clock)
	}
	return &Manager{
		cfg: cfg, renewWriter: store.NewWriter(cfg.Table, cfg.Entry+"/lease"), acquireWriter: store.NewWriter(cfg.Table, cfg.Entry+"/acquire"),
		committer: NewCommitter(cfg.Table, store.NewWriter(cfg.Table, cfg.Entry+"/commit"), cfg.Clock, cfg.Log),
		probe:     probeResult{lock: make(chan struct{}, 1)}, renewNow: make(chan struct{}, 1), renewLock: make(chan struct{}, 1), owned: make(map[string]*ownedShard), rows: make(map[string]*knownRow),
		wanted: make(map[string]bool), lastDigest: make(map[string]time.Duration), entries: make(map[string]*knownEntry),
		registration:      confsync.Registration{ID: cfg.Entry, Addr: cfg.Addr, Zone: cfg.Zone, Incarnation: cfg.Incarnation},
		registrationLease: lease.ExtendableLease{TTL: confsync.LeaseTTL},
	}
}

// Run maintains the registration and the leases until ctx ends. It does not release them; see Release.
func (m *Manager) Run(ctx context.Context) {
	for _, loop := range []func(context.Context){m.renewLoop, m.extensionLoop, m.committer.Run} {
		m.wg.Add(1)
		go func() { defer m.wg.Done(); loop(ctx) }()
	}
	var nextScan, nextProbe time.Duration
	for ctx.Err() == nil {
		now := m.cfg.Clock.Now()
		if now >= nextScan || m.consumeRescan() {
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
		if id, ok := m.shardToHandOver(now); ok {
			if err := m.handOver(ctx, id); err != nil {
				m.cfg.Log.Warn().Err(err).Str("shard", id).Msg("failed to hand over shard")
			}
		}
		sleep(ctx, stepInterval)
	}
	m.mu.Lock()
	for _, s := range m.owned {
		s.cancel()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// EnsureOwned asks the manager to acquire the shard if it has no owner.
func (m *Manager) EnsureOwned(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanted[id] = true
}

// Suspect asks the manager to read the shard's lease row soon, because its owner does not respond.
func (m *Manager) Suspect(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.rows[id]; ok {
		k.suspectUntil = m.cfg.Clock.Now() + suspectDuration
	}
}

// DigestReceived records a digest from another entry, which shows that it is alive and owns the listed shards.
func (m *Manager) DigestReceived(entry string, shards []wire.ShardDigest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	m.lastDigest[entry] = now
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
			// The row's version is read once the shard is suspected.
			*k = knownRow{row: LeaseRow{Owner: entry, Addr: known.reg.Addr, Epoch: d.Epoch}}
		}
	}
	for id, k := range m.rows {
		if k.row.Owner == entry && !listed[id] {
			k.suspectUntil = now + suspectDuration
		}
	}
}

// EntryDisconnected records that the connection to another entry was lost.
func (m *Manager) EntryDisconnected(entry string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.lastDigest, entry)
	for _, k := range m.rows {
		if k.row.Owner == entry {
			k.suspectUntil = m.cfg.Clock.Now() + suspectDuration
		}
	}
}

// Owner returns the owner of a shard that this entry owns and has loaded.
func (m *Manager) Owner(id string) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	if !ok || !s.loaded {
		return nil, false
	}
	return s.owner, true
}

// Owners returns the owners of all shards that this entry owns and has loaded.
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

// Locate returns the last known lease row of a shard. It reports false when the shard has no owner, or is
// owned by this entry but not loaded yet.
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

// valid reports whether this entry currently holds the shard's lease with the given epoch.
func (m *Manager) valid(id string, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	return ok && s.row.Epoch == epoch && s.valid(m.cfg.Clock.Now())
}

func (m *Manager) lostShard(id string, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.owned[id]; ok && s.row.Epoch == epoch {
		m.dropShard(id, s)
	}
}

// dropShard stops the owner of a lost shard. m.mu is held.
func (m *Manager) dropShard(id string, s *ownedShard) {
	delete(m.owned, id)
	s.cancel()
	if k, ok := m.rows[id]; ok {
		k.suspectUntil = m.cfg.Clock.Now() + suspectDuration
	}
	events.ShardLost.Log(m.cfg.Log).Str("shard", id).Uint64("epoch", s.row.Epoch).Send()
}

func (m *Manager) consumeRescan() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rescan
	m.rescan = false
	return r
}

// releaseTimeout bounds how long a planned release waits for commits in flight.
const releaseTimeout = 5 * time.Second

// Release drains every owner, so that commits in flight are resolved and their callers answered, marks
// the lease rows free, so that other entries can take the shards over without waiting, and removes the
// registration.
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
		m.cfg.Log.Warn().Err(err).Msg("failed to release shards")
	}
	for _, s := range owned {
		s.cancel()
		<-s.finished
	}
}

// HoldsLease reports whether this entry holds a valid lease on the shard and has loaded it.
func (m *Manager) HoldsLease(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	return ok && s.loaded && s.valid(m.cfg.Clock.Now())
}

// Digests returns digests of the membership lists of the shards that this entry owns. Shards whose
// lease has expired are omitted, so that other entries suspect them.
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
