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

// Timing of the model.
const (
	step           = guard.Interval
	reportInterval = 8 * time.Second
	reportLag      = 5 * time.Second
	checkpointTime = time.Minute
	// coldStart is the time after a start in which an attempt makes no progress.
	coldStart = 5 * time.Second
	// stopDelay is the time from the decision to evict until the task has left the VM.
	stopDelay = time.Second
	// reassignAfter is the time after which tasks of a failed VM are started elsewhere.
	reassignAfter = 31300 * time.Millisecond
	downTime      = 2 * time.Minute
)

// Variation of service times and of the load. The standard deviation is of the logarithm.
const (
	serviceSigma = 0.35
	meanLoad     = 0.45
	loadSwing    = 0.2
	loadPeriod   = 10 * time.Minute
	peakFactor   = 1.25
)

// class holds the hidden factors of a job class. The policy never sees them.
type class struct {
	name string
	// share is the part of the batch work that the class makes up.
	share float64
	// harm is the slowdown of the service for each processor in use at load 0.5 on a VM of
	// referenceCPU.
	harm float64
	cpu  int64
	mean time.Duration
}

// classes returns a quiet class (that of the deployment), a middling and a noisy one.
func classes(d devenv.Deployment) []class {
	cpu := d.Batch.Declared.CPU
	return []class{
		{d.Batch.JobClass, 0.58, 0.002, cpu, 90 * time.Second},
		{"table-join", 0.30, 0.01, cpu / 2, 60 * time.Second},
		{"image-scan", 0.12, 0.05, cpu, 120 * time.Second},
	}
}

// referenceCPU is the size of a VM to which the harm of a class refers, in thousandths of a processor.
const referenceCPU = 32000.0

// batchDemand is the real batch demand as a part of the processors not held by services.
const batchDemand = 0.65

// Noise. A phase multiplies the harm of the noisy class; a wave slows services from outside.
const (
	phaseFactor = 2.0
	phasePeriod = 100 * time.Second
	phaseShare  = 0.2
	waveEvery   = 4 * time.Minute
	waveTime    = 30 * time.Second
)

// job is a task with its hidden state.
type job struct {
	tk       *tables.Task
	class    *class
	use      float64
	work     time.Duration
	done     time.Duration
	saved    time.Duration
	savedAt  time.Duration
	began    time.Duration
	leaving  time.Duration
	fraction float64
	watcher  bool
}

// machine is a VM of the model.
type machine struct {
	v      *tables.VM
	guard  *guard.Guard
	jobs   []*job
	phase  float64
	wave   float64
	waveTo time.Duration
	downTo time.Duration
	// lostAt is when the tasks of a failed VM may start elsewhere.
	lostAt time.Duration
	// broken fails every start until this time.
	broken time.Duration
	load   float64
	lat    []time.Duration
}

// ticker decides placements.
type ticker interface {
	Tick(t *tables.Tables, now time.Duration) []scheduler.Decision
}

// run is one simulation.
type run struct {
	dep     devenv.Deployment
	classes []class
	// load and noise draw what is the same under every policy; rng draws the rest.
	load, noise, rng *rand.Rand
	t                *tables.Tables
	sched            ticker
	ms               []*machine
	jobs             map[string]*job
	now, next        time.Duration
	reports          []delayed
	usesGuards       bool
	// learns is true when the owner tells the guards what it learnt about job classes, and
	// the guards tell the owner how far they throttled.
	learns bool

	hist      *hdrhistogram.Histogram
	evictions int
	failures  int
	// useful is the work that counts at the end, in processor seconds.
	useful    float64
	submitted float64
	late      int
	ended     int
	waits     *hdrhistogram.Histogram
	seq       int
}

type delayed struct {
	at time.Duration
	r  tables.Report
}

