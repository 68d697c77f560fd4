package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	usualMaxHold   = 6 * time.Second
	stopTimeout    = 200 * time.Millisecond
	pingInterval   = 1500 * time.Millisecond
	pingTimeout    = time.Second
	maxWait        = 2 * time.Second
	maxListedEnds  = 500
	tickInterval   = 10 * time.Millisecond
	initialClockMS = 1
)

// executor is a stand-in of an executor, as PROTOCOL.md describes it. It has one life at a time.
type executor struct {
	rec               *record
	vm, app, pingTo   string
	service, zone     string
	kind, rack        string
	cpu, memoryMB     int64
	maxHold           time.Duration
	holdStartAnswers  func(task string, run uint32) time.Duration
	onStart           func(task string, run uint32)
	mu                sync.Mutex
	up                bool
	lives             int
	id                string
	born              int64
	bootAt            time.Time
	sequence          int64
	epoch             uint64
	leaseEnd          int64
	runs              map[string]*run
	highest           map[string]uint32
	ends              []endRow
	lastEnd, lastSeen int64
	changed           chan struct{}
	server            *http.Server
	stopTimers        context.CancelFunc
	lastLapse         time.Duration
}

type run struct {
	number uint32
	began  time.Time
	work   time.Duration
	cpu    int64
	stopAt time.Time
}

type endRow struct {
	n    int64
	task string
	run  uint32
	how  string
}

