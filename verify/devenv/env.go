package devenv

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/store/httpstore"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/agent"
)

// Config configures an environment.
type Config struct {
	Deployment Deployment
	// Entries is the number of entry processes.
	Entries int
	Log     zerolog.Logger
	// CheckpointInterval is the time between periodic checkpoints of batch tasks.
	CheckpointInterval time.Duration
	Behaviors          map[string]standin.Behavior
	// API is the address of the first entry's API; empty chooses a free port.
	API string
	// Events stores the latest log lines for chicoryctl events; nil stores none.
	Events *events.Ring
}

// Env is a running environment.
type Env struct {
	cfg      Config
	Clock    clock.Clock
	Recorder *history.Recorder
	Table    *standin.Table
	Objects  *standin.Objects
	Store    string
	Entries  []*Entry
	Agents   []*Agent

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	zones  map[string]string
}

// Entry is an entry process of the environment.
type Entry struct {
	ID      string
	Zone    string
	Control string
	URL     string
	// Operators is the base URL of the status page, metrics and profiles.
	Operators string
	Process   *entry.Entry
	cancel    context.CancelFunc
	done      chan struct{}
}

// Agent is an agent process with its VM.
type Agent struct {
	VM       string
	Zone     string
	Process  *agent.Agent
	Worker   *standin.Worker
	cancel   context.CancelFunc
	cancelVM context.CancelFunc
	done     chan struct{}
}

// Start starts the environment, which runs until Stop is called or ctx ends.
func Start(ctx context.Context, cfg Config) (*Env, error) {
	if cfg.Entries == 0 {
		cfg.Entries = 2
	}
	e := &Env{cfg: cfg, Clock: clock.Boottime{}, Objects: standin.NewObjects(), zones: make(map[string]string),
		Table: standin.NewTable(standin.DefaultWritesPerSecond, standin.DefaultReadsPerSecond)}
	e.Recorder = history.NewRecorder(e.Clock.Now)
	e.ctx, e.cancel = context.WithCancel(ctx)
	if err := e.startStore(); err != nil {
		return nil, err
	}
	for i := range cfg.Entries {
		if err := e.startEntry(i); err != nil {
			e.Stop()
			return nil, err
		}
	}
	for i := range cfg.Deployment.Workers.Count {
		if err := e.startAgent(i); err != nil {
			e.Stop()
			return nil, err
		}
	}
	return e, nil
}

// Stop ends every process without a graceful shutdown and waits for them.
func (e *Env) Stop() {
	e.cancel()
	e.wg.Wait()
}

// Drain shuts down every agent and then every entry gracefully until ctx ends, and then stops
// whatever is still running.
func (e *Env) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range e.Agents {
		wg.Add(1)
		go func() { defer wg.Done(); a.Stop(ctx) }()
	}
	wg.Wait()
	for _, en := range e.Entries {
		wg.Add(1)
		go func() { defer wg.Done(); en.Stop(ctx) }()
	}
	wg.Wait()
	e.Stop()
}

func listen() (net.Listener, error) { return listenAt("127.0.0.1:0") }

func listenAt(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return l, errkind.Wrap(errkind.Conflict, err, "listen on %s", addr)
}

func (e *Env) serveHTTP(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	e.wg.Add(2)
	go func() { defer e.wg.Done(); _ = s.Serve(l) }()
	go func() { defer e.wg.Done(); <-e.ctx.Done(); _ = s.Close() }()
	return "http://" + l.Addr().String(), nil
}

func (e *Env) startStore() error {
	url, err := e.serveHTTP(standin.Handler(e.Table, e.Objects))
	e.Store = url
	return err
}

func (e *Env) zoneAt(i int) string { return e.cfg.Deployment.Zones[i%len(e.cfg.Deployment.Zones)] }

func (e *Env) zoneOf(addr string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones[addr]
}

func (e *Env) setZone(addr, zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones[addr] = zone
}

