// Package agent implements the process that runs on each upstream VM. It admits requests to
// the upstream, keeps the authoritative ledger of the tasks on the VM, and holds the lease
// that the shard owner grants to the VM.
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
	// Incarnation is unique to each start of the process and increases from start to start.
	Incarnation uint64
	// Entries are the addresses that answer Locate requests, normally that of the load balancer.
	Entries []string
	// Service is the service of the upstream; empty on VMs that run tasks only.
	Service         string
	ServiceReserved task.Resources
	UpstreamURL     string
	Slots           int
	UpstreamConns   int
	// CheckpointInterval is the time between periodic checkpoints of batch tasks; 0 disables them.
	CheckpointInterval time.Duration
	Heartbeat          time.Duration
	// LatencyTarget is the p99 latency target of the service, which the guard protects; 0 disables the guard.
	LatencyTarget time.Duration
	// TailWeight is the weight of tail latency (1) against batch throughput and evictions (0).
	TailWeight float64

	Clock    clock.Clock
	Worker   worker.Worker
	Recorder *history.Recorder
	Log      zerolog.Logger
	// Transport sends requests to the upstream; nil uses TCP.
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

	latencies    latencies
	guardState   guardState
	interference interferenceTable
	speedLimits  speedLimits

	// startMu serializes starts with the announcement: an attempt is either in the announced
	// ledger or rejected because its start order came on an older connection.
	startMu sync.Mutex
	control *wire.Peer
	// endMu makes ending an attempt and queueing the event that reports it atomic.
	endMu sync.Mutex

	// configMu keeps the recorded configuration generations in order.
	configMu sync.Mutex
	// evacuatedZones are the zones under evacuation as of zonesGeneration; configMu guards both.
	evacuatedZones  []string
	zonesGeneration uint64

	// drainMu orders drains and their undoing. leaving is set for good when the process begins to stop.
	drainMu sync.Mutex
	leaving bool

	mu sync.Mutex
	// ctx is the context of Run; it is cancelled when the process stops.
	ctx      context.Context
	grant    lease.Grant
	owner    *wire.Peer
	dataAddr string
	// checkpoints holds the IDs of tasks with a checkpoint in progress.
	checkpoints map[string]bool
	conns       dataConns
	drained     chan struct{}
	drainedOnce sync.Once
}

// New returns an agent. Run starts it.
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
		ledger: ledger.New(cfg.Worker.Capacity(), cfg.ServiceReserved),
		client: newUpstreamClient(cfg.UpstreamConns, cfg.Transport),
		ctx:    context.Background(), checkpoints: make(map[string]bool),
		drained: make(chan struct{}),
	}
	a.outbox = newOutbox(a.sendEvent, a.eventAcked)
	if cfg.LatencyTarget > 0 {
		a.guardState.guard = guard.New(guard.Config{Target: cfg.LatencyTarget, TailWeight: cfg.TailWeight})
	}
	return a
}

// Run serves until ctx is cancelled. data accepts the connections of entries.
func (a *Agent) Run(ctx context.Context, data net.Listener) error {
	a.mu.Lock()
	a.ctx, a.dataAddr = ctx, data.Addr().String()
	a.mu.Unlock()
	a.cfg.Recorder.Record(history.Event{Kind: history.UpstreamStarted, VM: a.cfg.VM, Incarnation: a.cfg.Incarnation})
	a.adoptAttempts(ctx)
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
	a.recordInterruptedRequests()
	_ = data.Close()
	a.closePeers()
	wg.Wait()
	return nil
}

// adoptAttempts adds the attempts that the worker kept running while the agent was down to
// the ledger, lifts the speed limits that the previous process may have set, which this one does not know, and reports the results that it
// did not deliver.
func (a *Agent) adoptAttempts(ctx context.Context) {
	for _, r := range a.cfg.Worker.List() {
		if err := a.ledger.Admit(0, ledger.Reservation{ID: r.ID, Attempt: r.Attempt, Reserved: r.Reserved}); err != nil {
			a.cfg.Worker.Stop(r.ID, r.Attempt)
			continue
		}
		a.cfg.Worker.Throttle(r.ID, 1)
	}
	a.recordCommitment()
	for _, f := range a.cfg.Worker.Results() {
		a.handleFinished(ctx, f)
	}
}

// recordInterruptedRequests records that requests were still in progress at the end of a graceful stop.
func (a *Agent) recordInterruptedRequests() {
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
	// drainPollInterval is the interval between checks for tasks left on a draining VM.
	drainPollInterval = 100 * time.Millisecond
	// evictionTimeout bounds the wait for checkpoints and acknowledgements. It exceeds the time
	// until another entry has taken over the shard (16.2 s) and the agent has located it. Tasks
	// that are not evicted in time resume from their last recorded checkpoint.
	evictionTimeout = 60 * time.Second
)

// Drain removes the upstream from service: it closes the gate, notifies the owner and the
// connected entries, and evicts tasks with a checkpoint. Drain returns when no request is in
// progress and every eviction is acknowledged, when ctx is cancelled, or when the drain is undone.
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
	a.drainedOnce.Do(func() { close(a.drained) })
}

// Leave is Drain for a process that stops afterwards. It cannot be undone.
func (a *Agent) Leave(ctx context.Context) {
	a.drainMu.Lock()
	a.leaving = true
	a.drainMu.Unlock()
	a.Drain(ctx)
}

// Undrain cancels a drain and puts the upstream back into service. It fails with errkind.Conflict once
// the process stops.
func (a *Agent) Undrain() error {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	if a.leaving {
		return errkind.New(errkind.Conflict, "the agent of VM %s is stopping; nothing was done", a.cfg.VM)
	}
	if !a.gate.Undrain() {
		return nil
	}
	a.cfg.Recorder.Record(history.Event{Kind: history.UpstreamStarted, VM: a.cfg.VM, Incarnation: a.cfg.Incarnation})
	a.notifyDrain(true)
	return nil
}

// notifyDrain notifies the owner and the connected entries of a drain or its undoing. Delivery is
// best effort: the next announcement carries the state too.
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

// evictAll evicts every attempt and waits until the owner has acknowledged the evictions.
// Attempts whose checkpoint cannot be stored keep running and are retried until ctx ends.
func (a *Agent) evictAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, evictionTimeout)
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
		case <-time.After(drainPollInterval):
		}
	}
}

// Drained returns a channel that is closed when a drain has finished.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

// Gate returns the gate that admits requests to the upstream.
func (a *Agent) Gate() *gate.Gate { return a.gate }

// Ledger returns the agent's task ledger.
func (a *Agent) Ledger() *ledger.Ledger { return a.ledger }
