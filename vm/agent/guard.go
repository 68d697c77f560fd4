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

// latencies collects the upstream latencies of forwarded requests.
type latencies struct {
	mu      sync.Mutex
	nextID  uint64
	started map[uint64]time.Duration
	samples []time.Duration
}

// maxLatencies bounds the samples kept between two runs of the guard.
const maxLatencies = 4096

// begin records the start of a request and returns the function that records its end.
func (l *latencies) begin(now time.Duration) func(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started == nil {
		l.started = make(map[uint64]time.Duration)
	}
	l.nextID++
	id := l.nextID
	l.started[id] = now
	return func(end time.Duration) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.started, id)
		if len(l.samples) < maxLatencies {
			l.samples = append(l.samples, end-now)
		}
	}
}

// collect returns the latencies recorded since the last call, and the ages of requests in progress
// that exceed target.
func (l *latencies) collect(now, target time.Duration) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.samples
	l.samples = nil
	for _, at := range l.started {
		if age := now - at; age > target {
			out = append(out, age)
		}
	}
	return out
}

// guardState is the state of the guard and of the limits on tasks that exceed their reservations.
type guardState struct {
	guard *guard.Guard
	// tailPermille is the service's p99 latency in thousandths of its target.
	tailPermille atomic.Uint32
	// applied holds the speed limits last sent to the worker, by ID, for attempts below full speed. appliedTo holds the numbers of these
	// attempts: the next attempt of a task starts at full speed.
	applied   map[string]float64
	appliedTo map[string]uint32
	// cpuLimits holds the speed limits that keep tasks within their reserved CPU, updated at cpuLimitsAt.
	cpuLimits   map[string]float64
	cpuLimitsAt time.Duration
	// overcommittedRuns counts the consecutive runs of the guard in which memory was overcommitted.
	overcommittedRuns int
}

// Limits on tasks that exceed their reservations.
const (
	// overusePercent is how far memory usage may exceed the reservation, in percent of it.
	overusePercent = 10
	// overuseRuns is the number of consecutive runs with overcommitted memory after which a task is
	// evicted with a checkpoint. Throttling slows its growth meanwhile.
	overuseRuns = 5
	// overuseSpeed is the speed limit of a task that uses too much memory.
	overuseSpeed = 0.25
	// cpuLimitInterval is the interval between updates of cpuLimits. It exceeds the age of usage
	// measurements, so that the effect of an update is measured before the next one.
	cpuLimitInterval = 10 * time.Second
)

func (a *Agent) guardLoop(ctx context.Context) {
	tick := time.NewTicker(guard.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.runGuard()
		}
	}
}

