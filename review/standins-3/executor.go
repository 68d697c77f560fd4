package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// workload is what a task does on an executor.
type workload struct {
	cpu, memory int64
	duration    time.Duration
	// lasting tasks never end by themselves.
	lasting bool
	// fails is the share of the runs that end as failed.
	fails float64
	// saves makes the run save its progress.
	saves bool
	// gang is the number of tasks that work only together, 0 for a task that works alone.
	gang int
}

// activeRun is a run at work.
type activeRun struct {
	number  uint32
	work    workload
	started time.Time
	// stopAt is when an ordered stop takes effect, zero if none was ordered.
	stopAt time.Time
	// from is the progress that the run resumed from, saved that of its last checkpoint.
	from, saved time.Duration
	fails       bool
	gang        *gang
}

// executor is a stand-in of an executor of the platform, as PROTOCOL.md describes it under "Running tasks".
type executor struct {
	c       *cluster
	name    string
	address string
	agent   string
	rack    string

	mu        sync.Mutex
	server    *http.Server
	kind      string
	id        string
	born      time.Time
	lives     int
	up        bool
	draining  bool
	sequence  int64
	epoch     uint64
	leaseEnd  int64
	runs      map[string]*activeRun
	highest   map[string]uint32
	ends      []end
	lastEnd   int64
	changed   chan struct{}
	heartbeat chan struct{}
	capacity  workload
	// late is the share of the calls that get no answer and are carried out late.
	late float64
}

// end is the end of a run that the system has not acknowledged.
type end struct {
	number int64
	task   string
	run    uint32
	how    string
	saved  string
}

const (
	saveInterval      = 500 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	tickInterval      = 10 * time.Millisecond
	maxListedEnds     = 500
)

func newExecutor(c *cluster, number int, address, agent string) *executor {
	return &executor{c: c, name: fmt.Sprintf("executor-%d", number), address: address, agent: agent, kind: "a",
		rack: fmt.Sprintf("r1-%d", (number-1)/3+1), capacity: workload{cpu: 32000, memory: 128000}}
}

// boot starts a life of the executor, under the id of the one before if sameID is set.
func (e *executor) boot(sameID bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lives++
	if e.id == "" || !sameID {
		e.id = fmt.Sprintf("i-%s-%d", e.name, e.lives)
	}
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	e.born = time.Now()
	e.up, e.draining, e.sequence, e.epoch, e.leaseEnd, e.lastEnd = true, false, 0, 0, 0, 0
	e.runs, e.highest, e.ends = make(map[string]*activeRun), make(map[string]uint32), nil
	e.changed, e.heartbeat = make(chan struct{}), make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.sendHeartbeats(e.heartbeat)
	e.c.note("%s starts as %s, kind %s", e.name, e.id, e.kind)
	return nil
}

// crash ends the life as a kill does: the runs are gone and nothing is sent any more.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	for task, r := range e.runs {
		r.gang.ended("crashed")
		e.c.observeEnd(e, task, r.number, "crashed")
	}
	e.c.note("%s crashes with %d runs", e.name, len(e.runs))
	e.up, e.runs = false, nil
	close(e.heartbeat)
	close(e.changed)
	_ = e.server.Close()
}

// clock is the executor's steady clock in milliseconds.
func (e *executor) clock() int64 { return 1 + time.Since(e.born).Milliseconds() }

func (e *executor) sendHeartbeats(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mu.Lock()
		e.sequence++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := map[string]any{"service": serviceName, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": state,
			"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": e.capacity.cpu, "memoryRequestMb": e.capacity.memory, "gpus": 0},
			"labels": []string{e.kind, e.rack}, "clockMs": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli()}
		id, up := e.id, e.up
		e.mu.Unlock()
		if !up {
			return
		}
		// A ping without an acknowledgement is not repeated: the next one follows after the interval.
		_, _, _ = call(client, http.MethodPut, "http://"+e.agent+"/instances/"+id, "", 0, body)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// advance ends runs that are complete, stopped or without a lease.
func (e *executor) advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	lapsed := e.clock() >= e.leaseEnd
	for task, r := range e.runs {
		switch {
		case lapsed:
			e.endRun(task, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.endRun(task, r, "stopped")
		case r.gang != nil:
			if how := r.gang.state(now, r); how != "" {
				e.endRun(task, r, how)
			}
		case r.work.lasting || r.from+now.Sub(r.started) < r.work.duration:
			if r.work.saves {
				r.saved = (r.from + now.Sub(r.started)).Truncate(saveInterval)
			}
		case r.fails:
			e.endRun(task, r, "failed")
		default:
			e.endRun(task, r, "done")
		}
	}
}

