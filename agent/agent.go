// Package agent is the process beside each upstream VM. It admits requests to
// the upstream, keeps the authoritative ledger of tasks on the VM, and holds the
// VM's grant from the shard owner.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/clock"
	"github.com/chicorystand/chicorystand/gate"
	"github.com/chicorystand/chicorystand/history"
	"github.com/chicorystand/chicorystand/lease"
	"github.com/chicorystand/chicorystand/ledger"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/task"
	"github.com/chicorystand/chicorystand/wire"
)

// Config configures an agent.
type Config struct {
	VM   string
	Zone string
	Rack string
	// Incarnation is unique to this start of the process and increases over time.
	Incarnation uint64
	// Entries are the addresses at which entries answer Locate, normally the balancer's.
	Entries []string
	// Service names the upstream; empty when the VM runs tasks only.
	Service     string
	ServiceHeld task.Resources
	UpstreamURL string
	Slots       int
	Conns       int
	// CheckpointInterval is the time between periodic checkpoints of batch tasks; 0 disables them.
	CheckpointInterval time.Duration
	Heartbeat          time.Duration

	Clock    clock.Clock
	Worker   platform.Worker
	Recorder *history.Recorder
	Log      zerolog.Logger
	// Dial opens connections to entries; nil uses TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Agent is a running agent.
type Agent struct {
	cfg    Config
	gate   *gate.Gate
	ledger *ledger.Ledger
	client *http.Client

	mu       sync.Mutex
	grant    lease.Grant
	owner    *wire.Peer
	outbox   map[outboxKey]*wire.TaskEvent
	dataAddr string
	peers    map[*wire.Peer]struct{}
	left     chan struct{}
	leftOnce sync.Once
}

type outboxKey struct {
	id      string
	attempt uint32
	event   string
}

// New returns an agent that has not started.
func New(cfg Config) *Agent {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = lease.HeartbeatInterval
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Agent{
		cfg:    cfg,
		gate:   gate.New(cfg.Incarnation, cfg.Slots),
		ledger: ledger.New(cfg.Worker.Capacity(), cfg.ServiceHeld),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: cfg.Conns, MaxIdleConnsPerHost: cfg.Conns}},
		outbox: make(map[outboxKey]*wire.TaskEvent),
		peers:  make(map[*wire.Peer]struct{}),
		left:   make(chan struct{}),
	}
}

// Run serves until ctx ends. data is the listener for requests from entries.
func (a *Agent) Run(ctx context.Context, data net.Listener) error {
	a.adopt()
	a.mu.Lock()
	a.dataAddr = data.Addr().String()
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { a.acceptLoop(ctx, data) },
		a.controlLoop, a.taskLoop,
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	<-ctx.Done()
	_ = data.Close()
	a.closePeers()
	wg.Wait()
	return nil
}

// adopt takes over the attempts that the worker kept running while the agent was down.
func (a *Agent) adopt() {
	for _, r := range a.cfg.Worker.List() {
		if err := a.ledger.Admit(0, ledger.Entry{ID: r.ID, Attempt: r.Attempt, Reserved: r.Reserved}); err != nil {
			a.cfg.Worker.Stop(r.ID, r.Attempt)
		}
	}
}

func (a *Agent) acceptLoop(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p := wire.NewPeer(conn, func(p *wire.Peer, m wire.Message, reply wire.Reply) { a.handleData(ctx, p, m, reply) })
		a.mu.Lock()
		a.peers[p] = struct{}{}
		a.mu.Unlock()
		go func() {
			<-p.Done()
			a.mu.Lock()
			delete(a.peers, p)
			a.mu.Unlock()
		}()
	}
}

func (a *Agent) closePeers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for p := range a.peers {
		go p.Close()
	}
	if a.owner != nil {
		go a.owner.Close()
	}
}

// Drain makes the upstream leave: the owner is told, the gate closes, and Drain
// returns when no request is in progress or ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.cfg.Recorder.Record(history.Event{Kind: history.DrainBegan, VM: a.cfg.VM, Incarnation: a.cfg.Incarnation})
	idle := a.gate.Drain(a.cfg.Clock.Now())
	a.mu.Lock()
	owner := a.owner
	a.mu.Unlock()
	if owner != nil {
		_ = owner.Notify(&wire.Drain{VM: a.cfg.VM})
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	a.leftOnce.Do(func() { close(a.left) })
}

// Undrain ends a drain: the owner is told and the gate opens again.
func (a *Agent) Undrain() {
	a.gate.Undrain()
	a.mu.Lock()
	owner := a.owner
	a.mu.Unlock()
	if owner != nil {
		_ = owner.Notify(&wire.Drain{VM: a.cfg.VM, Undo: true})
	}
}

// Left is closed when a drain has finished.
func (a *Agent) Left() <-chan struct{} { return a.left }

// Gate returns the agent's request ledger.
func (a *Agent) Gate() *gate.Gate { return a.gate }

// Ledger returns the agent's task ledger.
func (a *Agent) Ledger() *ledger.Ledger { return a.ledger }
