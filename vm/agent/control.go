package agent

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of the control connection.
const (
	// controlTimeout bounds each step on the control path: dialing, locating, announcing and the wait
	// for the reply to a heartbeat, after which the connection is replaced.
	controlTimeout = 4 * time.Second
	// reconnectDelay is the delay between attempts to connect to the owner.
	reconnectDelay = 500 * time.Millisecond
)

// controlLoop maintains the control connection to the shard owner.
func (a *Agent) controlLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		entry := a.cfg.Entries[i%len(a.cfg.Entries)]
		if err := a.session(ctx, entry); err != nil && ctx.Err() == nil {
			events.ControlLost.Log(a.cfg.Log).Err(err).Send()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

func (a *Agent) dialPeer(ctx context.Context, addr string, h wire.Handler) (*wire.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	conn, err := a.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotReady, err, "dial %s", addr)
	}
	return wire.NewPeer(conn, h), nil
}

func (a *Agent) locate(ctx context.Context, entry string) (string, error) {
	p, err := a.dialPeer(ctx, entry, nil)
	if err != nil {
		return "", err
	}
	defer p.Close()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	m, err := p.Call(ctx, &wire.Locate{Zone: a.cfg.Zone, VM: a.cfg.VM, ConfigGen: a.gate.MinGeneration()})
	if err != nil {
		return "", err
	}
	r, ok := m.(*wire.LocateReply)
	if ok && r.ConfigGen > a.gate.MinGeneration() {
		// While the shard has no owner, the locate reply is the only message that carries a new configuration.
		a.applyConfigGeneration(r.ConfigGen)
	}
	if !ok || r.Addr == "" {
		return "", errkind.New(errkind.NotReady, "no shard owner known for VM %s", a.cfg.VM)
	}
	return r.Addr, nil
}

// session connects to the owner, announces the agent and sends heartbeats until the connection fails.
func (a *Agent) session(ctx context.Context, entry string) error {
	addr, err := a.locate(ctx, entry)
	if err != nil {
		return err
	}
	p, err := a.dialPeer(ctx, addr, func(p *wire.Peer, m wire.Message, reply wire.Reply) { a.handleControl(ctx, p, m, reply) })
	if err != nil {
		return err
	}
	defer a.endSession(p)
	if err := a.announce(ctx, p); err != nil {
		return err
	}
	a.mu.Lock()
	a.owner = p
	a.mu.Unlock()
	a.outbox.flush(ctx)
	return a.sendHeartbeats(ctx, p)
}

func (a *Agent) endSession(p *wire.Peer) {
	a.startMu.Lock()
	a.control = nil
	a.startMu.Unlock()
	a.mu.Lock()
	a.owner = nil
	a.mu.Unlock()
	p.Close()
}

func (a *Agent) announce(ctx context.Context, p *wire.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	a.startMu.Lock()
	a.control = p
	tasks := a.taskStatuses()
	a.startMu.Unlock()
	a.usage.reset()
	a.mu.Lock()
	dataAddr := a.dataAddr
	a.mu.Unlock()
	m, err := p.Call(ctx, &wire.Announce{
		VM: a.cfg.VM, Incarnation: a.cfg.Incarnation, Zone: a.cfg.Zone, Rack: a.cfg.Rack,
		Capacity: a.cfg.Worker.Capacity(), Service: a.cfg.Service, ServiceReserved: a.cfg.ServiceReserved,
		Slots: uint16(a.cfg.Slots), Conns: uint16(a.cfg.UpstreamConns), DataAddr: dataAddr,
		Draining: a.gate.Draining(), Tasks: tasks,
	})
	if err != nil {
		return err
	}
	r, ok := m.(*wire.AnnounceReply)
	if !ok {
		return errkind.New(errkind.InvalidArgument, "unexpected message type in reply to announcement")
	}
	if !a.ledger.ObserveEpoch(r.Epoch) {
		return errkind.New(errkind.StaleEpoch, "owner has stale epoch %d", r.Epoch)
	}
	// Attempts that may have been restarted elsewhere are ended before the first grant of this
	// session can resume them.
	for _, ref := range r.Stop {
		a.endAttempt(ref.ID, ref.Attempt)
	}
	return nil
}

// taskStatuses returns the running attempts, and the finished ones whose result the owner has not
// acknowledged, so that the owner does not count them as lost.
func (a *Agent) taskStatuses() []wire.TaskStatus {
	var out []wire.TaskStatus
	for _, r := range a.running() {
		state := task.Running
		if r.Suspended {
			state = task.Suspended
		}
		out = append(out, wire.TaskStatus{ID: r.ID, Attempt: r.Attempt, State: state, Reserved: r.Reserved,
			Checkpoint: r.Checkpoint, ProgressMS: r.Progress.Milliseconds()})
	}
	for _, f := range a.cfg.Worker.Results() {
		state := task.Succeeded
		if f.Err != nil {
			state = task.Failed
		}
		out = append(out, wire.TaskStatus{ID: f.ID, Attempt: f.Attempt, State: state})
	}
	return out
}

func (a *Agent) sendHeartbeats(ctx context.Context, p *wire.Peer) error {
	tick := time.NewTicker(a.cfg.Heartbeat)
	defer tick.Stop()
	for seq := uint32(1); ; seq++ {
		if err := a.sendHeartbeat(ctx, p, seq); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.Done():
			return errkind.New(errkind.NotReady, "control connection lost")
		case <-tick.C:
		}
	}
}

func (a *Agent) sendHeartbeat(ctx context.Context, p *wire.Peer, seq uint32) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	sentAt := a.cfg.Clock.Now()
	measured, lag := a.cfg.Worker.Usage()
	usage := a.usage.changed(measured, a.speedLimits.get(), sentAt)
	free := a.gate.FreeSlots()
	load := 0
	if a.cfg.Slots > 0 {
		load = 1000 * (a.cfg.Slots - free) / a.cfg.Slots
	}
	m, err := p.Call(ctx, &wire.Heartbeat{Seq: seq, ConfigGen: a.gate.MinGeneration(), LoadPermille: uint16(load),
		TailPermille: uint16(a.guardState.tailPermille.Load()),
		LagMS:        uint16(lag.Milliseconds()), Usage: usage})
	if err != nil {
		return err
	}
	g, ok := m.(*wire.Grant)
	if !ok {
		return errkind.New(errkind.InvalidArgument, "unexpected message type in reply to heartbeat")
	}
	a.applyGrant(g, sentAt)
	return nil
}

func (a *Agent) applyGrant(g *wire.Grant, sentAt time.Duration) {
	if !a.ledger.ObserveEpoch(g.Epoch) {
		return
	}
	for _, h := range g.Interference {
		a.interference.set(h.JobClass, h.InterferencePPM)
	}
	a.mu.Lock()
	a.grant.Extend(g.Epoch, sentAt, time.Duration(g.TTLMS)*time.Millisecond)
	until := a.grant.Until()
	a.mu.Unlock()
	a.cfg.Worker.Renew(until)
}
