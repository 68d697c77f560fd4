package standin

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Work is what a task really does on an executor stand-in.
type Work struct {
	Request task.Resources
	// Duration is the time that the work takes; a task that lasts never ends by itself.
	Duration time.Duration
	Lasts    bool
	// Fails ends the run as failed after Duration.
	Fails bool
	// Checkpoints tells that the progress is saved every CheckpointInterval and at a stop.
	Checkpoints bool
}

// ExecutorConfig configures an executor stand-in.
type ExecutorConfig struct {
	VM, Service, Zone, Rack, Kind string
	Address                       string
	Capacity                      task.Resources
	Clock                         clock.Clock
	// Rate is how fast the executor's own clock runs, 1 when it is zero.
	Rate float64
	// MaxLease is the longest lease that is granted.
	MaxLease time.Duration
	// StopTimeout is how long a stop takes.
	StopTimeout time.Duration
	// CheckpointInterval is the work between two saved states.
	CheckpointInterval time.Duration
	// Work returns what a run of a task does.
	Work     func(task string, run uint32) Work
	Recorder *history.Recorder
	// Step is the interval at which runs advance.
	Step time.Duration
}

// ExecutorFaults selects the failures of an executor stand-in.
type ExecutorFaults struct {
	// Mute carries out no order and gives no answer.
	Mute bool
	// Unavailable refuses every order without an effect.
	Unavailable bool
	// LoseAnswers is the number of coming orders that are carried out and not answered.
	LoseAnswers int
	// DelayOrders is the number of coming orders that are not answered, and carried out after OrderDelay.
	DelayOrders int
	OrderDelay  time.Duration
	// FailRuns ends every run that starts as failed.
	FailRuns bool
}

// answerTimeout is how long a caller waits for an answer that does not come.
const answerTimeout = 700 * time.Millisecond

// Executor is an in-memory executor. It implements executor.Client for the
// address that it stands at. Runs advance while Run is active.
type Executor struct {
	cfg ExecutorConfig

	mu       sync.Mutex
	life     submission.Incarnation
	lives    int
	bornAt   time.Duration
	up       bool
	draining bool
	sequence int64
	faults   ExecutorFaults
	epoch    uint64
	// leaseEnd is in milliseconds on the executor's clock.
	leaseEnd int64
	runs     map[string]*executorRun
	// highest is the highest run of each task that was started or stopped here.
	highest map[string]uint32
	ends    []executor.End
	lastEnd int64
	// lapsedEnd is the last end before the lease lapsed: the system may have given
	// up on what ended until then.
	lapsedEnd int64
	changed   chan struct{}
}

type executorRun struct {
	number  uint32
	work    Work
	started time.Duration
	// resumed is the progress at the start.
	resumed time.Duration
	saved   time.Duration
	// stopAt is when an ordered stop takes effect, 0 when none was ordered.
	stopAt time.Duration
}

// NewExecutor returns an executor that is down until Boot.
func NewExecutor(cfg ExecutorConfig) *Executor {
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	if cfg.Step == 0 {
		cfg.Step = 20 * time.Millisecond
	}
	return &Executor{cfg: cfg, changed: make(chan struct{})}
}

// Boot begins a lifetime and ends the one before. Its id is kept when sameID is true.
func (e *Executor) Boot(sameID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.lives++
	if e.life.ID == "" || !sameID {
		e.life.ID = fmt.Sprintf("i-%s-%d", e.cfg.VM, e.lives)
	}
	e.bornAt = e.cfg.Clock.Now()
	e.life.StartedAt = e.bornAt.Milliseconds()
	e.up, e.draining, e.sequence, e.epoch, e.leaseEnd, e.lastEnd, e.lapsedEnd = true, false, 0, 0, 0, 0, 0
	e.runs, e.highest, e.ends = make(map[string]*executorRun), make(map[string]uint32), nil
}

// Crash ends the lifetime and all its runs at once.
func (e *Executor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Executor) crash() {
	for name, r := range e.runs {
		e.record(history.TaskRunEnd, name, r, "")
	}
	e.up, e.runs = false, nil
	e.wake()
}

