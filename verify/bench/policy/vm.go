package policy

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/guard"
)

// currentLoad is the used share of slots without slowdown: a swing with a phase for each
// zone, a peak, and the load of failed VMs spread over the others.
func (r *run) currentLoad(m *machine) float64 {
	up := 0
	for _, x := range r.ms {
		if x.downTo == 0 {
			up++
		}
	}
	angle := 2*math.Pi*float64(r.now)/float64(loadPeriod) + m.phase
	load := meanLoad + loadSwing*math.Sin(angle)
	if math.Sin(angle/3) > 0.9 {
		load *= peakFactor
	}
	return min(load*float64(len(r.ms))/float64(max(up, 1)), 0.95)
}

// slowdown returns the factor on the service time and the contention for processors.
func (r *run) slowdown(m *machine) (slow, contention float64) {
	used := m.load * float64(m.v.ServiceReserved.CPU) / 1000
	harm := 0.0
	for _, j := range m.jobs {
		use := j.use * j.fraction
		used += use
		harm += r.harm(j.class) * use * (0.5 + m.load)
	}
	// Caches and memory bandwidth grow with the VM, so a processor of a small VM does more harm.
	harm *= referenceCPU / float64(m.v.Capacity.CPU)
	contention = max(used/(float64(m.v.Capacity.CPU)/1000), 1)
	return (1 + harm) * contention * m.wave, contention
}

func (r *run) harm(c *class) float64 {
	if c.harm >= 0.05 && r.now%phasePeriod < time.Duration(phaseShare*float64(phasePeriod)) {
		return c.harm * phaseFactor
	}
	return c.harm
}

// serve draws the latencies of the step: lognormal service times and the waiting time of
// a queue in front of the slots.
func (r *run) serve(m *machine) {
	m.lat = m.lat[:0]
	if m.downTo != 0 {
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
		m.lat = append(m.lat, time.Duration(l))
		_ = r.hist.RecordValue(int64(l / 1e3))
	}
}

// advance moves the batch tasks forward.
func (r *run) advance(m *machine) {
	if m.downTo != 0 {
		return
	}
	_, contention := r.slowdown(m)
	for _, j := range append([]*job(nil), m.jobs...) {
		switch {
		case j.leaving != 0 && r.now >= j.leaving:
			r.evict(m, j)
			continue
		case r.now < m.broken && j.began+time.Second <= r.now && j.began > m.broken-3*time.Minute:
			r.failures++
			r.t.IngestAttemptEnd(j.tk, r.now, false)
			r.leave(m, j)
			continue
		case r.now-j.began < coldStart:
			continue
		}
		j.done += time.Duration(float64(step) * j.fraction / contention)
		if r.now-j.savedAt >= checkpointTime {
			j.saved, j.savedAt = j.done, r.now
			j.tk.Record.Progress = j.saved
		}
		if !j.watcher && j.done >= j.work {
			r.finish(m, j)
		}
	}
}

func (r *run) finish(m *machine, j *job) {
	r.useful += j.use * j.work.Seconds()
	r.ended++
	if r.now > j.tk.Submitted+j.tk.Record.Spec.Deadline {
		r.late++
	}
	r.t.IngestAttemptEnd(j.tk, r.now, true)
	m.remove(j)
	r.t.Remove(j.tk.Record.Spec.ID)
	delete(r.jobs, j.tk.Record.Spec.ID)
}

// protect runs the VM's guard.
func (r *run) protect(m *machine) {
	if m.downTo != 0 || r.sched == nil {
		return
	}
	s := guard.Samples{Latencies: m.lat}
	for _, j := range m.jobs {
		harm := 0.0
		if r.learns {
			harm = max(r.t.Interference(m.v.Service, j.class.name, tables.LoadBucket(m.v.Load)), 1e-6)
		}
		s.Tasks = append(s.Tasks, guard.Task{Interference: harm, ID: j.tk.Record.Spec.ID, JobClass: j.class.name, CPU: max(j.tk.Reserved.CPU, int64(1000*j.use*j.fraction))})
	}
	if !r.usesGuards {
		return
	}
	for _, a := range m.guard.Observe(s, r.now) {
		if a.Kind == guard.Checkpoint {
			r.evict(m, r.jobs[a.Task])
		}
	}
	// The agent, too, applies the guard's speeds after each run, to attempts that returned as well.
	for _, j := range m.jobs {
		j.fraction = m.guard.Fraction(j.tk.Record.Spec.ID)
	}
}

// measure queues a report that arrives one lag later.
func (r *run) measure(m *machine) {
	if m.downTo != 0 {
		return
	}
	rep := tables.Report{VM: m.v.ID, At: r.now + reportLag, Lag: reportLag, Load: m.load, Tail: m.guard.Tail()}
	for _, j := range m.jobs {
		fraction := 0.0
		if r.learns {
			fraction = j.fraction
		}
		rep.Usage = append(rep.Usage, tables.TaskUsage{Task: j.tk.Record.Spec.ID, Fraction: fraction,
			Used: task.Resources{CPU: int64(1000 * j.use * j.fraction), Memory: j.tk.Record.Spec.Declared.Memory * 9 / 10}})
	}
	r.reports = append(r.reports, delayed{rep.At, rep})
}

func (r *run) deliver() {
	n := 0
	for n < len(r.reports) && r.reports[n].at <= r.now {
		r.t.Ingest(r.reports[n].r)
		n++
	}
	r.reports = r.reports[n:]
}
