package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// session is stored in Peer.Value after an agent has announced itself.
type session struct {
	vm    string
	owner *shard.Owner
	// draining is the state in the agent's latest notification.
	draining *atomic.Bool
}

func (e *Entry) handleControl(p *wire.Peer, m wire.Message, reply wire.Reply) {
	if err := authorizePeer(p, m); err != nil {
		e.logAccessDenied(err)
		reply(wire.ErrorReply(err))
		return
	}
	switch msg := m.(type) {
	case *wire.Locate:
		reply(e.handleLocate(msg))
	case *wire.Announce:
		go e.handleAnnounce(p, msg, reply)
	case *wire.Heartbeat:
		go e.handleHeartbeat(p, msg, reply)
	case *wire.TaskEvent:
		go e.handleTaskEvent(p, msg, reply)
	case *wire.Drain:
		e.handleDrain(p, msg)
		reply(&wire.Ack{})
	case *wire.Digest:
		go e.handleDigest(msg)
		reply(&wire.Ack{})
	case *wire.ExtendLease:
		go e.handleExtensionRequest(msg, reply)
	case *wire.ConfigPush:
		e.PollConfig()
		reply(&wire.Ack{})
	case *wire.Members:
		e.table.Apply(*msg)
		reply(&wire.Ack{})
	case *wire.PullMembers:
		go e.handlePullMembers(msg, reply)
	case *wire.Submit:
		go e.withOwner(msg.Shard, reply, func(o *shard.Owner) { reply(e.submitLocal(o, msg.Specs)) })
	case *wire.Cancel:
		go e.withOwner(msg.Shard, reply, func(o *shard.Owner) { reply(e.cancelLocal(o, msg)) })
	case *wire.Lookup:
		go e.withOwner(msg.Shard, reply, func(o *shard.Owner) { reply(e.lookupLocal(o, msg)) })
	default:
		if e.handleOperator(m, reply) {
			return
		}
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "message type %d is not supported on the control connection", m.Type())))
	}
}

// handleLocate replies with the owner of a VM's shard. When the agent's configuration is
// older than the one in force it adds the latter, as an agent without an owner gets it from
// no other message.
func (e *Entry) handleLocate(m *wire.Locate) *wire.LocateReply {
	r := e.locateOwner(m)
	if doc := e.config(); doc.Generation > m.ConfigGen {
		r.ConfigGen, r.Limits = doc.Generation, doc.Limits
	}
	return r
}

func (e *Entry) locateOwner(m *wire.Locate) *wire.LocateReply {
	id := shard.ForVM(m.Zone, m.VM, e.cfg.ShardsPerZone)
	row, ok := e.manager.Locate(id)
	if !ok {
		e.manager.EnsureOwned(id)
		return &wire.LocateReply{Shard: id}
	}
	if row.Owner != e.cfg.ID {
		e.mu.Lock()
		p := e.peers[row.Owner]
		e.mu.Unlock()
		if p == nil || closed(p) {
			e.manager.Suspect(id)
		}
	}
	return &wire.LocateReply{Shard: id, Epoch: row.Epoch, Addr: row.Addr}
}

func (e *Entry) handleAnnounce(p *wire.Peer, m *wire.Announce, reply wire.Reply) {
	id := shard.ForVM(m.Zone, m.VM, e.cfg.ShardsPerZone)
	e.withOwner(id, reply, func(o *shard.Owner) {
		p.Value.Store(session{m.VM, o, new(atomic.Bool)})
		r, err := shard.Ask(e.ctx, o, func() (*wire.AnnounceReply, error) { return o.Announce(e.ctx, m, p) })
		if err != nil {
			reply(wire.ErrorReply(err))
			return
		}
		reply(r)
		_ = o.Do(e.ctx, func() { o.PushConfig(e.ctx, m.VM) })
	})
}