// Drain makes the executor report that it leaves.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// SetFaults replaces the active faults.
func (e *Executor) SetFaults(f ExecutorFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Running returns the number of runs.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Info returns what the executor says about itself; ok is false while it is down.
func (e *Executor) Info() (info executor.Info, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return executor.Info{Incarnation: e.life, Service: e.cfg.Service, Address: e.cfg.Address, Zone: e.cfg.Zone, Capacity: e.cfg.Capacity,
		Kind: e.cfg.Kind, Rack: e.cfg.Rack, Draining: e.draining, Sequence: e.sequence, Clock: e.clockLocked()}, e.up
}

// Run advances the runs until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	tick := time.NewTicker(e.cfg.Step)
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

// Advance ends the runs whose work, stop or lease has ended.
func (e *Executor) Advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	now := e.cfg.Clock.Now()
	lapsed := e.clockLocked() >= e.leaseEnd
	if lapsed {
		e.lapsedEnd = e.lastEnd
	}
	for name, r := range e.runs {
		progress := r.resumed + now - r.started
		e.save(name, r, progress)
		switch {
		case lapsed:
			e.endLocked(name, r, executor.LeaseExpired)
		case r.stopAt != 0 && now >= r.stopAt:
			if r.work.Checkpoints {
				e.checkpoint(name, r, progress)
			}
			e.endLocked(name, r, executor.Stopped)
		case r.work.Lasts || progress < r.work.Duration:
		case r.work.Fails:
			e.endLocked(name, r, executor.Failed)
		default:
			e.endLocked(name, r, executor.Done)
		}
	}
}

// save stores the progress once for each interval of work.
func (e *Executor) save(name string, r *executorRun, progress time.Duration) {
	if interval := e.cfg.CheckpointInterval; r.work.Checkpoints && interval > 0 && progress >= r.saved+interval {
		e.checkpoint(name, r, progress)
	}
}

func (e *Executor) checkpoint(name string, r *executorRun, progress time.Duration) {
	r.saved = progress.Truncate(time.Millisecond)
	e.cfg.Recorder.Record(history.Event{Kind: history.TaskCheckpoint, Task: name, Attempt: r.number, VM: e.cfg.VM, Progress: r.saved})
}

func (e *Executor) clockLocked() int64 {
	return 1 + int64(float64((e.cfg.Clock.Now()-e.bornAt).Microseconds())*e.cfg.Rate/1000)
}

func (e *Executor) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) endLocked(name string, r *executorRun, cause executor.EndCause) {
	delete(e.runs, name)
	e.lastEnd++
	e.ends = append(e.ends, executor.End{Number: e.lastEnd, Task: name, Run: r.number, Cause: cause, Checkpoint: encodeProgress(r.saved)})
	outcome := ""
	switch cause {
	case executor.Done:
		outcome = task.Succeeded
	case executor.Failed:
		outcome = task.Failed
	default:
	}
	e.record(history.TaskRunEnd, name, r, outcome)
	e.wake()
}

func (e *Executor) record(kind history.Kind, name string, r *executorRun, outcome string) {
	e.cfg.Recorder.Record(history.Event{Kind: kind, Task: name, Attempt: r.number, VM: e.cfg.VM, Progress: r.resumed,
		Reserved: r.work.Request, Capacity: e.cfg.Capacity, Outcome: outcome})
}

// fault applies the active faults to an order that carry carries out. ok is false
// when the order gets no answer or is refused.
func (e *Executor) fault(ctx context.Context, to executor.Info, carry func()) (executor.Answer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.up:
		return executor.Answer{Outcome: executor.NoListener}, false
	case to.ID != e.life.ID:
		return executor.Answer{Outcome: executor.OtherIncarnation}, false
	case e.faults.Unavailable:
		return executor.Answer{Outcome: executor.Unavailable, Clock: e.clockLocked()}, false
	case e.faults.Mute:
	case e.faults.DelayOrders > 0:
		e.faults.DelayOrders--
		life := e.life
		time.AfterFunc(e.faults.OrderDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up && e.life == life {
				carry()
			}
		})
	case e.faults.LoseAnswers > 0:
		e.faults.LoseAnswers--
		carry()
	default:
		return executor.Answer{}, true
	}
	e.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(answerTimeout):
	}
	e.mu.Lock()
	return executor.Answer{Outcome: executor.Unknown}, false
}

// rejected refuses an order. The caller holds mu.
func (e *Executor) rejected(r executor.Reason) executor.Answer {
	return executor.Answer{Outcome: executor.Rejected, Reason: r, Clock: e.clockLocked()}
}

// newerEpoch takes in the epoch of an order. It reports false for an order of an earlier owner.
func (e *Executor) newerEpoch(epoch uint64) bool {
	e.epoch = max(e.epoch, epoch)
	return epoch >= e.epoch
}

func (e *Executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clockLocked()+e.cfg.MaxLease.Milliseconds()))
}

