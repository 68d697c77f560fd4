package shard

import (
	"context"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/state/store"
)

// RenewNow triggers an immediate renewal, for example to publish a prepared configuration generation.
func (m *Manager) RenewNow() {
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

func (m *Manager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := lease.ShardRenewInterval
		if err := m.renew(ctx, false); err != nil {
			wait = renewRetry
		}
		select {
		case <-ctx.Done():
		case <-m.renewNow:
		case <-time.After(wait):
		}
	}
}

// handOverCooldown is how long this entry does not reacquire a shard that it handed over.
const handOverCooldown = 5 * time.Second

// handOver releases one shard, so that the entry with the fewest shards can acquire it.
func (m *Manager) handOver(ctx context.Context, id string) error {
	m.mu.Lock()
	s, ok := m.owned[id]
	m.mu.Unlock()
	if !ok || !s.loaded {
		return nil
	}
	drainCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	s.owner.Drain(drainCtx)
	cancel()
	err := m.commitRenewal(ctx, false, id)
	s.cancel()
	if err != nil {
		// The row still names this entry; its lease expires, as after a crash of this entry.
		m.lostShard(id, s.owner.cfg.Epoch)
		return err
	}
	if m.cfg.OnReleased != nil {
		m.cfg.OnReleased()
	}
	return nil
}

// renewal is one transaction over the registration and all owned lease rows.
type renewal struct {
	sentAt time.Duration
	reg    confsync.Registration
	ids    []string
	shards []*ownedShard
	rows   []LeaseRow
	txn    store.Txn
	// free lists the shards whose rows are marked free.
	free map[string]bool
	// unregister is set when the registration is deleted.
	unregister bool
}

// renew writes the registration and every owned lease row in one transaction. If release is set, the
// rows are marked free and the registration is deleted.
func (m *Manager) renew(ctx context.Context, release bool) error {
	return m.commitRenewal(ctx, release, "")
}

func (m *Manager) commitRenewal(ctx context.Context, release bool, free string) error {
	// Renewals are serialized: a concurrent one would be conditional on versions that the first replaces.
	select {
	case m.renewLock <- struct{}{}:
	case <-ctx.Done():
		return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "wait for the lease renewal in progress")
	}
	defer func() { <-m.renewLock }()
	r, err := m.prepareRenewal(release, free)
	if err != nil || r == nil {
		return err
	}
	versions, err := m.renewWriter.Commit(ctx, r.txn)
	switch errkind.Of(err) {
	case errkind.None:
		m.applyRenewal(r, versions)
		return nil
	case errkind.Conflict:
		return m.renewalConflict(ctx, r, err)
	}
	return err
}

func (m *Manager) prepareRenewal(release bool, free string) (*renewal, error) {
	prepared, inForce := m.cfg.Follower.Generations()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		return nil, nil
	}
	r := &renewal{sentAt: m.cfg.Clock.Now(), reg: m.registration, unregister: release, free: make(map[string]bool)}
	members := m.memberIDs()
	r.reg.Counter++
	r.reg.Prepared, r.reg.InForce, r.reg.Members = prepared, inForce, members
	if err := r.add(confsync.RegistrationPrefix+m.cfg.Entry, m.registrationVersion, r.reg, release); err != nil {
		return nil, err
	}
	for id := range m.owned {
		r.ids = append(r.ids, id)
	}
	sort.Strings(r.ids)
	for _, id := range r.ids {
		s := m.owned[id]
		row := s.row
		row.Renewals++
		row.Members = members
		row.ReassignDelayMS = max(0, s.reassignAfter-r.sentAt).Milliseconds()
		for _, member := range members {
			// The row may take effect even if the reply is lost.
			s.members[member] = true
		}
		if release || id == free {
			r.free[id], s.releasing = true, true
			row.Owner, row.Addr, row.Members = "", "", nil
		}
		r.shards, r.rows = append(r.shards, s), append(r.rows, row)
		if err := r.add(LeasePrefix+id, s.version, row, false); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *renewal) add(key string, version uint64, value any, del bool) error {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode %s", key)
	}
	r.txn.Conds = append(r.txn.Conds, store.Cond{Key: key, Version: version})
	w := store.Write{Key: key, Value: data}
	if del {
		w = store.Write{Key: key, Delete: true}
	}
	r.txn.Writes = append(r.txn.Writes, w)
	return nil
}

// memberIDs returns the sorted ids of the other registered entries. m.mu is held.
func (m *Manager) memberIDs() []string {
	out := make([]string, 0, len(m.entries))
	for id := range m.entries {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

func (m *Manager) applyRenewal(r *renewal, versions []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, id := range r.ids {
		if r.free[id] && m.owned[id] == r.shards[i] {
			delete(m.owned, id)
			if k, ok := m.rows[id]; ok {
				// This entry reacquires the shard only if no other entry acquires it first.
				*k = knownRow{row: r.rows[i], version: versions[i+1], availableFrom: m.cfg.Clock.Now() + handOverCooldown}
			}
		}
	}
	if r.unregister {
		m.released = true
		m.cfg.Follower.Unregistered()
		return
	}
	if m.registration.Counter == 0 {
		// When two entries start concurrently, the one that registers second needs a rescan to see the first.
		m.rescan = true
	}
	m.registration, m.registrationVersion = r.reg, versions[0]
	m.registrationLease.Renew(r.sentAt)
	m.cfg.Follower.Registered(r.sentAt)
	for i, s := range r.shards {
		s.row, s.version = r.rows[i], versions[i+1]
		s.lease.Renew(r.sentAt)
		s.members = make(map[string]bool, len(s.row.Members))
		for _, member := range s.row.Members {
			s.members[member] = true
		}
	}
}

// renewalConflict finds the rows whose conditions failed: lease rows that another entry has taken over,
// or this entry's registration if another entry has removed it.
func (m *Manager) renewalConflict(ctx context.Context, r *renewal, cause error) error {
	keys := make([]string, len(r.txn.Conds))
	for i, c := range r.txn.Conds {
		keys[i] = c.Key
	}
	rows, err := m.cfg.Table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	versions := make(map[string]uint64, len(rows))
	superseded := false
	for _, row := range rows {
		versions[row.Key] = row.Version
		if row.Key == keys[0] {
			reg, err := confsync.DecodeRegistration(row)
			superseded = err == nil && reg.Incarnation > m.cfg.Incarnation
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if superseded {
		// A newer process runs under this entry's id. This one stops acquiring shards and admitting requests.
		m.cfg.Follower.Unregistered()
		m.stopping = true
		return cause
	}
	if v := versions[keys[0]]; v != r.txn.Conds[0].Version {
		// The entry registers again and admits no request until it has read the configuration after that.
		m.cfg.Follower.Unregistered()
		m.registrationVersion = v
	}
	for i, id := range r.ids {
		s := r.shards[i]
		if versions[keys[i+1]] != r.txn.Conds[i+1].Version && m.owned[id] == s {
			m.dropShard(id, s)
		}
	}
	return cause
}
