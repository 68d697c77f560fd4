package standin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Work is the behavior of a task on an executor stand-in.
type Work struct {
	Request task.Resources
	// Duration is the run time; a long-running task never ends by itself.
	Duration    time.Duration
	LongRunning bool
	// Fails makes the run end as failed after Duration.
	Fails bool
	// Checkpoints makes the run save its progress every CheckpointInterval and when it is stopped.
	Checkpoints bool
}

// ExecutorConfig configures an executor stand-in.
type ExecutorConfig struct {
	VM, Service, Zone, Rack, Kind string
	Address                       string
	Capacity                      task.Resources
	Clock                         clock.Clock
	// ClockRate is the rate of the executor's clock relative to Clock; 0 means 1.
	ClockRate float64
	// InitialClock is the reading of the executor's clock when its first incarnation starts. Those of later ones start at 0.
	InitialClock time.Duration
	// SetBack is how far the VM's time of day is set back before each restart, for the start time of the next incarnation.
	SetBack time.Duration
	// MaxLease is the maximum duration of a lease.
	MaxLease time.Duration
	// StopTimeout is the time from a stop order to the end of the run.
	StopTimeout time.Duration
	// CheckpointInterval is the progress between two checkpoints.
	CheckpointInterval time.Duration
	// Work returns the behavior of a run of a task.
	Work     func(task string, run uint32) Work
	Recorder *history.Recorder
	// MaxListedEnds is the largest number of ends in one snapshot; 0 means that of the platform. Where
	// the executor is served over the platform's protocol, callers assume the platform's.
	MaxListedEnds int
	// AdvanceInterval is the interval at which runs advance.
	AdvanceInterval time.Duration
}

// ExecutorFaults selects the failures of an executor stand-in.
type ExecutorFaults struct {
	// Unresponsive makes the executor neither execute nor answer orders.
	Unresponsive bool
	// Unreachable is as Unresponsive, and no heartbeat leaves the executor either. It hides whether the executor is up.
	Unreachable bool
	// Unavailable makes the executor answer every order with outcome Unavailable, without effect.
	Unavailable bool
	// LoseResponses is the number of next orders that are executed without a response.
	LoseResponses int
	// DelayOrders is the number of next orders that get no response and are executed after OrderDelay, by the next
	// incarnation if that is then up under the ID.
	DelayOrders int
	OrderDelay  time.Duration
	// FailRuns makes every run that starts end as failed.
	FailRuns bool
	// Starts, Stops and Polls are the failures of the next calls of Start, Stop and Poll, one for each call.
	Starts, Stops, Polls [MaxCallFaults]CallFault
}

// MaxCallFaults is the largest number of calls of one kind with a failure of their own. ExecutorFaults has arrays of
// this size so that it stays comparable.
const MaxCallFaults = 6

// CallFault is the failure of one call. Calls of other kinds are not affected.
type CallFault struct {
	Kind CallFaultKind
	// Delay is the time from the call to its execution for CallDelayed, and to the answer for CallUnavailable and
	// CallNoCapacity.
	Delay time.Duration
}

// CallFaultKind is the kind of a CallFault.
type CallFaultKind uint8

const (
	// CallNormal: the call is executed and answered.
	CallNormal CallFaultKind = iota
	// CallUnavailable: the answer is Unavailable, without effect.
	CallUnavailable
	// CallNoCapacity: the answer is Rejected for lack of capacity, without effect.
	CallNoCapacity
	// CallDelayed: the call gets no answer and is executed after Delay, by the next incarnation if that is then up under
	// the ID.
	CallDelayed
	// CallResponseLost: the call is executed and gets no answer.
	CallResponseLost
	// CallLost: the call gets no answer and is not executed.
	CallLost
)

// platformMaxListedEnds is the largest number of ends in one snapshot of the platform's executors.
const platformMaxListedEnds = 500

// answerTimeout is the time after which a caller without a response gets outcome Unknown.
const answerTimeout = 700 * time.Millisecond

// Executor is an in-memory executor. It implements executor.Client for its own address.
// Runs advance while Run is active.
type Executor struct {
	cfg ExecutorConfig

	mu          sync.Mutex
	incarnation submission.Incarnation
	bootCount   int
	startCalls  int
	bootedAt    time.Duration
	up          bool
	draining    bool
	sequence    int64
	// faults are the active faults, the oldest ones first.
	faults       []*ExecutorFaults
	highestToken uint64
	// executingForEarlier is set while a call is executed that was sent to an earlier incarnation.
	executingForEarlier bool
	// leaseEnd is the end of the lease in milliseconds on the executor's clock.
	leaseEnd int64
	runs     map[string]*executorRun
	// highestRun is the highest run number of each task that was started or stopped here.
	highestRun map[string]uint32
	ends       []executor.End
	lastEnd    int64
	// lastEndBeforeExpiry is the number of the last end at the time the lease last expired. The
	// scheduler may already have declared runs that ended by then lost.
	lastEndBeforeExpiry int64
	changed             chan struct{}
}