// runGuard runs the guard once and applies the lower of the speed limits set by the guard and by
// limitOveruse.
func (a *Agent) runGuard() {
	running := a.running()
	usage := a.plausibleUsage()
	p := &a.guardState
	speeds := make(map[string]float64)
	evict := make(map[string]errkind.Kind)
	if p.guard != nil {
		now := a.cfg.Clock.Now()
		actions := p.guard.Observe(guard.Samples{Latencies: a.latencies.collect(now, a.cfg.LatencyTarget), Tasks: a.guardTasks(running, usage)}, now)
		for _, act := range actions {
			if act.Kind == guard.Checkpoint {
				evict[act.Task] = errkind.SlotsFull
			}
		}
		p.tailPermille.Store(uint32(min(p.guard.Tail()*1000, float64(^uint16(0)))))
		for _, r := range running {
			speeds[r.ID] = p.guard.Fraction(r.ID)
		}
	}
	a.limitOveruse(running, usage, speeds, evict)
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

func (a *Agent) guardTasks(running []worker.Running, usage map[string]task.Resources) []guard.Task {
	var out []guard.Task
	for _, r := range running {
		if r.Class != task.Batch || r.Suspended {
			continue
		}
		cpu := r.Reserved.CPU
		if u, ok := usage[r.ID]; ok {
			cpu = max(cpu, u.CPU)
		}
		out = append(out, guard.Task{ID: r.ID, JobClass: r.JobClass, CPU: cpu, Interference: a.interference.get(r.JobClass)})
	}
	return out
}

// plausibleUsage returns the measured usage by task. It omits values above the VM's capacity, which
// are measurement errors; callers use the reservation instead.
func (a *Agent) plausibleUsage() map[string]task.Resources {
	measured, _ := a.cfg.Worker.Usage()
	out := make(map[string]task.Resources, len(measured))
	for _, u := range measured {
		if u.Use.Fits(a.ledger.Capacity()) {
			out[u.ID] = u.Use
		}
	}
	return out
}

// limitOveruse acts on batch tasks that exceed their reservations while the VM as a whole is
// overcommitted: tasks are throttled to their reserved CPU, and the one with the largest excess of
// memory is throttled, then evicted with a checkpoint. Latency-critical tasks are left to the
// owner, to which heartbeats report the usage.
func (a *Agent) limitOveruse(running []worker.Running, usage map[string]task.Resources, speeds map[string]float64, evict map[string]errkind.Kind) {
	total := a.cfg.ServiceReserved
	worst, excess := "", int64(0)
	for _, r := range running {
		u, ok := usage[r.ID]
		if !ok {
			u = r.Reserved
		}
		total = total.Add(u)
		over := u.Memory - r.Reserved.Memory
		if r.Class == task.Batch && over*100 > r.Reserved.Memory*overusePercent && over > excess {
			worst, excess = r.ID, over
		}
	}
	capacity := a.ledger.Capacity()
	a.limitCPU(running, usage)
	for id, f := range a.guardState.cpuLimits {
		speeds[id] = min(speedOrFull(speeds, id), f)
	}
	if worst == "" || total.Memory <= capacity.Memory {
		a.guardState.overcommittedRuns = 0
		return
	}
	speeds[worst] = min(speedOrFull(speeds, worst), overuseSpeed)
	if a.guardState.overcommittedRuns++; a.guardState.overcommittedRuns > overuseRuns {
		a.guardState.overcommittedRuns = 0
		evict[worst] = errkind.CapacityExceeded
	}
}

// limitCPU throttles batch tasks to their reserved CPU while the tasks at full speed would use more
// than the VM has.
func (a *Agent) limitCPU(running []worker.Running, usage map[string]task.Resources) {
	now, p := a.cfg.Clock.Now(), &a.guardState
	if now < p.cpuLimitsAt+cpuLimitInterval {
		return
	}
	p.cpuLimitsAt, p.cpuLimits = now, make(map[string]float64)
	fullSpeedCPU := make(map[string]float64, len(running))
	total := float64(a.cfg.ServiceReserved.CPU)
	for _, r := range running {
		fullSpeedCPU[r.ID] = float64(r.Reserved.CPU)
		if u, ok := usage[r.ID]; ok {
			fullSpeedCPU[r.ID] = float64(u.CPU) / speedOrFull(p.applied, r.ID)
		}
		total += fullSpeedCPU[r.ID]
	}
	if total <= float64(a.ledger.Capacity().CPU) {
		return
	}
	for _, r := range running {
		if r.Class == task.Batch && r.Reserved.CPU > 0 && fullSpeedCPU[r.ID] > float64(r.Reserved.CPU) {
			p.cpuLimits[r.ID] = float64(r.Reserved.CPU) / fullSpeedCPU[r.ID]
		}
	}
}

func speedOrFull(m map[string]float64, id string) float64 {
	if f, ok := m[id]; ok {
		return f
	}
	return 1
}

// applySpeeds sends changed speed limits to the worker.
func (a *Agent) applySpeeds(running []worker.Running, speeds map[string]float64) {
	p := &a.guardState
	next, attempts := make(map[string]float64), make(map[string]uint32)
	for _, r := range running {
		want, current := speedOrFull(speeds, r.ID), 1.0
		if want < 1 {
			next[r.ID], attempts[r.ID] = want, r.Attempt
		}
		if p.appliedTo[r.ID] == r.Attempt {
			current = speedOrFull(p.applied, r.ID)
		}
		if want != current {
			a.cfg.Worker.Throttle(r.ID, want)
		}
	}
	p.applied, p.appliedTo = next, attempts
	a.speedLimits.put(next)
}
