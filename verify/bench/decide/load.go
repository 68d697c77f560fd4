package decide

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Parameters of the load.
const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = 8 * time.Second
	reportLag      = 5 * time.Second
	zones          = 7
	classes        = 12
	urgentShare    = 0.1
	failShare      = 0.01
	// startCall is the delay from the commit of an assignment to the start on the VM.
	startCall = 4 * time.Millisecond
)

// load simulates the surroundings of a scheduler: arrivals, commits, starts, ends and reports.
type load struct {
	size        Size
	rng         *rand.Rand
	t           *tables.Tables
	now         time.Duration
	nextArrival time.Duration
	entryOfVM   map[string]int
	events      events
	store       *store
	seq         int
	starts      int
	inTick      time.Duration
	urgent      *hdrhistogram.Histogram
}

// event is a function to run at a time of the virtual clock. seq keeps the order of events at
// the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newLoad(size Size, seed uint64) *load {
	l := &load{size: size, rng: rand.New(rand.NewPCG(seed, 1)), t: tables.New(), now: time.Hour, nextArrival: time.Hour, entryOfVM: make(map[string]int),
		urgent: hdrhistogram.New(1, 60_000_000, 3)}
	l.store = newStore(l, size.Entries)
	for i := range size.VMs {
		v := &tables.VM{ID: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprintf("z%d", i%zones), Rack: fmt.Sprintf("r%d", i/zones/3*zones+i%zones),
			Capacity: task.Resources{CPU: 32000, Memory: 128000}, Connected: true, Service: "svc", Load: 0.5,
			ServiceReserved: task.Resources{CPU: 4000, Memory: 8192}}
		if n := size.Accelerators; i < n/8 {
			v.Capacity.Accelerators = 8
		}
		l.t.PutVM(v)
		l.entryOfVM[v.ID] = i % size.Entries
		l.schedule(l.now+time.Duration(l.rng.Int64N(int64(reportInterval))), func() { l.sendReport(v) })
	}
	l.setPlans()
	for range size.Services {
		l.t.Put(l.newTask(task.LatencyCritical))
	}
	for range size.Batch {
		l.t.Put(l.newTask(task.Batch))
	}
	return l
}

func (l *load) setPlans() {
	doc := plan.Document{Limits: []plan.Limit{{Plan: "large", ShareWeight: 4}, {Plan: "small", ShareWeight: 1, CPUMilli: 1_000_000}}}
	for i := range l.size.Customers {
		name := "small"
		if i%5 == 0 {
			name = "large"
		}
		doc.Plans = append(doc.Plans, plan.CustomerPlan{Customer: customer(i), Plan: name})
	}
	l.t.SetConfig(doc)
}

func customer(i int) string { return fmt.Sprintf("team-%03d", i) }

func (l *load) schedule(at time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at, l.seq, run})
}

// newTask generates a random task. Its usage differs from the declared size by usageRatio.
func (l *load) newTask(class task.Class) *tables.Task {
	l.seq++
	spec := task.Spec{ID: fmt.Sprintf("t-%07d", l.seq), Customer: customer(int(float64(l.size.Customers) * l.rng.Float64() * l.rng.Float64())),
		JobClass: fmt.Sprintf("class-%02d", l.rng.IntN(classes)), Class: class}
	spec.Declared = task.Resources{CPU: 1000 * (1 + l.rng.Int64N(4)), Memory: 1024 * (2 + l.rng.Int64N(10))}
	if class == task.Batch {
		spec.Duration, spec.Deadline = time.Minute, time.Hour
		spec.Urgent = l.rng.Float64() < urgentShare
		if l.rng.Float64() < 0.08 {
			spec.Declared.Accelerators = 1
		}
		if l.rng.Float64() < 0.3 {
			spec.Zone = fmt.Sprintf("z%d", l.rng.IntN(zones))
		}
	}
	return &tables.Task{Submitted: l.now, Record: task.Record{Spec: spec, State: task.Pending}}
}