type executorRun struct {
	number    uint32
	work      Work
	startedAt time.Duration
	// initialProgress is the progress of the checkpoint that the run started from.
	initialProgress time.Duration
	savedProgress   time.Duration
	// stopAt is the time at which an ordered stop takes effect, 0 if none was ordered.
	stopAt time.Duration
}

// NewExecutor returns an executor that is down until Boot.
func NewExecutor(cfg ExecutorConfig) *Executor {
	if cfg.ClockRate == 0 {
		cfg.ClockRate = 1
	}
	if cfg.MaxListedEnds == 0 {
		cfg.MaxListedEnds = platformMaxListedEnds
	}
	if cfg.AdvanceInterval == 0 {
		cfg.AdvanceInterval = 20 * time.Millisecond
	}
	return &Executor{cfg: cfg, changed: make(chan struct{})}
}

// Boot ends the current incarnation, if any, and starts a new one, which keeps the id if sameID is true.
func (e *Executor) Boot(sameID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.bootCount++
	if e.incarnation.ID == "" || !sameID {
		e.incarnation.ID = fmt.Sprintf("i-%s-%d", e.cfg.VM, e.bootCount)
	}
	e.bootedAt = e.cfg.Clock.Now()
	e.incarnation.StartedAt = (e.bootedAt - time.Duration(e.bootCount-1)*e.cfg.SetBack).Milliseconds()
	e.up, e.draining, e.sequence, e.highestToken, e.leaseEnd, e.lastEnd, e.lastEndBeforeExpiry = true, false, 0, 0, 0, 0, 0
	e.runs, e.highestRun, e.ends = make(map[string]*executorRun), make(map[string]uint32), nil
}

// Crash ends the incarnation and all its runs immediately.
func (e *Executor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Executor) crash() {
	for name, r := range e.runs {
		e.recordRun(history.TaskRunEnd, name, r, "")
	}
	e.up, e.runs = false, nil
	e.notifyWaiters()
}

// Drain makes the executor report that it is draining.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// SetFaults replaces all active faults.
func (e *Executor) SetFaults(f ExecutorFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = []*ExecutorFaults{&f}
}

// AddFaults adds faults to the active ones until remove is called. Faults that overlap apply together.
func (e *Executor) AddFaults(f ExecutorFaults) (remove func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, &f)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.faults = slices.DeleteFunc(e.faults, func(active *ExecutorFaults) bool { return active == &f })
	}
}

// activeFault returns the oldest active fault that matches, or nil. The caller holds mu.
func (e *Executor) activeFault(matches func(*ExecutorFaults) bool) *ExecutorFaults {
	if i := slices.IndexFunc(e.faults, matches); i >= 0 {
		return e.faults[i]
	}
	return nil
}

func (e *Executor) unreachable() bool {
	return e.activeFault(func(f *ExecutorFaults) bool { return f.Unreachable }) != nil
}

// nextCallFault returns the failure of the next call of a kind, and advances the lists of all active faults. The caller holds mu.
func (e *Executor) nextCallFault(calls func(*ExecutorFaults) *[MaxCallFaults]CallFault) CallFault {
	var next CallFault
	for _, f := range e.faults {
		remaining := calls(f)
		if next.Kind == CallNormal {
			next = remaining[0]
		}
		copy(remaining[:], remaining[1:])
		remaining[MaxCallFaults-1] = CallFault{}
	}
	return next
}

func startFaults(f *ExecutorFaults) *[MaxCallFaults]CallFault { return &f.Starts }
func stopFaults(f *ExecutorFaults) *[MaxCallFaults]CallFault  { return &f.Stops }
func pollFaults(f *ExecutorFaults) *[MaxCallFaults]CallFault  { return &f.Polls }

// RunCount returns the number of current runs.
func (e *Executor) RunCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// StartCalls returns the number of calls of Start so far, answered or not.
func (e *Executor) StartCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startCalls
}

