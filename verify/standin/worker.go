package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/vm/worker"
)

// Behavior is the actual behavior of the tasks of a job class, as opposed to the declared one.
type Behavior struct {
	// UsageFactor is actual usage divided by declared usage.
	UsageFactor float64
	// DurationFactor is actual run time divided by declared run time.
	DurationFactor float64
	// Interference is the relative slowdown of the service per declared processor of an unthrottled task.
	Interference float64
	// FailImmediately makes every attempt fail when it first advances.
	FailImmediately bool
}

// WorkerConfig configures a worker stand-in.
type WorkerConfig struct {
	VM        string
	Capacity  task.Resources
	Clock     clock.Clock
	Objects   store.Objects
	Recorder  *history.Recorder
	Behaviors map[string]Behavior
	// UsageReportAge is the age of usage reports.
	UsageReportAge time.Duration
	// AdvanceInterval is the interval at which attempts advance.
	AdvanceInterval time.Duration
}

// Worker is an in-memory worker. Attempts advance while Run is active.
type Worker struct {
	cfg      WorkerConfig
	finished chan worker.Finished

	mu       sync.Mutex
	attempts map[string]*attempt
	results  map[resultKey]worker.Finished
	leaseEnd time.Duration
	failed   bool
}

type resultKey struct {
	id      string
	attempt uint32
}

type attempt struct {
	start         worker.Start
	progress      time.Duration
	speedFraction float64
	suspended     bool
	checkpoints   int
}

// checkpointTimeout bounds the write of one checkpoint.
const checkpointTimeout = 3 * time.Second

// finishedBuffer exceeds the number of attempts that can run on a VM.
const finishedBuffer = 1024

// NewWorker returns a worker without attempts.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.AdvanceInterval == 0 {
		cfg.AdvanceInterval = 20 * time.Millisecond
	}
	return &Worker{cfg: cfg, finished: make(chan worker.Finished, finishedBuffer), attempts: make(map[string]*attempt),
		results: make(map[resultKey]worker.Finished)}
}

// Run advances attempts until ctx is done.
func (w *Worker) Run(ctx context.Context) {
	tick := time.NewTicker(w.cfg.AdvanceInterval)
	defer tick.Stop()
	last := w.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := w.cfg.Clock.Now()
			w.Advance(now, now-last)
			last = now
		}
	}
}

// Advance advances every running attempt by elapsed, and suspends or resumes attempts as the lease requires.
func (w *Worker) Advance(now, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed {
		return
	}
	for id, a := range w.attempts {
		w.applyLease(a, now)
		if a.suspended {
			continue
		}
		a.progress += time.Duration(float64(elapsed) * a.speedFraction)
		if err, done := w.attemptOutcome(a); done {
			w.finishAttempt(id, a, err)
			f := worker.Finished{ID: id, Attempt: a.start.Attempt, Err: err}
			w.results[resultKey{id, f.Attempt}] = f
			select {
			case w.finished <- f:
			default:
				// No agent reads the channel; the next agent gets the result from Results.
			}
		}
	}
}

func (w *Worker) applyLease(a *attempt, now time.Duration) {
	expired := now >= w.leaseEnd
	if expired == a.suspended {
		return
	}
	a.suspended = expired
	kind := history.TaskResumed
	if expired {
		kind = history.TaskSuspended
	}
	w.record(kind, a)
}

func (w *Worker) attemptOutcome(a *attempt) (error, bool) {
	b := w.behavior(a.start.JobClass)
	if b.FailImmediately {
		return errkind.New(errkind.UpstreamFailed, "task failed on %s", w.cfg.VM), true
	}
	if a.start.Duration == 0 {
		return nil, false
	}
	return nil, a.progress >= time.Duration(float64(a.start.Duration)*b.DurationFactor)
}

func (w *Worker) behavior(class string) Behavior {
	if b, ok := w.cfg.Behaviors[class]; ok {
		return b
	}
	return Behavior{UsageFactor: 1, DurationFactor: 1, Interference: 0.02}
}

// declared returns the declared size, from which the actual usage is computed. Reservations follow
// the measured usage, so a usage computed from them would drift.
func (a *attempt) declared() task.Resources {
	if a.start.Declared == (task.Resources{}) {
		return a.start.Reserved
	}
	return a.start.Declared
}

func (w *Worker) record(kind history.Kind, a *attempt) { w.cfg.Recorder.Record(w.event(kind, a)) }

func (w *Worker) event(kind history.Kind, a *attempt) history.Event {
	return history.Event{Kind: kind, Task: a.start.ID, Attempt: a.start.Attempt, VM: w.cfg.VM, Progress: a.progress,
		Reserved: a.start.Reserved, Capacity: w.cfg.Capacity}
}

func (w *Worker) endAttempt(id string, a *attempt) {
	delete(w.attempts, id)
	w.record(history.TaskRunEnd, a)
}

