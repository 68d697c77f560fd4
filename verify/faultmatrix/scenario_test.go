package faultmatrix

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// Times of the scenario that every cell runs, after the start of the processes.
const (
	configAt    = 3 * time.Second
	submitAt    = 5 * time.Second
	requestsAt  = 6 * time.Second
	cancelAt    = 13 * time.Second
	joinAt      = 16 * time.Second
	drainAt     = 20 * time.Second
	changeAt    = 26 * time.Second
	burstAt     = 30 * time.Second
	takeoverAt  = 34 * time.Second
	requestsEnd = 60 * time.Second
	// settleBy is when every finite task must have ended; the last fault heals
	// about 60 s after it began.
	settleBy     = 300 * time.Second
	drainTimeout = 70 * time.Second
	customer     = "cust"
)

// scenario drives one run.
type scenario struct {
	c      *cluster
	client *http.Client
	// takeover kills an entry, so that its shard is taken over.
	takeover bool
	watchers map[string]bool
	accepted map[string]bool
	next     atomic.Int64
}

func newScenario(c *cluster) *scenario {
	dial := c.net.dialer(clientHost)
	return &scenario{c: c, watchers: make(map[string]bool), accepted: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{
			DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
			DisableKeepAlives: true,
		}}}
}

// run executes the scenario and returns when every finite task has ended or settleBy has passed.
func (s *scenario) run() {
	s.c.startEntry("e0")
	s.c.startEntry("e1")
	for _, id := range []string{"vm0", "vm1", "vm2", "vm3", "vm4"} {
		s.c.startVM(id)
	}
	type act struct {
		at time.Duration
		do func()
	}
	acts := []act{
		{configAt, func() { s.putConfig(s.config(0)) }},
		{submitAt, s.submit}, {requestsAt, s.requests}, {cancelAt, s.cancelTask},
		{joinAt, func() { s.c.startVM("vm5") }}, {drainAt, s.drain}, {changeAt, func() { s.putConfig(s.config(1)) }},
		{burstAt, s.burst}, {requestsEnd, func() {}},
	}
	if s.takeover {
		acts = append(acts, act{takeoverAt, func() { s.c.killEntry("e1") }}, act{takeoverAt + 25*time.Second, func() { s.ensureEntry("e1") }})
	}
	done := make(chan struct{}, len(acts))
	for _, a := range acts {
		go func() {
			time.Sleep(a.at)
			a.do()
			done <- struct{}{}
		}()
	}
	for range acts {
		<-done
	}
	for time.Since(s.c.start) < settleBy && !s.settled() {
		time.Sleep(2 * time.Second)
	}
}

func (s *scenario) ensureEntry(host string) {
	s.c.mu.Lock()
	_, up := s.c.entries[host]
	s.c.mu.Unlock()
	if !up {
		s.c.startEntry(host)
	}
}

func (s *scenario) config(generation uint64) plan.Document {
	return plan.Document{Generation: generation, Plans: []plan.CustomerPlan{{Customer: customer, Plan: "p"}},
		Limits: []plan.Limit{{Plan: "p", RequestsPerSecond: 1000, Concurrency: 100, CPUMilli: 100000 + int64(generation), MemoryMiB: 1 << 20, ShareWeight: 1}}}
}

