package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/devenv"
	"github.com/chicorystand/chicorystand/vm/guard"
)

// Intervals and delays of the model.
const (
	step           = guard.Interval
	reportInterval = 8 * time.Second
	reportLag      = 5 * time.Second
	checkpointTime = time.Minute
	// coldStart is the time after a start in which an attempt makes no progress.
	coldStart = 5 * time.Second
	// stopDelay is the time from an eviction decision until the task has stopped on the VM.
	stopDelay = time.Second
	// reassignAfter is the time after which the tasks of a failed VM are reassigned.
	reassignAfter = 31300 * time.Millisecond
	downTime      = 2 * time.Minute
)

// Variation of service times and of the load. serviceSigma is the standard deviation of the
// logarithm of the service time.
const (
	serviceSigma = 0.35
	meanLoad     = 0.45
	loadSwing    = 0.2
	loadPeriod   = 10 * time.Minute
	peakFactor   = 1.25
)

// class holds the properties of a job class that are hidden from the policies.
type class struct {
	name string
	// share is the fraction of the batch work that belongs to the class.
	share float64
	// interference is the slowdown of the service for each processor in use at load 0.5 on a VM of
	// referenceCPU.
	interference float64
	cpu          int64
	meanWork     time.Duration
}

// classes returns a class with low interference (that of the deployment), one with medium and
// one with high interference.
func classes(d devenv.Deployment) []class {
	cpu := d.Batch.Declared.CPU
	return []class{
		{d.Batch.JobClass, 0.58, 0.002, cpu, 90 * time.Second},
		{"table-join", 0.30, 0.01, cpu / 2, 60 * time.Second},
		{"image-scan", 0.12, 0.05, cpu, 120 * time.Second},
	}
}

// referenceCPU is the VM size to which the interference of a class refers, in thousandths of a
// processor.
const referenceCPU = 32000.0

// batchDemand is the real batch demand as a fraction of the processors that are not reserved for services.
const batchDemand = 0.65

// Disturbances. During a noisy phase, the interference of the noisiest class is multiplied by
// noisyPhaseFactor. External slowdowns slow the services of some VMs.
const (
	noisyPhaseFactor         = 2.0
	noisyPhasePeriod         = 100 * time.Second
	noisyPhaseShare          = 0.2
	externalSlowdownInterval = 4 * time.Minute
	externalSlowdownTime     = 30 * time.Second
)

// job is a task with its state that is hidden from the policies.
type job struct {
	task           *tables.Task
	class          *class
	cpuUse         float64
	work           time.Duration
	done           time.Duration
	checkpointed   time.Duration
	checkpointedAt time.Duration
	startedAt      time.Duration
	stopsAt        time.Duration
	speed          float64
	watcher        bool
}

// machine is a VM of the model.
type machine struct {
	vm                    *tables.VM
	guard                 *guard.Guard
	jobs                  []*job
	loadPhase             float64
	externalSlowdown      float64
	externalSlowdownUntil time.Duration
	downUntil             time.Duration
	// reassignAt is when the tasks of a failed VM are reassigned, 0 if none are waiting.
	reassignAt time.Duration
	// failsStartsUntil is the time until which every start on the VM fails.
	failsStartsUntil time.Duration
	load             float64
	latencies        []time.Duration
}

// ticker makes placement decisions at each tick.
type ticker interface {
	Tick(t *tables.Tables, now time.Duration) []scheduler.Decision
}

// run is one simulation.
type run struct {
	dep     devenv.Deployment
	classes []class
	// load and noise generate what must be the same under every policy; rng generates the rest.
	load, noise, rng *rand.Rand
	tables           *tables.Tables
	sched            ticker
	machines         []*machine
	jobs             map[string]*job
	now, nextArrival time.Duration
	reports          []delayedReport
	usesGuards       bool
	// informsGuards is true if the owner sends the learnt interference of job classes to the
	// guards, and the guards report their throttling to the owner.
	informsGuards bool

	latencies    *hdrhistogram.Histogram
	evictions    int
	failedStarts int
	// usefulWork is the finished or checkpointed batch work, in processor seconds.
	usefulWork      float64
	submittedWork   float64
	missedDeadlines int
	finished        int
	startDelays     *hdrhistogram.Histogram
	seq             int
}

type delayedReport struct {
	at     time.Duration
	report tables.Report
}

