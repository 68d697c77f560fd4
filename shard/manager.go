package shard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/clock"
	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
	"github.com/chicorystand/chicorystand/history"
	"github.com/chicorystand/chicorystand/lease"
	"github.com/chicorystand/chicorystand/store"
	"github.com/chicorystand/chicorystand/wire"
)

// LeaseRow is the value of a shard's lease row, key "shard/<id>".
type LeaseRow struct {
	// Owner and Addr are empty when the shard is free.
	Owner string
	Addr  string
	Epoch uint64
	// Renewals increases with every renewal, so that the row changes.
	Renewals uint64
}

// Key prefixes in the table service.
const (
	LeasePrefix = "shard/"
	epochPrefix = "shard-epoch/"
)

// watchInterval separates reads of the lease rows.
const watchInterval = 2 * time.Second

// stepInterval separates steps of the manager.
const stepInterval = 500 * time.Millisecond

// Of returns the shard of a VM.
func Of(zone, vm string, shardsPerZone int) string {
	return fmt.Sprintf("%s-%d", zone, xxhash.Sum64String(vm)%uint64(max(shardsPerZone, 1)))
}

// ManagerConfig configures the shard manager of an entry.
type ManagerConfig struct {
	Entry    string
	Addr     string
	Table    store.Table
	Clock    clock.Clock
	Recorder *history.Recorder
	Log      zerolog.Logger
	// OnOwner is called after a shard was acquired and loaded, before its owner runs.
	OnOwner   func(*Owner)
	OnMembers func(wire.Members)
	OnEvict   func(cause errkind.Kind)
}

// Manager acquires, renews and releases shard leases and runs their owners.
type Manager struct {
	cfg     ManagerConfig
	leases  *store.Writer
	commits *store.Writer

	mu       sync.Mutex
	owned    map[string]*ownedShard
	rows     map[string]knownRow
	wanted   map[string]bool
	stopping bool
	kick     chan struct{}
	wg       sync.WaitGroup
}

type knownRow struct {
	row     LeaseRow
	version uint64
	obs     lease.Observation
}

type ownedShard struct {
	owner    *Owner
	row      LeaseRow
	version  uint64
	until    time.Duration
	nextTry  time.Duration
	stop     context.CancelFunc
	finished chan struct{}
}

// NewManager returns a manager that owns nothing.
func NewManager(cfg ManagerConfig) *Manager {
	return &Manager{
		cfg: cfg, leases: store.NewWriter(cfg.Table, cfg.Entry+"/lease"), commits: store.NewWriter(cfg.Table, cfg.Entry+"/commit"),
		owned: make(map[string]*ownedShard), rows: make(map[string]knownRow), wanted: make(map[string]bool),
		kick: make(chan struct{}, 1),
	}
}

// Run maintains the leases until ctx ends. It does not release them; see Release.
func (m *Manager) Run(ctx context.Context) {
	var nextWatch time.Duration
	for ctx.Err() == nil {
		now := m.cfg.Clock.Now()
		m.renewDue(ctx, now)
		if now >= nextWatch {
			m.watch(ctx)
			nextWatch = now + watchInterval
		}
		m.acquireDue(ctx)
		select {
		case <-ctx.Done():
		case <-m.kick:
			nextWatch = 0
		case <-time.After(stepInterval):
		}
	}
	m.wg.Wait()
}

// Want asks the manager to acquire the shard when it is free.
func (m *Manager) Want(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wanted[id] {
		return
	}
	m.wanted[id] = true
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Owner returns the owner of a shard held by this entry.
func (m *Manager) Owner(id string) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	if !ok {
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
		out = append(out, s.owner)
	}
	return out
}

// Locate returns the last known lease row of a shard.
func (m *Manager) Locate(id string) (LeaseRow, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.owned[id]; ok {
		return s.row, true
	}
	k, ok := m.rows[id]
	return k.row, ok && k.row.Owner != ""
}

// Shards returns the ids of all known shards.
func (m *Manager) Shards() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id := range m.rows {
		out = append(out, id)
	}
	return out
}

// watch reads all lease rows.
func (m *Manager) watch(ctx context.Context) {
	rows, err := m.cfg.Table.Scan(ctx, LeasePrefix, "", scanPage)
	if err != nil {
		return
	}
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		var row LeaseRow
		if err := msgpack.Unmarshal(r.Value, &row); err != nil {
			m.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("decode lease row")
			continue
		}
		id := r.Key[len(LeasePrefix):]
		k := m.rows[id]
		k.row = row
		k.version = r.Version
		if k.obs.Observe(r.Version, now, lease.ShardTTL) || row.Owner == "" {
			m.wanted[id] = true
		}
		m.rows[id] = k
	}
}

// acquireDue tries to acquire wanted shards that are free or whose lease has lapsed.
func (m *Manager) acquireDue(ctx context.Context) {
	for _, id := range m.candidates() {
		if err := m.acquire(ctx, id); err != nil && errkind.Of(err) != errkind.Conflict {
			m.cfg.Log.Warn().Err(err).Str("shard", id).Msg("acquire shard")
		}
	}
}

func (m *Manager) candidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	now := m.cfg.Clock.Now()
	var out []string
	for id := range m.wanted {
		k, known := m.rows[id]
		_, mine := m.owned[id]
		if mine {
			continue
		}
		if !known || k.row.Owner == "" || k.obs.Observe(k.version, now, lease.ShardTTL) {
			out = append(out, id)
		}
	}
	return out
}

