package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Behaviour of the stand-ins of the platform's executors.
const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxLease          = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	startUpTime       = 50 * time.Millisecond
	maxEndsPerAnswer  = 500
	maxPollWait       = 2 * time.Second
	// shedTime is how long an unhealthy executor takes to answer 503.
	shedTime        = 150 * time.Millisecond
	advanceInterval = 5 * time.Millisecond
)

// work is what a task does. The specification of a submission holds it as JSON, padded with spaces.
type work struct {
	// CPU is in thousandths of a processor.
	CPU int64 `json:"cpu"`
	// MS is the run time in milliseconds, 0 for a task that lasts.
	MS int64 `json:"ms"`
	// LatencyMS is the tail latency that the task reports, 0 for a task that serves nobody.
	LatencyMS int64 `json:"latency,omitempty"`
	// Gang is the number of tasks that work only together, 0 for a task that works alone.
	Gang int `json:"gang,omitempty"`
}

func (w work) specification(size int) string {
	b, _ := json.Marshal(w)
	return string(append(b, bytes.Repeat([]byte(" "), max(0, size-len(b)))...))
}

type run struct {
	task     string
	number   uint32
	work     work
	started  time.Time
	progress time.Duration
	stopAt   time.Time
	percent  int
	// checkpoint is the last one that the run has carried or produced, gang its gang if it has one.
	checkpoint string
	gang       *gang
}

type end struct {
	number     int64
	task       string
	run        uint32
	how        string
	checkpoint string
}

// startEvent and endEvent are what the executors of a deployment have seen.
type startEvent struct {
	at       time.Duration
	task     string
	run      uint32
	executor string
	// checkpoint is the one that the start carried.
	checkpoint string
}

type endEvent struct {
	startEvent
	how string
	// noted is when the end was taken note of, 0 before. An end is never taken note of once the lease of its
	// executor has lapsed.
	noted  time.Duration
	lapsed bool
}

// fleetHistory holds the starts and ends on all executors, in order.
type fleetHistory struct {
	mu     sync.Mutex
	starts []startEvent
	ends   []*endEvent
	gangs  map[string]*gang
}

// executor is a stand-in of one of the platform's executors. It guards its capacity.
type executor struct {
	rec     *record
	history *fleetHistory
	id      string
	address string
	agent   string
	zone    string
	labels  []string
	service string
	cpu     int64

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	up       bool
	born     time.Time
	sequence int64
	draining bool
	// drainAcked is when the agent acknowledged that the executor is draining, 0 before.
	drainAcked time.Duration
	// hanging is set while the executor answers no call and does nothing for it; it still sends heartbeats.
	hanging bool
	// shedding is the share of the starts that the executor answers with 503 and without effect.
	shedding float64
	epoch    uint64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]uint32
	ends     []end
	events   map[int64]*endEvent
	lastEnd  int64
	changed  chan struct{}
}

// boot starts a new incarnation under the same id.
func (e *executor) boot() error {
	l, err := listenLoopback(e.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.server, e.stop = l, &http.Server{Handler: e, ReadHeaderTimeout: time.Second}, cancel
	e.up, e.born, e.sequence, e.draining, e.epoch, e.leaseEnd, e.lastEnd = true, time.Now(), 0, false, 0, 0, 0
	e.runs, e.highest, e.ends, e.events = make(map[string]*run), make(map[string]uint32), nil, make(map[int64]*endEvent)
	e.changed = make(chan struct{})
	server := e.server
	go func() { _ = server.Serve(l) }()
	go e.heartbeats(ctx)
	go e.advanceLoop(ctx)
	return nil
}

// crash ends the incarnation. All connections are closed and the port has no listener.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.rec.line("executor %s ends with %d runs", e.id, len(e.runs))
	for _, r := range e.runs {
		if r.gang != nil {
			r.gang.leave()
		}
	}
	e.runs = nil
	close(e.changed)
	e.changed = make(chan struct{})
	server, cancel := e.server, e.stop
	e.mu.Unlock()
	cancel()
	_ = server.Close()
}

func (e *executor) clock() int64 { return 1 + time.Since(e.born).Milliseconds() }

