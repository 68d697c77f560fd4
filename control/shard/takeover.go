package shard

import (
	"context"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/state/store"
)

// Delays before acquiring a free shard, so that the best-suited entry acquires it first.
const (
	otherZoneDelay = 750 * time.Millisecond
	// shardCountDelay is added for each shard that this entry owns beyond the count of the entry with the fewest.
	shardCountDelay = 500 * time.Millisecond
	// unlistedDelay is added when this entry would have to defer reassignments (see unlistedByOwner).
	unlistedDelay   = 2 * time.Second
	maxAcquireDelay = 4 * time.Second
)

// scan reads all lease rows and registrations.
func (m *Manager) scan(ctx context.Context) error {
	rows, err := m.cfg.Table.Scan(ctx, LeasePrefix, "", scanPageSize)
	if err != nil {
		return err
	}
	now := m.cfg.Clock.Now()
	regs, err := m.cfg.Table.Scan(ctx, confsync.RegistrationPrefix, "", scanPageSize)
	if err != nil {
		return err
	}
	m.mu.Lock()
	for _, r := range rows {
		m.observeRow(r, now)
	}
	stale := m.observeEntries(regs, m.cfg.Clock.Now())
	var known []confsync.Registration
	for _, k := range m.entries {
		known = append(known, k.reg)
	}
	m.mu.Unlock()
	if m.cfg.OnEntries != nil {
		m.cfg.OnEntries(known)
	}
	m.removeStaleRegistrations(ctx, stale)
	return nil
}

// observeRow applies a lease row read at now. m.mu is held.
func (m *Manager) observeRow(r store.Row, now time.Duration) {
	var row LeaseRow
	if err := msgpack.Unmarshal(r.Value, &row); err != nil {
		m.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("failed to decode lease row")
		return
	}
	id := strings.TrimPrefix(r.Key, LeasePrefix)
	k, ok := m.rows[id]
	if !ok {
		k = &knownRow{}
		m.rows[id] = k
	}
	if row.Epoch < k.row.Epoch {
		return
	}
	k.row, k.version = row, r.Version
	k.observation.Observe(r.Version, now, lease.ShardTTL)
}

// observeEntries applies the registrations read at now and returns those not renewed for
// confsync.RegistrationRemoval. An entry that does not request extensions from this one may extend
// its lease for lease.MaxExtension, which applies instead. m.mu is held.
func (m *Manager) observeEntries(regs []store.Row, now time.Duration) []*knownEntry {
	var stale []*knownEntry
	seen := make(map[string]bool, len(regs))
	for _, r := range regs {
		reg, err := confsync.DecodeRegistration(r)
		if err != nil {
			m.cfg.Log.Error().Err(err).Str("row", r.Key).Msg("failed to decode registration")
			continue
		}
		if reg.ID == m.cfg.Entry {
			if m.registration.Counter == 0 {
				m.registrationVersion = r.Version
			}
			continue
		}
		seen[reg.ID] = true
		k, ok := m.entries[reg.ID]
		if !ok {
			k = &knownEntry{}
			m.entries[reg.ID] = k
			m.lastDigest[reg.ID] = now
		}
		k.reg, k.version = reg, r.Version
		k.observation.Observe(confsync.Fingerprint(r), now, confsync.LeaseTTL)
		wait := confsync.RegistrationRemoval
		if !slices.Contains(reg.Members, m.cfg.Entry) {
			wait = lease.MaxExtension
		}
		if k.observation.Unchanged() >= lease.ObserverWait(wait) {
			stale = append(stale, k)
		}
	}
	for id := range m.entries {
		if !seen[id] {
			delete(m.entries, id)
			delete(m.lastDigest, id)
		}
	}
	return stale
}

// removeStaleRegistrations deletes the registrations of entries that can no longer be admitting requests.
func (m *Manager) removeStaleRegistrations(ctx context.Context, stale []*knownEntry) {
	for _, k := range stale {
		id := k.reg.ID
		if !m.cfg.ExtensionGrants.BeginAction(id, m.cfg.Clock.Now()) {
			continue
		}
		key := confsync.RegistrationPrefix + id
		_, err := m.acquireWriter.Commit(ctx, store.Txn{
			Conds:  []store.Cond{{Key: key, Version: k.version}},
			Writes: []store.Write{{Key: key, Delete: true}},
		})
		if errkind.Of(err) == errkind.StoreAmbiguous {
			continue
		}
		m.cfg.ExtensionGrants.EndAction(id)
		if err == nil {
			m.mu.Lock()
			delete(m.entries, id)
			m.mu.Unlock()
			events.RegistrationRemoved.Log(m.cfg.Log).Str("entry", id).Send()
		}
	}
}

