package inmem

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/store/httpstore"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/agent"
	"github.com/chicorystand/chicorystand/wire"
)

// Config configures a cluster.
type Config struct {
	Seed                                  uint64
	Entries, Agents, Zones, ShardsPerZone int
	// AgentsPerRack groups agents into racks.
	AgentsPerRack int
	Capacity      task.Resources
	// WorkerStep is the interval at which the simulated workers advance their attempts.
	WorkerStep time.Duration
	// CheckpointInterval is the time between periodic checkpoints; 0 disables them.
	CheckpointInterval time.Duration
}

// storeProcess is the network name of the table service's process.
const storeProcess = "store"

// Cluster is a cluster of entries and agents with the table service and the object store.
type Cluster struct {
	cfg      Config
	Net      *Net
	Table    *standin.Table
	Objects  *standin.Objects
	Recorder *history.Recorder
	Clock    clock.Clock
	Entries  []*Entry
	Agents   []*Agent

	ctx          context.Context
	client       *http.Client
	wg           sync.WaitGroup
	incarnations uint64
}

// Entry is an entry process.
type Entry struct {
	ID, Zone string
	process  *entry.Entry
	cancel   context.CancelFunc
	done     chan struct{}
}

// Agent is an agent process on its VM.
type Agent struct {
	VM, Zone, Rack string
	Worker         *standin.Worker
	cancel         context.CancelFunc
	running        bool
}

// One-way network delays: zoneDelay between availability zones, localDelay within one.
const (
	zoneDelay  = 3500 * time.Microsecond
	localDelay = 200 * time.Microsecond
)

// Start starts a cluster; ctx comes from RunInVirtualTime. The caller must call Stop.
func Start(ctx context.Context, cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, Net: NewNet(cfg.Seed), Table: standin.NewTable(standin.DefaultWritesPerSecond, standin.DefaultReadsPerSecond),
		Objects: standin.NewObjects(), Clock: clock.NewRuntime(), ctx: ctx}
	c.Recorder = history.NewRecorder(c.Clock.Now)
	zones := make(map[string]string)
	for i := range cfg.Entries {
		zones[entryID(i)] = c.zone(i)
	}
	for i := range cfg.Agents {
		zones[vmID(i)] = c.zone(i)
	}
	c.Net.Delay = func(a, b string) time.Duration {
		if zones[a] == zones[b] {
			return localDelay
		}
		return zoneDelay
	}
	c.client = &http.Client{Transport: &http.Transport{DialContext: c.dialContext("client"), MaxIdleConnsPerHost: 8}}
	c.serve(storeProcess, "store:1", standin.Handler(c.Table, c.Objects))
	for i := range cfg.Entries {
		c.StartEntry(i)
		time.Sleep(50 * time.Millisecond)
	}
	for i := range cfg.Agents {
		c.startAgent(i)
		if i%20 == 0 {
			// Agent starts are staggered over several seconds to spread their heartbeats.
			time.Sleep(250 * time.Millisecond)
		}
	}
	return c
}

func entryID(i int) string { return fmt.Sprintf("entry-%d", i) }
func vmID(i int) string    { return fmt.Sprintf("vm-%03d", i) }

func (c *Cluster) zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%c.cfg.Zones) }

func (c *Cluster) dialContext(process string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dial := c.Net.Dialer(process)
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
}

func (c *Cluster) serve(process, addr string, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	l := c.Net.Listen(process, addr)
	c.wg.Add(2)
	go func() { defer c.wg.Done(); _ = s.Serve(l) }()
	go func() { defer c.wg.Done(); <-c.ctx.Done(); _ = s.Close() }()
}