// Info returns the content of a heartbeat; ok is false while the executor is down or unreachable.
func (e *Executor) Info() (info executor.Info, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return executor.Info{Incarnation: e.incarnation, Service: e.cfg.Service, Address: e.cfg.Address, Zone: e.cfg.Zone, Capacity: e.cfg.Capacity,
		Kind: e.cfg.Kind, Rack: e.cfg.Rack, Draining: e.draining, Sequence: e.sequence, Clock: e.clockLocked()}, e.up && !e.unreachable()
}

// Run advances the runs until ctx is done.
func (e *Executor) Run(ctx context.Context) {
	tick := time.NewTicker(e.cfg.AdvanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.Advance()
		}
	}
}

// Advance saves due checkpoints and ends runs that are complete or stopped, or whose lease has expired.
func (e *Executor) Advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	now := e.cfg.Clock.Now()
	expired := e.clockLocked() >= e.leaseEnd
	if expired {
		e.lastEndBeforeExpiry = e.lastEnd
	}
	for name, r := range e.runs {
		progress := r.initialProgress + now - r.startedAt
		e.checkpointIfDue(name, r, progress)
		switch {
		case expired:
			e.endLocked(name, r, executor.LeaseExpired)
		case r.stopAt != 0 && now >= r.stopAt:
			if r.work.Checkpoints {
				e.checkpoint(name, r, progress)
			}
			e.endLocked(name, r, executor.Stopped)
		case r.work.LongRunning || progress < r.work.Duration:
		case r.work.Fails:
			e.endLocked(name, r, executor.Failed)
		default:
			e.endLocked(name, r, executor.Done)
		}
	}
}

// checkpointIfDue saves the progress once per CheckpointInterval.
func (e *Executor) checkpointIfDue(name string, r *executorRun, progress time.Duration) {
	if interval := e.cfg.CheckpointInterval; r.work.Checkpoints && interval > 0 && progress >= r.savedProgress+interval {
		e.checkpoint(name, r, progress)
	}
}

func (e *Executor) checkpoint(name string, r *executorRun, progress time.Duration) {
	r.savedProgress = progress.Truncate(time.Millisecond)
	e.cfg.Recorder.Record(history.Event{Kind: history.TaskCheckpoint, Task: name, Attempt: r.number, VM: e.cfg.VM, Progress: r.savedProgress})
}

func (e *Executor) clockLocked() int64 {
	initial := time.Duration(0)
	if e.bootCount == 1 {
		initial = e.cfg.InitialClock
	}
	return 1 + initial.Milliseconds() + int64(float64((e.cfg.Clock.Now()-e.bootedAt).Microseconds())*e.cfg.ClockRate/1000)
}

func (e *Executor) notifyWaiters() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) endLocked(name string, r *executorRun, cause executor.EndCause) {
	delete(e.runs, name)
	e.lastEnd++
	e.ends = append(e.ends, executor.End{Number: e.lastEnd, Task: name, Run: r.number, Cause: cause, Checkpoint: encodeProgress(r.savedProgress)})
	outcome := ""
	switch cause {
	case executor.Done:
		outcome = task.Succeeded
	case executor.Failed:
		outcome = task.Failed
	default:
	}
	e.recordRun(history.TaskRunEnd, name, r, outcome)
	e.notifyWaiters()
}

func (e *Executor) recordRun(kind history.Kind, name string, r *executorRun, outcome string) {
	e.cfg.Recorder.Record(history.Event{Kind: kind, Task: name, Attempt: r.number, VM: e.cfg.VM, Zone: e.cfg.Zone, Progress: r.initialProgress,
		Reserved: r.work.Request, Capacity: e.cfg.Capacity, Outcome: outcome, EarlierCall: e.executingForEarlier})
}

// applyFault applies the active faults to an order, which execute executes. It returns false
// with the order's outcome if the order is not to be executed by the caller.
func (e *Executor) applyFault(ctx context.Context, to executor.Info, execute func()) (executor.Answer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delayed := e.activeFault(func(f *ExecutorFaults) bool { return f.DelayOrders > 0 })
	lost := e.activeFault(func(f *ExecutorFaults) bool { return f.LoseResponses > 0 })
	switch {
	case e.unreachable():
	case !e.up:
		return executor.Answer{Outcome: executor.NoListener}, false
	case to.ID != e.incarnation.ID:
		return executor.Answer{Outcome: executor.OtherIncarnation}, false
	case e.activeFault(func(f *ExecutorFaults) bool { return f.Unavailable }) != nil:
		return executor.Answer{Outcome: executor.Unavailable, Clock: e.clockLocked()}, false
	case e.activeFault(func(f *ExecutorFaults) bool { return f.Unresponsive }) != nil:
	case delayed != nil:
		delayed.DelayOrders--
		e.executeLater(to.ID, delayed.OrderDelay, execute)
	case lost != nil:
		lost.LoseResponses--
		execute()
	default:
		return executor.Answer{}, true
	}
	return e.awaitTimeout(ctx), false
}

