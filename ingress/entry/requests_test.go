package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/agent"
	"github.com/chicorystand/chicorystand/wire"
)

const serviceName = "tourdesk"

// cluster runs entries, agents and upstreams over loopback.
type cluster struct {
	t        testing.TB
	ctx      context.Context
	link     *link
	recorder *history.Recorder
	client   *http.Client
	entries  []*clusterProcess[*entry.Entry]
	agents   []*clusterProcess[*agent.Agent]
	wg       sync.WaitGroup
}

// clusterProcess is an entry or agent process of the cluster.
type clusterProcess[P any] struct {
	process  P
	url      string
	control  string
	data     string
	config   agent.Config
	upstream *standin.Upstream
	cancel   context.CancelFunc
	done     chan struct{}
}

type options struct {
	entries, agents, slots int
	serviceTime            time.Duration
	fault                  func(r *http.Request) standin.UpstreamFault
	link                   *link
}

func startCluster(t testing.TB, o options) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, link: o.link, recorder: history.NewRecorder(clock.Boottime{}.Now),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	if c.link == nil {
		c.link = &link{}
	}
	c.link.data = make(map[string]bool)
	t.Cleanup(func() {
		cancel()
		c.wg.Wait()
		c.client.CloseIdleConnections()
	})
	table := standin.NewTable(standin.DefaultWritesPerSecond, standin.DefaultReadsPerSecond)
	for i := range o.entries {
		c.startEntry(i, table)
	}
	for i := range o.agents {
		c.startAgent(i, o)
	}
	c.awaitReady()
	c.configure()
	return c
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	return l
}

func (c *cluster) run(f func()) chan struct{} {
	done := make(chan struct{})
	c.wg.Add(1)
	go func() { defer c.wg.Done(); defer close(done); f() }()
	return done
}

func (c *cluster) startEntry(i int, table *standin.Table) {
	control, web := listen(c.t, "127.0.0.1:0"), listen(c.t, "127.0.0.1:0")
	p := entry.New(entry.Config{ID: fmt.Sprintf("entry-%d", i), Zone: "zone-a", Incarnation: uint64(time.Now().UnixNano()), ShardsPerZone: 1,
		Table: table, Clock: clock.Boottime{}, Recorder: c.recorder, Log: zerolog.Nop(), Dial: c.link.dial})
	ctx, cancel := context.WithCancel(c.ctx)
	m := &clusterProcess[*entry.Entry]{process: p, url: "http://" + web.Addr().String(), control: control.Addr().String(), cancel: cancel}
	m.done = c.run(func() { _ = p.Run(ctx, control, web) })
	c.entries = append(c.entries, m)
}

func (c *cluster) startAgent(i int, o options) {
	web := listen(c.t, "127.0.0.1:0")
	vm := fmt.Sprintf("vm-%d", i)
	incarnation := uint64(time.Now().UnixNano())
	u := &standin.Upstream{VM: vm, Incarnation: incarnation, ServiceTime: o.serviceTime, Fault: o.fault, Recorder: c.recorder}
	server := &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	c.run(func() { _ = server.Serve(web) })
	c.run(func() { <-c.ctx.Done(); _ = server.Close() })
	var control []string
	for j := range c.entries {
		control = append(control, c.entries[j].control)
	}
	worker := standin.NewWorker(standin.WorkerConfig{VM: vm, Capacity: task.Resources{CPU: 1000, Memory: 1000}, Clock: clock.Boottime{}, Objects: standin.NewObjects()})
	m := &clusterProcess[*agent.Agent]{upstream: u, config: agent.Config{VM: vm, Incarnation: incarnation, Zone: "zone-a", Entries: control, Service: serviceName,
		UpstreamURL: "http://" + web.Addr().String(), Slots: o.slots, UpstreamConns: 64, Clock: clock.Boottime{}, Worker: worker, Recorder: c.recorder, Log: zerolog.Nop()}}
	c.agents = append(c.agents, m)
	c.launch(m, "127.0.0.1:0")
}

// launch starts an agent process with its data listener on addr.
func (c *cluster) launch(m *clusterProcess[*agent.Agent], addr string) {
	data := listen(c.t, addr)
	m.data = data.Addr().String()
	c.link.mu.Lock()
	c.link.data[m.data] = true
	c.link.mu.Unlock()
	m.process = agent.New(m.config)
	ctx, cancel := context.WithCancel(c.ctx)
	m.cancel = cancel
	m.done = c.run(func() { _ = m.process.Run(ctx, data) })
}

