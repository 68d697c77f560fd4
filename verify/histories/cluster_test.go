package histories

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/coordinator"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/gateway"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/verify/workload"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/vm/vmagent"
)

const (
	entryCount    = 3
	executorCount = 4
	// networkDelay is the one-way delay between two VMs.
	networkDelay = 2 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of an executor.
	heartbeatInterval = 1500 * time.Millisecond
	// processRestart is how long a killed process is away.
	processRestart = 500 * time.Millisecond
	testLease      = 4500 * time.Millisecond
	testMaxLease   = 6 * time.Second
	testStop       = 200 * time.Millisecond
)

var executorCapacity = task.Resources{CPU: 4000, Memory: 8000}

// process is an entry or an agent that can be killed and started again.
type process struct {
	name  string
	link  *standin.Link
	stop  context.CancelFunc
	ended chan struct{}
	log   zerolog.Logger
	// requests is the gateway of an entry.
	requests *gateway.Gateway
	// agent is the agent beside an executor.
	agent *vmagent.Agent
}

// cluster is a deployment in one process.
type cluster struct {
	ctx       context.Context
	net       *inmem.Net
	table     *standin.Table
	recorder  *history.Recorder
	clock     clock.Clock
	start     time.Time
	works     map[string]standin.Work
	entries   [entryCount]*process
	agents    [executorCount]*process
	executors [executorCount]*standin.Executor
	manifest  *manifest.Manifest
	log       zerolog.Logger

	// mu guards the fields below, entries, agents and what faults change of executors.
	mu    sync.Mutex
	lives uint64
	cuts  map[string]bool
	// away holds the names of processes and executors that a fault has ended and not started yet.
	away map[string]bool
}

func newCluster(ctx context.Context, works map[string]standin.Work) *cluster {
	start := time.Now()
	c := &cluster{ctx: ctx, start: start, net: inmem.NewNet(1), table: standin.NewTable(800, 2000), clock: clock.NewRuntime(), works: works,
		recorder: history.NewRecorder(func() time.Duration { return time.Since(start) }), cuts: make(map[string]bool), away: make(map[string]bool), log: zerolog.Nop()}
	if *logLines {
		c.log = zerolog.New(zerolog.SyncWriter(os.Stderr)).With().Timestamp().Logger()
	}
	c.net.Delay = func(string, string) time.Duration { return networkDelay }
	c.manifest = &manifest.Manifest{Version: 1, Routes: []manifest.Route{{Name: "q", Prefix: "/q/", Service: "pool", MaxAttempts: workload.MaxAttempts, Stretch: 2}},
		Services: map[string]manifest.Service{"pool": {Name: "pool", EnforcesCapacity: true}}}
	c.manifest.BuildIndex()
	for i := range c.entries {
		c.startEntry(i)
	}
	for i := range c.executors {
		c.startExecutor(i)
		c.startAgent(i)
	}
	return c
}

func entryName(i int) string    { return fmt.Sprintf("entry-%d", i) }
func agentName(i int) string    { return fmt.Sprintf("agent-%d", i) }
func executorName(i int) string { return fmt.Sprintf("vm-%d", i) }

// newProcess returns a process whose work ends with its context.
func (c *cluster) newProcess(name string) (*process, context.Context) {
	ctx, stop := context.WithCancel(c.ctx)
	return &process{name: name, link: standin.NewLink(c.table), stop: stop, ended: make(chan struct{}),
		log: c.log.With().Str("process", name).Logger()}, ctx
}

func (c *cluster) member(name string, role member.Role) member.Member {
	c.lives++
	return member.Member{Name: name, Address: name + ":1", Role: role, Incarnation: c.lives}
}