// probeSuspects reads the lease rows of shards that may have no live owner.
func (m *Manager) probeSuspects(ctx context.Context) {
	m.mu.Lock()
	now := m.cfg.Clock.Now()
	var keys []string
	for id, k := range m.rows {
		if _, owned := m.owned[id]; !owned && m.suspected(k, now) {
			keys = append(keys, LeasePrefix+id)
		}
	}
	for id := range m.wanted {
		if _, known := m.rows[id]; !known {
			keys = append(keys, LeasePrefix+id)
		}
	}
	m.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	rows, err := m.cfg.Table.Get(ctx, keys...)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.observeRow(r, m.cfg.Clock.Now())
	}
}

func (m *Manager) suspected(k *knownRow, now time.Duration) bool {
	if k.row.Owner == "" || now < k.suspectUntil {
		return true
	}
	lastSeen, ok := m.lastDigest[k.row.Owner]
	return !ok || now-lastSeen >= digestTimeout
}

// acquireDue tries to acquire shards that are free or whose lease has expired.
func (m *Manager) acquireDue(ctx context.Context) {
	for _, id := range m.acquireCandidates() {
		if err := m.acquire(ctx, id); err != nil && errkind.Of(err) != errkind.Conflict {
			m.cfg.Log.Warn().Err(err).Str("shard", id).Msg("failed to acquire shard")
		}
	}
}

func (m *Manager) acquireCandidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || m.registration.Counter == 0 {
		return nil
	}
	now := m.cfg.Clock.Now()
	var out []string
	for id := range m.wanted {
		if _, known := m.rows[id]; !known {
			m.rows[id] = &knownRow{}
		}
	}
	for id, k := range m.rows {
		_, owned := m.owned[id]
		if owned || !k.acquirable() {
			k.availableFrom = 0
			continue
		}
		if k.availableFrom == 0 {
			k.availableFrom = now
		}
		if now >= k.availableFrom+m.acquireDelay(id, k) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// acquirable reports whether the row is free or absent, or was unchanged for longer than its owner's
// lease when it was last read.
func (k *knownRow) acquirable() bool {
	return k.row.Owner == "" || k.version != 0 && k.observation.Unchanged() >= lease.ObserverWait(lease.ShardTTL)
}

func (m *Manager) acquireDelay(id string, k *knownRow) time.Duration {
	var d time.Duration
	if !strings.HasPrefix(id, m.cfg.Zone+"-") {
		d += otherZoneDelay
	}
	if m.unlistedByOwner(k.row) {
		d += unlistedDelay
	}
	fewest := m.minShardCount()
	if excess := len(m.owned) - fewest; excess > 0 {
		d += time.Duration(excess) * shardCountDelay
	}
	return min(d, maxAcquireDelay)
}

// minShardCount returns the smallest number of shards owned by any other live entry. m.mu is held.
func (m *Manager) minShardCount() int {
	counts := make(map[string]int, len(m.entries))
	for _, k := range m.rows {
		counts[k.row.Owner]++
	}
	fewest := math.MaxInt
	for e := range m.entries {
		if lastSeen, ok := m.lastDigest[e]; ok && m.cfg.Clock.Now()-lastSeen < digestTimeout {
			fewest = min(fewest, counts[e])
		}
	}
	return fewest
}

// shardToHandOver selects a shard to hand over when this entry owns at least two more than another one.
// Shards of other availability zones are handed over first.
func (m *Manager) shardToHandOver(now time.Duration) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || now < m.nextBalance {
		return "", false
	}
	m.nextBalance = now + balanceInterval
	if len(m.owned)-m.minShardCount() < 2 {
		return "", false
	}
	best := ""
	for id, s := range m.owned {
		if !s.loaded || !s.valid(now) || s.reassignAfter > now {
			continue
		}
		otherZone, bestOtherZone := !strings.HasPrefix(id, m.cfg.Zone+"-"), !strings.HasPrefix(best, m.cfg.Zone+"-")
		if best == "" || otherZone && !bestOtherZone || otherZone == bestOtherZone && id < best {
			best = id
		}
	}
	return best, best != ""
}

// unlistedByOwner reports whether the row's owner may extend its lease without requesting an extension
// from this entry, because its member list does not include this entry.
func (m *Manager) unlistedByOwner(row LeaseRow) bool {
	return row.Owner != "" && row.Owner != m.cfg.Entry && !slices.Contains(row.Members, m.cfg.Entry)
}

