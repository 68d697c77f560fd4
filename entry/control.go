package entry

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/shard"
	"github.com/chicorystand/chicorystand/store"
	"github.com/chicorystand/chicorystand/task"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of the exchange between entries.
const (
	registrationInterval = 5 * time.Second
	digestInterval       = 4 * time.Second
	peerTimeout          = 4 * time.Second
)

// Registration is the value of an entry's row.
type Registration struct {
	ID      string
	Addr    string
	Zone    string
	Counter uint64
}

// session is stored in Peer.Value after an agent announced itself.
type session struct {
	vm    string
	owner *shard.Owner
}

func (e *Entry) handleControl(p *wire.Peer, m wire.Message, reply wire.Reply) {
	if err := authorizePeer(p, m); err != nil {
		e.denied(err)
		reply(wire.ErrorReply(err))
		return
	}
	switch msg := m.(type) {
	case *wire.Locate:
		reply(e.locate(msg))
	case *wire.Announce:
		go e.announce(p, msg, reply)
	case *wire.Heartbeat:
		go e.heartbeat(p, msg, reply)
	case *wire.TaskEvent:
		go e.taskEvent(p, msg, reply)
	case *wire.Drain:
		e.drained(p, msg)
		reply(&wire.Ack{})
	case *wire.Digest:
		go e.digest(msg)
		reply(&wire.Ack{})
	case *wire.Members:
		e.table.Apply(*msg)
		reply(&wire.Ack{})
	case *wire.PullMembers:
		go e.pullMembers(msg, reply)
	case *wire.Submit:
		go e.onShard(msg.Shard, reply, func(o *shard.Owner) { reply(e.submitLocal(o, msg.Specs)) })
	case *wire.Cancel:
		go e.onShard(msg.Shard, reply, func(o *shard.Owner) { reply(e.cancelLocal(o, msg)) })
	case *wire.Lookup:
		go e.onShard(msg.Shard, reply, func(o *shard.Owner) { reply(e.lookupLocal(o, msg)) })
	default:
		if e.handleOperator(m, reply) {
			return
		}
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "message type %d is not served here", m.Type())))
	}
}

func (e *Entry) locate(m *wire.Locate) *wire.LocateReply {
	id := shard.Of(m.Zone, m.VM, e.cfg.ShardsPerZone)
	row, ok := e.manager.Locate(id)
	if !ok {
		e.manager.Want(id)
		return &wire.LocateReply{Shard: id}
	}
	return &wire.LocateReply{Shard: id, Epoch: row.Epoch, Addr: row.Addr}
}

func (e *Entry) announce(p *wire.Peer, m *wire.Announce, reply wire.Reply) {
	id := shard.Of(m.Zone, m.VM, e.cfg.ShardsPerZone)
	e.onShard(id, reply, func(o *shard.Owner) {
		p.Value.Store(session{m.VM, o})
		var r *wire.AnnounceReply
		var err error
		if doErr := o.Do(e.ctx, func() { r, err = o.Announce(e.ctx, m, p) }); doErr != nil {
			err = doErr
		}
		if err != nil {
			reply(wire.ErrorReply(err))
			return
		}
		reply(r)
		_ = o.Do(e.ctx, func() { o.ConfigPushAll(e.ctx, m.VM) })
	})
}

// onShard runs f with the owner of a shard held here, or replies with errkind.NotOwner.
func (e *Entry) onShard(id string, reply wire.Reply, f func(*shard.Owner)) {
	o, ok := e.manager.Owner(id)
	if !ok {
		reply(wire.ErrorReply(errkind.New(errkind.NotOwner, "shard %s is not held by %s", id, e.cfg.ID)))
		return
	}
	f(o)
}

func (e *Entry) heartbeat(p *wire.Peer, m *wire.Heartbeat, reply wire.Reply) {
	s, ok := p.Value.Load().(session)
	if !ok {
		reply(wire.ErrorReply(errkind.New(errkind.NotReady, "announce first")))
		return
	}
	var g *wire.Grant
	var err error
	if doErr := s.owner.Do(e.ctx, func() { g, err = s.owner.Heartbeat(s.vm, m) }); doErr != nil {
		err = doErr
	}
	if err != nil {
		reply(wire.ErrorReply(err))
		p.Close()
		return
	}
	reply(g)
}

func (e *Entry) taskEvent(p *wire.Peer, m *wire.TaskEvent, reply wire.Reply) {
	s, ok := p.Value.Load().(session)
	if !ok {
		reply(wire.ErrorReply(errkind.New(errkind.NotReady, "announce first")))
		return
	}
	err := s.owner.Do(e.ctx, func() {
		s.owner.TaskEvent(e.ctx, m, func(err error) {
			if err != nil {
				reply(wire.ErrorReply(err))
				return
			}
			reply(&wire.Ack{})
		})
	})
	if err != nil {
		reply(wire.ErrorReply(err))
	}
}

func (e *Entry) drained(p *wire.Peer, m *wire.Drain) {
	if s, ok := p.Value.Load().(session); ok {
		go func() { _ = s.owner.Do(e.ctx, func() { s.owner.SetDraining(e.ctx, m.VM, !m.Undo) }) }()
	}
}

func (e *Entry) peerGone(p *wire.Peer) {
	if s, ok := p.Value.Load().(session); ok && e.ctx.Err() == nil {
		_ = s.owner.Do(e.ctx, func() { s.owner.Disconnected(s.vm, p) })
	}
}