// awaitTimeout returns the answer to a call without a response once the caller gives up. The caller
// holds mu, which is released meanwhile.
func (e *Executor) awaitTimeout(ctx context.Context) executor.Answer {
	e.sleep(ctx, answerTimeout)
	return executor.Answer{Outcome: executor.Unknown}
}

// sleep waits for d or until ctx is done. The caller holds mu, which is released meanwhile.
func (e *Executor) sleep(ctx context.Context, d time.Duration) {
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// executeLater executes an order for an ID after a delay, in the incarnation that is then up under the ID.
func (e *Executor) executeLater(id string, delay time.Duration, execute func()) {
	called := e.incarnation
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.up && e.incarnation.ID == id {
			e.executingForEarlier = e.incarnation != called
			execute()
			e.executingForEarlier = false
		}
	})
}

// rejected returns the answer to a rejected order. The caller holds mu.
func (e *Executor) rejected(r executor.Reason) executor.Answer {
	return executor.Answer{Outcome: executor.Rejected, Reason: r, Clock: e.clockLocked()}
}

// acceptToken records the fencing token of an order. It reports false for an order of a previous owner, or one that was meant for an earlier
// incarnation.
func (e *Executor) acceptToken(token uint64) bool {
	e.highestToken = max(e.highestToken, token)
	return token >= e.highestToken
}

func (e *Executor) extendLease(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clockLocked()+e.cfg.MaxLease.Milliseconds()))
}

func (e *Executor) countStartCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCalls++
}