func (m *clusterProcess[P]) kill() { m.cancel(); <-m.done }

func (c *cluster) awaitReady() {
	c.t.Helper()
	for range 200 {
		ready := 0
		for _, e := range c.entries {
			var list []wire.Upstream
			if resp, err := c.client.Get(e.url + "/v1/upstreams"); err == nil {
				_ = json.NewDecoder(resp.Body).Decode(&list)
				_ = resp.Body.Close()
			}
			if len(list) == len(c.agents) {
				ready++
			}
		}
		if ready == len(c.entries) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("the upstreams did not announce themselves")
}

// request is a request sent by a test.
type request struct {
	name       string
	customer   string
	idempotent bool
	deadline   time.Duration
	body       string
}

// reply is the outcome as seen by the caller.
type reply struct {
	outcome    string
	kind       string
	retryAfter string
	took       time.Duration
}

// send sends a request to an entry and records request and outcome in the history.
func (c *cluster) send(e int, r request) reply {
	payload := r.name + ":" + r.body
	c.recorder.Record(history.Event{Kind: history.RequestSent, Request: r.name, Payload: payload, Idempotent: r.idempotent})
	startedAt := time.Now()
	out, body := c.exchange(e, r)
	out.took = time.Since(startedAt)
	c.recorder.Record(history.Event{Kind: history.RequestAnswered, Request: r.name, Payload: body, Outcome: out.outcome})
	return out
}

func (c *cluster) exchange(e int, r request) (reply, string) {
	req, err := http.NewRequest(http.MethodPost, c.entries[e].url+"/v1/services/"+serviceName+"/x", strings.NewReader(r.body))
	assert.NilError(c.t, err)
	req.Header.Set(entry.HeaderRequestName, r.name)
	if r.customer == "" {
		r.customer = "urgent"
	}
	req.Header.Set(entry.HeaderCustomer, r.customer)
	req.Header.Set(entry.HeaderIdempotent, strconv.FormatBool(r.idempotent))
	if r.deadline > 0 {
		req.Header.Set(entry.HeaderDeadline, r.deadline.String())
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{outcome: "unknown", kind: err.Error()}, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{outcome: "unknown", kind: err.Error()}, ""
	}
	out := reply{outcome: "answer", kind: resp.Header.Get(entry.HeaderKind), retryAfter: resp.Header.Get("Retry-After")}
	if out.kind != "" {
		out.outcome = resp.Header.Get(entry.HeaderExecution)
	}
	return out, string(body)
}

// check verifies the invariants of the recorded history.
func (c *cluster) check() {
	c.t.Helper()
	for _, v := range history.Check(c.recorder.Events(), history.Options{Finished: true}) {
		c.t.Errorf("%s: %s", v.Invariant, v.Detail)
	}
}

func (c *cluster) executions(name string) int {
	n := 0
	for _, e := range c.recorder.Events() {
		if e.Kind == history.RequestExecuted && e.Request == name {
			n++
		}
	}
	return n
}

// Guards against an undetected connection loss without a reset at any step of a
// non-idempotent request: the request must run once and be answered, and the silent
// connection must be replaced quickly.
func TestSilentConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		// after is the delay until the connection becomes silent; 0 means before the request.
		after      time.Duration
		readBudget int
		within     time.Duration
	}{
		{"before the request is written", 0, 0, 1600 * time.Millisecond},
		{"after the receipt, before the answer", 100 * time.Millisecond, 0, 2500 * time.Millisecond},
		{"during the answer", 100 * time.Millisecond, 2000, 2500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, options{entries: 1, agents: 1, slots: 2, serviceTime: 300 * time.Millisecond})
			assert.Equal(t, c.send(0, request{name: "first"}).outcome, "answer")
			blackhole := func() { c.link.blackhole(tc.readBudget) }
			if tc.after == 0 {
				blackhole()
			} else {
				time.AfterFunc(tc.after, blackhole)
			}
			r := c.send(0, request{name: "silent", deadline: 10 * time.Second, body: strings.Repeat("x", 100_000)})
			assert.Equal(t, r.outcome, "answer", r.kind)
			assert.Assert(t, r.took < tc.within, "took %v", r.took)
			assert.Equal(t, c.executions("silent"), 1)
			next := c.send(0, request{name: "next"})
			assert.Equal(t, next.outcome, "answer")
			assert.Assert(t, next.took < 800*time.Millisecond, "the silent connection is still in use: %v", next.took)
			c.check()
		})
	}
}