func newRun(dep devenv.Deployment, seed uint64, s ticker, target time.Duration, weight float64, guards bool) *run {
	r := &run{dep: dep, classes: classes(dep), load: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		rng: rand.New(rand.NewPCG(seed, 3)), t: tables.New(), sched: s, jobs: make(map[string]*job), now: time.Hour, next: time.Hour,
		usesGuards: guards, hist: hdrhistogram.New(100, 60_000_000, 3), waits: hdrhistogram.New(1, 7200_000, 3)}
	r.t.SetLimits(dep.Config)
	for i := range dep.Workers.Count {
		v := &tables.VM{ID: fmt.Sprintf("vm-%02d", i), Zone: dep.Zones[i%len(dep.Zones)], Rack: fmt.Sprintf("r%d", i/dep.Workers.PerRack),
			Capacity: dep.Workers.Capacity, Service: dep.Service.Name, ServiceReserved: dep.Service.Reserved, Connected: true, Load: meanLoad}
		r.t.PutVM(v)
		r.ms = append(r.ms, &machine{v: v, guard: guard.New(guard.Config{Target: max(target, 1), TailWeight: weight}),
			phase: 2 * math.Pi * float64(i%len(dep.Zones)) / float64(len(dep.Zones)), wave: 1})
	}
	return r
}

// simulate runs the model for a time.
func (r *run) simulate(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += step {
		r.disturb()
		r.arrive()
		r.deliver()
		if r.sched != nil {
			for _, e := range r.sched.Tick(r.t, r.now) {
				r.apply(e)
			}
		}
		for i, m := range r.ms {
			r.serve(m)
			r.advance(m)
			r.protect(m)
			if (r.now/step+time.Duration(i))%(reportInterval/step) == 0 {
				r.measure(m)
			}
		}
	}
	for _, j := range r.jobs {
		if !j.watcher {
			r.useful += j.use * j.saved.Seconds()
		}
	}
}

// disturb draws waves of outside noise, VM failures and VMs that fail everything.
func (r *run) disturb() {
	wave := r.noise.Float64() < step.Seconds()/waveEvery.Seconds()
	count, factor, first := 1+r.noise.IntN(5), 1.15+0.45*r.noise.Float64(), r.noise.IntN(len(r.ms))
	fails, breaks, victim := r.noise.Float64() < step.Seconds()/600, r.noise.Float64() < step.Seconds()/900, r.noise.IntN(len(r.ms))
	if wave {
		for i := range count {
			m := r.ms[(first+i)%len(r.ms)]
			m.wave, m.waveTo = factor, r.now+waveTime
		}
	}
	if m := r.ms[victim]; fails && r.now >= m.downTo {
		m.downTo, m.lostAt = r.now+downTime, r.now+reassignAfter
		m.v.Connected = false
		r.t.Reindex(m.v)
	}
	if breaks {
		r.ms[victim].broken = r.now + 3*time.Minute
	}
	for _, m := range r.ms {
		if r.now >= m.waveTo {
			m.wave = 1
		}
		if m.lostAt != 0 && r.now >= m.lostAt {
			m.lostAt = 0
			for len(m.jobs) > 0 {
				r.leave(m, m.jobs[0])
			}
		}
		if m.downTo != 0 && r.now >= m.downTo {
			m.downTo = 0
			m.v.Connected = true
			r.t.Reindex(m.v)
		}
	}
}

// arrive submits batch work at the stated demand, and watchers at the start.
func (r *run) arrive() {
	if r.sched == nil {
		return
	}
	if len(r.jobs) == 0 {
		for i := range 2 * len(r.ms) {
			c := &class{name: r.dep.Watcher.JobClass, harm: 0.001}
			r.submit(&job{class: c, use: float64(r.dep.Watcher.Declared.CPU) / 1000 * 0.6, watcher: true}, r.dep.Watcher, r.customer(i))
		}
	}
	spare := float64(r.dep.Workers.Count) * float64(r.dep.Workers.Capacity.CPU-r.dep.Service.Reserved.CPU) / 1000
	for r.next <= r.now {
		c := &r.classes[pick(r.load.Float64(), r.classes)]
		customer := r.customer(r.load.IntN(len(r.dep.Config.Plans)))
		factor := realUse(customer, c.name) * (0.85 + 0.3*r.load.Float64())
		work := time.Duration(r.load.ExpFloat64()*float64(c.mean)) + 10*time.Second
		spec := devenv.Job{JobClass: c.name, Declared: task.Resources{CPU: c.cpu, Memory: r.dep.Batch.Declared.Memory},
			Duration: time.Duration(float64(work) * (0.4 + 1.2*r.load.Float64())), Deadline: r.dep.Batch.Deadline}
		j := &job{class: c, use: factor * float64(c.cpu) / 1000, work: work}
		r.submitted += j.use * work.Seconds()
		r.submit(j, spec, customer)
		// Each task is drawn by its class's part of the work, so the gap follows its own work.
		r.next += time.Duration(r.load.ExpFloat64() * j.use * work.Seconds() / (batchDemand * spare) * float64(time.Second))
	}
}

