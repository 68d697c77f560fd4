package histories

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/coordinator"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/gateway"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
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
	zoneCount     = 2
	// networkDelay is the one-way network delay between two VMs.
	networkDelay      = 2 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	// restartDelay is the time from the end of a process or executor to its restart.
	restartDelay    = 500 * time.Millisecond
	testLease       = 4500 * time.Millisecond
	testMaxLease    = 6 * time.Second
	testStopTimeout = 200 * time.Millisecond
	// shortEndList is the largest number of ends in one snapshot of every second executor, so that lists
	// are cut although few runs end at a time.
	shortEndList = 1
)

var executorCapacity = task.Resources{CPU: 4000, Memory: 8000}

// process is an entry or an agent that can be killed and restarted.
type process struct {
	name  string
	link  *standin.Link
	stop  context.CancelFunc
	ended chan struct{}
	log   zerolog.Logger
	// requests is the gateway of an entry.
	requests *gateway.Gateway
	// candidate is that of an entry.
	candidate *coordinator.Candidate
	// agent is the agent of an executor.
	agent *vmagent.Agent
}

// cluster is a whole deployment inside the test process.
type cluster struct {
	ctx       context.Context
	net       *inmem.Net
	table     *standin.Table
	recorder  *history.Recorder
	clock     clock.Clock
	start     time.Time
	taskWork  map[string]standin.Work
	entries   [entryCount]*process
	agents    [executorCount]*process
	executors [executorCount]*standin.Executor
	machines  [entryCount]succession.Capability
	// handOvers counts the hand-overs of entries that have been killed since.
	handOvers uint64
	manifest  *manifest.Manifest
	log       zerolog.Logger

	// mu guards the fields below, entries, agents and the executors' fault state.
	mu              sync.Mutex
	lastIncarnation uint64
	// denied holds the submissions whose cancellation was answered with errkind.NotFound.
	denied      map[string]bool
	partitioned map[string]bool
	// down holds the names of processes and executors that a fault has stopped and not yet restarted.
	down map[string]bool
}

