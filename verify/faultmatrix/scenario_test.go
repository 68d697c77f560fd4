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

// Times of the scenario's actions, counted from the start of the processes. Every cell runs the same scenario.
const (
	configAt       = 3 * time.Second
	submitAt       = 5 * time.Second
	requestsAt     = 6 * time.Second
	cancelAt       = 13 * time.Second
	joinAt         = 16 * time.Second
	drainAt        = 20 * time.Second
	secondConfigAt = 26 * time.Second
	burstAt        = 30 * time.Second
	takeoverAt     = 34 * time.Second
	requestsEnd    = 60 * time.Second
	// settleDeadline is when every finite task must have ended; the longest fault lasts about 60 s.
	settleDeadline = 300 * time.Second
	drainTimeout   = 70 * time.Second
	customer       = "cust"
)

// scenario drives one run.
type scenario struct {
	c      *cluster
	client *http.Client
	// takeover adds the kill of an entry, so that another entry takes over its shard.
	takeover    bool
	longRunning map[string]bool
	accepted    map[string]bool
	nextEntry   atomic.Int64
}

func newScenario(c *cluster) *scenario {
	dial := c.net.dialer(clientHost)
	return &scenario{c: c, longRunning: make(map[string]bool), accepted: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{
			DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
			DisableKeepAlives: true,
		}}}
}

// run performs the actions and returns when every finite task has ended or settleDeadline has passed.
func (s *scenario) run() {
	s.c.startEntry("e0")
	s.c.startEntry("e1")
	for _, id := range []string{"vm0", "vm1", "vm2", "vm3", "vm4"} {
		s.c.startVM(id)
	}
	type action struct {
		at  time.Duration
		run func()
	}
	actions := []action{
		{configAt, func() { s.putConfig(s.config(0)) }},
		{submitAt, s.submit}, {requestsAt, s.sendRequests}, {cancelAt, s.cancelTask},
		{joinAt, func() { s.c.startVM("vm5") }}, {drainAt, s.drain}, {secondConfigAt, func() { s.putConfig(s.config(1)) }},
		{burstAt, s.sendBurst}, {requestsEnd, func() {}},
	}
	if s.takeover {
		actions = append(actions, action{takeoverAt, func() { s.c.killEntry("e1") }}, action{takeoverAt + 25*time.Second, func() { s.ensureEntryRunning("e1") }})
	}
	done := make(chan struct{}, len(actions))
	for _, a := range actions {
		go func() {
			time.Sleep(a.at)
			a.run()
			done <- struct{}{}
		}()
	}
	for range actions {
		<-done
	}
	for time.Since(s.c.start) < settleDeadline && !s.allFinished() {
		time.Sleep(2 * time.Second)
	}
}

func (s *scenario) ensureEntryRunning(host string) {
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

// sendHTTP sends one HTTP request to the live entries in turn, as a load balancer does.
func (s *scenario) sendHTTP(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, []byte, error) {
	list := s.c.liveEntries()
	if len(list) == 0 {
		return nil, nil, errkind.New(errkind.NotReady, "no entry is up")
	}
	e := list[s.nextEntry.Add(1)%int64(len(list))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.httpHost+path, bytes.NewReader(body))
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

// retryUntil repeats f every second until it succeeds or 30 s remain before settleDeadline.
func (s *scenario) retryUntil(f func(ctx context.Context) bool) {
	for time.Since(s.c.start) < settleDeadline-30*time.Second {
		ctx, cancel := context.WithTimeout(s.c.ctx, 6*time.Second)
		ok := f(ctx)
		cancel()
		if ok {
			return
		}
		time.Sleep(time.Second)
	}
}

// putConfig proposes a configuration and retries until it is accepted or conflicts with a newer one.
func (s *scenario) putConfig(doc plan.Document) {
	body, err := yaml.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.retryUntil(func(ctx context.Context) bool {
		resp, _, err := s.sendHTTP(ctx, http.MethodPut, "/v1/config", nil, body)
		return err == nil && (resp.StatusCode == http.StatusOK || resp.Header.Get(entry.HeaderKind) == errkind.Conflict.String())
	})
}

// submit submits all tasks and resubmits those that are not yet acknowledged.
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
	s.longRunning["watcher"] = true
	pending := specs
	s.retryUntil(func(ctx context.Context) bool {
		body, err := json.Marshal(pending)
		if err != nil {
			panic(err)
		}
		_, data, err := s.sendHTTP(ctx, http.MethodPost, "/v1/tasks", nil, body)
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
	s.retryUntil(func(ctx context.Context) bool {
		_, data, err := s.sendHTTP(ctx, http.MethodPost, "/v1/tasks/cancel", nil, body)
		var results []wire.TaskResult
		return err == nil && json.Unmarshal(data, &results) == nil && len(results) == 1 && results[0].Kind == errkind.None
	})
}

// drain drains the agent of vm0 and stops it.
func (s *scenario) drain() {
	v := s.c.vm("vm0")
	if v == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.c.ctx, drainTimeout)
	defer cancel()
	v.agent.process.Drain(ctx)
	if s.c.onEvent != nil {
		s.c.onEvent(event{marker: "leave"})
	}
	v.agent.cancel()
}

// sendRequests sends a request every 500 ms; every other request is not idempotent.
func (s *scenario) sendRequests() {
	done := make(chan struct{})
	n := 0
	for time.Since(s.c.start) < requestsEnd {
		n++
		go func(n int) { s.sendRequest(fmt.Sprintf("r%d", n), n%2 == 0); done <- struct{}{} }(n)
		time.Sleep(500 * time.Millisecond)
	}
	for range n {
		<-done
	}
}

// sendBurst sends more concurrent requests than the upstreams have slots.
func (s *scenario) sendBurst() {
	if s.c.onEvent != nil {
		s.c.onEvent(event{marker: "burst"})
	}
	const n = 24
	done := make(chan struct{})
	for i := range n {
		go func() { s.sendRequest(fmt.Sprintf("b%d", i), i%2 == 0); done <- struct{}{} }()
	}
	for range n {
		<-done
	}
}

func (s *scenario) sendRequest(name string, idempotent bool) {
	s.c.rec.Record(history.Event{Kind: history.RequestSent, Request: name, Payload: name + ":" + name, Idempotent: idempotent})
	outcome, payload := s.roundTrip(name, idempotent)
	s.c.rec.Record(history.Event{Kind: history.RequestAnswered, Request: name, Payload: payload, Outcome: outcome})
}

func (s *scenario) roundTrip(name string, idempotent bool) (string, string) {
	h := http.Header{entry.HeaderCustomer: {customer}, entry.HeaderRequestName: {name}, entry.HeaderIdempotent: {fmt.Sprint(idempotent)},
		entry.HeaderDeadline: {"5s"}}
	ctx, cancel := context.WithTimeout(s.c.ctx, 10*time.Second)
	defer cancel()
	resp, data, err := s.sendHTTP(ctx, http.MethodPost, "/v1/services/"+serviceName+"/x", h, []byte(name))
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

// allFinished reports whether every accepted finite task is recorded in a terminal state.
func (s *scenario) allFinished() bool {
	records := readRecords(s.c)
	for id := range s.accepted {
		if !s.longRunning[id] && !task.Terminal(records[id].State) {
			return false
		}
	}
	return len(s.accepted) > 0
}