func (e *executor) endRun(task string, r *activeRun, how string) {
	delete(e.runs, task)
	e.lastEnd++
	if how == "stopped" && r.work.saves && r.gang == nil {
		r.saved = r.from + time.Since(r.started)
	}
	r.gang.ended(how)
	e.ends = append(e.ends, end{e.lastEnd, task, r.number, how, e.c.checkpoint(task, r.saved)})
	e.c.observeEnd(e, task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Deadline *int64 `json:"deadlineMs"`
	Spec     string `json:"specification"`
	Saved    string `json:"lastCheckpoint"`
	Epoch    uint64 `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late > 0 && rand.Float64() < e.late {
		e.executeLate(r.URL.Path, &o)
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	switch {
	case !e.up:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Expected-Instance") != e.id:
		e.answer(w, http.StatusMisdirectedRequest, "")
		return
	case o.Epoch < e.epoch:
		e.answer(w, http.StatusConflict, "fence")
		return
	}
	e.epoch = o.Epoch
	switch r.URL.Path {
	case "/run-start":
		status, reason := e.start(&o)
		e.answer(w, status, reason)
	case "/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if run := e.runs[o.Task]; run != nil && run.number <= o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
		e.answer(w, http.StatusOK, "")
	case "/pace":
		e.answer(w, http.StatusOK, "")
	case "/hold":
		e.hold(w, r, &o)
	default:
		http.NotFound(w, r)
	}
}

func (e *executor) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func (e *executor) extendLease(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+maxLease.Milliseconds()))
}

func (e *executor) start(o *order) (status int, reason string) {
	deadline := int64(0)
	if o.Deadline != nil {
		deadline = *o.Deadline
	}
	if r := e.runs[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
		e.extendLease(deadline)
		return http.StatusOK, ""
	}
	if o.Run <= e.highest[o.Task] || e.runs[o.Task] != nil {
		e.extendLease(deadline)
		return http.StatusConflict, "old"
	}
	if deadline <= e.clock() {
		return http.StatusConflict, "late"
	}
	e.extendLease(deadline)
	work := e.c.work(o.Task)
	used := work
	for _, r := range e.runs {
		used.cpu += r.work.cpu
		used.memory += r.work.memory
	}
	if used.cpu > e.capacity.cpu || used.memory > e.capacity.memory {
		if e.c.guards {
			return http.StatusConflict, "room"
		}
		e.c.violation("LIMIT: %s has %d of %d, memory %d of %d", e.name, used.cpu, e.capacity.cpu, used.memory, e.capacity.memory)
	}
	run := &activeRun{number: o.Run, work: work, started: time.Now(), from: e.c.progress(o.Task, o.Saved), fails: rand.Float64() < work.fails}
	run.saved = run.from
	if work.gang > 0 {
		run.gang = e.c.gang(o.Task, o.Run, work)
		run.gang.joined()
	}
	e.runs[o.Task], e.highest[o.Task] = run, o.Run
	e.c.observeStart(e, o.Task, o.Run)
	if e.c.onStart != nil {
		e.c.onStart(e, o)
	}
	return http.StatusOK, ""
}

// hold answers with both lists, at once if there is an end, else when there is one or the wait is over. The caller holds mu.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o *order) {
	if o.Deadline != nil {
		e.extendLease(*o.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].number <= o.LastSeen {
		e.c.observeNoted(e, e.ends[0].task, e.ends[0].run, e.ends[0].how)
		e.ends = e.ends[1:]
	}
	id := e.id
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for expired := false; len(e.ends) == 0 && !expired; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		e.mu.Lock()
		if !e.up || e.id != id {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, run := range e.runs {
		percent := 100
		if !run.work.lasting {
			percent = int(min(99, 100*(run.from+time.Since(run.started))/max(1, run.work.duration)))
		}
		running = append(running, []any{task, run.number, e.c.checkpoint(task, run.saved), percent, 0})
	}
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// executeLate carries out an order seconds later, unless the life has ended by then.
func (e *executor) executeLate(path string, o *order) {
	id, born := e.id, e.born
	time.AfterFunc(time.Duration(2000+rand.IntN(6000))*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.up || e.id != id || e.born != born || o.Epoch < e.epoch {
			return
		}
		e.epoch = o.Epoch
		switch path {
		case "/run-start":
			status, reason := e.start(o)
			e.c.note("%s: late start of %s run %d: %d %s", e.name, o.Task, o.Run, status, reason)
		case "/run-stop":
			e.highest[o.Task] = max(e.highest[o.Task], o.Run)
			if run := e.runs[o.Task]; run != nil && run.number <= o.Run && run.stopAt.IsZero() {
				run.stopAt = time.Now().Add(stopTime)
			}
		}
	})
}
