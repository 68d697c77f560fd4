// Package entry is the process on the entry VMs. It serves callers and
// operators over HTTP, routes requests to upstreams, and owns shards.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/clock"
	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
	"github.com/chicorystand/chicorystand/history"
	"github.com/chicorystand/chicorystand/metrics"
	"github.com/chicorystand/chicorystand/plan"
	"github.com/chicorystand/chicorystand/route"
	"github.com/chicorystand/chicorystand/shard"
	"github.com/chicorystand/chicorystand/store"
	"github.com/chicorystand/chicorystand/wire"
)

// Config configures an entry.
type Config struct {
	ID   string
	Zone string
	// Incarnation is unique to this start of the process.
	Incarnation   uint64
	ShardsPerZone int
	Table         store.Table
	Clock         clock.Clock
	Recorder      *history.Recorder
	Log           zerolog.Logger
	// Dial opens connections to agents and entries; nil uses TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// RequireIdentity refuses callers of the API without a verified certificate.
	RequireIdentity bool
	// Events keeps the log lines that operators can follow; nil keeps none.
	Events *events.Ring
}

// Entry is a running entry.
type Entry struct {
	cfg     Config
	addr    string
	table   *route.Table
	manager *shard.Manager
	pool    *pool
	metrics *metrics.Entry
	// outcomes keeps recent outcomes and latencies for operators.
	outcomes *outcomes
	seq      atomic.Uint64
	ctx      context.Context

	mu       sync.Mutex
	doc      plan.Document
	docVer   uint64
	ready    bool
	draining bool
	active   sync.WaitGroup
	peers    map[string]*wire.Peer
	conns    map[*wire.Peer]struct{}
}

// New returns an entry that has not started.
func New(cfg Config) *Entry {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	m := metrics.NewEntry()
	cfg.Table = m.Table(cfg.Table)
	return &Entry{cfg: cfg, table: route.NewTable(cfg.Zone, cfg.Incarnation), pool: newPool(cfg.Dial), metrics: m, outcomes: newOutcomes(),
		peers: make(map[string]*wire.Peer), conns: make(map[*wire.Peer]struct{})}
}

// Run serves until ctx ends. control is the listener for agents and entries;
// web serves callers and operators.
func (e *Entry) Run(ctx context.Context, control, web net.Listener) error {
	e.addr, e.ctx = control.Addr().String(), ctx
	e.manager = shard.NewManager(shard.ManagerConfig{
		Entry: e.cfg.ID, Addr: e.addr, Table: e.cfg.Table, Clock: e.cfg.Clock, Recorder: e.cfg.Recorder, Log: e.cfg.Log,
		OnOwner:   func(o *shard.Owner) { o.SetConfig(ctx, e.config()) },
		OnMembers: e.membersChanged,
		OnEvict:   func(k errkind.Kind) { e.metrics.Evictions.WithLabelValues(k.String()).Inc() },
	})
	server := e.newServer()
	var wg sync.WaitGroup
	for _, loop := range []func(){
		func() { e.manager.Run(ctx) },
		func() { e.acceptLoop(control) },
		func() { _ = server.Serve(web) },
		func() { e.configLoop(ctx) },
		func() { e.registrationLoop(ctx) },
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

// readyzLead is how long /readyz fails before requests are refused, so that the
// balancer has taken the entry out.
const readyzLead = 2 * time.Second

// Shutdown stops gracefully: /readyz fails first, then new requests are refused,
// requests in progress finish, and shards are released.
func (e *Entry) Shutdown(ctx context.Context) {
	e.mu.Lock()
	e.ready = false
	e.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(readyzLead):
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
	_, _ = e.cfg.Table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: registrationPrefix + e.cfg.ID, Delete: true}}})
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
		p := wire.NewPeer(conn, e.handleControl)
		e.mu.Lock()
		e.conns[p] = struct{}{}
		e.mu.Unlock()
		go func() {
			<-p.Done()
			e.mu.Lock()
			delete(e.conns, p)
			e.mu.Unlock()
			e.peerGone(p)
		}()
	}
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Entry { return e.metrics }

// Addr returns the control address after Run has started.
func (e *Entry) Addr() string { return e.addr }

// config returns the configuration in force.
func (e *Entry) config() plan.Document {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.doc
}

const (
	configKey          = "config/current"
	configPollInterval = 500 * time.Millisecond
	registrationPrefix = "entry/"
)

// configLoop reads the configuration and puts newer generations in force.
func (e *Entry) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.pollConfig(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(configPollInterval):
		}
	}
}

func (e *Entry) pollConfig(ctx context.Context) {
	rows, err := e.cfg.Table.Get(ctx, configKey)
	if err != nil {
		return
	}
	var doc plan.Document
	version := uint64(0)
	if len(rows) == 1 {
		if err := msgpack.Unmarshal(rows[0].Value, &doc); err != nil {
			e.cfg.Log.Error().Err(err).Msg("decode configuration")
			return
		}
		version = rows[0].Version
	}
	e.mu.Lock()
	changed := doc.Generation > e.doc.Generation
	if changed {
		e.doc, e.docVer = doc, version
	}
	if !e.draining {
		e.ready = true
	}
	e.mu.Unlock()
	if !changed {
		return
	}
	e.cfg.Recorder.Record(history.Event{Kind: history.ConfigInForce, Process: e.cfg.ID, Generation: doc.Generation})
	for _, o := range e.manager.Owners() {
		_ = o.Do(ctx, func() { o.SetConfig(ctx, doc) })
	}
}

// applyConfig commits a new document based on the generation it names.
func (e *Entry) applyConfig(ctx context.Context, doc plan.Document) (plan.Document, error) {
	if err := doc.Validate(); err != nil {
		return plan.Document{}, err
	}
	rows, err := e.cfg.Table.Get(ctx, configKey)
	if err != nil {
		return plan.Document{}, err
	}
	var current plan.Document
	cond := store.Cond{Key: configKey}
	if len(rows) == 1 {
		if err := msgpack.Unmarshal(rows[0].Value, &current); err != nil {
			return plan.Document{}, errkind.Wrap(errkind.Internal, err, "decode configuration")
		}
		cond.Version = rows[0].Version
	}
	if doc.Generation != current.Generation {
		return current, errkind.New(errkind.Conflict, "the change is based on generation %d, the current one is %d", doc.Generation, current.Generation)
	}
	doc.Generation++
	value, err := msgpack.Marshal(doc)
	if err != nil {
		return plan.Document{}, errkind.Wrap(errkind.Internal, err, "encode configuration")
	}
	w := store.NewWriter(e.cfg.Table, e.cfg.ID+"/config/"+time.Now().Format(time.RFC3339Nano))
	if _, err := w.Commit(ctx, store.Txn{Conds: []store.Cond{cond}, Writes: []store.Write{{Key: configKey, Value: value}}}); err != nil {
		return current, err
	}
	e.cfg.Recorder.Record(history.Event{Kind: history.ConfigAccepted, Generation: doc.Generation})
	e.pollConfig(ctx)
	return doc, nil
}
