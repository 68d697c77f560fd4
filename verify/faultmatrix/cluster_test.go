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
	// storeTimeout is how long a store call takes to fail while the store is out of reach.
	storeTimeout = time.Second
)

var (
	capacity    = task.Resources{CPU: 8000, Memory: 16384}
	serviceHeld = task.Resources{CPU: 2000, Memory: 4096}
)

// place is where a VM stands.
type place struct{ zone, rack string }

// vms of the deployment; vm5 joins during a run.
var places = map[string]place{
	"vm0": {"z0", "r0"}, "vm1": {"z0", "r0"}, "vm2": {"z0", "r1"},
	"vm3": {"z1", "r2"}, "vm4": {"z1", "r3"}, "vm5": {"z1", "r3"},
}

// cluster is a whole deployment in one synctest bubble.
type cluster struct {
	ctx     context.Context
	cancel  context.CancelFunc
	clock   *clock.Runtime
	rec     *history.Recorder
	net     *network
	table   *standin.Table
	objects *standin.Objects
	start   time.Time
	// onEvent is called for every message and store operation.
	onEvent func(event) verdict

	mu       sync.Mutex
	entries  map[string]*entryProc
	vms      map[string]*vm
	starts   int
	badUsage int
	log      []string
	wg       sync.WaitGroup
}

type entryProc struct {
	id, host string
	control  string
	web      string
	process  *entry.Entry
	cancel   context.CancelFunc
	done     chan struct{}
}

type vm struct {
	id     string
	worker *standin.Worker
	cancel context.CancelFunc
	failed chan struct{}
	agent  *agentProc
}

type agentProc struct {
	process *agent.Agent
	cancel  context.CancelFunc
	done    chan struct{}
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{clock: clock.NewRuntime(), net: newNetwork(), table: standin.NewTable(1e6, 1e6), objects: standin.NewObjects(),
		entries: make(map[string]*entryProc), vms: make(map[string]*vm), start: time.Now()}
	c.rec = history.NewRecorder(func() time.Duration { return time.Since(c.start) })
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.net.latency = func(a, b string) time.Duration {
		if zoneOf(a) == zoneOf(b) {
			return 300 * time.Microsecond
		}
		return 3 * time.Millisecond
	}
	c.net.inspect = func(m message) verdict {
		c.logf("%s -> %s type %d (answers %d)", m.from, m.to, m.typ, m.call)
		if c.onEvent == nil {
			return verdict{}
		}
		return c.onEvent(event{msg: &m})
	}
	return c
}

func zoneOf(host string) string {
	if p, ok := places[host]; ok {
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

// lines returns the log so far. A goroutine that outlasts its process may still add to it.
func (c *cluster) lines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.log)
}

// stop ends every process at once and closes all connections.
func (c *cluster) stop() {
	c.cancel()
	c.net.alter(func() { clear(c.net.held); clear(c.net.dead); c.net.cut = nil })
	c.wg.Wait()
	c.net.closeAll()
	// Goroutines that only wait for a timer end by themselves.
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
			addr = list[next%len(list)].control
		}
		return dial(ctx, addr)
	}
}

func (c *cluster) liveEntries() []*entryProc {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*entryProc, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (c *cluster) incarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	return uint64(c.starts)
}

