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

// probeLife is how long the result of that read answers further requests for holds.
const probeLife = time.Second

// probeResult is the result of the last read made to answer a request for a hold.
type probeResult struct {
	at        time.Duration
	reachable bool
	done      bool
	// turn holds a token while a read is in progress. A caller that is not served
	// within its context does not grant a hold.
	turn chan struct{}
}

// GrantHold answers another entry's request for a hold. It is granted only when
// this entry cannot reach the store either and no action against the holder is in
// progress. A granted hold keeps this entry from taking over the holder's shards
// and from accepting a configuration without it.
func (m *Manager) GrantHold(ctx context.Context, holder string) bool {
	if m.storeReachable(ctx) {
		return false
	}
	return m.cfg.Promises.Grant(holder, m.cfg.Clock.Now())
}

func (m *Manager) storeReachable(ctx context.Context) bool {
	select {
	case m.probe.turn <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	defer func() { <-m.probe.turn }()
	if m.probe.done && m.cfg.Clock.Now()-m.probe.at < probeLife {
		return m.probe.reachable
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := m.cfg.Table.Get(ctx, confsync.RegistrationPrefix+m.cfg.Entry)
	m.probe.at, m.probe.reachable, m.probe.done = m.cfg.Clock.Now(), err == nil, true
	return err == nil
}

// holdLoop asks for holds while renewals fail.
func (m *Manager) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.extend(ctx)
		sleep(ctx, lease.ExtensionInterval)
	}
}

// extend asks every member for a hold when the last renewal is overdue, and
// extends the leases for which all members agreed.
func (m *Manager) extend(ctx context.Context) {
	m.mu.Lock()
	askedAt := m.cfg.Clock.Now()
	overdue := m.own.Counter > 0 && askedAt >= m.regLease.Renewed()+lease.ShardRenewInterval+renewRetry
	members := make(map[string]bool)
	for _, id := range m.own.Members {
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
	granted := m.askAll(ctx, members)
	m.mu.Lock()
	defer m.mu.Unlock()
	agreed := func(list map[string]bool) bool {
		for id := range list {
			if !granted[id] {
				return false
			}
		}
		return true
	}
	for _, s := range m.owned {
		if agreed(s.members) {
			s.lease.Extend(askedAt)
		}
	}
	if agreed(members) && m.regLease.Renewed() < askedAt {
		m.cfg.Follower.ExtendLease(askedAt)
	}
}

func (m *Manager) askAll(ctx context.Context, members map[string]bool) map[string]bool {
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
			granted[i] = m.cfg.AskHold != nil && m.cfg.AskHold(ctx, id)
		}()
	}
	wg.Wait()
	out := make(map[string]bool, len(ids))
	for i, id := range ids {
		out[id] = granted[i]
	}
	return out
}
