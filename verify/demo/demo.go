// Package demo runs requests and tasks on an example deployment while an agent and an entry
// are stopped, and checks the recorded history against the invariants.
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
	// Kill ends the agent's VM and the entry abruptly instead of shutting them down gracefully.
	Kill bool
	Seed uint64
	Log  zerolog.Logger
	// Progress receives a line for each phase; nil disables the output.
	Progress io.Writer
}

// finishTimeout limits the wait for finite tasks after the load has ended. After an abrupt stop,
// tasks are restarted only when the VM's grant has expired, so finishTimeoutKill is longer.
const (
	finishTimeout     = 15 * time.Second
	finishTimeoutKill = 75 * time.Second
	startTimeout      = 10 * time.Second
	// requestTimeout ends a request that receives no response; its outcome counts as unknown.
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
	stopped   sync.Map
	accepted  map[string]bool
	// lastTasks is the latest task list in which some tasks had not finished.
	lastTasks []entry.TaskView
	watchers  map[string]bool
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
	r.progress("every entry lists all upstreams")
	if err := r.applyConfig(ctx); err != nil {
		return nil, err
	}
	r.progress("plans and limits accepted")
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); r.sendRequests(ctx) }()
	if err := r.submitTasks(ctx); err != nil {
		return nil, err
	}
	r.progress("%d tasks accepted", len(r.accepted))
	r.injectStops(ctx)
	wg.Wait()
	finished := r.awaitTasks(ctx)
	if !finished {
		r.logUnfinished()
	}
	r.progress("load ended; all tasks finished: %v", finished)
	return r.report(), nil
}

// awaitReady waits until every entry lists every upstream.
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
			return errkind.New(errkind.NotReady, "not every upstream registered with the entries within %v", startTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *runner) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

func (r *runner) sendJSON(ctx context.Context, method, url string, body []byte, out any) error {
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
	return json.Unmarshal(data, out)
}

func (r *runner) applyConfig(ctx context.Context) error {
	body, err := yaml.Marshal(r.cfg.Deployment.Config)
	if err != nil {
		return err
	}
	var doc any
	return r.sendJSON(ctx, http.MethodPut, r.entryURL()+"/v1/config", body, &doc)
}

// entryURL acts as a load balancer: it selects the entries that have not been stopped in rotation.
func (r *runner) entryURL() string {
	for range r.env.Entries {
		en := r.env.Entries[r.nextEntry.Add(1)%uint64(len(r.env.Entries))]
		if _, down := r.stopped.Load(en.ID); !down {
			return en.URL
		}
	}
	return r.env.Entries[0].URL
}

// sendRequests sends requests at a constant rate, independent of their responses (open loop).
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
		go func() { defer wg.Done(); r.sendRequest(ctx, i) }()
	}
	wg.Wait()
}

func (r *runner) sendRequest(ctx context.Context, i int) {
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

// exchange sends one request and returns its outcome and the response body.
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

// submitTasks submits the finite batch tasks and one long-running watcher for each customer.
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
	if err := r.sendJSON(ctx, http.MethodPost, r.entryURL()+"/v1/tasks", body, &results); err != nil {
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

// injectStops stops one agent after a third of the duration and one entry after half of it.
func (r *runner) injectStops(ctx context.Context) {
	time.Sleep(r.cfg.Duration / 3)
	a := r.env.Agents[len(r.env.Agents)-1]
	if r.cfg.Kill {
		a.FailVM()
	} else {
		a.Stop(ctx)
	}
	r.progress("agent %s stopped", a.VM)
	time.Sleep(r.cfg.Duration / 6)
	en := r.env.Entries[len(r.env.Entries)-1]
	r.stopped.Store(en.ID, true)
	if r.cfg.Kill {
		en.Kill()
	} else {
		en.Stop(ctx)
	}
	r.progress("entry %s stopped", en.ID)
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
			r.lastTasks = views
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// logUnfinished logs the state of every finite task that did not end in time.
func (r *runner) logUnfinished() {
	for _, v := range r.lastTasks {
		if !task.Terminal(v.State) && !r.watchers[v.Spec.ID] {
			r.cfg.Log.Error().Str("task", v.Spec.ID).Str("state", v.State).Str("waiting", v.Waiting).Str("vm", v.VM).
				Uint32("attempt", v.Attempt).Dur("progress", v.Progress).Int64("cpu_milli", v.Reserved.CPU).Msg("task has not reached a final state")
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