func (c *cluster) startEntry(host string) {
	inc := c.incarnation()
	id := fmt.Sprintf("%s.%d", host, inc)
	control, web := c.net.listen(host, id+":control"), c.net.listen(host, id+"-web:80")
	p := entry.New(entry.Config{ID: host, Zone: zoneOf(host), Incarnation: inc, ShardsPerZone: 1, Table: &storeLink{c, host},
		Clock: c.clock, Recorder: c.rec, Log: zerolog.Nop(), Dial: c.dial(host)})
	ctx, cancel := context.WithCancel(c.ctx)
	e := &entryProc{id: id, host: host, control: id + ":control", web: id + "-web", process: p, cancel: cancel, done: make(chan struct{})}
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

// killEntry ends the process of an entry without a graceful stop.
func (c *cluster) killEntry(host string) {
	c.mu.Lock()
	e, ok := c.entries[host]
	delete(c.entries, host)
	c.mu.Unlock()
	if ok {
		c.logf("entry %s dies", e.id)
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
	inc := c.incarnation()
	p := places[v.id]
	data := c.net.listen(v.id, fmt.Sprintf("%s.%d:data", v.id, inc))
	up := &standin.Upstream{VM: v.id, Incarnation: inc, ServiceTime: serviceTime, Recorder: c.rec}
	a := agent.New(agent.Config{VM: v.id, Zone: p.zone, Rack: p.rack, Incarnation: inc, Entries: []string{balancerAddr}, Service: serviceName,
		ServiceReserved: serviceHeld, LatencyTarget: 2 * serviceTime, TailWeight: 0.5, UpstreamURL: "http://upstream", Slots: slots, UpstreamConns: 4, CheckpointInterval: 5 * time.Second,
		Clock: c.clock, Worker: &usageFault{v.worker, c}, Recorder: c.rec, Log: zerolog.Nop(), Dial: c.dial(v.id), Transport: &upstreamLink{v, up}})
	ctx, cancel := context.WithCancel(c.ctx)
	proc := &agentProc{process: a, cancel: cancel, done: make(chan struct{})}
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

// killAgent ends the agent process; the worker keeps its attempts.
func (c *cluster) killAgent(id string) {
	if v := c.vm(id); v != nil {
		c.logf("agent %s dies", id)
		v.agent.cancel()
	}
}

// failVM ends a VM as a loss of power does: no connection is closed.
func (c *cluster) failVM(id string) {
	v := c.vm(id)
	if v == nil {
		return
	}
	c.logf("VM %s fails", id)
	c.net.alter(func() { c.net.dead[id] = true })
	v.worker.Fail()
	close(v.failed)
	v.agent.cancel()
	v.cancel()
	c.mu.Lock()
	delete(c.vms, id)
	c.mu.Unlock()
}

// replaceVM starts a failed VM anew.
func (c *cluster) replaceVM(id string) {
	if c.vm(id) != nil {
		return
	}
	c.net.silenceHost(id)
	c.net.alter(func() { delete(c.net.dead, id) })
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

// usageFault falsifies usage reports while the fault is active.
type usageFault struct {
	*standin.Worker
	c *cluster
}

func (u *usageFault) Usage() ([]worker.Usage, time.Duration) {
	list, lag := u.Worker.Usage()
	u.c.mu.Lock()
	mode := u.c.badUsage
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

// upstreamLink carries requests from an agent to the upstream on the same VM.
type upstreamLink struct {
	vm *vm
	up *standin.Upstream
}

func (u *upstreamLink) RoundTrip(r *http.Request) (*http.Response, error) {
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

// storeOp is one operation on the table service.
type storeOp struct {
	host string
	// scan is the prefix of a scan.
	scan string
	txn  *store.Txn
}

// writes reports whether the transaction sets a row with the prefix.
func (o *storeOp) writes(prefix string) bool {
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

// writesState reports whether the transaction sets a task row to the state.
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

// storeLink is the path from a host to the table service. A held host's calls
// wait; calls from a zone that is cut off fail after a timeout.
type storeLink struct {
	c    *cluster
	host string
}

func (s *storeLink) enter(ctx context.Context, op *storeOp) error {
	if s.c.onEvent != nil {
		s.c.onEvent(event{op: op})
	}
	var timeout <-chan time.Time
	for {
		s.c.net.mu.Lock()
		held, cut, changed := s.c.net.held[s.host] || s.c.net.dead[s.host], s.c.net.cut != nil && s.c.net.cut(s.host, "store"), s.c.net.changed
		s.c.net.mu.Unlock()
		if !held && !cut {
			return nil
		}
		if cut && !held && timeout == nil {
			timeout = time.After(storeTimeout)
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "call to the store")
		case <-timeout:
			return errkind.New(errkind.StoreUnavailable, "the store is out of reach")
		case <-changed:
		}
	}
}

func (s *storeLink) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := s.enter(ctx, &storeOp{host: s.host}); err != nil {
		return nil, err
	}
	return s.c.table.Get(ctx, keys...)
}

func (s *storeLink) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := s.enter(ctx, &storeOp{host: s.host, scan: prefix}); err != nil {
		return nil, err
	}
	return s.c.table.Scan(ctx, prefix, after, limit)
}

func (s *storeLink) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := s.enter(ctx, &storeOp{host: s.host, txn: &txn}); err != nil {
		return nil, err
	}
	return s.c.table.Commit(ctx, txn)
}