func newRun(dep devenv.Deployment, seed uint64, s ticker, target time.Duration, weight float64, guards bool) *run {
	r := &run{dep: dep, classes: classes(dep), load: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		rng: rand.New(rand.NewPCG(seed, 3)), tables: tables.New(), sched: s, jobs: make(map[string]*job), now: time.Hour, nextArrival: time.Hour,
		usesGuards: guards, latencies: hdrhistogram.New(100, 60_000_000, 3), startDelays: hdrhistogram.New(1, 7200_000, 3)}
	r.tables.SetConfig(dep.Config)
	for i := range dep.Workers.Count {
		v := &tables.VM{ID: fmt.Sprintf("vm-%02d", i), Zone: dep.Zones[i%len(dep.Zones)], Rack: fmt.Sprintf("r%d", i/dep.Workers.PerRack),
			Capacity: dep.Workers.Capacity, Service: dep.Service.Name, ServiceReserved: dep.Service.Reserved, Connected: true, Load: meanLoad}
		r.tables.PutVM(v)
		r.machines = append(r.machines, &machine{vm: v, guard: guard.New(guard.Config{Target: max(target, 1), TailWeight: weight}),
			loadPhase: 2 * math.Pi * float64(i%len(dep.Zones)) / float64(len(dep.Zones)), externalSlowdown: 1})
	}
	return r
}

// simulate runs the model for the time d.
func (r *run) simulate(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += step {
		r.injectDisturbances()
		r.submitArrivals()
		r.deliverReports()
		if r.sched != nil {
			for _, e := range r.sched.Tick(r.tables, r.now) {
				r.apply(e)
			}
		}
		for i, m := range r.machines {
			r.simulateRequests(m)
			r.advanceTasks(m)
			r.runGuard(m)
			if (r.now/step+time.Duration(i))%(reportInterval/step) == 0 {
				r.queueReport(m)
			}
		}
	}
	for _, j := range r.jobs {
		if !j.watcher {
			r.usefulWork += j.cpuUse * j.checkpointed.Seconds()
		}
	}
}

// injectDisturbances generates external slowdowns, VM failures and VMs on which every start fails.
func (r *run) injectDisturbances() {
	slows := r.noise.Float64() < step.Seconds()/externalSlowdownInterval.Seconds()
	count, factor, first := 1+r.noise.IntN(5), 1.15+0.45*r.noise.Float64(), r.noise.IntN(len(r.machines))
	fails, breaks, victim := r.noise.Float64() < step.Seconds()/600, r.noise.Float64() < step.Seconds()/900, r.noise.IntN(len(r.machines))
	if slows {
		for i := range count {
			m := r.machines[(first+i)%len(r.machines)]
			m.externalSlowdown, m.externalSlowdownUntil = factor, r.now+externalSlowdownTime
		}
	}
	if m := r.machines[victim]; fails && r.now >= m.downUntil {
		m.downUntil, m.reassignAt = r.now+downTime, r.now+reassignAfter
		m.vm.Connected = false
		r.tables.Reindex(m.vm)
	}
	if breaks {
		r.machines[victim].failsStartsUntil = r.now + 3*time.Minute
	}
	for _, m := range r.machines {
		if r.now >= m.externalSlowdownUntil {
			m.externalSlowdown = 1
		}
		if m.reassignAt != 0 && r.now >= m.reassignAt {
			m.reassignAt = 0
			for len(m.jobs) > 0 {
				r.requeue(m, m.jobs[0])
			}
		}
		if m.downUntil != 0 && r.now >= m.downUntil {
			m.downUntil = 0
			m.vm.Connected = true
			r.tables.Reindex(m.vm)
		}
	}
}

// submitArrivals submits batch work at the demand batchDemand, and all watchers at the start.
func (r *run) submitArrivals() {
	if r.sched == nil {
		return
	}
	if len(r.jobs) == 0 {
		for i := range 2 * len(r.machines) {
			c := &class{name: r.dep.Watcher.JobClass, interference: 0.001}
			r.submit(&job{class: c, cpuUse: float64(r.dep.Watcher.Declared.CPU) / 1000 * 0.6, watcher: true}, r.dep.Watcher, r.customer(i))
		}
	}
	spare := float64(r.dep.Workers.Count) * float64(r.dep.Workers.Capacity.CPU-r.dep.Service.Reserved.CPU) / 1000
	for r.nextArrival <= r.now {
		c := &r.classes[pickClass(r.load.Float64(), r.classes)]
		customer := r.customer(r.load.IntN(len(r.dep.Config.Plans)))
		factor := usageRatio(customer, c.name) * (0.85 + 0.3*r.load.Float64())
		work := time.Duration(r.load.ExpFloat64()*float64(c.meanWork)) + 10*time.Second
		spec := devenv.Job{JobClass: c.name, Declared: task.Resources{CPU: c.cpu, Memory: r.dep.Batch.Declared.Memory},
			Duration: time.Duration(float64(work) * (0.4 + 1.2*r.load.Float64())), Deadline: r.dep.Batch.Deadline}
		j := &job{class: c, cpuUse: factor * float64(c.cpu) / 1000, work: work}
		r.submittedWork += j.cpuUse * work.Seconds()
		r.submit(j, spec, customer)
		// Classes are picked by their fraction of the work, so the time to the next arrival is
		// proportional to the task's own work.
		r.nextArrival += time.Duration(r.load.ExpFloat64() * j.cpuUse * work.Seconds() / (batchDemand * spare) * float64(time.Second))
	}
}