// StartEntry starts entry i, or a new incarnation of it if it existed.
func (c *Cluster) StartEntry(i int) {
	id, zone := entryID(i), c.zone(i)
	control, web := c.Net.Listen(id, id+":1"), c.Net.Listen(id, id+":2")
	transport := &http.Transport{DialContext: c.dialContext(id), MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, DisableCompression: true}
	c.incarnations++
	p := entry.New(entry.Config{ID: id, Zone: zone, Incarnation: c.incarnations, ShardsPerZone: c.cfg.ShardsPerZone,
		Table: httpstore.New("http://store:1", transport), Clock: c.Clock, Recorder: c.Recorder, Log: zerolog.Nop(), Dial: c.Net.Dialer(id)})
	ctx, cancel := context.WithCancel(c.ctx)
	e := &Entry{ID: id, Zone: zone, cancel: cancel, done: make(chan struct{}), process: p}
	if i < len(c.Entries) {
		c.Entries[i] = e
	} else {
		c.Entries = append(c.Entries, e)
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(e.done)
		_ = p.Run(ctx, control, web)
		transport.CloseIdleConnections()
	}()
}

func (c *Cluster) startAgent(i int) {
	vm, zone, rack := vmID(i), c.zone(i), fmt.Sprintf("rack-%d", i/max(c.cfg.AgentsPerRack, 1))
	ctx, cancel := context.WithCancel(c.ctx)
	w := standin.NewWorker(standin.WorkerConfig{VM: vm, Capacity: c.cfg.Capacity, Clock: c.Clock, Objects: c.Objects,
		Recorder: c.Recorder, UsageReportAge: 2 * time.Second, AdvanceInterval: c.cfg.WorkerStep})
	var entries []string
	for j := range c.cfg.Entries {
		entries = append(entries, entryID((i+j)%c.cfg.Entries)+":1")
	}
	c.incarnations++
	p := agent.New(agent.Config{VM: vm, Zone: zone, Rack: rack, Incarnation: c.incarnations, Entries: entries, Service: "service",
		UpstreamURL: "http://upstream", Slots: 8, UpstreamConns: 4, CheckpointInterval: c.cfg.CheckpointInterval, Clock: c.Clock,
		Worker: w, Recorder: c.Recorder, Log: zerolog.Nop(), Dial: c.Net.Dialer(vm)})
	c.Agents = append(c.Agents, &Agent{VM: vm, Zone: zone, Rack: rack, Worker: w, cancel: cancel, running: true})
	data := c.Net.Listen(vm, vm+":1")
	c.wg.Add(2)
	go func() { defer c.wg.Done(); w.Run(ctx) }()
	go func() { defer c.wg.Done(); _ = p.Run(ctx, data) }()
}

// KillEntry ends an entry without a graceful shutdown.
func (c *Cluster) KillEntry(i int) {
	e := c.Entries[i]
	c.Net.Kill(e.ID)
	e.cancel()
	<-e.done
}

// StopEntry shuts an entry down gracefully.
func (c *Cluster) StopEntry(ctx context.Context, i int) {
	c.Entries[i].process.Shutdown(ctx)
	c.KillEntry(i)
}

// KillRack fails all running VMs of a rack simultaneously and returns their number.
func (c *Cluster) KillRack(rack string) int {
	n := 0
	for _, a := range c.Agents {
		if a.Rack == rack && a.running {
			a.running = false
			a.Worker.Fail()
			c.Net.Kill(a.VM)
			a.cancel()
			n++
		}
	}
	return n
}

// Stop ends all processes and waits for them. cancel must cancel the context given to Start.
func (c *Cluster) Stop(cancel context.CancelFunc) {
	cancel()
	c.client.CloseIdleConnections()
	c.wg.Wait()
}

// Call sends a JSON or YAML body to an entry's HTTP API and decodes the JSON response.
func (c *Cluster) Call(ctx context.Context, i int, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entryID(i)+":2"+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "build request")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "call %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "call %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		return errkind.New(errkind.Parse(resp.Header.Get(entry.HeaderKind)), "%s", data)
	}
	if into == nil {
		return nil
	}
	return errkind.Wrap(errkind.Internal, json.Unmarshal(data, into), "decode response")
}

