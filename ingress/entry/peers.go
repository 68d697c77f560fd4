package entry

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of the messages between entries.
const (
	digestInterval    = 8 * time.Second
	peerTimeout       = 4 * time.Second
	reconnectInterval = time.Second
	extensionTimeout  = 2 * time.Second
)

// entriesChanged stores the registrations of the other entries and closes the connections
// to removed ones.
func (e *Entry) entriesChanged(regs []confsync.Registration) {
	e.mu.Lock()
	old := e.entries
	e.entries = make(map[string]confsync.Registration, len(regs))
	for _, reg := range regs {
		// A digest may have reported a newer generation than the row.
		if prev, ok := old[reg.ID]; ok && prev.Incarnation == reg.Incarnation {
			reg.InForce = max(reg.InForce, prev.InForce)
		}
		e.entries[reg.ID] = reg
	}
	var removed []*wire.Peer
	for id, p := range e.peers {
		if _, ok := e.entries[id]; !ok {
			removed = append(removed, p)
			delete(e.peers, id)
		}
	}
	e.mu.Unlock()
	for _, p := range removed {
		p.Close()
	}
}

// peerLoop maintains connections to the other entries and sends them digests.
func (e *Entry) peerLoop(ctx context.Context) {
	var nextDigest time.Duration
	for ctx.Err() == nil {
		if e.connectPeers(ctx) || e.cfg.Clock.Now() >= nextDigest {
			e.sendDigests(ctx)
			nextDigest = e.cfg.Clock.Now() + digestInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectInterval):
		}
	}
}

// connectPeers dials the entries without an open connection and reports whether any was connected.
func (e *Entry) connectPeers(ctx context.Context) bool {
	e.mu.Lock()
	var missing []confsync.Registration
	for id, reg := range e.entries {
		if p, ok := e.peers[id]; !ok || closed(p) {
			missing = append(missing, reg)
		}
	}
	e.mu.Unlock()
	opened := make(chan bool, len(missing))
	for _, reg := range missing {
		go func() { opened <- e.connectPeer(ctx, reg) }()
	}
	any := false
	for range missing {
		any = <-opened || any
	}
	return any
}

func closed(p *wire.Peer) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}

func (e *Entry) connectPeer(ctx context.Context, reg confsync.Registration) bool {
	dialCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := e.cfg.Dial(dialCtx, reg.Addr)
	if err != nil {
		e.manager.EntryDisconnected(reg.ID)
		return false
	}
	p := wire.NewPeer(conn, e.handleControl)
	e.mu.Lock()
	e.peers[reg.ID] = p
	e.mu.Unlock()
	go func() {
		<-p.Done()
		if ctx.Err() == nil {
			e.manager.EntryDisconnected(reg.ID)
		}
	}()
	return true
}

func (e *Entry) notifyPeers(m wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		go func() { _ = p.Notify(m) }()
	}
}

func (e *Entry) sendDigests(ctx context.Context) {
	e.notifyPeers(&wire.Digest{Entry: e.cfg.ID, ConfigGen: e.config().Generation, Shards: e.manager.Digests(ctx)})
}

// membersChanged applies a member list locally and pushes it to every other entry.
func (e *Entry) membersChanged(m wire.Members) {
	e.table.Apply(m)
	e.notifyPeers(&m)
}

// handleDigest records that the sender is alive and pulls its member lists that are newer than
// the local ones.
func (e *Entry) handleDigest(m *wire.Digest) {
	e.manager.DigestReceived(m.Entry, m.Shards)
	e.mu.Lock()
	p := e.peers[m.Entry]
	if reg, ok := e.entries[m.Entry]; ok {
		reg.InForce = max(reg.InForce, m.ConfigGen)
		e.entries[m.Entry] = reg
	}
	e.mu.Unlock()
	if m.ConfigGen > e.config().Generation {
		e.PollConfig()
	}
	for _, d := range m.Shards {
		known := e.table.Digest(d.Shard)
		if p == nil || d.Epoch < known.Epoch || (d.Epoch == known.Epoch && d.Version <= known.Version) {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
		if r, err := p.Call(ctx, &wire.PullMembers{Shard: d.Shard}); err == nil {
			if list, ok := r.(*wire.Members); ok {
				e.table.Apply(*list)
			}
		}
		cancel()
	}
}

func (e *Entry) handlePullMembers(m *wire.PullMembers, reply wire.Reply) {
	e.withOwner(m.Shard, reply, func(o *shard.Owner) {
		var list wire.Members
		if err := o.Do(e.ctx, func() { list = o.Members() }); err != nil {
			reply(wire.ErrorReply(err))
			return
		}
		reply(&list)
	})
}

// requestExtension asks another entry to extend this entry's lease.
func (e *Entry) requestExtension(ctx context.Context, member string) bool {
	e.mu.Lock()
	p := e.peers[member]
	e.mu.Unlock()
	if p == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, extensionTimeout)
	defer cancel()
	m, err := p.Call(ctx, &wire.ExtendLease{Entry: e.cfg.ID, TTLMS: uint32(lease.ExtensionTTL.Milliseconds())})
	r, ok := m.(*wire.ExtendLeaseReply)
	return err == nil && ok && r.Granted
}

func (e *Entry) handleExtensionRequest(m *wire.ExtendLease, reply wire.Reply) {
	reply(&wire.ExtendLeaseReply{Granted: e.manager.GrantExtension(e.ctx, m.Entry), ConfigGen: e.config().Generation})
}