// do sends one HTTP request to an entry, chosen as a balancer does.
func (s *scenario) do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	list := s.c.liveEntries()
	if len(list) == 0 {
		return nil, nil, errkind.New(errkind.NotReady, "no entry is up")
	}
	e := list[s.next.Add(1)%int64(len(list))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.web+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// until repeats f every second until it succeeds or the run is nearly over.
func (s *scenario) until(f func(ctx context.Context) bool) {
	for time.Since(s.c.start) < settleBy-30*time.Second {
		ctx, cancel := context.WithTimeout(s.c.ctx, 6*time.Second)
		ok := f(ctx)
		cancel()
		if ok {
			return
		}
		time.Sleep(time.Second)
	}
}

// putConfig proposes a configuration until it, or a newer one, is accepted.
func (s *scenario) putConfig(doc plan.Document) {
	body, err := yaml.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.until(func(ctx context.Context) bool {
		resp, _, err := s.do(ctx, http.MethodPut, "/v1/config", nil, body)
		return err == nil && (resp.StatusCode == http.StatusOK || resp.Header.Get(entry.HeaderKind) == errkind.Conflict.String())
	})
}

// submit submits every task and repeats each until it is acknowledged.
func (s *scenario) submit() {
	small := task.Resources{CPU: 2000, Memory: 2048}
	var specs []task.Spec
	for i := range 8 {
		specs = append(specs, task.Spec{ID: fmt.Sprintf("job-%d", i), Customer: customer, JobClass: "job", Declared: small,
			Duration: time.Duration(12+5*i) * time.Second})
	}
	specs = append(specs,
		task.Spec{ID: "endless", Customer: customer, JobClass: "job", Declared: small},
		task.Spec{ID: "watcher", Customer: customer, JobClass: "watch", Class: task.LatencyCritical, Declared: small})
	s.watchers["watcher"] = true
	pending := specs
	s.until(func(ctx context.Context) bool {
		body, err := json.Marshal(pending)
		if err != nil {
			panic(err)
		}
		_, data, err := s.do(ctx, http.MethodPost, "/v1/tasks", nil, body)
		var results []wire.TaskResult
		if err != nil || json.Unmarshal(data, &results) != nil {
			return false
		}
		for _, r := range results {
			if r.Kind == errkind.None {
				s.accepted[r.ID] = true
			}
		}
		var rest []task.Spec
		for _, sp := range pending {
			if !s.accepted[sp.ID] {
				rest = append(rest, sp)
			}
		}
		pending = rest
		return len(rest) == 0
	})
}

func (s *scenario) cancelTask() {
	body, err := json.Marshal(entry.CancelRequest{Customer: customer, IDs: []string{"endless"}})
	if err != nil {
		panic(err)
	}
	s.until(func(ctx context.Context) bool {
		_, data, err := s.do(ctx, http.MethodPost, "/v1/tasks/cancel", nil, body)
		var results []wire.TaskResult
		return err == nil && json.Unmarshal(data, &results) == nil && len(results) == 1 && results[0].Kind == errkind.None
	})
}

// drain stops the agent of vm0 gracefully.
func (s *scenario) drain() {
	v := s.c.vm("vm0")
	if v == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, drainTimeout)
	defer cancel()
	v.agent.process.Drain(ctx)
	if s.c.onEvent != nil {
		s.c.onEvent(event{mark: "leave"})
	}
	v.agent.cancel()
}

// requests sends one request each half second, of which every other may run once only.
func (s *scenario) requests() {
	done := make(chan struct{})
	n := 0
	for time.Since(s.c.start) < requestsEnd {
		n++
		go func(n int) { s.request(fmt.Sprintf("r%d", n), n%2 == 0); done <- struct{}{} }(n)
		time.Sleep(500 * time.Millisecond)
	}
	for range n {
		<-done
	}
}

// burst sends more requests at once than the upstreams have slots.
func (s *scenario) burst() {
	if s.c.onEvent != nil {
		s.c.onEvent(event{mark: "burst"})
	}
	const n = 24
	done := make(chan struct{})
	for i := range n {
		go func() { s.request(fmt.Sprintf("b%d", i), i%2 == 0); done <- struct{}{} }()
	}
	for range n {
		<-done
	}
}

func (s *scenario) request(name string, idempotent bool) {
	s.c.rec.Record(history.Event{Kind: history.RequestSent, Request: name, Payload: name + ":" + name, Idempotent: idempotent})
	outcome, payload := s.exchange(name, idempotent)
	s.c.rec.Record(history.Event{Kind: history.RequestAnswered, Request: name, Payload: payload, Outcome: outcome})
}

func (s *scenario) exchange(name string, idempotent bool) (string, string) {
	h := http.Header{entry.HeaderCustomer: {customer}, entry.HeaderRequestName: {name}, entry.HeaderIdempotent: {fmt.Sprint(idempotent)},
		entry.HeaderDeadline: {"5s"}}
	ctx, cancel := context.WithTimeout(s.c.ctx, 10*time.Second)
	defer cancel()
	resp, data, err := s.do(ctx, http.MethodPost, "/v1/services/"+serviceName+"/x", h, []byte(name))
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return "not_run", ""
	case err != nil:
		return "unknown", ""
	case resp.Header.Get(entry.HeaderKind) == "":
		return "answer", string(data)
	case resp.Header.Get(entry.HeaderExecution) == errkind.ExecutionNotRun.String():
		return "not_run", ""
	}
	return "unknown", ""
}

// settled reports whether every accepted finite task has a final record.
func (s *scenario) settled() bool {
	records := readRecords(s.c)
	for id := range s.accepted {
		if !s.watchers[id] && !task.Terminal(records[id].State) {
			return false
		}
	}
	return len(s.accepted) > 0
}
