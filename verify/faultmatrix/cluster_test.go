package faultmatrix

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/agent"
	"github.com/chicorystand/chicorystand/vm/worker"
)

// Names and sizes of the simulated deployment.
const (
	clientHost   = "client"
	balancerAddr = "balancer"
	serviceName  = "svc"
	slots        = 2
	serviceTime  = 40 * time.Millisecond
	workerStep   = 250 * time.Millisecond
	// storeTimeout is the time after which a store call fails while the store is unreachable.
	storeTimeout = time.Second
)

var (
	capacity        = task.Resources{CPU: 8000, Memory: 16384}
	serviceReserved = task.Resources{CPU: 2000, Memory: 4096}
)

type vmLocation struct{ zone, rack string }

// VMs of the deployment; vm5 joins during a run.
var vmLocations = map[string]vmLocation{
	"vm0": {"z0", "r0"}, "vm1": {"z0", "r0"}, "vm2": {"z0", "r1"},
	"vm3": {"z1", "r2"}, "vm4": {"z1", "r3"}, "vm5": {"z1", "r3"},
}

// cluster is a complete deployment in one synctest bubble.
type cluster struct {
	ctx     context.Context
	cancel  context.CancelFunc
	clock   *clock.Runtime
	rec     *history.Recorder
	net     *network
	table   *standin.Table
	objects *standin.Objects
	start   time.Time
	// onEvent is called for every message, store operation and scenario marker.
	onEvent func(event) impairment

	mu              sync.Mutex
	entries         map[string]*entryProcess
	vms             map[string]*vm
	lastIncarnation int
	usageFaultMode  int
	log             []string
	wg              sync.WaitGroup
}

type entryProcess struct {
	id, host    string
	controlAddr string
	httpHost    string
	process     *entry.Entry
	cancel      context.CancelFunc
	done        chan struct{}
}

type vm struct {
	id     string
	worker *standin.Worker
	cancel context.CancelFunc
	failed chan struct{}
	agent  *agentProcess
}

type agentProcess struct {
	process *agent.Agent
	cancel  context.CancelFunc
	done    chan struct{}
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{clock: clock.NewRuntime(), net: newNetwork(), table: standin.NewTable(1e6, 1e6), objects: standin.NewObjects(),
		entries: make(map[string]*entryProcess), vms: make(map[string]*vm), start: time.Now()}
	c.rec = history.NewRecorder(func() time.Duration { return time.Since(c.start) })
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.net.latency = func(a, b string) time.Duration {
		if zoneOf(a) == zoneOf(b) {
			return 300 * time.Microsecond
		}
		return 3 * time.Millisecond
	}
	c.net.inspect = func(m message) impairment {
		c.logf("%s -> %s type %d (reply to type %d)", m.from, m.to, m.typ, m.replyTo)
		if c.onEvent == nil {
			return impairment{}
		}
		return c.onEvent(event{msg: &m})
	}
	return c
}

func zoneOf(host string) string {
	if p, ok := vmLocations[host]; ok {
		return p.zone
	}
	switch host {
	case "e0":
		return "z0"
	case "e1":
		return "z1"
	}
	return host
}

func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%9.3f ", time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
}

// logLines returns a copy of the log, because goroutines that outlive their process may still append to it.
func (c *cluster) logLines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.log)
}

// stop cancels all processes, without a graceful shutdown, and closes all connections.
func (c *cluster) stop() {
	c.cancel()
	c.net.changeState(func() { clear(c.net.paused); clear(c.net.poweredOff); c.net.partitioned = nil })
	c.wg.Wait()
	c.net.closeAll()
	// Lets the goroutines that only wait for a timer exit.
	time.Sleep(2 * time.Minute)
}

func (c *cluster) dial(host string) func(context.Context, string) (net.Conn, error) {
	dial := c.net.dialer(host)
	next := 0
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == balancerAddr {
			list := c.liveEntries()
			if len(list) == 0 {
				return nil, errkind.New(errkind.NotReady, "no entry is up")
			}
			next++
			addr = list[next%len(list)].controlAddr
		}
		return dial(ctx, addr)
	}
}