func newCluster(ctx context.Context, taskWork map[string]standin.Work, machines [entryCount]succession.Capability) *cluster {
	start := time.Now()
	c := &cluster{ctx: ctx, start: start, net: inmem.NewNet(1), table: standin.NewTable(800, 2000), clock: clock.NewRuntime(), taskWork: taskWork, machines: machines,
		recorder: history.NewRecorder(func() time.Duration { return time.Since(start) }), denied: make(map[string]bool), partitioned: make(map[string]bool), down: make(map[string]bool), log: zerolog.Nop()}
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

// zoneName returns the availability zone of an executor. Neighbours are in different zones.
func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// Rows of the operators: one for each evacuated zone.
const (
	operatorTable    = "operator"
	evacuationPrefix = operatorTable + "/evacuate/"
)

func evacuatedZone(key string) (string, bool) { return strings.CutPrefix(key, evacuationPrefix) }

// setEvacuated evacuates a zone or restores it.
func (c *cluster) setEvacuated(zone string, on bool) {
	if !on {
		c.recorder.Record(history.Event{Kind: history.ZoneRestored, Zone: zone})
	}
	c.table.Apply(store.Write{Key: evacuationPrefix + zone, Delete: !on})
	if on {
		c.recorder.Record(history.Event{Kind: history.ZoneEvacuated, Zone: zone})
	}
}

// newProcess returns a process and the context that its goroutines stop with.
func (c *cluster) newProcess(name string) (*process, context.Context) {
	ctx, stop := context.WithCancel(c.ctx)
	return &process{name: name, link: standin.NewLink(c.table), stop: stop, ended: make(chan struct{}),
		log: c.log.With().Str("process", name).Logger()}, ctx
}

func (c *cluster) member(name string, role member.Role) member.Member {
	c.lastIncarnation++
	return member.Member{Name: name, Address: name + ":1", Role: role, Incarnation: c.lastIncarnation}
}

func (c *cluster) startEntry(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ctx := c.newProcess(entryName(i))
	c.entries[i] = p
	self := c.member(p.name, member.Entry)
	self.CPU, self.MemoryMB, self.LinkMbps = c.machines[i].CPU, c.machines[i].MemoryMB, c.machines[i].LinkMbps
	owner := member.NewOwnerLink(c.clock, p.log)
	current := func() *manifest.Manifest { return c.manifest }
	p.requests = gateway.New(gateway.Config{Store: p.link, Clock: c.clock, Log: p.log, Owner: owner, Manifest: current, ManifestAge: func() time.Duration { return 0 }, MaxManifestAge: time.Second,
		StoreLastResponse: c.clock.Now, Observe: func(string, int, time.Duration, error) {}, ObserveForward: func(error) {}, ForwardEarly: true,
		Owning: func() bool { return p.candidate != nil && p.candidate.Owning() }})
	zones := evacuation.NewFollower(evacuatedZone, p.log)
	follower := follow.New(p.link, operatorTable, follow.Sinks{zones}, c.clock, p.log)
	evacuations := func() evacuation.State {
		asOf := follower.CurrentAsOf()
		return evacuation.State{Zones: zones.Current(), AsOf: asOf}
	}
	candidate := coordinator.NewCandidate(coordinator.Config{Store: p.link, Evacuations: evacuations, Clock: c.clock, Log: p.log, Member: self,
		Dial: c.net.Dialer(p.name), HighestEpoch: owner.Epoch, Manifest: current,
		Bounds: dispatch.Bounds{LeaseDuration: testLease, Evacuation: history.EvacuationBound, Cancel: history.CancelBound, AckValidity: 2 * time.Second, MaxStoreOutage: 15 * time.Second, StopTimeout: testStopTimeout, Retention: time.Hour}}, owner)
	p.candidate = candidate
	l := c.net.Listen(p.name, self.Address)
	go member.Serve(l, owner, owner.Handle)
	go member.KeepRegistered(ctx, p.link, self, owner.SinceLastMessage)
	go follower.Run(ctx, 0)
	go func() {
		defer close(p.ended)
		candidate.Run(ctx)
	}()
}

func (c *cluster) startExecutor(i int) {
	maxEnds := 0
	if i%2 == 1 {
		maxEnds = shortEndList
	}
	e := standin.NewExecutor(standin.ExecutorConfig{VM: executorName(i), MaxListedEnds: maxEnds, Service: "pool", Zone: zoneName(i), Address: fmt.Sprintf("10.0.0.%d:1", i),
		Rack: fmt.Sprintf("r%d", i/2), Capacity: executorCapacity, Clock: c.clock, ClockRate: 1 - 0.02*float64(i%2), MaxLease: testMaxLease,
		StopTimeout: testStopTimeout, CheckpointInterval: time.Second, Recorder: c.recorder,
		Work: func(name string, _ uint32) standin.Work { return c.taskWork[name] }})
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
		c.forwardHeartbeats(ctx, c.executors[i], p.agent)
	}()
}

// forwardHeartbeats passes the status of an executor to its agent at each heartbeat interval.
func (c *cluster) forwardHeartbeats(ctx context.Context, e *standin.Executor, a *vmagent.Agent) {
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

// markDown marks a process or an executor as stopped. It returns false if it is stopped already.
func (c *cluster) markDown(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[name] {
		return false
	}
	c.down[name] = true
	return true
}

func (c *cluster) markUp(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, name)
}

// restart kills a process without cleanup, as SIGKILL does, and starts it again.
func (c *cluster) restart(get func() *process, start func()) {
	p := get()
	if !c.markDown(p.name) {
		return
	}
	c.kill(get())
	time.Sleep(restartDelay)
	start()
	c.markUp(p.name)
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

// kill stops a process and waits for its goroutines.
func (c *cluster) kill(p *process) {
	p.stop()
	c.net.Kill(p.name)
	<-p.ended
	if p.candidate != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.handOvers += p.candidate.Counters().HandOvers
	}
}

// setPartitioned cuts a process off from all others, or reconnects it.
func (c *cluster) setPartitioned(name string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	partitioned := make(map[string]bool, len(c.partitioned)+1)
	for k, v := range c.partitioned {
		partitioned[k] = v
	}
	partitioned[name] = on
	c.partitioned = partitioned
	c.net.SetPartition(func(from, to string) bool { return partitioned[from] || partitioned[to] })
}

// shutdown kills all processes.
func (c *cluster) shutdown() {
	for _, p := range append(c.entries[:], c.agents[:]...) {
		c.kill(p)
	}
}
