package policy

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/guard"
)

// currentLoad returns the fraction of slots that would be in use without slowdown: a sine with
// one phase per zone, a peak, and the load of failed VMs spread over the others.
func (r *run) currentLoad(m *machine) float64 {
	up := 0
	for _, x := range r.machines {
		if x.downUntil == 0 {
			up++
		}
	}
	angle := 2*math.Pi*float64(r.now)/float64(loadPeriod) + m.loadPhase
	load := meanLoad + loadSwing*math.Sin(angle)
	if math.Sin(angle/3) > 0.9 {
		load *= peakFactor
	}
	return min(load*float64(len(r.machines))/float64(max(up, 1)), 0.95)
}

// slowdown returns the slowdown factor of the service time and that of CPU contention alone.
func (r *run) slowdown(m *machine) (slow, contention float64) {
	used := m.load * float64(m.vm.ServiceReserved.CPU) / 1000
	interference := 0.0
	for _, j := range m.jobs {
		use := j.cpuUse * j.speed
		used += use
		interference += r.interference(j.class) * use * (0.5 + m.load)
	}
	// Caches and memory bandwidth grow with the VM, so a processor in use interferes more on a small VM.
	interference *= referenceCPU / float64(m.vm.Capacity.CPU)
	contention = max(used/(float64(m.vm.Capacity.CPU)/1000), 1)
	return (1 + interference) * contention * m.externalSlowdown, contention
}

func (r *run) interference(c *class) float64 {
	if c.interference >= 0.05 && r.now%noisyPhasePeriod < time.Duration(noisyPhaseShare*float64(noisyPhasePeriod)) {
		return c.interference * noisyPhaseFactor
	}
	return c.interference
}

// simulateRequests generates the latencies of the step: lognormal service times plus the
// waiting time of a queue in front of the slots.
func (r *run) simulateRequests(m *machine) {
	m.latencies = m.latencies[:0]
	if m.downUntil != 0 {
		return
	}
	m.load = r.currentLoad(m)
	slow, _ := r.slowdown(m)
	s := float64(r.dep.Service.ServiceTime) * slow
	c := float64(r.dep.Service.Slots)
	rho := min(m.load*slow, 0.98)
	waits := math.Pow(rho, math.Sqrt(2*(c+1)))
	mean := s / (c * (1 - rho))
	expected := m.load * c * step.Seconds() / r.dep.Service.ServiceTime.Seconds()
	for n := int(expected + r.rng.Float64()); n > 0; n-- {
		l := s * math.Exp(serviceSigma*r.rng.NormFloat64()-serviceSigma*serviceSigma/2)
		if r.rng.Float64() < waits {
			l += mean * r.rng.ExpFloat64()
		}
		m.latencies = append(m.latencies, time.Duration(l))
		_ = r.latencies.RecordValue(int64(l / 1e3))
	}
}

// advanceTasks advances the batch tasks by one step.
func (r *run) advanceTasks(m *machine) {
	if m.downUntil != 0 {
		return
	}
	_, contention := r.slowdown(m)
	for _, j := range append([]*job(nil), m.jobs...) {
		switch {
		case j.stopsAt != 0 && r.now >= j.stopsAt:
			r.evict(m, j)
			continue
		case r.now < m.failsStartsUntil && j.startedAt+time.Second <= r.now && j.startedAt > m.failsStartsUntil-3*time.Minute:
			r.failedStarts++
			r.tables.IngestAttemptEnd(j.task, r.now, false)
			r.requeue(m, j)
			continue
		case r.now-j.startedAt < coldStart:
			continue
		}
		j.done += time.Duration(float64(step) * j.speed / contention)
		if r.now-j.checkpointedAt >= checkpointTime {
			j.checkpointed, j.checkpointedAt = j.done, r.now
			j.task.Record.Progress = j.checkpointed
		}
		if !j.watcher && j.done >= j.work {
			r.finish(m, j)
		}
	}
}

func (r *run) finish(m *machine, j *job) {
	r.usefulWork += j.cpuUse * j.work.Seconds()
	r.finished++
	if r.now > j.task.Submitted+j.task.Record.Spec.Deadline {
		r.missedDeadlines++
	}
	r.tables.IngestAttemptEnd(j.task, r.now, true)
	m.remove(j)
	r.tables.Remove(j.task.Record.Spec.ID)
	delete(r.jobs, j.task.Record.Spec.ID)
}

// runGuard runs the VM's guard.
func (r *run) runGuard(m *machine) {
	if m.downUntil != 0 || r.sched == nil {
		return
	}
	s := guard.Samples{Latencies: m.latencies}
	for _, j := range m.jobs {
		interference := 0.0
		if r.informsGuards {
			interference = max(r.tables.Interference(m.vm.Service, j.class.name, tables.LoadBucket(m.vm.Load)), 1e-6)
		}
		s.Tasks = append(s.Tasks, guard.Task{Interference: interference, ID: j.task.Record.Spec.ID, JobClass: j.class.name, CPU: max(j.task.Reserved.CPU, int64(1000*j.cpuUse*j.speed))})
	}
	if !r.usesGuards {
		return
	}
	for _, a := range m.guard.Observe(s, r.now) {
		if a.Kind == guard.Checkpoint {
			r.evict(m, r.jobs[a.Task])
		}
	}
	// Like the agent, apply the guard's speed limits after each of its runs, also to attempts that
	// came back.
	for _, j := range m.jobs {
		j.speed = m.guard.Fraction(j.task.Record.Spec.ID)
	}
}

// queueReport queues a report that is delivered after reportLag.
func (r *run) queueReport(m *machine) {
	if m.downUntil != 0 {
		return
	}
	rep := tables.Report{VM: m.vm.ID, At: r.now + reportLag, Lag: reportLag, Load: m.load, Tail: m.guard.Tail()}
	for _, j := range m.jobs {
		fraction := 0.0
		if r.informsGuards {
			fraction = j.speed
		}
		rep.Usage = append(rep.Usage, tables.TaskUsage{Task: j.task.Record.Spec.ID, Fraction: fraction,
			Used: task.Resources{CPU: int64(1000 * j.cpuUse * j.speed), Memory: j.task.Record.Spec.Declared.Memory * 9 / 10}})
	}
	r.reports = append(r.reports, delayedReport{rep.At, rep})
}

func (r *run) deliverReports() {
	n := 0
	for n < len(r.reports) && r.reports[n].at <= r.now {
		r.tables.Ingest(r.reports[n].report)
		n++
	}
	r.reports = r.reports[n:]
}