func (r *run) customer(i int) string {
	return r.dep.Config.Plans[i%len(r.dep.Config.Plans)].Customer
}

func pickClass(x float64, list []class) int {
	sum := 0.0
	for _, c := range list {
		sum += c.share / (c.meanWork.Seconds() * float64(c.cpu))
	}
	for i, c := range list {
		if x -= c.share / (c.meanWork.Seconds() * float64(c.cpu)) / sum; x < 0 {
			return i
		}
	}
	return len(list) - 1
}

// usageRatio returns the ratio of used to declared processors, from 0.5 to 1.7, which is hidden
// from the policies.
func usageRatio(customer, class string) float64 {
	h := uint32(2166136261)
	for _, c := range []byte(customer + "/" + class) {
		h = (h ^ uint32(c)) * 16777619
	}
	return 0.5 + 1.2*float64(h%1000)/999
}

func (r *run) submit(j *job, spec devenv.Job, customer string) {
	r.seq++
	j.task = &tables.Task{Submitted: r.now, Record: task.Record{State: task.Pending, Spec: task.Spec{
		ID: fmt.Sprintf("t-%06d", r.seq), Customer: customer, JobClass: spec.JobClass, Declared: spec.Declared,
		Duration: spec.Duration, Deadline: spec.Deadline}}}
	r.jobs[j.task.Record.Spec.ID] = j
	r.tables.Put(j.task)
}

// apply carries out a scheduling decision.
func (r *run) apply(decision scheduler.Decision) {
	j := r.jobs[decision.Task]
	switch decision.Kind {
	case scheduler.Assign:
		m := r.machine(decision.VM)
		r.tables.Update(j.task, func(tk *tables.Task) {
			tk.Record.State, tk.Record.VM, tk.Reserved, tk.Started = task.Running, decision.VM, decision.Reservation, r.now
		})
		if j.startedAt == 0 {
			_ = r.startDelays.RecordValue(max((r.now - j.task.Submitted).Milliseconds(), 1))
		}
		j.startedAt, j.checkpointedAt, j.speed, j.stopsAt = r.now, r.now, 1, 0
		m.jobs = append(m.jobs, j)
	case scheduler.Evict:
		if j.stopsAt == 0 {
			j.stopsAt = r.now + stopDelay
		}
	case scheduler.ReservationExceeded:
		// The VM accepts a larger reservation if it fits.
		if v := r.tables.VMs[decision.VM]; j.task.Record.VM == decision.VM && decision.Reservation.Sub(j.task.Reserved).Fits(v.Free()) {
			r.tables.Update(j.task, func(tk *tables.Task) { tk.Reserved = decision.Reservation })
		}
	}
}

func (r *run) machine(id string) *machine {
	for _, m := range r.machines {
		if m.vm.ID == id {
			return m
		}
	}
	return nil
}

// requeue makes the job pending again at its last checkpoint.
func (r *run) requeue(m *machine, j *job) {
	m.remove(j)
	j.done = j.checkpointed
	r.tables.Update(j.task, func(tk *tables.Task) {
		tk.Record.State, tk.Record.VM, tk.Reserved, tk.Record.Progress = task.Pending, "", task.Resources{}, j.checkpointed
		tk.RunningProgress = 0
	})
}

// evict takes a checkpoint of the job and requeues it.
func (r *run) evict(m *machine, j *job) {
	r.evictions++
	j.checkpointed = j.done
	j.task.Record.Evictions++
	r.requeue(m, j)
}

func (m *machine) remove(j *job) {
	for i, x := range m.jobs {
		if x == j {
			m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
			return
		}
	}
}
