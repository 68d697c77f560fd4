// Package demo runs the main job on an example deployment: callers send requests
// and submit tasks while an agent and an entry stop, and the recorded history is
// checked against the invariants.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/verify/devenv"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// Config configures a demo.
type Config struct {
	Deployment devenv.Deployment
	// Duration is how long requests are sent.
	Duration time.Duration
	// RequestsPerSecond is the offered load of requests.
	RequestsPerSecond int
	// BatchTasks is the number of finite tasks.
	BatchTasks int
	// Kill ends the agent's VM and the entry abruptly instead of gracefully.
	Kill bool
	Seed uint64
	Log  zerolog.Logger
	// Progress receives a line for each phase; nil is silent.
	Progress io.Writer
}

// finishTimeout bounds the wait for finite tasks after the load has ended. After
// an abrupt stop tasks wait for the VM's grant to lapse.
const (
	finishTimeout     = 15 * time.Second
	finishTimeoutKill = 75 * time.Second
	startTimeout      = 10 * time.Second
	// requestTimeout ends a request that is never answered; its outcome counts as unknown.
	requestTimeout = 10 * time.Second
)

type runner struct {
	cfg    Config
	env    *devenv.Env
	client *http.Client
	rand   *rand.Rand

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	outcomes  map[string]int
	nextEntry atomic.Uint64
	down      sync.Map
	accepted  map[string]bool
	// last holds the tasks as seen last while some were not finished.
	last     []entry.TaskView
	watchers map[string]bool
}

// Run executes the demo and returns its report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	env, err := devenv.Start(ctx, devenv.Config{Deployment: cfg.Deployment, Entries: 2, Log: cfg.Log, CheckpointInterval: time.Second})
	if err != nil {
		return nil, err
	}
	defer env.Stop()
	r := &runner{cfg: cfg, env: env, rand: rand.New(rand.NewPCG(cfg.Seed, 1)),
		client:  &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), outcomes: make(map[string]int),
		accepted: make(map[string]bool), watchers: make(map[string]bool)}
	return r.run(ctx)
}

func (r *runner) progress(format string, args ...any) {
	if r.cfg.Progress != nil {
		_, _ = fmt.Fprintf(r.cfg.Progress, format+"\n", args...)
	}
}

func (r *runner) run(ctx context.Context) (*Report, error) {
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.progress("all upstreams have announced themselves")
	if err := r.applyConfig(ctx); err != nil {
		return nil, err
	}
	r.progress("plans and limits are accepted")
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); r.sendRequests(ctx) }()
	if err := r.submitTasks(ctx); err != nil {
		return nil, err
	}
	r.progress("%d tasks are accepted", len(r.accepted))
	r.disturb(ctx)
	wg.Wait()
	finished := r.awaitTasks(ctx)
	if !finished {
		r.logUnfinished()
	}
	r.progress("load has ended; tasks finished: %v", finished)
	return r.report(), nil
}

// awaitReady waits until every entry knows every upstream.
func (r *runner) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for {
		ready := true
		for _, en := range r.env.Entries {
			var list []wire.Upstream
			if err := r.getJSON(ctx, en.URL+"/v1/upstreams", &list); err != nil || len(list) < r.cfg.Deployment.Workers.Count {
				ready = false
			}
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return errkind.New(errkind.NotReady, "upstreams did not announce themselves within %v", startTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *runner) getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (r *runner) post(ctx context.Context, method, url string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errkind.New(errkind.Parse(resp.Header.Get(entry.HeaderKind)), "%s", data)
	}
	return json.Unmarshal(data, into)
}

func (r *runner) applyConfig(ctx context.Context) error {
	body, err := yaml.Marshal(r.cfg.Deployment.Config)
	if err != nil {
		return err
	}
	var doc any
	return r.post(ctx, http.MethodPut, r.entryURL()+"/v1/config", body, &doc)
}

// entryURL acts as the balancer: it rotates over the entries that are not known to be down.
func (r *runner) entryURL() string {
	for range r.env.Entries {
		en := r.env.Entries[r.nextEntry.Add(1)%uint64(len(r.env.Entries))]
		if _, down := r.down.Load(en.ID); !down {
			return en.URL
		}
	}
	return r.env.Entries[0].URL
}

// sendRequests offers requests at a constant rate, independent of their answers.
func (r *runner) sendRequests(ctx context.Context) {
	interval := time.Second / time.Duration(r.cfg.RequestsPerSecond)
	end := time.Now().Add(r.cfg.Duration)
	var wg sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; time.Now().Before(end); i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wg.Add(1)
		go func() { defer wg.Done(); r.sendOne(ctx, i) }()
	}
	wg.Wait()
}