// Guards against closing a healthy idle connection: the next request must reuse it.
func TestIdleConnectionStaysOpen(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{entries: 1, agents: 1, slots: 2})
	assert.Equal(t, c.send(0, request{name: "first"}).outcome, "answer")
	time.Sleep(3 * time.Second)
	assert.Equal(t, c.send(0, request{name: "second"}).outcome, "answer")
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	assert.Equal(t, len(c.link.conns), 1)
}

// Guards against running a request of an older incarnation after an agent restart, and
// against reporting such a request as not run.
func TestAgentRestart(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, options{entries: 1, agents: 2, slots: 8, serviceTime: 200 * time.Millisecond})
			var wg sync.WaitGroup
			replies := make([]reply, 8)
			for i := range replies {
				wg.Add(1)
				go func() {
					defer wg.Done()
					replies[i] = c.send(0, request{name: fmt.Sprintf("r-%d", i), idempotent: idempotent, deadline: 5 * time.Second})
				}()
			}
			time.Sleep(100 * time.Millisecond)
			m := c.agents[0]
			m.kill()
			m.config.Incarnation++
			c.launch(m, m.data)
			wg.Wait()
			unknown := 0
			for _, r := range replies {
				switch {
				case r.outcome == "unknown" && !idempotent:
					unknown++
					assert.Assert(t, r.took < time.Second, "an unknown outcome was delayed by %v", r.took)
				default:
					assert.Equal(t, r.outcome, "answer", r.kind)
				}
			}
			assert.Equal(t, unknown > 0, !idempotent, "the restart must hit requests in progress")
			c.check()
		})
	}
}

// Guards against a request that runs twice, or after a not-run response, when the agent
// process is suspended and then handles the whole backlog.
func TestPausedAgent(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 6 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, options{entries: 1, agents: 2, slots: 8, serviceTime: 20 * time.Millisecond})
			for i := range 4 {
				assert.Equal(t, c.send(0, request{name: fmt.Sprintf("warm-%d", i)}).outcome, "answer")
			}
			c.link.pause()
			var wg sync.WaitGroup
			for i := range 10 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					r := c.send(0, request{name: fmt.Sprintf("r-%d", i), deadline: deadline})
					if deadline > time.Second {
						assert.Check(t, r.outcome == "answer", r.kind)
					} else {
						assert.Check(t, r.took < deadline+500*time.Millisecond, "took %v", r.took)
					}
				}()
			}
			time.Sleep(1500 * time.Millisecond)
			c.link.resume()
			wg.Wait()
			time.Sleep(200 * time.Millisecond)
			c.check()
		})
	}
}

// Guards against responses that reach the wrong caller and requests that run twice when
// frames are duplicated or reordered.
func TestDuplicatedAndReorderedFrames(t *testing.T) {
	for _, l := range []*link{{duplicate: true}, {reorder: true}, {duplicate: true, reorder: true}} {
		t.Run(fmt.Sprintf("duplicate %v reorder %v", l.duplicate, l.reorder), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, options{entries: 1, agents: 2, slots: 4, serviceTime: 5 * time.Millisecond, link: l})
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for j := range 20 {
						r := c.send(0, request{name: fmt.Sprintf("r-%d-%d", i, j), body: strings.Repeat("b", i*j), deadline: 5 * time.Second})
						assert.Check(t, r.outcome == "answer", r.kind)
					}
				}()
			}
			wg.Wait()
			c.check()
		})
	}
}

// Guards against a truncated response that is delivered as complete.
func TestTruncatedUpstreamResponse(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fault      standin.UpstreamFault
		idempotent bool
		want       string
	}{
		{"length", standin.FaultTruncatedBody, false, "unknown"},
		{"chunks", standin.FaultTruncatedChunks, false, "unknown"},
		{"end of connection", standin.FaultTruncatedNoLength, false, "run"},
		{"idempotent is retried elsewhere", standin.FaultTruncatedBody, true, "answer"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			c := startCluster(t, options{entries: 1, agents: 2, slots: 2, fault: func(*http.Request) (f standin.UpstreamFault) {
				once.Do(func() { f = tc.fault })
				return f
			}})
			r := c.send(0, request{name: "cut", body: strings.Repeat("x", 50_000), idempotent: tc.idempotent})
			assert.Equal(t, r.outcome, tc.want, r.kind)
			assert.Equal(t, c.send(0, request{name: "next"}).outcome, "answer")
		})
	}
}

