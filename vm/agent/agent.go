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

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/ledger"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/gate"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/vm/guard"
	"github.com/chicorystand/chicorystand/vm/worker"
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
	// LatencyTarget is the p99 that the guard keeps for the service; 0 disables the guard.
	LatencyTarget time.Duration
	// TailWeight weighs tail latency (1) against batch throughput and evictions (0).
	TailWeight float64

	Clock    clock.Clock
	Worker   worker.Worker
	Recorder *history.Recorder
	Log      zerolog.Logger
	// Transport carries requests to the upstream; nil uses TCP.
	Transport http.RoundTripper
	// Dial opens connections to entries; nil uses TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Agent is a running agent.
type Agent struct {
	cfg    Config
	gate   *gate.Gate
	ledger *ledger.Ledger
	client *http.Client

	outbox *outbox
	usage  usageFilter

	latency    latencies
	protection protection
	harms      harms
	speeds     speeds

	// startMu orders starts against the announcement: an attempt is either in the
	// announced ledger or refused, because it came on an older connection.
	startMu sync.Mutex
	control *wire.Peer
	// endMu makes the end of an attempt and the event that reports it one step.
	endMu sync.Mutex

	// configMu orders the records of generations put in force.
	configMu sync.Mutex

	mu sync.Mutex
	// ctx ends with the process.
	ctx      context.Context
	grant    lease.Grant
	owner    *wire.Peer
	dataAddr string
	// checkpoints holds the tasks whose periodic checkpoint is being written.
	checkpoints map[string]bool
	conns       dataConns
	left        chan struct{}
	leftOnce    sync.Once
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
	a := &Agent{
		cfg:    cfg,
		gate:   gate.New(cfg.Incarnation, cfg.Slots),
		ledger: ledger.New(cfg.Worker.Capacity(), cfg.ServiceHeld),
		client: newUpstreamClient(cfg.Conns, cfg.Transport),
		ctx:    context.Background(), checkpoints: make(map[string]bool),
		left: make(chan struct{}),
	}
	a.outbox = newOutbox(a.sendEvent, a.eventAcked)
	if cfg.LatencyTarget > 0 {
		a.protection.guard = guard.New(guard.Config{Target: cfg.LatencyTarget, TailWeight: cfg.TailWeight})
	}
	return a
}

// Run serves until ctx ends. data is the listener for requests from entries.
func (a *Agent) Run(ctx context.Context, data net.Listener) error {
	a.mu.Lock()
	a.ctx, a.dataAddr = ctx, data.Addr().String()
	a.mu.Unlock()
	a.cfg.Recorder.Record(history.Event{Kind: history.UpstreamStarted, VM: a.cfg.VM, Incarnation: a.cfg.Incarnation})
	a.adopt(ctx)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { a.acceptLoop(ctx, data) },
		a.controlLoop, a.taskLoop, a.guardLoop,
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	<-ctx.Done()
	a.recordCut()
	_ = data.Close()
	a.closePeers()
	wg.Wait()
	return nil
}

// adopt takes over the attempts that the worker kept running while the agent was
// down, and reports the results that the previous process did not deliver.
func (a *Agent) adopt(ctx context.Context) {
	for _, r := range a.cfg.Worker.List() {
		if err := a.ledger.Admit(0, ledger.Reservation{ID: r.ID, Attempt: r.Attempt, Reserved: r.Reserved}); err != nil {
			a.cfg.Worker.Stop(r.ID, r.Attempt)
		}
	}
	a.recordCommitment()
	for _, f := range a.cfg.Worker.Results() {
		a.finished(ctx, f)
	}
}

// recordCut records requests that a planned stop did not let finish.
func (a *Agent) recordCut() {
	if a.gate.Draining() && a.gate.FreeSlots() < a.cfg.Slots {
		a.cfg.Recorder.Record(history.Event{Kind: history.RequestInterrupted, Process: a.cfg.VM, VM: a.cfg.VM})
	}
}

func (a *Agent) closePeers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns.close()
	if a.owner != nil {
		go a.owner.Close()
	}
}

// Timing of a drain.
const (
	// drainPoll separates checks of whether tasks have left a draining VM.
	drainPoll = 100 * time.Millisecond
	// evictTimeout bounds the wait for checkpoints and acknowledgements. It exceeds
	// the time in which another entry takes the shard over (16.2 s) and the agent
	// finds it. Tasks that are left resume from their last recorded checkpoint.
	evictTimeout = 60 * time.Second
)

// Drain makes the upstream leave: the owner and the connected entries are told,
// the gate closes, and tasks are evicted with a checkpoint. Drain returns when no
// request is in progress and every eviction is acknowledged, when ctx ends, or
// when the drain is undone.
func (a *Agent) Drain(ctx context.Context) {
	a.cfg.Recorder.Record(history.Event{Kind: history.DrainBegan, VM: a.cfg.VM, Incarnation: a.cfg.Incarnation})
	idle, reopened := a.gate.Drain(a.cfg.Clock.Now())
	a.notifyDrain(false)
	evicted := make(chan struct{})
	go func() { defer close(evicted); a.evictAll(ctx) }()
	for _, done := range []<-chan struct{}{idle, evicted} {
		select {
		case <-done:
		case <-ctx.Done():
		case <-reopened:
			return
		}
	}
	a.leftOnce.Do(func() { close(a.left) })
}

// Undrain opens a draining upstream again.
func (a *Agent) Undrain() {
	if !a.gate.Undrain() {
		return
	}
	a.cfg.Recorder.Record(history.Event{Kind: history.UpstreamStarted, VM: a.cfg.VM, Incarnation: a.cfg.Incarnation})
	a.notifyDrain(true)
}

// notifyDrain tells the owner and the connected entries. A lost notification is
// made up for by the next announcement, which carries the state.
func (a *Agent) notifyDrain(undo bool) {
	notice := &wire.Drain{VM: a.cfg.VM, Undo: undo}
	a.conns.notify(notice)
	a.mu.Lock()
	owner := a.owner
	a.mu.Unlock()
	if owner != nil {
		_ = owner.Notify(notice)
	}
}

// evictAll evicts every attempt and waits until the owner has acknowledged the
// evictions. Attempts whose checkpoint cannot be stored keep running until ctx ends.
func (a *Agent) evictAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	for a.gate.Draining() {
		running := a.cfg.Worker.List()
		if len(running) == 0 && a.outbox.empty() {
			return
		}
		var wg sync.WaitGroup
		for _, r := range running {
			wg.Add(1)
			go func() { defer wg.Done(); _ = a.evict(r.ID, r.Attempt, errkind.Draining) }()
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
		}
	}
}

// Left is closed when a drain has finished.
func (a *Agent) Left() <-chan struct{} { return a.left }

// Gate returns the agent's request ledger.
func (a *Agent) Gate() *gate.Gate { return a.gate }

// Ledger returns the agent's task ledger.
func (a *Agent) Ledger() *ledger.Ledger { return a.ledger }
