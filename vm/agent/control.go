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
	// grantTimeout is how long a heartbeat may stay unanswered before the connection is replaced.
	grantTimeout = 4 * time.Second
	// reconnectDelay separates attempts to reach an owner.
	reconnectDelay = 500 * time.Millisecond
)

// controlLoop keeps a control connection to the shard owner.
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
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	m, err := p.Call(ctx, &wire.Locate{Zone: a.cfg.Zone, VM: a.cfg.VM, ConfigGen: a.gate.MinGeneration()})
	if err != nil {
		return "", err
	}
	r, ok := m.(*wire.LocateReply)
	if ok && r.ConfigGen > a.gate.MinGeneration() {
		// While the shard has no owner, no other message brings a new configuration.
		a.raiseConfig(r.ConfigGen)
	}
	if !ok || r.Addr == "" {
		return "", errkind.New(errkind.NotReady, "no owner is known for VM %s", a.cfg.VM)
	}
	return r.Addr, nil
}

// session announces the agent to its owner and exchanges heartbeats until the connection fails.
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
	return a.heartbeats(ctx, p)
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
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
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
		Capacity: a.cfg.Worker.Capacity(), Service: a.cfg.Service, ServiceHeld: a.cfg.ServiceHeld,
		Slots: uint16(a.cfg.Slots), Conns: uint16(a.cfg.Conns), DataAddr: dataAddr,
		Draining: a.gate.Draining(), Tasks: tasks,
	})
	if err != nil {
		return err
	}
	r, ok := m.(*wire.AnnounceReply)
	if !ok {
		return errkind.New(errkind.InvalidArgument, "unexpected announce reply")
	}
	if !a.ledger.Observe(r.Epoch) {
		return errkind.New(errkind.StaleEpoch, "owner epoch %d", r.Epoch)
	}
	// Attempts that may run elsewhere by now end before the first grant of this
	// session can resume them.
	for _, ref := range r.Stop {
		a.endAttempt(ref.ID, ref.Attempt)
	}
	return nil
}

// taskStatuses lists the running attempts, and the finished ones whose result the
// owner has not acknowledged, so that the owner does not take them for lost.
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

func (a *Agent) heartbeats(ctx context.Context, p *wire.Peer) error {
	tick := time.NewTicker(a.cfg.Heartbeat)
	defer tick.Stop()
	for seq := uint32(1); ; seq++ {
		if err := a.heartbeat(ctx, p, seq); err != nil {
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

func (a *Agent) heartbeat(ctx context.Context, p *wire.Peer, seq uint32) error {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	sentAt := a.cfg.Clock.Now()
	measured, lag := a.cfg.Worker.Usage()
	usage := a.usage.changed(measured, a.speeds.get(), sentAt)
	free := a.gate.FreeSlots()
	load := 0
	if a.cfg.Slots > 0 {
		load = 1000 * (a.cfg.Slots - free) / a.cfg.Slots
	}
	m, err := p.Call(ctx, &wire.Heartbeat{Seq: seq, ConfigGen: a.gate.MinGeneration(), LoadPermille: uint16(load),
		TailPermille: uint16(a.protection.tail.Load()),
		LagMS:        uint16(lag.Milliseconds()), Usage: usage})
	if err != nil {
		return err
	}
	g, ok := m.(*wire.Grant)
	if !ok {
		return errkind.New(errkind.InvalidArgument, "unexpected heartbeat reply")
	}
	a.applyGrant(g, sentAt)
	return nil
}

func (a *Agent) applyGrant(g *wire.Grant, sentAt time.Duration) {
	if !a.ledger.Observe(g.Epoch) {
		return
	}
	for _, h := range g.Harms {
		a.harms.set(h.JobClass, h.HarmPPM)
	}
	a.mu.Lock()
	a.grant.Extend(g.Epoch, sentAt, time.Duration(g.TTLMS)*time.Millisecond)
	until := a.grant.Until()
	a.mu.Unlock()
	a.cfg.Worker.Renew(until)
}