func (e *executor) heartbeats(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil {
		e.heartbeat(client)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// drain makes the executor report at once that it will leave.
func (e *executor) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.heartbeat(&http.Client{Timeout: heartbeatTimeout})
}

// leave deregisters the executor and ends it.
func (e *executor) leave() {
	status, _, err := send(context.Background(), &http.Client{Timeout: heartbeatTimeout}, http.MethodDelete, "http://"+e.agent+"/instances/"+e.id, "", nil)
	e.rec.line("executor %s leaves: %d %v", e.id, status, err)
	e.crash()
}

func (e *executor) heartbeat(client *http.Client) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.sequence++
	draining := e.draining
	body := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": e.cpu, "memoryRequestMb": 128000}, "labels": e.labels, "clockMs": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli()}
	if draining {
		body["state"], body["remainingMs"] = "draining", 2000
	}
	e.mu.Unlock()
	status, _, err := send(context.Background(), client, http.MethodPut, "http://"+e.agent+"/instances/"+e.id, "", body)
	if err != nil || status/100 != 2 || !draining {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drainAcked == 0 {
		e.drainAcked = e.rec.elapsed()
		e.rec.line("executor %s: its agent has acknowledged that it is draining", e.id)
	}
}

func (e *executor) advanceLoop(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			if e.up && ctx.Err() == nil {
				e.advance(now, now.Sub(last))
			}
			e.mu.Unlock()
			last = now
		}
	}
}

// advance lets all runs work for d. The caller holds mu.
func (e *executor) advance(now time.Time, d time.Duration) {
	lapsed := e.clock() >= e.leaseEnd
	if lapsed {
		for _, v := range e.ends {
			e.events[v.number].lapsed = true
		}
	}
	for _, r := range e.runs {
		if r.gang != nil {
			e.advanceMember(r, now, lapsed)
			continue
		}
		r.progress += d * time.Duration(r.percent) / 100
		switch {
		case lapsed:
			e.endRun(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.endRun(r, "stopped")
		case r.work.MS > 0 && r.progress >= startUpTime+time.Duration(r.work.MS)*time.Millisecond:
			e.endRun(r, "done")
		}
	}
}

// advanceMember lets a member of a gang work. The caller holds mu.
func (e *executor) advanceMember(r *run, now time.Time, lapsed bool) {
	switch {
	case lapsed:
		r.gang.leave()
		e.endRun(r, "lapsed")
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		r.checkpoint = r.gang.leave()
		e.endRun(r, "stopped")
	default:
		how, checkpoint := r.gang.advance(r, now)
		r.checkpoint = checkpoint
		if how != "" {
			e.endRun(r, how)
		}
	}
}

func (e *executor) endRun(r *run, how string) {
	delete(e.runs, r.task)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how, r.checkpoint})
	e.rec.line("executor %s: %s run %d ended %s (end %d, checkpoint %q)", e.id, r.task, r.number, how, e.lastEnd, r.checkpoint)
	v := &endEvent{startEvent: startEvent{at: e.rec.elapsed(), task: r.task, run: r.number, executor: e.id}, how: how}
	e.events[e.lastEnd] = v
	e.history.mu.Lock()
	e.history.ends = append(e.history.ends, v)
	e.history.mu.Unlock()
	close(e.changed)
	e.changed = make(chan struct{})
}

