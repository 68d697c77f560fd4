package agent

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
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
	m, err := p.Call(ctx, &wire.Locate{Zone: a.cfg.Zone, VM: a.cfg.VM})
	if err != nil {
		return "", err
	}
	r, ok := m.(*wire.LocateReply)
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
	p, err := a.dialPeer(ctx, addr, func(_ *wire.Peer, m wire.Message, reply wire.Reply) { a.handleControl(ctx, m, reply) })
	if err != nil {
		return err
	}
	defer p.Close()
	if err := a.announce(ctx, p); err != nil {
		return err
	}
	a.mu.Lock()
	a.owner = p
	a.mu.Unlock()
	a.flushOutbox(ctx)
	return a.heartbeats(ctx, p)
}

func (a *Agent) announce(ctx context.Context, p *wire.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	a.mu.Lock()
	dataAddr := a.dataAddr
	a.mu.Unlock()
	m, err := p.Call(ctx, &wire.Announce{
		VM: a.cfg.VM, Incarnation: a.cfg.Incarnation, Zone: a.cfg.Zone, Rack: a.cfg.Rack,
		Capacity: a.cfg.Worker.Capacity(), Service: a.cfg.Service, ServiceHeld: a.cfg.ServiceHeld,
		Slots: uint16(a.cfg.Slots), Conns: uint16(a.cfg.Conns), DataAddr: dataAddr,
		Draining: a.gate.Draining(), Tasks: a.taskStatuses(),
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
	return nil
}

func (a *Agent) taskStatuses() []wire.TaskStatus {
	running := a.cfg.Worker.List()
	out := make([]wire.TaskStatus, 0, len(running))
	for _, r := range running {
		out = append(out, wire.TaskStatus{ID: r.ID, Attempt: r.Attempt, Reserved: r.Reserved,
			Checkpoint: r.Checkpoint, ProgressMS: r.Progress.Milliseconds()})
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
	usage, lag := a.usage()
	free := a.gate.FreeSlots()
	load := 0
	if a.cfg.Slots > 0 {
		load = 1000 * (a.cfg.Slots - free) / a.cfg.Slots
	}
	m, err := p.Call(ctx, &wire.Heartbeat{Seq: seq, ConfigGen: a.gate.Generation(), LoadPermille: uint16(load),
		LagMS: uint16(lag.Milliseconds()), Usage: usage})
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

func (a *Agent) usage() ([]wire.Usage, time.Duration) {
	measured, lag := a.cfg.Worker.Usage()
	out := make([]wire.Usage, 0, len(measured))
	for _, u := range measured {
		out = append(out, wire.Usage{ID: u.ID, CPU: uint32(u.Use.CPU), MemMiB: uint32(u.Use.Memory)})
	}
	return out, lag
}

func (a *Agent) applyGrant(g *wire.Grant, sentAt time.Duration) {
	if !a.ledger.Observe(g.Epoch) {
		return
	}
	a.mu.Lock()
	a.grant.Extend(g.Epoch, sentAt, time.Duration(g.TTLMS)*time.Millisecond)
	until := a.grant.Until()
	a.mu.Unlock()
	a.cfg.Worker.Renew(until)
}