type orderBody struct {
	Task          string `json:"task"`
	Run           uint32 `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadlineMs"`
	Epoch         uint64 `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitMS        int64  `json:"waitMs"`
}

// boot starts a life of the executor. Under an empty id it gets a new one.
func (e *executor) boot(id string) error {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", e.app)
	if err != nil {
		return fmt.Errorf("listen for an executor: %w", err)
	}
	e.mu.Lock()
	e.lives++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", e.vm, e.lives)
	}
	e.id, e.bootAt = id, time.Now()
	e.born = e.bootAt.UnixMilli()
	e.up, e.sequence, e.epoch, e.leaseEnd, e.lastEnd, e.lastSeen = true, 0, 0, 0, 0, 0
	e.runs, e.highest, e.ends, e.changed = make(map[string]*run), make(map[string]uint32), nil, make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	e.stopTimers = cancel
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: pingTimeout}
	server := e.server
	e.mu.Unlock()
	e.rec.log("executor %s: life %d begins, id %s", e.vm, e.lives, id)
	go func() { _ = server.Serve(l) }()
	go e.tick(ctx)
	go e.ping(ctx)
	return nil
}

// crash ends the life and all that runs in it.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	for task, r := range e.runs {
		e.rec.runEnded(e.vm, e.id, task, r.number, "crash", 0)
	}
	e.runs = nil
	close(e.changed)
	e.stopTimers()
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.rec.log("executor %s: crash", e.vm)
}

func (e *executor) clock() int64 { return initialClockMS + time.Since(e.bootAt).Milliseconds() }

func (e *executor) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.advance()
		}
	}
}

func (e *executor) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	now := time.Now()
	lapsed := e.clock() >= e.leaseEnd
	if lapsed {
		e.lastLapse = e.rec.since()
	}
	for task, r := range e.runs {
		switch {
		case lapsed:
			e.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			e.end(task, r, "stopped")
		case now.Sub(r.began) >= r.work:
			e.end(task, r, "done")
		}
	}
}

// end ends a run. The caller holds mu.
func (e *executor) end(task string, r *run, how string) {
	delete(e.runs, task)
	e.lastEnd++
	e.ends = append(e.ends, endRow{e.lastEnd, task, r.number, how})
	e.rec.runEnded(e.vm, e.id, task, r.number, how, e.lastEnd)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) ping(ctx context.Context) {
	client := &http.Client{Timeout: pingTimeout}
	for {
		e.pingOnce(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pingInterval):
		}
	}
}

func (e *executor) pingOnce(ctx context.Context, client *http.Client) {
	e.mu.Lock()
	e.sequence++
	body := map[string]any{"service": e.service, "address": e.app, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": e.cpu, "memoryRequestMb": e.memoryMB, "gpus": 0},
		"labels": []string{e.kind, e.rack}, "clockMs": e.clock(), "born": e.born, "sequence": e.sequence}
	url := "http://" + e.pingTo + "/instances/" + e.id
	e.mu.Unlock()
	b, err := json.Marshal(body)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": e.now()})
		return
	}
	switch r.URL.Path {
	case "/run-start":
		e.serveStart(w, r, o, id)
	case "/run-stop":
		e.serveStop(w, o)
	case "/hold":
		e.serveHold(w, r, o)
	case "/pace":
		e.servePace(w, o)
	default:
		http.NotFound(w, r)
	}
}

func (e *executor) now() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveStart carries out a start. Under holdStartAnswers it gives no answer and carries the start out late, in
// whatever life has the id then.
func (e *executor) serveStart(w http.ResponseWriter, r *http.Request, o orderBody, id string) {
	if e.holdStartAnswers != nil {
		if late := e.holdStartAnswers(o.Task, o.Run); late > 0 {
			e.rec.log("executor %s: the start of %s run %d gets no answer and is carried out %v later", e.vm, o.Task, o.Run, late)
			time.AfterFunc(late, func() {
				if reason, ok := e.start(o, id); !ok {
					e.rec.log("executor %s: late start of %s run %d: %s", e.vm, o.Task, o.Run, reason)
				}
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	reason, ok := e.start(o, id)
	if !ok {
		answer(w, http.StatusConflict, map[string]any{"clockMs": e.now(), "reason": reason})
		return
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": e.now()})
}

func (e *executor) start(o orderBody, id string) (reason string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.up:
		return "down", false
	case e.id != id:
		return "other life", false
	case o.Epoch < e.epoch:
		return "fence", false
	}
	e.epoch = o.Epoch
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		e.extend(o.DeadlineMS)
		return "", true
	}
	if e.runs[o.Task] != nil || o.Run <= e.highest[o.Task] {
		e.extend(o.DeadlineMS)
		return "old", false
	}
	if o.DeadlineMS <= e.clock() {
		return "late", false
	}
	e.extend(o.DeadlineMS)
	work, cpu := parseSpecification(o.Specification)
	used := cpu
	for _, r := range e.runs {
		used += r.cpu
	}
	if used > e.cpu {
		return "room", false
	}
	e.runs[o.Task], e.highest[o.Task] = &run{number: o.Run, began: time.Now(), work: work, cpu: cpu}, o.Run
	e.rec.runStarted(e.vm, id, o.Task, o.Run)
	if e.onStart != nil {
		go e.onStart(o.Task, o.Run)
	}
	return "", true
}

func (e *executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+e.maxHold.Milliseconds()))
}

func (e *executor) serveStop(w http.ResponseWriter, o orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{"clockMs": e.clock()}
	if !e.fence(w, o, body) {
		return
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTimeout / 2)
	}
	answer(w, http.StatusOK, body)
}

func (e *executor) servePace(w http.ResponseWriter, o orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{"clockMs": e.clock()}
	if e.fence(w, o, body) {
		answer(w, http.StatusOK, body)
	}
}

// fence answers an order with a lower epoch number. The caller holds mu.
func (e *executor) fence(w http.ResponseWriter, o orderBody, body map[string]any) bool {
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	if o.Epoch < e.epoch {
		body["reason"] = "fence"
		answer(w, http.StatusConflict, body)
		return false
	}
	e.epoch = o.Epoch
	return true
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request, o orderBody) {
	deadline := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait))
	for first := true; ; first = false {
		changed, left := e.tryHold(w, o, first, deadline)
		if changed == nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(left):
		}
	}
}

// tryHold answers a call that has waited long enough. Otherwise it returns what the call waits for, and how long.
func (e *executor) tryHold(w http.ResponseWriter, o orderBody, first bool, deadline time.Time) (changed chan struct{}, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{"clockMs": e.clock()}
	if !e.fence(w, o, body) {
		return nil, 0
	}
	if first {
		e.hold(o)
	}
	left = time.Until(deadline)
	if len(e.ends) > 0 || left <= 0 {
		e.list(body)
		answer(w, http.StatusOK, body)
		return nil, 0
	}
	return e.changed, left
}

// hold applies the lease and the ends that are taken note of. The caller holds mu.
func (e *executor) hold(o orderBody) {
	if o.DeadlineMS > 0 {
		e.extend(o.DeadlineMS)
	}
	for len(e.ends) > 0 && e.ends[0].n <= o.LastSeen {
		e.rec.endNoted(e.id, e.lastLapse, e.ends[0])
		e.ends = e.ends[1:]
	}
}

// list adds both lists to a body. The caller holds mu.
func (e *executor) list(body map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for task, r := range e.runs {
		percent := min(100, int(100*time.Since(r.began)/r.work))
		running = append(running, []any{task, r.number, "", percent, r.cpu})
	}
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{x.n, x.task, x.run, x.how, ""})
	}
	body["born"], body["running"], body["ended"] = e.born, running, ended
}

var errSpecification = errors.New("specification is not WORK_MS/CPU")

// specification tells the stand-in how long a task works and what it takes.
func specification(work time.Duration, cpu int64) string {
	return fmt.Sprintf("%d/%d", work.Milliseconds(), cpu)
}

func parseSpecification(s string) (work time.Duration, cpu int64) {
	a, b, ok := strings.Cut(s, "/")
	ms, err1 := strconv.ParseInt(a, 10, 64)
	cpu, err2 := strconv.ParseInt(b, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		panic(errSpecification)
	}
	return time.Duration(ms) * time.Millisecond, cpu
}
