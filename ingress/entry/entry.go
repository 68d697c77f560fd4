// Package entry implements the process on the entry VMs. It serves callers and operators
// over HTTP, routes requests to upstreams, and owns shards of the scheduler.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// Config configures an entry.
type Config struct {
	ID   string
	Zone string
	// Incarnation is unique to this start of the process.
	Incarnation   uint64
	ShardsPerZone int
	// TailWeight is the scheduler's weight of tail latency (1) against batch throughput and
	// evictions (0).
	TailWeight float64
	Table      store.Table
	Clock      clock.Clock
	Recorder   *history.Recorder
	Log        zerolog.Logger
	// Dial opens connections to agents and entries; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// RequireIdentity rejects API callers without a verified client certificate.
	RequireIdentity bool
	// Events buffers the log lines that operators can follow; nil disables this.
	Events *events.Ring
}

// Entry is a running entry.
type Entry struct {
	cfg      Config
	addr     string
	table    *route.Table
	manager  *shard.Manager
	pool     *pool
	metrics  *metrics.Entry
	requests *requests
	// outcomes holds recent request outcomes and latencies for operators.
	outcomes *outcomes
	seq      atomic.Uint64
	ctx      context.Context

	follower *confsync.Follower
	proposer *confsync.Proposer
	// pollNow triggers a read of the configuration before the next regular poll.
	pollNow chan struct{}

	mu       sync.Mutex
	ready    bool
	draining bool
	// shuttingDown is set from the beginning of Shutdown.
	shuttingDown bool
	active       sync.WaitGroup
	// peers holds the connections to the other entries, entries their latest registrations.
	peers   map[string]*wire.Peer
	entries map[string]confsync.Registration
	conns   map[*wire.Peer]struct{}
}

// New returns an entry that has not been started.
func New(cfg Config) *Entry {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	m := metrics.NewEntry()
	cfg.Table = m.Table(cfg.Table)
	e := &Entry{cfg: cfg, table: route.NewTable(cfg.Zone, cfg.Incarnation), metrics: m, outcomes: newOutcomes(),
		follower: confsync.NewFollower(cfg.Table, cfg.Clock), pollNow: make(chan struct{}, 1),
		peers: make(map[string]*wire.Peer), entries: make(map[string]confsync.Registration), conns: make(map[*wire.Peer]struct{})}
	e.requests = newRequests(m)
	e.pool = newPool(cfg.Dial, cfg.Incarnation, e.handleAgentNotification)
	return e
}

// Run serves until ctx is done. control is the listener for agents and entries, web the
// listener for callers and operators.
func (e *Entry) Run(ctx context.Context, control, web net.Listener) error {
	e.addr, e.ctx = control.Addr().String(), ctx
	extensionGrants := lease.NewExtensionGrants()
	e.proposer = confsync.NewProposer(e.cfg.ID, e.cfg.Table, e.cfg.Clock, extensionGrants)
	e.manager = shard.NewManager(shard.ManagerConfig{
		Entry: e.cfg.ID, Addr: e.addr, Zone: e.cfg.Zone, Incarnation: e.cfg.Incarnation,
		Table: e.cfg.Table, Clock: e.cfg.Clock, Recorder: e.cfg.Recorder, Log: e.cfg.Log,
		Scheduler: scheduler.Config{TailWeight: e.cfg.TailWeight, Seed: e.cfg.Incarnation}, Follower: e.follower, ExtensionGrants: extensionGrants, RequestExtension: e.requestExtension, OnEntries: e.entriesChanged,
		OnAcquired: e.ownerStarted,
		OnReleased: func() { e.sendDigests(ctx) },
		OnMembers:  e.membersChanged,
		OnEvict:    func(k errkind.Kind) { e.metrics.Evictions.WithLabelValues(k.String()).Inc() },
	})
	server := e.newServer()
	var wg sync.WaitGroup
	for _, loop := range []func(){
		func() { e.manager.Run(ctx) },
		func() { e.acceptLoop(control) },
		func() { _ = server.Serve(limitConns(web)) },
		func() { e.configLoop(ctx) },
		func() { e.peerLoop(ctx) },
	} {
		wg.Add(1)
		go func() { defer wg.Done(); loop() }()
	}
	<-ctx.Done()
	_ = control.Close()
	_ = server.Close()
	e.closeAll()
	wg.Wait()
	return nil
}

// Limits of accepted control connections. Agents and entries send their first message
// within one digest interval.
const (
	firstFrameTimeout = 2 * digestInterval
	maxControlConns   = 1024
)

// lameDuckPeriod is how long /readyz fails before requests are refused, so that the load
// balancer has removed the entry from rotation by then.
const lameDuckPeriod = 2 * time.Second

// Shutdown stops the entry gracefully: /readyz fails first, then new requests are refused,
// requests in flight finish, and shards are released.
func (e *Entry) Shutdown(ctx context.Context) {
	e.mu.Lock()
	e.ready, e.shuttingDown = false, true
	e.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(lameDuckPeriod):
	}
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() { e.active.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	e.manager.Release(ctx)
	e.sendDigests(ctx)
}

func (e *Entry) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p := range e.conns {
		go p.Close()
	}
	for _, p := range e.peers {
		go p.Close()
	}
	e.pool.close()
}

func (e *Entry) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p := wire.Accept(conn, e.handleControl, firstFrameTimeout)
		e.mu.Lock()
		e.conns[p] = struct{}{}
		full := len(e.conns) > maxControlConns
		e.mu.Unlock()
		if full {
			p.Close()
		}
		go func() {
			<-p.Done()
			e.mu.Lock()
			delete(e.conns, p)
			e.mu.Unlock()
			e.peerDisconnected(p)
		}()
	}
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Entry { return e.metrics }

// Addr returns the control address after Run has started.
func (e *Entry) Addr() string { return e.addr }