func (r *run) customer(i int) string {
	return r.dep.Config.Plans[i%len(r.dep.Config.Plans)].Customer
}

func pick(x float64, list []class) int {
	sum := 0.0
	for _, c := range list {
		sum += c.share / (c.mean.Seconds() * float64(c.cpu))
	}
	for i, c := range list {
		if x -= c.share / (c.mean.Seconds() * float64(c.cpu)) / sum; x < 0 {
			return i
		}
	}
	return len(list) - 1
}

// realUse is the hidden ratio of real to declared processors, from 0.5 to 1.7.
func realUse(customer, class string) float64 {
	h := uint32(2166136261)
	for _, c := range []byte(customer + "/" + class) {
		h = (h ^ uint32(c)) * 16777619
	}
	return 0.5 + 1.2*float64(h%1000)/999
}

func (r *run) submit(j *job, spec devenv.Job, customer string) {
	r.seq++
	j.tk = &tables.Task{Submitted: r.now, Record: task.Record{State: task.Pending, Spec: task.Spec{
		ID: fmt.Sprintf("t-%06d", r.seq), Customer: customer, JobClass: spec.JobClass, Declared: spec.Declared,
		Duration: spec.Duration, Deadline: spec.Deadline}}}
	r.jobs[j.tk.Record.Spec.ID] = j
	r.t.Put(j.tk)
}

// apply carries out an effect of the scheduler.
func (r *run) apply(e scheduler.Decision) {
	j := r.jobs[e.Task]
	switch e.Kind {
	case scheduler.Assign:
		m := r.machine(e.VM)
		r.t.Update(j.tk, func(tk *tables.Task) {
			tk.Record.State, tk.Record.VM, tk.Reserved, tk.Started = task.Running, e.VM, e.Reservation, r.now
		})
		if j.began == 0 {
			_ = r.waits.RecordValue(max((r.now - j.tk.Submitted).Milliseconds(), 1))
		}
		j.began, j.savedAt, j.fraction, j.leaving = r.now, r.now, 1, 0
		m.jobs = append(m.jobs, j)
	case scheduler.Evict:
		if j.leaving == 0 {
			j.leaving = r.now + stopDelay
		}
	case scheduler.ReservationExceeded:
		// The VM grants growth that fits.
		if v := r.t.VMs[e.VM]; j.tk.Record.VM == e.VM && e.Reservation.Sub(j.tk.Reserved).Fits(v.Free()) {
			r.t.Update(j.tk, func(tk *tables.Task) { tk.Reserved = e.Reservation })
		}
	}
}

func (r *run) machine(id string) *machine {
	for _, m := range r.ms {
		if m.v.ID == id {
			return m
		}
	}
	return nil
}

// leave makes the job pending again at its last checkpoint.
func (r *run) leave(m *machine, j *job) {
	m.remove(j)
	j.done = j.saved
	r.t.Update(j.tk, func(tk *tables.Task) {
		tk.Record.State, tk.Record.VM, tk.Reserved, tk.Record.Progress = task.Pending, "", task.Resources{}, j.saved
		tk.RunningProgress = 0
	})
}

// evict takes a checkpoint first.
func (r *run) evict(m *machine, j *job) {
	r.evictions++
	j.saved = j.done
	j.tk.Record.Evictions++
	r.leave(m, j)
}

func (m *machine) remove(j *job) {
	for i, x := range m.jobs {
		if x == j {
			m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
			return
		}
	}
}