func (c *cluster) liveEntries() []*entryProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*entryProcess, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (c *cluster) nextIncarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastIncarnation++
	return uint64(c.lastIncarnation)
}

func (c *cluster) startEntry(host string) {
	inc := c.nextIncarnation()
	id := fmt.Sprintf("%s.%d", host, inc)
	control, web := c.net.listen(host, id+":control"), c.net.listen(host, id+"-web:80")
	p := entry.New(entry.Config{ID: host, Zone: zoneOf(host), Incarnation: inc, ShardsPerZone: 1, Table: &storeClient{c, host},
		Clock: c.clock, Recorder: c.rec, Log: zerolog.Nop(), Dial: c.dial(host)})
	ctx, cancel := context.WithCancel(c.ctx)
	e := &entryProcess{id: id, host: host, controlAddr: id + ":control", httpHost: id + "-web", process: p, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.entries[host] = e
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(e.done)
		_ = p.Run(ctx, control, web)
	}()
}

// killEntry stops the process of an entry without a graceful shutdown.
func (c *cluster) killEntry(host string) {
	c.mu.Lock()
	e, ok := c.entries[host]
	delete(c.entries, host)
	c.mu.Unlock()
	if ok {
		c.logf("entry %s killed", e.id)
		e.cancel()
	}
}

func (c *cluster) startVM(id string) {
	ctx, cancel := context.WithCancel(c.ctx)
	v := &vm{id: id, cancel: cancel, failed: make(chan struct{})}
	v.worker = standin.NewWorker(standin.WorkerConfig{VM: id, Capacity: capacity, Clock: c.clock, Objects: c.objects, Recorder: c.rec, AdvanceInterval: workerStep})
	c.mu.Lock()
	c.vms[id] = v
	c.mu.Unlock()
	c.wg.Add(1)
	go func() { defer c.wg.Done(); v.worker.Run(ctx) }()
	c.startAgent(v)
}

func (c *cluster) startAgent(v *vm) {
	inc := c.nextIncarnation()
	p := vmLocations[v.id]
	data := c.net.listen(v.id, fmt.Sprintf("%s.%d:data", v.id, inc))
	up := &standin.Upstream{VM: v.id, Incarnation: inc, ServiceTime: serviceTime, Recorder: c.rec}
	a := agent.New(agent.Config{VM: v.id, Zone: p.zone, Rack: p.rack, Incarnation: inc, Entries: []string{balancerAddr}, Service: serviceName,
		ServiceReserved: serviceReserved, LatencyTarget: 2 * serviceTime, TailWeight: 0.5, UpstreamURL: "http://upstream", Slots: slots, UpstreamConns: 4, CheckpointInterval: 5 * time.Second,
		Clock: c.clock, Worker: &usageFaultWorker{v.worker, c}, Recorder: c.rec, Log: zerolog.Nop(), Dial: c.dial(v.id), Transport: &upstreamTransport{v, up}})
	ctx, cancel := context.WithCancel(c.ctx)
	proc := &agentProcess{process: a, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	v.agent = proc
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(proc.done)
		_ = a.Run(ctx, data)
	}()
}

func (c *cluster) vm(id string) *vm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[id]
}

// killAgent stops the agent process; the worker continues to run its attempts.
func (c *cluster) killAgent(id string) {
	if v := c.vm(id); v != nil {
		c.logf("agent %s killed", id)
		v.agent.cancel()
	}
}

// failVM simulates a power failure of a VM: its processes stop and no connection is closed.
func (c *cluster) failVM(id string) {
	v := c.vm(id)
	if v == nil {
		return
	}
	c.logf("VM %s lost power", id)
	c.net.changeState(func() { c.net.poweredOff[id] = true })
	v.worker.Fail()
	close(v.failed)
	v.agent.cancel()
	v.cancel()
	c.mu.Lock()
	delete(c.vms, id)
	c.mu.Unlock()
}

// replaceVM starts a failed VM again. Its old connections stay silent.
func (c *cluster) replaceVM(id string) {
	if c.vm(id) != nil {
		return
	}
	c.net.silenceHost(id)
	c.net.changeState(func() { delete(c.net.poweredOff, id) })
	c.startVM(id)
}

