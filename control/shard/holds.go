package shard

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
)

// probeTimeout bounds the read that decides whether the store can be reached.
const probeTimeout = 1500 * time.Millisecond

// probeCacheTTL is how long the result of that read answers further requests for holds.
const probeCacheTTL = time.Second

// probeResult is the result of the last read made to answer a request for a hold.
type probeResult struct {
	at        time.Duration
	reachable bool
	valid     bool
	// lock holds a token while a read is in progress. A caller that is not served
	// within its context does not grant a hold.
	lock chan struct{}
}

// GrantExtension answers another entry's request for a hold. It is granted only when
// this entry cannot reach the store either and no action against the holder is in
// progress. A granted hold keeps this entry from taking over the holder's shards
// and from accepting a configuration without it.
func (m *Manager) GrantExtension(ctx context.Context, holder string) bool {
	if m.storeReachable(ctx) {
		return false
	}
	return m.cfg.ExtensionGrants.Grant(holder, m.cfg.Clock.Now())
}

func (m *Manager) storeReachable(ctx context.Context) bool {
	select {
	case m.probe.lock <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	defer func() { <-m.probe.lock }()
	if m.probe.valid && m.cfg.Clock.Now()-m.probe.at < probeCacheTTL {
		return m.probe.reachable
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := m.cfg.Table.Get(ctx, confsync.RegistrationPrefix+m.cfg.Entry)
	m.probe.at, m.probe.reachable, m.probe.valid = m.cfg.Clock.Now(), err == nil, true
	return err == nil
}

// extensionLoop asks for holds while renewals fail.
func (m *Manager) extensionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.extendLeases(ctx)
		sleep(ctx, lease.HoldInterval)
	}
}

// extendLeases asks every member for a hold when the last renewal is overdue, and
// extends the leases for which all members agreed.
func (m *Manager) extendLeases(ctx context.Context) {
	m.mu.Lock()
	requestedAt := m.cfg.Clock.Now()
	overdue := m.registration.Counter > 0 && requestedAt >= m.registrationLease.Renewed()+lease.ShardRenewInterval+renewRetry
	members := make(map[string]bool)
	for _, id := range m.registration.Members {
		members[id] = true
	}
	for _, s := range m.owned {
		for id := range s.members {
			members[id] = true
		}
	}
	m.mu.Unlock()
	if !overdue {
		return
	}
	granted := m.requestExtensions(ctx, members)
	m.mu.Lock()
	defer m.mu.Unlock()
	allGranted := func(list map[string]bool) bool {
		for id := range list {
			if !granted[id] {
				return false
			}
		}
		return true
	}
	for _, s := range m.owned {
		if allGranted(s.members) {
			s.lease.Hold(requestedAt)
		}
	}
	if allGranted(members) && m.registrationLease.Renewed() < requestedAt {
		m.cfg.Follower.Hold(requestedAt)
	}
}

func (m *Manager) requestExtensions(ctx context.Context, members map[string]bool) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, lease.HoldInterval)
	defer cancel()
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	granted := make([]bool, len(ids))
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			granted[i] = m.cfg.RequestExtension != nil && m.cfg.RequestExtension(ctx, id)
		}()
	}
	wg.Wait()
	out := make(map[string]bool, len(ids))
	for i, id := range ids {
		out[id] = granted[i]
	}
	return out
}
