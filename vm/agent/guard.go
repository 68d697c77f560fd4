package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/guard"
	"github.com/chicorystand/chicorystand/vm/worker"
)

// latencies collects how long the upstream took for the forwarded requests.
type latencies struct {
	mu    sync.Mutex
	next  uint64
	began map[uint64]time.Duration
	ended []time.Duration
}

// maxLatencies bounds the samples between two runs of the guard.
const maxLatencies = 4096

// begin notes a request that is forwarded at now and returns the function that ends it.
func (l *latencies) begin(now time.Duration) func(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.began == nil {
		l.began = make(map[uint64]time.Duration)
	}
	l.next++
	id := l.next
	l.began[id] = now
	return func(end time.Duration) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.began, id)
		if len(l.ended) < maxLatencies {
			l.ended = append(l.ended, end-now)
		}
	}
}

// take returns the latencies since the last call, and the ages above target of
// the requests in progress.
func (l *latencies) take(now, target time.Duration) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.ended
	l.ended = nil
	for _, at := range l.began {
		if age := now - at; age > target {
			out = append(out, age)
		}
	}
	return out
}

// protection applies the guard and the handling of growth to the tasks on the VM.
type protection struct {
	guard *guard.Guard
	// tail is the service's p99 in thousandths of its target.
	tail atomic.Uint32
	// set holds the speed that the worker was told, for attempts below full speed.
	set map[string]float64
	// limits holds the speeds that keep tasks within their reserved processors, set at limitedAt.
	limits    map[string]float64
	limitedAt time.Duration
	// grown counts the consecutive runs in which memory was over-committed.
	grown int
}

// Growth of tasks beyond their reservations.
const (
	// growthPercent is the use beyond the reservation that counts as growth.
	growthPercent = 10
	// growthRuns is the number of consecutive runs before a task is checkpointed for
	// its memory. Throttling slows the growth meanwhile.
	growthRuns = 5
	// growthFraction is the speed of a task that uses too much memory.
	growthFraction = 0.25
	// limitInterval separates changes of the speeds that limit processors. It exceeds
	// the age of usage reports, so that a change shows before the next one.
	limitInterval = 10 * time.Second
)

func (a *Agent) guardLoop(ctx context.Context) {
	tick := time.NewTicker(guard.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.protect()
		}
	}
}

// protect runs the guard once and applies the lower of the speeds that the guard
// and the handling of growth ask for.
func (a *Agent) protect() {
	running := a.running()
	use := a.plausibleUse()
	p := &a.protection
	speeds := make(map[string]float64)
	evict := make(map[string]errkind.Kind)
	if p.guard != nil {
		now := a.cfg.Clock.Now()
		actions := p.guard.Observe(guard.Samples{Latencies: a.latency.take(now, a.cfg.LatencyTarget), Tasks: a.guardTasks(running, use)}, now)
		for _, act := range actions {
			if act.Kind == guard.Checkpoint {
				evict[act.Task] = errkind.SlotsFull
			}
		}
		p.tail.Store(uint32(min(p.guard.Tail()*1000, float64(^uint16(0)))))
		for _, r := range running {
			speeds[r.ID] = p.guard.Fraction(r.ID)
		}
	}
	a.limitGrowth(running, use, speeds, evict)
	a.applySpeeds(running, speeds)
	for _, r := range running {
		if reason, ok := evict[r.ID]; ok && a.beginCheckpoint(r.ID) {
			go func() {
				defer a.endCheckpoint(r.ID)
				_ = a.evict(r.ID, r.Attempt, reason)
			}()
		}
	}
}

func (a *Agent) guardTasks(running []worker.Running, use map[string]task.Resources) []guard.Task {
	var out []guard.Task
	for _, r := range running {
		if r.Class != task.Batch || r.Suspended {
			continue
		}
		cpu := r.Reserved.CPU
		if u, ok := use[r.ID]; ok {
			cpu = max(cpu, u.CPU)
		}
		out = append(out, guard.Task{ID: r.ID, JobClass: r.JobClass, CPU: cpu, Interference: a.harms.get(r.JobClass)})
	}
	return out
}

// plausibleUse returns the measured use by task. A value beyond the VM's capacity
// is a faulty measurement; the reservation is used instead.
func (a *Agent) plausibleUse() map[string]task.Resources {
	measured, _ := a.cfg.Worker.Usage()
	out := make(map[string]task.Resources, len(measured))
	for _, u := range measured {
		if u.Use.Fits(a.ledger.Capacity()) {
			out[u.ID] = u.Use
		}
	}
	return out
}

// limitGrowth acts on tasks that use more than their reservations when the VM as a
// whole has no room for it: processors are throttled back to the reservation; the
// batch task with the largest excess of memory is throttled, then checkpointed.
// Latency-critical tasks are left to the owner, which learns of the use by heartbeats.
func (a *Agent) limitGrowth(running []worker.Running, use map[string]task.Resources, speeds map[string]float64, evict map[string]errkind.Kind) {
	total := a.cfg.ServiceHeld
	worst, excess := "", int64(0)
	for _, r := range running {
		u, ok := use[r.ID]
		if !ok {
			u = r.Reserved
		}
		total = total.Add(u)
		over := u.Memory - r.Reserved.Memory
		if r.Class == task.Batch && over*100 > r.Reserved.Memory*growthPercent && over > excess {
			worst, excess = r.ID, over
		}
	}
	capacity := a.ledger.Capacity()
	a.limitProcessors(running, use)
	for id, f := range a.protection.limits {
		speeds[id] = min(speedOf(speeds, id), f)
	}
	if worst == "" || total.Memory <= capacity.Memory {
		a.protection.grown = 0
		return
	}
	speeds[worst] = min(speedOf(speeds, worst), growthFraction)
	if a.protection.grown++; a.protection.grown > growthRuns {
		a.protection.grown = 0
		evict[worst] = errkind.CapacityExceeded
	}
}

// limitProcessors throttles batch tasks back to their reserved processors while
// the tasks at full speed would use more than the VM has.
func (a *Agent) limitProcessors(running []worker.Running, use map[string]task.Resources) {
	now, p := a.cfg.Clock.Now(), &a.protection
	if now < p.limitedAt+limitInterval {
		return
	}
	p.limitedAt, p.limits = now, make(map[string]float64)
	full := make(map[string]float64, len(running))
	total := float64(a.cfg.ServiceHeld.CPU)
	for _, r := range running {
		full[r.ID] = float64(r.Reserved.CPU)
		if u, ok := use[r.ID]; ok {
			full[r.ID] = float64(u.CPU) / speedOf(p.set, r.ID)
		}
		total += full[r.ID]
	}
	if total <= float64(a.ledger.Capacity().CPU) {
		return
	}
	for _, r := range running {
		if r.Class == task.Batch && r.Reserved.CPU > 0 && full[r.ID] > float64(r.Reserved.CPU) {
			p.limits[r.ID] = float64(r.Reserved.CPU) / full[r.ID]
		}
	}
}

func speedOf(m map[string]float64, id string) float64 {
	if f, ok := m[id]; ok {
		return f
	}
	return 1
}

// applySpeeds tells the worker the speeds that changed.
func (a *Agent) applySpeeds(running []worker.Running, speeds map[string]float64) {
	next := make(map[string]float64)
	for _, r := range running {
		want := speedOf(speeds, r.ID)
		if want < 1 {
			next[r.ID] = want
		}
		if want != speedOf(a.protection.set, r.ID) {
			a.cfg.Worker.Throttle(r.ID, want)
		}
	}
	a.protection.set = next
	a.speeds.put(next)
}