// ConfigDocument returns a configuration for n customers that is based on the generation base.
func ConfigDocument(base uint64, n int) plan.Document {
	doc := plan.Document{Generation: base, Limits: []plan.Limit{{Plan: "standard", Priority: 5, ShareWeight: 1}, {Plan: "basic", ShareWeight: 1}}}
	for i := range n {
		doc.Plans = append(doc.Plans, plan.CustomerPlan{Customer: CustomerName(i), Plan: "standard"})
	}
	// Makes every generation differ from the previous one.
	doc.Limits[1].RequestsPerSecond = float64(base + 1)
	return doc
}

// CustomerName returns the name of customer i.
func CustomerName(i int) string { return fmt.Sprintf("team-%03d", i) }

// ApplyConfig proposes a configuration through entry i and returns the accepted one.
func (c *Cluster) ApplyConfig(ctx context.Context, i int, doc plan.Document) (plan.Document, error) {
	body, err := yaml.Marshal(doc)
	if err != nil {
		return doc, errkind.Wrap(errkind.Internal, err, "encode configuration")
	}
	var out plan.Document
	err = c.Call(ctx, i, http.MethodPut, "/v1/config", body, &out)
	return out, err
}

// Submit submits tasks through entry i and returns how many were accepted.
func (c *Cluster) Submit(ctx context.Context, i int, specs []task.Spec) (int, error) {
	body, err := json.Marshal(specs)
	if err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "encode tasks")
	}
	var results []wire.TaskResult
	if err := c.Call(ctx, i, http.MethodPost, "/v1/tasks", body, &results); err != nil {
		return 0, err
	}
	n := 0
	for _, r := range results {
		if r.Kind == errkind.None {
			n++
		}
	}
	return n, nil
}

// AwaitReady waits until entry 0 lists at least the given number of upstreams.
func (c *Cluster) AwaitReady(ctx context.Context, upstreams int) error {
	deadline := time.Now().Add(2 * time.Minute)
	for {
		var list []wire.Upstream
		err := c.Call(ctx, 0, http.MethodGet, "/v1/upstreams", nil, &list)
		if err == nil && len(list) >= upstreams {
			return nil
		}
		if time.Now().After(deadline) {
			return errkind.New(errkind.NotReady, "%d of %d upstreams are listed: %v", len(list), upstreams, err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// CountEvents returns the number of recorded events of a kind.
func (c *Cluster) CountEvents(kind history.Kind) int {
	n := 0
	for _, e := range c.Recorder.Events() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// submitBatch is the number of tasks that RunTasks submits in one call.
const submitBatch = 500

// RunTasks applies a configuration for the customers, submits latency-critical tasks of
// unlimited duration round-robin through the entries, and waits until all of them run.
func (c *Cluster) RunTasks(ctx context.Context, tasks, customers int, timeout time.Duration) error {
	if err := c.AwaitReady(ctx, c.cfg.Agents); err != nil {
		return err
	}
	if _, err := c.ApplyConfig(ctx, 0, ConfigDocument(0, customers)); err != nil {
		return err
	}
	for n := 0; n < tasks; n += submitBatch {
		var specs []task.Spec
		for i := n; i < min(n+submitBatch, tasks); i++ {
			specs = append(specs, task.Spec{ID: fmt.Sprintf("task-%05d", i), Customer: CustomerName(i % customers), JobClass: "watcher",
				Class: task.LatencyCritical, Declared: task.Resources{CPU: 1000, Memory: 1024}})
		}
		accepted, err := c.Submit(ctx, n/submitBatch%c.cfg.Entries, specs)
		if err != nil {
			return err
		}
		if accepted != len(specs) {
			return errkind.New(errkind.Internal, "%d of %d tasks were accepted", accepted, len(specs))
		}
	}
	deadline := time.Now().Add(timeout)
	for c.CountEvents(history.TaskRunStart) < tasks {
		if time.Now().After(deadline) {
			return errkind.New(errkind.NotReady, "%d of %d tasks started before the timeout", c.CountEvents(history.TaskRunStart), tasks)
		}
		time.Sleep(time.Second)
	}
	return nil
}