func (r *runner) sendOne(ctx context.Context, i int) {
	d := r.cfg.Deployment
	name, body := fmt.Sprintf("%s-%d", d.Service.Request.Name, i), fmt.Sprintf("body-%d", i)
	r.env.Recorder.Record(history.Event{Kind: history.RequestSent, Request: name, Payload: name + ":" + body, Idempotent: d.Service.Request.Idempotent})
	start := time.Now()
	time.Sleep(d.ClientDelay)
	outcome, payload := r.exchange(ctx, name, body)
	time.Sleep(d.ClientDelay)
	r.env.Recorder.Record(history.Event{Kind: history.RequestAnswered, Request: name, Payload: payload, Outcome: outcome})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	if outcome == "answer" {
		_ = r.latency.RecordValue(time.Since(start).Microseconds())
	}
}

// exchange sends one request and returns the outcome and the answer's body.
func (r *runner) exchange(ctx context.Context, name, body string) (string, string) {
	d := r.cfg.Deployment
	url := fmt.Sprintf("%s/v1/services/%s/%s", r.entryURL(), d.Service.Name, d.Service.Request.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return "not_run", ""
	}
	req.Header.Set(entry.HeaderCustomer, d.Config.Plans[0].Customer)
	req.Header.Set(entry.HeaderRequestName, name)
	req.Header.Set(entry.HeaderIdempotent, fmt.Sprint(d.Service.Request.Idempotent))
	resp, err := r.client.Do(req)
	if err != nil {
		return "unknown", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unknown", ""
	}
	if resp.Header.Get(entry.HeaderKind) == "" {
		return "answer", string(data)
	}
	if resp.Header.Get(entry.HeaderExecution) == errkind.ExecutionNotRun.String() {
		return "not_run", ""
	}
	return "unknown", ""
}

// submitTasks submits the finite tasks and one watcher for each customer.
func (r *runner) submitTasks(ctx context.Context) error {
	d := r.cfg.Deployment
	var specs []task.Spec
	for i := range r.cfg.BatchTasks {
		specs = append(specs, task.Spec{ID: fmt.Sprintf("%s-%03d", d.Batch.JobClass, i), Customer: r.customer(i), JobClass: d.Batch.JobClass,
			Declared: d.Batch.Declared, Duration: d.Batch.Duration/2 + time.Duration(r.rand.Int64N(int64(d.Batch.Duration))), Deadline: d.Batch.Deadline})
	}
	for i := range d.Config.Plans {
		id := fmt.Sprintf("%s-%d", d.Watcher.JobClass, i)
		r.watchers[id] = true
		specs = append(specs, task.Spec{ID: id, Customer: r.customer(i), JobClass: d.Watcher.JobClass, Class: task.LatencyCritical, Declared: d.Watcher.Declared})
	}
	body, err := json.Marshal(specs)
	if err != nil {
		return err
	}
	var results []wire.TaskResult
	if err := r.post(ctx, http.MethodPost, r.entryURL()+"/v1/tasks", body, &results); err != nil {
		return err
	}
	for _, t := range results {
		if t.Kind != errkind.None {
			return errkind.New(t.Kind, "submission of %s: %s", t.ID, t.Detail)
		}
		r.accepted[t.ID] = true
	}
	return nil
}

func (r *runner) customer(i int) string {
	plans := r.cfg.Deployment.Config.Plans
	return plans[i%len(plans)].Customer
}

// disturb stops one agent after a third and one entry after half of the duration.
func (r *runner) disturb(ctx context.Context) {
	time.Sleep(r.cfg.Duration / 3)
	a := r.env.Agents[len(r.env.Agents)-1]
	if r.cfg.Kill {
		a.Fail()
	} else {
		a.Stop(ctx)
	}
	r.progress("agent %s has stopped", a.VM)
	time.Sleep(r.cfg.Duration / 6)
	en := r.env.Entries[len(r.env.Entries)-1]
	r.down.Store(en.ID, true)
	if r.cfg.Kill {
		en.Kill()
	} else {
		en.Stop(ctx)
	}
	r.progress("entry %s has stopped", en.ID)
}

// awaitTasks waits until every finite task has reached a terminal state.
func (r *runner) awaitTasks(ctx context.Context) bool {
	timeout := finishTimeout
	if r.cfg.Kill {
		timeout = finishTimeoutKill
	}
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		var views []entry.TaskView
		if err := r.getJSON(ctx, r.entryURL()+"/v1/tasks", &views); err == nil {
			if r.allDone(views) {
				return true
			}
			r.last = views
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// logUnfinished tells the state of every task that did not end in time.
func (r *runner) logUnfinished() {
	for _, v := range r.last {
		if !task.Terminal(v.State) && !r.watchers[v.Spec.ID] {
			r.cfg.Log.Error().Str("task", v.Spec.ID).Str("state", v.State).Str("waiting", v.Waiting).Str("vm", v.VM).
				Uint32("attempt", v.Attempt).Dur("progress", v.Progress).Int64("cpu_milli", v.Reserved.CPU).Msg("task has not ended")
		}
	}
}

func (r *runner) allDone(views []entry.TaskView) bool {
	done := 0
	for _, v := range views {
		if task.Terminal(v.State) {
			done++
		}
	}
	return done >= r.cfg.BatchTasks
}