// Guards, at twice the capacity, against more concurrent requests on an upstream than it
// has slots, loss of goodput, late refusals, and shedding of high-priority requests first.
func TestOverload(t *testing.T) {
	t.Parallel()
	const slots, agents, serviceTime, seconds = 2, 2, 50 * time.Millisecond, 2
	c := startCluster(t, options{entries: 2, agents: agents, slots: slots, serviceTime: serviceTime})
	capacity := float64(slots*agents) / serviceTime.Seconds()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, kinds := make(map[string]int), make(map[string]int)
	deadline := time.Second
	for i := range int(2 * capacity * seconds) {
		time.Sleep(time.Duration(float64(time.Second) / capacity / 2))
		wg.Add(1)
		go func() {
			defer wg.Done()
			customer := [...]string{"urgent", "other", "other", "other"}[i/2%4]
			r := c.send(i%2, request{name: fmt.Sprintf("r-%d", i), customer: customer, deadline: deadline})
			mu.Lock()
			defer mu.Unlock()
			if r.outcome == "answer" {
				answered[customer]++
				return
			}
			kinds[customer+" "+r.kind]++
			assert.Check(t, r.outcome == "not_run", r.kind)
			assert.Check(t, r.retryAfter != "")
			assert.Check(t, r.took < deadline*3/4, "a refusal was delayed by %v", r.took)
		}()
	}
	wg.Wait()
	total := answered["urgent"] + answered["other"]
	assert.Check(t, float64(total) > 0.7*capacity*seconds, "answered %d of %v possible", total, capacity*seconds)
	assert.Check(t, float64(answered["urgent"]) > 0.9*capacity*seconds/2, "answered %d urgent requests, refused %v", answered["urgent"], kinds)
	for _, m := range c.agents {
		assert.Check(t, m.upstream.MaxInFlight() <= slots)
	}
	c.check()
}

// configure applies the plans and waits until every entry is ready.
func (c *cluster) configure() {
	c.t.Helper()
	body, err := json.Marshal(plan.Document{Plans: []plan.CustomerPlan{{Customer: "urgent", Plan: "u"}, {Customer: "other", Plan: "o"}, {Customer: "rated", Plan: "r"}, {Customer: "narrow", Plan: "n"}},
		Limits: []plan.Limit{{Plan: "u", Priority: 9}, {Plan: "o", Priority: 1}, {Plan: "r", RequestsPerSecond: 0.1}, {Plan: "n", Concurrency: 1}}})
	assert.NilError(c.t, err)
	req, err := http.NewRequest(http.MethodPut, c.entries[0].url+"/v1/config", strings.NewReader(string(body)))
	assert.NilError(c.t, err)
	resp, err := c.client.Do(req)
	assert.NilError(c.t, err)
	answer, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	assert.Equal(c.t, resp.StatusCode, http.StatusOK, string(answer))
	for _, e := range c.entries {
		for status := 0; status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
			resp, err := c.client.Get(e.url + "/readyz")
			assert.NilError(c.t, err)
			_ = resp.Body.Close()
			status = resp.StatusCode
		}
	}
}

// Guards against truncated, refused or late requests when an upstream drains and stops
// under load, also while the owner of its shard is down.
func TestDrainUnderLoad(t *testing.T) {
	for _, ownerDead := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner dead %v", ownerDead), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, options{entries: 2, agents: 3, slots: 8, serviceTime: 30 * time.Millisecond})
			live := 0
			if ownerDead {
				owner := c.owner()
				c.entries[owner].kill()
				live = 1 - owner
			}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for j := 0; ; j++ {
						select {
						case <-stop:
							return
						default:
						}
						r := c.send(live, request{name: fmt.Sprintf("r-%d-%d", i, j)})
						assert.Check(t, r.outcome == "answer", "%s %s", r.outcome, r.kind)
					}
				}()
			}
			time.Sleep(300 * time.Millisecond)
			m := c.agents[0]
			m.process.Drain(c.ctx)
			m.kill()
			time.Sleep(1200 * time.Millisecond)
			close(stop)
			wg.Wait()
			c.check()
		})
	}
}