// Start implements executor.Client.
func (e *Executor) Start(ctx context.Context, to executor.Info, s executor.Start) executor.Answer {
	e.countStartCall()
	if a, ok := e.applyFault(ctx, to, func() { e.start(s) }); !ok {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callWithFault(ctx, to.ID, e.nextCallFault(startFaults), func() executor.Answer { return e.start(s) })
}

// callWithFault executes a call to an ID with a failure. The caller holds mu, which is released while an answer is delayed.
func (e *Executor) callWithFault(ctx context.Context, id string, f CallFault, execute func() executor.Answer) executor.Answer {
	switch f.Kind {
	case CallUnavailable:
		e.sleep(ctx, f.Delay)
		return executor.Answer{Outcome: executor.Unavailable, Clock: e.clockLocked()}
	case CallNoCapacity:
		e.sleep(ctx, f.Delay)
		return e.rejected(executor.ReasonCapacity)
	case CallDelayed:
		e.executeLater(id, f.Delay, func() { execute() })
		return e.awaitTimeout(ctx)
	case CallResponseLost:
		execute()
		return e.awaitTimeout(ctx)
	case CallLost:
		return e.awaitTimeout(ctx)
	default:
		return execute()
	}
}

func (e *Executor) start(s executor.Start) executor.Answer {
	if !e.acceptToken(s.Token) {
		return e.rejected(executor.ReasonStaleEpoch)
	}
	if r := e.runs[s.Task]; r != nil && r.number == s.Run && r.stopAt == 0 {
		e.extendLease(s.Deadline)
		return executor.Answer{Clock: e.clockLocked()}
	}
	if s.Run <= e.highestRun[s.Task] || e.runs[s.Task] != nil {
		e.extendLease(s.Deadline)
		return e.rejected(executor.ReasonStaleRun)
	}
	if s.Deadline <= e.clockLocked() {
		return e.rejected(executor.ReasonDeadlinePassed)
	}
	e.extendLease(s.Deadline)
	w := e.cfg.Work(s.Task, s.Run)
	if !e.reserved().Add(w.Request).Fits(e.cfg.Capacity) {
		return e.rejected(executor.ReasonCapacity)
	}
	if e.activeFault(func(f *ExecutorFaults) bool { return f.FailRuns }) != nil {
		w.Fails, w.LongRunning = true, false
	}
	r := &executorRun{number: s.Run, work: w, startedAt: e.cfg.Clock.Now(), initialProgress: decodeProgress(s.Checkpoint)}
	r.savedProgress = r.initialProgress
	e.runs[s.Task], e.highestRun[s.Task] = r, s.Run
	e.recordRun(history.TaskRunStart, s.Task, r, "")
	return executor.Answer{Clock: e.clockLocked()}
}

func (e *Executor) reserved() task.Resources {
	var sum task.Resources
	for _, r := range e.runs {
		sum = sum.Add(r.work.Request)
	}
	return sum
}

// Stop implements executor.Client.
func (e *Executor) Stop(ctx context.Context, to executor.Info, name string, run uint32, token uint64) executor.Answer {
	if a, ok := e.applyFault(ctx, to, func() { e.stop(name, run, token) }); !ok {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callWithFault(ctx, to.ID, e.nextCallFault(stopFaults), func() executor.Answer { return e.stop(name, run, token) })
}

func (e *Executor) stop(name string, run uint32, token uint64) executor.Answer {
	if !e.acceptToken(token) {
		return e.rejected(executor.ReasonStaleEpoch)
	}
	e.highestRun[name] = max(e.highestRun[name], run)
	if r := e.runs[name]; r != nil && r.number <= run && r.stopAt == 0 {
		r.stopAt = e.cfg.Clock.Now() + e.cfg.StopTimeout
	}
	return executor.Answer{Clock: e.clockLocked()}
}

// Throttle implements executor.Client. It has no effect on the run: the stand-in's tasks do not
// interfere with each other.
func (e *Executor) Throttle(ctx context.Context, to executor.Info, _ string, _ uint32, token uint64, _ int) executor.Answer {
	if a, ok := e.applyFault(ctx, to, func() {}); !ok {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptToken(token) {
		return e.rejected(executor.ReasonStaleEpoch)
	}
	return executor.Answer{Clock: e.clockLocked()}
}

// boots returns the number of incarnations so far.
func (e *Executor) boots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCount
}

// Poll implements executor.Client. The next incarnation does not answer a poll that waits when its incarnation ends.
func (e *Executor) Poll(ctx context.Context, to executor.Info, request executor.PollRequest) executor.Snapshot {
	deadline, boots := e.cfg.Clock.Now()+request.Wait, e.boots()
	for {
		if a, ok := e.applyFault(ctx, to, func() { e.poll(request) }); !ok {
			return executor.Snapshot{Answer: a}
		}
		var s executor.Snapshot
		e.mu.Lock()
		a := e.callWithFault(ctx, to.ID, e.nextCallFault(pollFaults), func() executor.Answer {
			s = e.poll(request)
			return s.Answer
		})
		changed := e.changed
		e.mu.Unlock()
		if a.Outcome != executor.OK {
			return executor.Snapshot{Answer: a, StartedAt: s.StartedAt}
		}
		remaining := deadline - e.cfg.Clock.Now()
		if len(s.Ended) > 0 || remaining <= 0 {
			return s
		}
		select {
		case <-ctx.Done():
			return executor.Snapshot{Answer: executor.Answer{Outcome: executor.Unknown}}
		case <-changed:
		case <-time.After(remaining):
		}
		if e.boots() != boots {
			return executor.Snapshot{Answer: executor.Answer{Outcome: executor.Unknown}}
		}
	}
}

func (e *Executor) poll(request executor.PollRequest) executor.Snapshot {
	if !e.acceptToken(request.Token) {
		return executor.Snapshot{Answer: e.rejected(executor.ReasonStaleEpoch), StartedAt: e.incarnation.StartedAt}
	}
	if request.Deadline > 0 {
		e.extendLease(request.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].Number <= request.LastSeen {
		if e.ends[0].Number > e.lastEndBeforeExpiry {
			e.cfg.Recorder.Record(history.Event{Kind: history.TaskEndConfirmed, Task: e.ends[0].Task, Attempt: e.ends[0].Run, VM: e.cfg.VM})
		}
		e.ends = e.ends[1:]
	}
	listed := e.ends[:min(len(e.ends), e.cfg.MaxListedEnds)]
	s := executor.Snapshot{Answer: executor.Answer{Clock: e.clockLocked()}, StartedAt: e.incarnation.StartedAt,
		Ended: append([]executor.End(nil), listed...), MoreEnds: len(listed) == e.cfg.MaxListedEnds}
	now := e.cfg.Clock.Now()
	for name, r := range e.runs {
		percent := 100
		if !r.work.LongRunning && r.work.Duration > 0 {
			percent = int(100 * (r.initialProgress + now - r.startedAt) / r.work.Duration)
		}
		s.Running = append(s.Running, executor.Run{Task: name, Number: r.number, Checkpoint: encodeProgress(r.savedProgress), ProgressPercent: percent})
	}
	return s
}

// encodeProgress returns the checkpoint that stands for a progress; without progress it is empty.
func encodeProgress(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}

func decodeProgress(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0 // without a checkpoint the run starts from the beginning
	}
	return time.Duration(ms) * time.Millisecond
}