func (e *Env) startEntry(i int) error {
	control, err := listen()
	if err != nil {
		return err
	}
	api := "127.0.0.1:0"
	if i == 0 && e.cfg.API != "" {
		api = e.cfg.API
	}
	apiListener, err := listenAt(api)
	if err != nil {
		_ = control.Close()
		return err
	}
	id, zone := fmt.Sprintf("entry-%d", i), e.zoneAt(i)
	e.setZone(control.Addr().String(), zone)
	p := entry.New(entry.Config{ID: id, Zone: zone, Incarnation: uint64(time.Now().UnixNano()), ShardsPerZone: 1, TailWeight: e.cfg.Deployment.Objective.TailWeight,
		Table: httpstore.New(e.Store, nil), Clock: e.Clock, Recorder: e.Recorder,
		Log: e.cfg.Log.With().Str("entry", id).Logger(), Dial: e.delayDialer(zone), Events: e.cfg.Events})
	admin, err := e.serveHTTP(p.OperatorHandler())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(e.ctx)
	en := &Entry{ID: id, Zone: zone, Control: control.Addr().String(), URL: "http://" + apiListener.Addr().String(), Operators: admin,
		Process: p, cancel: cancel, done: make(chan struct{})}
	e.Entries = append(e.Entries, en)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer close(en.done)
		_ = p.Run(ctx, control, apiListener)
	}()
	return nil
}

// guardTargetMultiple is the guard's p99 latency target of an upstream, as a multiple of its
// nominal service time.
const guardTargetMultiple = 2

func (e *Env) startAgent(i int) error {
	d := e.cfg.Deployment
	vm, zone := fmt.Sprintf("vm-%02d", i), e.zoneAt(i)
	incarnation := uint64(time.Now().UnixNano())
	vmCtx, cancelVM := context.WithCancel(e.ctx)
	worker := standin.NewWorker(standin.WorkerConfig{VM: vm, Capacity: d.Workers.Capacity, Clock: e.Clock,
		Objects: httpstore.New(e.Store, nil).Objects(), Recorder: e.Recorder, Behaviors: e.cfg.Behaviors, UsageReportAge: 2 * time.Second})
	url, err := e.serveHTTP(&standin.Upstream{VM: vm, Incarnation: incarnation, ServiceTime: d.Service.ServiceTime,
		Slowdown: worker.Slowdown, Recorder: e.Recorder})
	if err != nil {
		cancelVM()
		return err
	}
	data, err := listen()
	if err != nil {
		cancelVM()
		return err
	}
	e.setZone(data.Addr().String(), zone)
	var entries []string
	for j := range e.Entries {
		entries = append(entries, e.Entries[(i+j)%len(e.Entries)].Control)
	}
	target := time.Duration(0)
	if d.Workers.Guards {
		target = guardTargetMultiple * d.Service.ServiceTime
	}
	p := agent.New(agent.Config{LatencyTarget: target, TailWeight: d.Objective.TailWeight, VM: vm, Zone: zone, Rack: fmt.Sprintf("rack-%d", i/d.Workers.PerRack), Incarnation: incarnation,
		Entries: entries, Service: d.Service.Name, ServiceReserved: d.Service.Reserved, UpstreamURL: url, Slots: d.Service.Slots,
		UpstreamConns: d.Service.Connections, CheckpointInterval: e.cfg.CheckpointInterval, Clock: e.Clock, Worker: worker,
		Recorder: e.Recorder, Log: e.cfg.Log.With().Str("vm", vm).Logger(), Dial: e.delayDialer(zone)})
	ctx, cancel := context.WithCancel(vmCtx)
	a := &Agent{VM: vm, Zone: zone, Process: p, Worker: worker, cancel: cancel, cancelVM: cancelVM, done: make(chan struct{})}
	e.Agents = append(e.Agents, a)
	e.wg.Add(2)
	go func() { defer e.wg.Done(); worker.Run(vmCtx) }()
	go func() {
		defer e.wg.Done()
		defer close(a.done)
		_ = p.Run(ctx, data)
	}()
	return nil
}

// Kill ends the entry without a graceful shutdown.
func (en *Entry) Kill() {
	en.cancel()
	<-en.done
}

// Stop shuts the entry down gracefully.
func (en *Entry) Stop(ctx context.Context) {
	en.Process.Shutdown(ctx)
	en.Kill()
}

// Stop drains the agent and then ends it.
func (a *Agent) Stop(ctx context.Context) {
	a.Process.Leave(ctx)
	a.cancel()
	<-a.done
}

// FailVM ends the agent, its tasks and its VM abruptly.
func (a *Agent) FailVM() {
	a.Worker.Fail()
	a.cancelVM()
	<-a.done
}