// Start implements executor.Client.
func (e *Executor) Start(ctx context.Context, to executor.Info, s executor.Start) executor.Answer {
	if a, ok := e.fault(ctx, to, func() { e.start(s) }); !ok {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start(s)
}

func (e *Executor) start(s executor.Start) executor.Answer {
	if !e.newerEpoch(s.Epoch) {
		return e.rejected(executor.ReasonStaleEpoch)
	}
	if r := e.runs[s.Task]; r != nil && r.number == s.Run && r.stopAt == 0 {
		e.extend(s.Deadline)
		return executor.Answer{Clock: e.clockLocked()}
	}
	if s.Run <= e.highest[s.Task] || e.runs[s.Task] != nil {
		e.extend(s.Deadline)
		return e.rejected(executor.ReasonStaleRun)
	}
	if s.Deadline <= e.clockLocked() {
		return e.rejected(executor.ReasonDeadlinePassed)
	}
	e.extend(s.Deadline)
	w := e.cfg.Work(s.Task, s.Run)
	if !e.reserved().Add(w.Request).Fits(e.cfg.Capacity) {
		return e.rejected(executor.ReasonCapacity)
	}
	if e.faults.FailRuns {
		w.Fails, w.Lasts = true, false
	}
	r := &executorRun{number: s.Run, work: w, started: e.cfg.Clock.Now(), resumed: decodeProgress(s.Checkpoint)}
	r.saved = r.resumed
	e.runs[s.Task], e.highest[s.Task] = r, s.Run
	e.record(history.TaskRunStart, s.Task, r, "")
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
func (e *Executor) Stop(ctx context.Context, to executor.Info, name string, run uint32, epoch uint64) executor.Answer {
	if a, ok := e.fault(ctx, to, func() { e.stop(name, run, epoch) }); !ok {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stop(name, run, epoch)
}

func (e *Executor) stop(name string, run uint32, epoch uint64) executor.Answer {
	if !e.newerEpoch(epoch) {
		return e.rejected(executor.ReasonStaleEpoch)
	}
	e.highest[name] = max(e.highest[name], run)
	if r := e.runs[name]; r != nil && r.number <= run && r.stopAt == 0 {
		r.stopAt = e.cfg.Clock.Now() + e.cfg.StopTimeout
	}
	return executor.Answer{Clock: e.clockLocked()}
}

// Throttle implements executor.Client. The stand-in's tasks do not disturb each other.
func (e *Executor) Throttle(ctx context.Context, to executor.Info, _ string, _ uint32, epoch uint64, _ int) executor.Answer {
	if a, ok := e.fault(ctx, to, func() {}); !ok {
		return a
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.newerEpoch(epoch) {
		return e.rejected(executor.ReasonStaleEpoch)
	}
	return executor.Answer{Clock: e.clockLocked()}
}

// Poll implements executor.Client.
func (e *Executor) Poll(ctx context.Context, to executor.Info, h executor.PollRequest) executor.Snapshot {
	deadline := e.cfg.Clock.Now() + h.Wait
	for {
		if a, ok := e.fault(ctx, to, func() { e.hold(h) }); !ok {
			return executor.Snapshot{Answer: a}
		}
		e.mu.Lock()
		s := e.hold(h)
		changed := e.changed
		e.mu.Unlock()
		left := deadline - e.cfg.Clock.Now()
		if s.Outcome != executor.OK || len(s.Ended) > 0 || left <= 0 {
			return s
		}
		select {
		case <-ctx.Done():
			return executor.Snapshot{Answer: executor.Answer{Outcome: executor.Unknown}}
		case <-changed:
		case <-time.After(left):
		}
	}
}

func (e *Executor) hold(h executor.PollRequest) executor.Snapshot {
	if !e.newerEpoch(h.Epoch) {
		return executor.Snapshot{Answer: e.rejected(executor.ReasonStaleEpoch), StartedAt: e.life.StartedAt}
	}
	if h.Deadline > 0 {
		e.extend(h.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].Number <= h.LastSeen {
		if e.ends[0].Number > e.lapsedEnd {
			e.cfg.Recorder.Record(history.Event{Kind: history.TaskEndConfirmed, Task: e.ends[0].Task, Attempt: e.ends[0].Run, VM: e.cfg.VM})
		}
		e.ends = e.ends[1:]
	}
	s := executor.Snapshot{Answer: executor.Answer{Clock: e.clockLocked()}, StartedAt: e.life.StartedAt, Ended: append([]executor.End(nil), e.ends...)}
	now := e.cfg.Clock.Now()
	for name, r := range e.runs {
		percent := 100
		if !r.work.Lasts && r.work.Duration > 0 {
			percent = int(100 * (r.resumed + now - r.started) / r.work.Duration)
		}
		s.Running = append(s.Running, executor.Run{Task: name, Number: r.number, Checkpoint: encodeProgress(r.saved), ProgressPercent: percent})
	}
	return s
}

// encodeProgress returns a checkpoint's text, empty for none.
func encodeProgress(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}

func decodeProgress(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0 // an empty checkpoint starts from the beginning
	}
	return time.Duration(ms) * time.Millisecond
}