type orderBody struct {
	Task          string `json:"task"`
	Run           uint32 `json:"run"`
	Specification string `json:"specification"`
	Deadline      *int64 `json:"deadlineMs"`
	Epoch         uint64 `json:"fencingToken"`
	Checkpoint    string `json:"lastCheckpoint"`
	LastSeen      int64  `json:"lastSeen"`
	WaitMS        int64  `json:"waitMs"`
	Percent       *int   `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	e.mu.Lock()
	hanging, up, id := e.hanging, e.up, e.id
	shed := r.URL.Path == "/run-start" && rand.Float64() < e.shedding
	e.mu.Unlock()
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case hanging:
		<-r.Context().Done() // the call is never answered and has no effect
		return
	case r.Header.Get("X-Expected-Instance") != "" && r.Header.Get("X-Expected-Instance") != id:
		http.Error(w, "another instance", http.StatusMisdirectedRequest)
		return
	}
	if shed {
		time.Sleep(shedTime)
		e.rec.line("executor %s: start of %s run %d answered with 503", id, body.Task, body.Run)
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		e.answer(w, func() string { return e.start(&body) })
	case "/run-stop":
		e.answer(w, func() string { return e.stopRun(&body) })
	case "/pace":
		e.answer(w, func() string { return e.pace(&body) })
	case "/hold":
		e.hold(w, r, &body)
	case "/health":
		w.WriteHeader(http.StatusOK)
	default:
		http.NotFound(w, r)
	}
}

// answer carries out an order, which returns the reason of a refusal or nothing.
func (e *executor) answer(w http.ResponseWriter, order func() string) {
	e.mu.Lock()
	reason := order()
	clock := e.clock()
	e.mu.Unlock()
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": clock})
}

// fenced records the epoch of an order. It returns true for an epoch that is out of date.
func (e *executor) fenced(epoch uint64) bool {
	if epoch < e.epoch {
		return true
	}
	e.epoch = epoch
	return false
}

func (e *executor) extendLease(deadline *int64) {
	if deadline != nil {
		e.leaseEnd = max(e.leaseEnd, min(*deadline, e.clock()+maxLease.Milliseconds()))
	}
}

func (e *executor) start(b *orderBody) string {
	if e.fenced(b.Epoch) {
		return "fence"
	}
	old := e.runs[b.Task]
	if old != nil && old.number == b.Run && old.stopAt.IsZero() {
		e.extendLease(b.Deadline)
		return ""
	}
	if old != nil || b.Run <= e.highest[b.Task] {
		e.extendLease(b.Deadline)
		return "old"
	}
	if b.Deadline == nil || *b.Deadline <= e.clock() {
		return "late"
	}
	e.extendLease(b.Deadline)
	var w work
	if err := json.Unmarshal([]byte(b.Specification), &w); err != nil {
		return "old"
	}
	used := w.CPU
	for _, r := range e.runs {
		used += r.work.CPU
	}
	if used > e.cpu {
		return "room"
	}
	r := &run{task: b.Task, number: b.Run, work: w, started: time.Now(), percent: 100, checkpoint: b.Checkpoint}
	e.runs[b.Task], e.highest[b.Task] = r, b.Run
	e.rec.line("executor %s: %s run %d starts (epoch %d, checkpoint %q)", e.id, b.Task, b.Run, b.Epoch, b.Checkpoint)
	e.history.mu.Lock()
	e.history.starts = append(e.history.starts, startEvent{at: e.rec.elapsed(), task: b.Task, run: b.Run, executor: e.id, checkpoint: b.Checkpoint})
	if w.Gang > 0 {
		r.gang = e.history.joinGang(r)
	}
	e.history.mu.Unlock()
	return ""
}

func (e *executor) stopRun(b *orderBody) string {
	if e.fenced(b.Epoch) {
		return "fence"
	}
	e.highest[b.Task] = max(e.highest[b.Task], b.Run)
	if r := e.runs[b.Task]; r != nil && r.number <= b.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

func (e *executor) pace(b *orderBody) string {
	if e.fenced(b.Epoch) {
		return "fence"
	}
	if r := e.runs[b.Task]; r != nil && r.number == b.Run && b.Percent != nil {
		r.percent = *b.Percent
	}
	return ""
}

// hold answers with the lists of runs and ends, after an end or the time to wait.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, b *orderBody) {
	deadline := time.After(min(time.Duration(b.WaitMS)*time.Millisecond, maxPollWait))
	for waiting := b.WaitMS > 0; ; {
		e.mu.Lock()
		if e.fenced(b.Epoch) {
			clock := e.clock()
			e.mu.Unlock()
			writeJSON(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
			return
		}
		e.extendLease(b.Deadline)
		e.noteEnds(b.LastSeen)
		lists, changed := e.lists(), e.changed
		ready := len(e.ends) > 0 || !waiting
		e.mu.Unlock()
		if ready {
			writeJSON(w, http.StatusOK, lists)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// noteEnds forgets the ends up to lastSeen. The caller holds mu.
func (e *executor) noteEnds(lastSeen int64) {
	for len(e.ends) > 0 && e.ends[0].number <= lastSeen {
		v := e.events[e.ends[0].number]
		if !v.lapsed {
			e.history.mu.Lock()
			v.noted = e.rec.elapsed()
			e.history.mu.Unlock()
		}
		e.ends = e.ends[1:]
	}
}

// lists returns the answer to a poll: all runs, and the first ends. The caller holds mu.
func (e *executor) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent, load := 100, r.work.CPU
		if r.gang != nil {
			percent = r.gang.percent()
		} else if r.work.MS > 0 {
			percent = int(min(99, 100*r.progress.Milliseconds()/r.work.MS))
		} else if time.Since(r.started) < startUpTime {
			percent = 0
		}
		if r.work.LatencyMS > 0 {
			load = r.work.LatencyMS
		}
		running = append(running, []any{r.task, r.number, r.checkpoint, percent, load})
	}
	slices.SortFunc(running, func(a, b []any) int { return bytes.Compare(fmt.Append(nil, a[0]), fmt.Append(nil, b[0])) })
	for i := range e.ends[:min(len(e.ends), maxEndsPerAnswer)] {
		ended = append(ended, []any{e.ends[i].number, e.ends[i].task, e.ends[i].run, e.ends[i].how, e.ends[i].checkpoint})
	}
	return map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended}
}

// usedCPU returns the processors of all runs in thousandths.
func (e *executor) usedCPU() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := int64(0)
	for _, r := range e.runs {
		used += r.work.CPU
	}
	return used
}

// runsOf returns the number of runs of a submission.
func (e *executor) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for name := range e.runs {
		if len(name) > len(id) && name[:len(id)] == id {
			n++
		}
	}
	return n
}