func (c *cluster) startEntry(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ctx := c.newProcess(entryName(i))
	c.entries[i] = p
	self := c.member(p.name, member.Entry)
	owner := member.NewOwnerLink(c.clock, p.log)
	current := func() *manifest.Manifest { return c.manifest }
	p.requests = gateway.New(gateway.Config{Store: p.link, Clock: c.clock, Log: p.log, Owner: owner, Manifest: current,
		StoreAnswered: c.clock.Now, Observe: func(string, int, time.Duration, error) {}})
	candidate := coordinator.NewCandidate(coordinator.Config{Store: p.link, Clock: c.clock, Log: p.log, Member: self,
		Dial: c.net.Dialer(p.name), HighestEpoch: owner.Epoch, Manifest: current,
		Bounds: dispatch.Bounds{LeaseDuration: testLease, AckValidity: 2 * time.Second, MaxStoreOutage: 15 * time.Second, StopTimeout: testStop, Retention: time.Hour}}, owner)
	l := c.net.Listen(p.name, self.Address)
	go member.Serve(l, owner, owner.Handle)
	go member.KeepRegistered(ctx, p.link, self, owner.SinceLastMessage)
	go func() {
		defer close(p.ended)
		candidate.Run(ctx)
	}()
}

func (c *cluster) startExecutor(i int) {
	e := standin.NewExecutor(standin.ExecutorConfig{VM: executorName(i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:1", i),
		Rack: fmt.Sprintf("r%d", i/2), Capacity: executorCapacity, Clock: c.clock, ClockRate: 1 - 0.02*float64(i%2), MaxLease: testMaxLease,
		StopTimeout: testStop, CheckpointInterval: time.Second, Recorder: c.recorder,
		Work: func(name string, _ uint32) standin.Work { return c.works[name] }})
	e.Boot(false)
	c.executors[i] = e
	go e.Run(c.ctx)
}

func (c *cluster) startAgent(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ctx := c.newProcess(agentName(i))
	c.agents[i] = p
	self := c.member(p.name, member.Agent)
	owner := member.NewOwnerLink(c.clock, p.log)
	p.agent = vmagent.New(ctx, vmagent.Config{Name: p.name, Client: c.executors[i], Clock: c.clock, Log: p.log, Link: owner,
		Observe: func(string, executor.Answer) {}})
	l := c.net.Listen(p.name, self.Address)
	go member.Serve(l, owner, p.agent.Handle)
	go member.KeepRegistered(ctx, p.link, self, owner.SinceLastMessage)
	go func() {
		defer close(p.ended)
		c.heartbeats(ctx, c.executors[i], p.agent)
	}()
}

// heartbeats carries what the executor says about itself to its agent.
func (c *cluster) heartbeats(ctx context.Context, e *standin.Executor, a *vmagent.Agent) {
	for ctx.Err() == nil {
		if info, ok := e.Info(); ok {
			a.Heartbeat(info)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// leave marks a process or an executor as away. It reports false when it is away already.
func (c *cluster) leave(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away[name] {
		return false
	}
	c.away[name] = true
	return true
}

func (c *cluster) back(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.away, name)
}

// restart ends a process as SIGKILL does and starts it again.
func (c *cluster) restart(get func() *process, start func()) {
	p := get()
	if !c.leave(p.name) {
		return
	}
	c.kill(get())
	time.Sleep(processRestart)
	start()
	c.back(p.name)
}

func (c *cluster) restartEntry(i int) {
	c.restart(func() *process { return c.entry(i) }, func() { c.startEntry(i) })
}

func (c *cluster) restartAgent(i int) {
	c.restart(func() *process { return c.agent(i) }, func() { c.startAgent(i) })
}

func (c *cluster) entry(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

func (c *cluster) agent(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[i]
}

// kill ends a process and waits until its work has ended.
func (c *cluster) kill(p *process) {
	p.stop()
	c.net.Kill(p.name)
	<-p.ended
}

// cut separates a process from all others while on is true.
func (c *cluster) cut(name string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cuts := make(map[string]bool, len(c.cuts)+1)
	for k, v := range c.cuts {
		cuts[k] = v
	}
	cuts[name] = on
	c.cuts = cuts
	c.net.SetCut(func(from, to string) bool { return cuts[from] || cuts[to] })
}

// shutdown ends all processes.
func (c *cluster) shutdown() {
	for _, p := range append(c.entries[:], c.agents[:]...) {
		c.kill(p)
	}
}
