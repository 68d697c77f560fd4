package shard

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
)

// probeTimeout bounds the read that tests whether the store is reachable.
const probeTimeout = 1500 * time.Millisecond

// probeCacheTTL is how long the result of that read is reused for further extension requests.
const probeCacheTTL = time.Second

// probeResult caches the result of the last reachability read.
type probeResult struct {
	at        time.Duration
	reachable bool
	valid     bool
	// lock is a semaphore held during a read. A caller whose context ends while it waits is treated
	// as if the store were reachable, so it grants no extension.
	lock chan struct{}
}

// GrantExtension answers another entry's request to extend its leases in a store outage. The
// extension is granted only when this entry cannot reach the store either and has no action against
// the holder in progress. While the extension is in force, this entry neither takes over the holder's
// shards nor accepts a configuration that the holder has not prepared.
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

// extensionLoop requests lease extensions while renewals fail.
func (m *Manager) extensionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.extendLeases(ctx)
		sleep(ctx, lease.ExtensionInterval)
	}
}

// extendLeases requests an extension from every member when the last renewal is overdue, and extends
// the leases for which all members have granted it.
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
			s.lease.Extend(requestedAt)
		}
	}
	if allGranted(members) && m.registrationLease.Renewed() < requestedAt {
		m.cfg.Follower.ExtendLease(requestedAt)
	}
}

func (m *Manager) requestExtensions(ctx context.Context, members map[string]bool) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, lease.ExtensionInterval)
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