// membersChanged applies a list locally and pushes it to every other entry.
func (e *Entry) membersChanged(m wire.Members) {
	e.table.Apply(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		go func() { _ = p.Notify(&m) }()
	}
}

// digest pulls the lists of the sender that are newer than the known ones.
func (e *Entry) digest(m *wire.Digest) {
	for _, d := range m.Shards {
		known := e.table.Known(d.Shard)
		if d.Epoch < known.Epoch || (d.Epoch == known.Epoch && d.Version <= known.Version) {
			continue
		}
		e.mu.Lock()
		p := e.peers[m.Entry]
		e.mu.Unlock()
		if p == nil {
			return
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

func (e *Entry) pullMembers(m *wire.PullMembers, reply wire.Reply) {
	e.onShard(m.Shard, reply, func(o *shard.Owner) {
		var list wire.Members
		if err := o.Do(e.ctx, func() { list = o.Members() }); err != nil {
			reply(wire.ErrorReply(err))
			return
		}
		reply(&list)
	})
}

// registrationLoop keeps the entry's row current, connects to the other entries
// and sends them digests.
func (e *Entry) registrationLoop(ctx context.Context) {
	var nextDigest, nextRegister time.Duration
	reg := Registration{ID: e.cfg.ID, Addr: e.addr, Zone: e.cfg.Zone}
	for ctx.Err() == nil {
		now := e.cfg.Clock.Now()
		if now >= nextRegister {
			reg.Counter++
			e.register(ctx, reg)
			e.connectPeers(ctx)
			nextRegister = now + registrationInterval
		}
		if now >= nextDigest {
			e.sendDigests(ctx)
			nextDigest = now + digestInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (e *Entry) register(ctx context.Context, reg Registration) {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return
	}
	value, err := msgpack.Marshal(reg)
	if err != nil {
		return
	}
	_, _ = e.cfg.Table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: registrationPrefix + e.cfg.ID, Value: value}}})
}

func (e *Entry) connectPeers(ctx context.Context) {
	rows, err := e.cfg.Table.Scan(ctx, registrationPrefix, "", 100)
	if err != nil {
		return
	}
	for _, r := range rows {
		var reg Registration
		if err := msgpack.Unmarshal(r.Value, &reg); err != nil || reg.ID == e.cfg.ID {
			continue
		}
		e.connectPeer(ctx, reg)
	}
}

func (e *Entry) connectPeer(ctx context.Context, reg Registration) {
	e.mu.Lock()
	p, ok := e.peers[reg.ID]
	e.mu.Unlock()
	if ok {
		select {
		case <-p.Done():
		default:
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := e.cfg.Dial(ctx, reg.Addr)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.peers[reg.ID] = wire.NewPeer(conn, e.handleControl)
	e.mu.Unlock()
}

func (e *Entry) sendDigests(ctx context.Context) {
	d := &wire.Digest{Entry: e.cfg.ID, ConfigGen: e.config().Generation}
	for _, o := range e.manager.Owners() {
		_ = o.Do(ctx, func() { d.Shards = append(d.Shards, o.Members().Digest) })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		go func() { _ = p.Notify(d) }()
	}
}

// submitTimeout bounds how long a submission waits for its commit.
const submitTimeout = 5 * time.Second

func (e *Entry) submitLocal(o *shard.Owner, specs []task.Spec) wire.Message {
	ids := make([]string, len(specs))
	for i, s := range specs {
		ids[i] = s.ID
	}
	return e.collect(o, ids, func(done func(string, error)) {
		o.Submit(specs, time.Now().UnixMilli(), func(id string, err error) {
			if err == nil {
				o.RecordAccepted(id)
			}
			done(id, err)
		})
	})
}

func (e *Entry) cancelLocal(o *shard.Owner, m *wire.Cancel) wire.Message {
	return e.collect(o, m.IDs, func(done func(string, error)) { o.Cancel(e.ctx, m.Customer, m.IDs, done) })
}

// collect runs an operation on several tasks and waits for all results.
func (e *Entry) collect(o *shard.Owner, ids []string, run func(done func(string, error))) wire.Message {
	type result struct {
		id  string
		err error
	}
	ch := make(chan result, len(ids))
	ctx, cancel := context.WithTimeout(e.ctx, submitTimeout)
	defer cancel()
	if err := o.Do(ctx, func() { run(func(id string, err error) { ch <- result{id, err} }) }); err != nil {
		return wire.ErrorReply(err)
	}
	byID := make(map[string]wire.TaskResult, len(ids))
	for range ids {
		select {
		case r := <-ch:
			tr := wire.TaskResult{ID: r.id, Kind: errkind.Of(r.err)}
			if r.err != nil {
				tr.Detail = r.err.Error()
			}
			byID[r.id] = tr
		case <-ctx.Done():
			return wire.ErrorReply(errkind.New(errkind.OutcomeUnknown, "the commit did not finish in %v; repeat with the same ids", submitTimeout))
		}
	}
	out := &wire.SubmitReply{}
	for _, id := range ids {
		out.Results = append(out.Results, byID[id])
	}
	return out
}

func (e *Entry) lookupLocal(o *shard.Owner, m *wire.Lookup) wire.Message {
	var r *wire.LookupReply
	if err := o.Do(e.ctx, func() { r = o.Select(m) }); err != nil {
		return wire.ErrorReply(err)
	}
	return r
}