// owner returns the index of the entry that owns the shard.
func (c *cluster) owner() int {
	for i, e := range c.entries {
		if e.process.Owns() {
			return i
		}
	}
	c.t.Fatal("no entry owns the shard")
	return 0
}

// Guards against an entry that shuts down before it has written the responses in flight.
func TestEntryShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{entries: 2, agents: 2, slots: 8, serviceTime: 100 * time.Millisecond})
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				default:
				}
				r := c.send(1, request{name: fmt.Sprintf("r-%d-%d", i, j), body: strings.Repeat("x", 200_000), deadline: 5 * time.Second})
				if r.kind == errkind.Draining.String() {
					return
				}
				assert.Check(t, r.outcome == "answer", "%s %s", r.outcome, r.kind)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	c.entries[1].process.Shutdown(c.ctx)
	close(stop)
	wg.Wait()
	c.entries[1].kill()
	c.check()
}

// Guards against waiting for a single slow upstream, and against hedging a non-idempotent
// request.
func TestHedging(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			c := startCluster(t, options{entries: 1, agents: 2, slots: 2, fault: func(r *http.Request) (f standin.UpstreamFault) {
				if r.Header.Get(standin.HeaderRequestName) == "slow" {
					once.Do(func() { f = standin.FaultHang })
				}
				return f
			}})
			r := c.send(0, request{name: "slow", idempotent: idempotent, deadline: 2 * time.Second})
			if idempotent {
				assert.Equal(t, r.outcome, "answer", r.kind)
				assert.Assert(t, r.took < 1500*time.Millisecond, "took %v", r.took)
				assert.Equal(t, c.executions("slow"), 2)
			} else {
				assert.Equal(t, r.outcome, "unknown", r.kind)
				assert.Equal(t, c.executions("slow"), 1)
			}
			c.check()
		})
	}
}

// Guards against hostile connections to an agent that hold resources or affect the
// requests on other connections.
func TestHostileDataConnections(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{entries: 1, agents: 1, slots: 4})
	addr := c.agents[0].data
	for name, first := range map[string]string{
		"says nothing":           "",
		"sends half a header":    "\x00\x00",
		"sends a request first":  "\x00\x00\x00\x01\x0c\x01\x00\x00\x00\x01\x90",
		"sends an oversized one": "\xff\xff\xff\xff\x0c\x01\x00\x00\x00\x01",
		"sends no known type":    "\x00\x00\x00\x01\xfe\x01\x00\x00\x00\x01\x90",
	} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, first)
		_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		_, err = io.Copy(io.Discard, conn)
		assert.NilError(t, err, "%s: not closed", name)
	}
	for range 300 {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	for i := range 20 {
		r := c.send(0, request{name: fmt.Sprintf("r-%d", i)})
		assert.Equal(t, r.outcome, "answer", r.kind)
		assert.Assert(t, r.took < 500*time.Millisecond)
	}
	c.check()
}

// Guards against customers that exceed the limits of their plan, and against refusals
// without Retry-After or that do not report the request as not run.
func TestPlanLimits(t *testing.T) {
	t.Parallel()
	// The first request of a customer stays in progress at the upstream until the second is answered.
	started, release := make(chan struct{}), make(chan struct{})
	hold := func(*http.Request) standin.UpstreamFault {
		started <- struct{}{}
		<-release
		return standin.FaultNone
	}
	c := startCluster(t, options{entries: 1, agents: 1, slots: 4, fault: hold})
	for _, tc := range []struct {
		customer string
		kind     errkind.Kind
	}{
		{"rated", errkind.RateLimited}, {"narrow", errkind.ConcurrencyLimited}, {"stranger", errkind.PermissionDenied},
	} {
		first := make(chan reply, 1)
		go func() { first <- c.send(0, request{name: tc.customer + "-1", customer: tc.customer}) }()
		if tc.kind != errkind.PermissionDenied {
			<-started
		}
		second := c.send(0, request{name: tc.customer + "-2", customer: tc.customer})
		assert.Equal(t, second.kind, tc.kind.String())
		assert.Equal(t, second.outcome, "not_run")
		assert.Equal(t, second.retryAfter != "", tc.kind.Attributes().Retryable)
		want := "not_run"
		if tc.kind != errkind.PermissionDenied {
			release <- struct{}{}
			want = "answer"
		}
		assert.Equal(t, (<-first).outcome, want)
	}
	c.check()
}