// acquire writes the lease row with the next epoch and starts the owner.
func (m *Manager) acquire(ctx context.Context, id string) error {
	m.mu.Lock()
	known := m.rows[id]
	m.mu.Unlock()
	sentAt := m.cfg.Clock.Now()
	row := LeaseRow{Owner: m.cfg.Entry, Addr: m.cfg.Addr, Epoch: known.row.Epoch + 1}
	value, err := msgpack.Marshal(row)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode lease row")
	}
	rows, err := m.cfg.Table.Get(ctx, epochPrefix+id)
	if err != nil {
		return err
	}
	epochCond := store.Cond{Key: epochPrefix + id}
	if len(rows) == 1 {
		epochCond.Version = rows[0].Version
	}
	versions, err := m.leases.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: LeasePrefix + id, Version: known.version}, epochCond},
		Writes: []store.Write{{Key: LeasePrefix + id, Value: value}, {Key: epochPrefix + id, Value: value}},
	})
	if err != nil {
		return err
	}
	if versions == nil {
		// The answer was lost. The lease is left to expire; another attempt follows.
		return errkind.New(errkind.StoreAmbiguous, "answer to the acquisition of %s was lost", id)
	}
	return m.startOwner(ctx, id, row, versions, sentAt)
}

func (m *Manager) startOwner(ctx context.Context, id string, row LeaseRow, versions []uint64, sentAt time.Duration) error {
	s := &ownedShard{row: row, version: versions[0], until: sentAt + lease.ShardTTL, finished: make(chan struct{})}
	s.owner = NewOwner(Config{
		Shard: id, Epoch: row.Epoch, EpochCond: store.Cond{Key: epochPrefix + id, Version: versions[1]},
		Table: m.cfg.Table, Writer: m.commits, Clock: m.cfg.Clock, Recorder: m.cfg.Recorder, Log: m.cfg.Log,
		Valid: func() bool { return m.valid(id, row.Epoch) }, OnMembers: m.cfg.OnMembers, OnEvict: m.cfg.OnEvict,
		OnLost: func() { m.lostShard(id, row.Epoch) },
	})
	m.mu.Lock()
	m.owned[id] = s
	m.mu.Unlock()
	if err := s.owner.Load(ctx); err != nil {
		m.lostShard(id, row.Epoch)
		return err
	}
	if m.cfg.OnOwner != nil {
		m.cfg.OnOwner(s.owner)
	}
	runCtx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	s.stop = cancel
	m.mu.Unlock()
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer close(s.finished)
		s.owner.Run(runCtx)
	}()
	events.ShardAcquired.Log(m.cfg.Log).Str("shard", id).Uint64("epoch", row.Epoch).Send()
	return nil
}

// valid reports whether the lease with the epoch is held at this moment.
func (m *Manager) valid(id string, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	return ok && s.row.Epoch == epoch && m.cfg.Clock.Now() < s.until
}

func (m *Manager) lostShard(id string, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.owned[id]
	if !ok || s.row.Epoch != epoch {
		return
	}
	delete(m.owned, id)
	if s.stop != nil {
		s.stop()
	}
}

// renewDue renews every owned lease that is due.
func (m *Manager) renewDue(ctx context.Context, now time.Duration) {
	m.mu.Lock()
	due := make(map[string]*ownedShard)
	for id, s := range m.owned {
		if now >= s.nextTry && now >= s.until-lease.ShardTTL+lease.ShardRenewInterval {
			due[id] = s
		}
	}
	m.mu.Unlock()
	for id, s := range due {
		m.renew(ctx, id, s)
	}
}

func (m *Manager) renew(ctx context.Context, id string, s *ownedShard) {
	sentAt := m.cfg.Clock.Now()
	row := s.row
	row.Renewals++
	err := m.writeRow(ctx, id, s, row)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		s.until = sentAt + lease.ShardTTL
		return
	}
	s.nextTry = sentAt + time.Second
	if errkind.Of(err) == errkind.Conflict {
		delete(m.owned, id)
		s.stop()
	}
}

// writeRow replaces the lease row of an owned shard.
func (m *Manager) writeRow(ctx context.Context, id string, s *ownedShard, row LeaseRow) error {
	value, err := msgpack.Marshal(row)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode lease row")
	}
	versions, err := m.leases.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: LeasePrefix + id, Version: s.version}},
		Writes: []store.Write{{Key: LeasePrefix + id, Value: value}},
	})
	if err != nil {
		return err
	}
	if versions == nil {
		rows, err := m.cfg.Table.Get(ctx, LeasePrefix+id)
		if err != nil || len(rows) == 0 {
			return errkind.New(errkind.StoreUnavailable, "version of lease row %s", id)
		}
		versions = []uint64{rows[0].Version}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.version, s.row = versions[0], row
	return nil
}

// Release stops every owner and marks its lease row free, so that another entry
// can take the shard over without waiting.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	owned := m.owned
	m.owned = make(map[string]*ownedShard)
	m.mu.Unlock()
	for id, s := range owned {
		s.stop()
		<-s.finished
		row := LeaseRow{Epoch: s.row.Epoch}
		if err := m.writeRow(ctx, id, s, row); err != nil {
			m.cfg.Log.Warn().Err(err).Str("shard", id).Msg("release shard")
		}
	}
}