// withOwner runs f with the owner of a shard that this entry owns, or replies with errkind.NotOwner.
func (e *Entry) withOwner(id string, reply wire.Reply, f func(*shard.Owner)) {
	o, ok := e.manager.Owner(id)
	if !ok {
		reply(wire.ErrorReply(errkind.New(errkind.NotOwner, "shard %s is not owned by entry %s", id, e.cfg.ID)))
		return
	}
	f(o)
}

func (e *Entry) handleHeartbeat(p *wire.Peer, m *wire.Heartbeat, reply wire.Reply) {
	s, ok := p.Value.Load().(session)
	if !ok {
		reply(wire.ErrorReply(errkind.New(errkind.NotReady, "the agent must announce itself first")))
		return
	}
	g, err := shard.Ask(e.ctx, s.owner, func() (*wire.Grant, error) { return s.owner.Heartbeat(s.vm, m) })
	if err != nil {
		reply(wire.ErrorReply(err))
		p.Close()
		return
	}
	reply(g)
}

func (e *Entry) handleTaskEvent(p *wire.Peer, m *wire.TaskEvent, reply wire.Reply) {
	s, ok := p.Value.Load().(session)
	if !ok {
		reply(wire.ErrorReply(errkind.New(errkind.NotReady, "the agent must announce itself first")))
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

// handleDrain passes an agent's notification to its owner. Each goroutine applies the latest state, as
// the order in which they run is not that of the notifications.
func (e *Entry) handleDrain(p *wire.Peer, m *wire.Drain) {
	s, ok := p.Value.Load().(session)
	if !ok {
		return
	}
	s.draining.Store(!m.Undo)
	go func() { _ = s.owner.Do(e.ctx, func() { s.owner.SetDraining(s.vm, p, s.draining.Load()) }) }()
}

func (e *Entry) peerDisconnected(p *wire.Peer) {
	if s, ok := p.Value.Load().(session); ok && e.ctx.Err() == nil {
		_ = s.owner.Do(e.ctx, func() { s.owner.Disconnected(s.vm, p) })
	}
}

// shardCallTimeout bounds a call to a shard's owner, including the commit of its changes.
const shardCallTimeout = 5 * time.Second

func (e *Entry) submitLocal(o *shard.Owner, specs []task.Spec) wire.Message {
	ids := make([]string, len(specs))
	for i, s := range specs {
		ids[i] = s.ID
	}
	return e.runOnTasks(o, ids, func(done func(string, error)) {
		o.Submit(specs, time.Now().UnixMilli(), func(id string, err error) {
			if err == nil {
				o.RecordAccepted(id)
			}
			done(id, err)
		})
	})
}

func (e *Entry) cancelLocal(o *shard.Owner, m *wire.Cancel) wire.Message {
	if !e.manager.HoldsLease(m.Shard) {
		// The caller repeats the message until the shard has an owner.
		return wire.ErrorReply(errkind.New(errkind.NotOwner, "shard %s is not held", m.Shard))
	}
	return e.runOnTasks(o, m.IDs, func(done func(string, error)) { o.Cancel(e.ctx, m.Customer, m.IDs, done) })
}

// runOnTasks runs an operation on several tasks and waits for the results of all of them.
func (e *Entry) runOnTasks(o *shard.Owner, ids []string, run func(done func(string, error))) wire.Message {
	type result struct {
		id  string
		err error
	}
	ch := make(chan result, len(ids))
	ctx, cancel := context.WithTimeout(e.ctx, shardCallTimeout)
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
			return wire.ErrorReply(errkind.New(errkind.OutcomeUnknown, "the commit did not finish within %v; repeat with the same ids", shardCallTimeout))
		}
	}
	out := &wire.SubmitReply{}
	for _, id := range ids {
		out.Results = append(out.Results, byID[id])
	}
	return out
}

func (e *Entry) lookupLocal(o *shard.Owner, m *wire.Lookup) wire.Message {
	r, err := shard.Ask(e.ctx, o, func() (*wire.LookupReply, error) { return o.Select(m) })
	if err != nil {
		return wire.ErrorReply(err)
	}
	return r
}