// acquire writes the lease row with the next epoch and starts the owner.
func (m *Manager) acquire(ctx context.Context, id string) error {
	m.mu.Lock()
	known := *m.rows[id]
	members := m.memberIDs()
	m.mu.Unlock()
	holder := known.row.Owner
	if holder != "" && !m.cfg.ExtensionGrants.BeginAction(holder, m.cfg.Clock.Now()) {
		return nil
	}
	err := m.commitAcquire(ctx, id, known, members)
	if holder != "" && errkind.Of(err) != errkind.StoreAmbiguous {
		m.cfg.ExtensionGrants.EndAction(holder)
	}
	return err
}

func (m *Manager) commitAcquire(ctx context.Context, id string, known knownRow, members []string) error {
	sentAt := m.cfg.Clock.Now()
	reassignAfter := sentAt + lease.ObserverWait(time.Duration(known.row.ReassignDelayMS)*time.Millisecond)
	if known.row.ReassignDelayMS == 0 {
		reassignAfter = 0
	}
	if m.unlistedByOwner(known.row) {
		// The observation started after the owner's last renewal.
		reassignAfter = max(reassignAfter, known.observation.Since()+lease.ObserverWait(lease.MaxExtension))
	}
	rows, err := m.cfg.Table.Get(ctx, epochPrefix+id)
	if err != nil {
		return err
	}
	epochCond := store.Cond{Key: epochPrefix + id}
	if len(rows) == 1 {
		epochCond.Version = rows[0].Version
	}
	row := LeaseRow{Owner: m.cfg.Entry, Addr: m.cfg.Addr, Epoch: known.row.Epoch + 1, Members: members,
		ReassignDelayMS: max(0, reassignAfter-sentAt).Milliseconds()}
	value, err := msgpack.Marshal(row)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode lease row")
	}
	epoch, err := msgpack.Marshal(row.Epoch)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode epoch")
	}
	versions, err := m.acquireWriter.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: LeasePrefix + id, Version: known.version}, epochCond},
		Writes: []store.Write{{Key: LeasePrefix + id, Value: value}, {Key: epochPrefix + id, Value: epoch}},
	})
	if errkind.Of(err) == errkind.Conflict {
		m.Suspect(id)
	}
	if err != nil {
		return err
	}
	m.startOwner(ctx, id, row, versions, sentAt, reassignAfter)
	return nil
}

func (m *Manager) startOwner(ctx context.Context, id string, row LeaseRow, versions []uint64, sentAt, reassignAfter time.Duration) {
	runCtx, cancel := context.WithCancel(ctx)
	s := &ownedShard{row: row, version: versions[0], lease: lease.ExtendableLease{TTL: lease.ShardTTL}, members: make(map[string]bool),
		reassignAfter: reassignAfter, cancel: cancel, finished: make(chan struct{})}
	s.lease.Renew(sentAt)
	for _, member := range row.Members {
		s.members[member] = true
	}
	s.owner = NewOwner(Config{
		Shard: id, Epoch: row.Epoch, EpochCond: store.Cond{Key: epochPrefix + id, Version: versions[1]},
		Table: m.cfg.Table, Commits: m.committer, Scheduler: m.cfg.Scheduler, Clock: m.cfg.Clock, Recorder: m.cfg.Recorder, Log: m.cfg.Log,
		Valid: func() bool { return m.valid(id, row.Epoch) }, OnMembers: m.cfg.OnMembers, OnEvict: m.cfg.OnEvict,
		OnLost: func() { m.lostShard(id, row.Epoch) }, ReassignFrom: reassignAfter,
	})
	m.mu.Lock()
	m.owned[id] = s
	m.rows[id] = &knownRow{row: row, version: versions[0]}
	m.mu.Unlock()
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer close(s.finished)
		m.runOwner(runCtx, id, s)
	}()
}

// runOwner loads the shard and runs its owner until the shard is lost or released.
func (m *Manager) runOwner(ctx context.Context, id string, s *ownedShard) {
	for {
		err := s.owner.Load(ctx)
		if err == nil {
			break
		}
		m.cfg.Log.Warn().Err(err).Str("shard", id).Msg("failed to load shard")
		sleep(ctx, commitRetryDelay)
		if ctx.Err() != nil {
			return
		}
	}
	// The owner is listed before OnAcquired, so that a concurrent configuration change reaches its inbox.
	m.mu.Lock()
	s.loaded = true
	m.mu.Unlock()
	if m.cfg.OnAcquired != nil {
		m.cfg.OnAcquired(s.owner)
	}
	events.ShardAcquired.Log(m.cfg.Log).Str("shard", id).Uint64("epoch", s.owner.cfg.Epoch).Send()
	s.owner.Run(ctx)
}