// step advances the clock by one tick.
func (l *load) step(s ticker) {
	end := l.now + tickInterval
	for l.nextArrival < end {
		l.now = l.nextArrival
		l.submit()
		l.nextArrival += time.Duration(l.rng.ExpFloat64() / l.size.StartsPerSecond * float64(time.Second))
	}
	for len(l.events) > 0 && l.events[0].at < end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
	tickStart := time.Now()
	decisions := s.Tick(l.t, l.now)
	l.inTick += time.Since(tickStart)
	for _, e := range decisions {
		l.apply(e)
	}
}

func (l *load) reset(h *hdrhistogram.Histogram) {
	l.urgent, l.starts, l.inTick, l.store.writes = h, 0, 0, 0
}

// submit generates a batch task, which becomes eligible once its submission is committed.
func (l *load) submit() {
	tk := l.newTask(task.Batch)
	l.store.commit(l.rng.IntN(l.size.Entries), func() { l.t.Put(tk) })
}

func (l *load) apply(decision scheduler.Decision) {
	tk := l.t.Tasks[decision.Task]
	switch decision.Kind {
	case scheduler.Assign:
		l.t.Update(tk, func(tk *tables.Task) {
			tk.Record.State, tk.Record.VM, tk.Reserved = task.Assigned, decision.VM, decision.Reservation
			tk.Record.Attempt++
		})
		attempt := tk.Record.Attempt
		l.store.commit(l.entryOfVM[decision.VM], func() { l.schedule(l.now+startCall, func() { l.start(tk, attempt) }) })
	case scheduler.Evict:
		l.requeue(tk)
	case scheduler.Reject:
		l.t.Remove(decision.Task)
	}
}

func (l *load) start(tk *tables.Task, attempt uint32) {
	if tk.Record.Attempt != attempt || tk.Record.State != task.Assigned {
		return
	}
	l.t.Update(tk, func(tk *tables.Task) { tk.Record.State, tk.Started = task.Running, l.now })
	l.starts++
	if tk.Record.Spec.Urgent && tk.Record.Evictions == 0 {
		_ = l.urgent.RecordValue(max((l.now - tk.Submitted).Microseconds(), 1))
	}
	if tk.Record.Spec.Class != task.Batch {
		return
	}
	// With this mean run time, about size.Batch batch tasks are running.
	runTime := time.Duration(l.rng.ExpFloat64() * float64(l.size.Batch) / l.size.StartsPerSecond * float64(time.Second))
	l.schedule(l.now+runTime, func() {
		if tk.Record.Attempt == attempt && tk.Record.State == task.Running {
			l.finish(tk)
		}
	})
}

func (l *load) finish(tk *tables.Task) {
	ok := l.rng.Float64() >= failShare
	l.t.IngestAttemptEnd(tk, l.now, ok)
	if !ok {
		l.requeue(tk)
		return
	}
	l.t.Remove(tk.Record.Spec.ID)
}

func (l *load) requeue(tk *tables.Task) {
	l.t.Update(tk, func(tk *tables.Task) {
		tk.Record.State, tk.Record.VM, tk.Reserved = task.Pending, "", task.Resources{}
		tk.Record.Evictions++
	})
}

// sendReport reports load, tail latency and the usage of the tasks, as every second heartbeat does.
func (l *load) sendReport(v *tables.VM) {
	r := tables.Report{VM: v.ID, At: l.now, Lag: reportLag, Tail: 0.6 + 0.4*l.rng.Float64(), Load: 0.3 + 0.4*l.rng.Float64()}
	for id := range v.Tasks {
		spec := &l.t.Tasks[id].Record.Spec
		f := usageRatio(spec)
		r.Usage = append(r.Usage, tables.TaskUsage{Task: id, Used: task.Resources{
			CPU: int64(f * float64(spec.Declared.CPU)), Memory: int64(f * float64(spec.Declared.Memory))}})
	}
	l.t.Ingest(r)
	l.schedule(l.now+reportInterval, func() { l.sendReport(v) })
}

// usageRatio returns the ratio of used to declared resources, from 0.4 to 1.6, which is hidden
// from the scheduler.
func usageRatio(s *task.Spec) float64 {
	h := 0
	for _, c := range s.Customer + s.JobClass {
		h = h*31 + int(c)
	}
	return 0.4 + 1.2*float64(h&0xff)/255
}