// finishAttempt records the end of an attempt that succeeded or failed by itself.
func (w *Worker) finishAttempt(id string, a *attempt, err error) {
	delete(w.attempts, id)
	e := w.event(history.TaskRunEnd, a)
	e.Outcome = task.Succeeded
	if err != nil {
		e.Outcome = task.Failed
	}
	w.cfg.Recorder.Record(e)
}

// Capacity implements worker.Worker.
func (w *Worker) Capacity() task.Resources { return w.cfg.Capacity }

// Start implements worker.Worker.
func (w *Worker) Start(s worker.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed {
		return errkind.New(errkind.NotReady, "the VM has failed")
	}
	if a, ok := w.attempts[s.ID]; ok {
		if a.start.Attempt == s.Attempt {
			return nil
		}
		return errkind.New(errkind.Conflict, "attempt %d of task %s is running", a.start.Attempt, s.ID)
	}
	a := &attempt{start: s, progress: s.Progress, speedFraction: 1}
	w.attempts[s.ID] = a
	w.record(history.TaskRunStart, a)
	w.applyLease(a, w.cfg.Clock.Now())
	return nil
}

// Renew implements worker.Worker.
func (w *Worker) Renew(until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until > w.leaseEnd {
		w.leaseEnd = until
	}
}

// Throttle implements worker.Worker.
func (w *Worker) Throttle(id string, fraction float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := w.attempts[id]; ok {
		a.speedFraction = fraction
	}
}

// Checkpoint implements worker.Worker. The object is written without holding the lock,
// so that a slow object store does not delay the suspension of attempts when the lease expires.
func (w *Worker) Checkpoint(id string, attemptNo uint32) (worker.Checkpoint, error) {
	cp, err := w.snapshot(id, attemptNo)
	if err != nil {
		return worker.Checkpoint{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
	defer cancel()
	if err := w.cfg.Objects.Put(ctx, cp.Ref, []byte(cp.Progress.String())); err != nil {
		return worker.Checkpoint{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.attempts[id]
	if !ok || a.start.Attempt != attemptNo {
		return worker.Checkpoint{}, errkind.New(errkind.NotFound, "attempt %d of task %s has ended", attemptNo, id)
	}
	w.cfg.Recorder.Record(history.Event{Kind: history.TaskCheckpoint, Task: id, Attempt: attemptNo, VM: w.cfg.VM, Progress: cp.Progress})
	return cp, nil
}

func (w *Worker) snapshot(id string, attemptNo uint32) (worker.Checkpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.attempts[id]
	if !ok || a.start.Attempt != attemptNo {
		return worker.Checkpoint{}, errkind.New(errkind.NotFound, "attempt %d of task %s", attemptNo, id)
	}
	a.checkpoints++
	return worker.Checkpoint{Ref: fmt.Sprintf("checkpoint/%s/%d-%d", id, attemptNo, a.checkpoints), Progress: a.progress}, nil
}

// Stop implements worker.Worker.
func (w *Worker) Stop(id string, attemptNo uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := w.attempts[id]; ok && a.start.Attempt == attemptNo {
		w.endAttempt(id, a)
	}
}

// List implements worker.Worker.
func (w *Worker) List() []worker.Running {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]worker.Running, 0, len(w.attempts))
	for _, a := range w.attempts {
		out = append(out, worker.Running{Start: a.start, Suspended: a.suspended, Progress: a.progress})
	}
	return out
}

// Usage implements worker.Worker.
func (w *Worker) Usage() ([]worker.Usage, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]worker.Usage, 0, len(w.attempts))
	for id, a := range w.attempts {
		f, declared := w.behavior(a.start.JobClass).UsageFactor, a.declared()
		out = append(out, worker.Usage{ID: id, Use: task.Resources{
			CPU:    int64(float64(declared.CPU) * f * a.speedFraction),
			Memory: int64(float64(declared.Memory) * f),
		}})
	}
	return out, w.cfg.UsageReportAge
}

// Finished implements worker.Worker.
func (w *Worker) Finished() <-chan worker.Finished { return w.finished }

// Results implements worker.Worker.
func (w *Worker) Results() []worker.Finished {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]worker.Finished, 0, len(w.results))
	for _, f := range w.results {
		out = append(out, f)
	}
	return out
}

// Acknowledge implements worker.Worker.
func (w *Worker) Acknowledge(id string, attemptNo uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.results, resultKey{id, attemptNo})
}

// Fail ends every attempt and discards all results, as the failure of a VM does. The worker stays failed.
func (w *Worker) Fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = true
	clear(w.results)
	for id, a := range w.attempts {
		w.endAttempt(id, a)
	}
}

// Slowdown returns the factor, at least 1, by which running batch attempts slow down the service on the VM.
func (w *Worker) Slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 1.0
	for _, a := range w.attempts {
		if a.suspended || a.start.Class != task.Batch {
			continue
		}
		sum += w.behavior(a.start.JobClass).Interference * a.speedFraction * float64(a.declared().CPU) / 1000
	}
	return sum
}