func (n *network) silenceHost(host string) {
	for _, k := range n.linksOf(host) {
		k.silence()
	}
}

func (n *network) linksOf(host string) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*link
	for k := range n.links {
		if k.a == host || k.b == host {
			out = append(out, k)
		}
	}
	return out
}

// usageFaultWorker reports no usage in mode 1 and three times the real usage in mode 2.
type usageFaultWorker struct {
	*standin.Worker
	c *cluster
}

func (u *usageFaultWorker) Usage() ([]worker.Usage, time.Duration) {
	list, lag := u.Worker.Usage()
	u.c.mu.Lock()
	mode := u.c.usageFaultMode
	u.c.mu.Unlock()
	switch mode {
	case 1:
		return nil, 0
	case 2:
		for i := range list {
			list[i].Use.CPU *= 3
			list[i].Use.Memory *= 3
		}
	}
	return list, lag
}

// upstreamTransport passes requests from an agent to the upstream on the same VM.
type upstreamTransport struct {
	vm *vm
	up *standin.Upstream
}

func (u *upstreamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	select {
	case <-u.vm.failed:
		return nil, net.ErrClosed
	default:
	}
	go func() { defer close(done); u.up.ServeHTTP(rec, r.WithContext(context.WithoutCancel(r.Context()))) }()
	select {
	case <-done:
		return rec.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-u.vm.failed:
		return nil, net.ErrClosed
	}
}

// storeOp is one operation on the store.
type storeOp struct {
	host string
	// scanPrefix is empty unless the operation is a scan.
	scanPrefix string
	txn        *store.Txn
}

// writesPrefix reports whether the transaction writes a row whose key has the prefix.
func (o *storeOp) writesPrefix(prefix string) bool {
	if o.txn == nil {
		return false
	}
	for _, w := range o.txn.Writes {
		if strings.HasPrefix(w.Key, prefix) && !w.Delete {
			return true
		}
	}
	return false
}

// writesState reports whether the transaction writes a task record in the state.
func (o *storeOp) writesState(state string) bool {
	if o.txn == nil {
		return false
	}
	for _, w := range o.txn.Writes {
		var rec task.Record
		if strings.HasPrefix(w.Key, "task/") && msgpack.Unmarshal(w.Value, &rec) == nil && rec.State == state {
			return true
		}
	}
	return false
}

// storeClient is the store as seen from one host. Calls from a paused or powered-off host block; calls from a
// partitioned zone fail after storeTimeout.
type storeClient struct {
	c    *cluster
	host string
}

func (s *storeClient) waitReachable(ctx context.Context, op *storeOp) error {
	if s.c.onEvent != nil {
		s.c.onEvent(event{op: op})
	}
	var timeout <-chan time.Time
	for {
		s.c.net.mu.Lock()
		paused, partitioned, changed := s.c.net.paused[s.host] || s.c.net.poweredOff[s.host], s.c.net.partitioned != nil && s.c.net.partitioned(s.host, "store"), s.c.net.changed
		s.c.net.mu.Unlock()
		if !paused && !partitioned {
			return nil
		}
		if partitioned && !paused && timeout == nil {
			timeout = time.After(storeTimeout)
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "store unreachable")
		case <-timeout:
			return errkind.New(errkind.StoreUnavailable, "store unreachable: call timed out")
		case <-changed:
		}
	}
}

func (s *storeClient) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := s.waitReachable(ctx, &storeOp{host: s.host}); err != nil {
		return nil, err
	}
	return s.c.table.Get(ctx, keys...)
}

func (s *storeClient) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := s.waitReachable(ctx, &storeOp{host: s.host, scanPrefix: prefix}); err != nil {
		return nil, err
	}
	return s.c.table.Scan(ctx, prefix, after, limit)
}

func (s *storeClient) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := s.waitReachable(ctx, &storeOp{host: s.host, txn: &txn}); err != nil {
		return nil, err
	}
	return s.c.table.Commit(ctx, txn)
}
