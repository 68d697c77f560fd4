package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// world drives a scheduler in virtual time.
type world struct {
	t   *testing.T
	tb  *tables.Tables
	s   *scheduler.Scheduler
	now time.Duration
	n   int
	// log holds every effect of the last run.
	log []scheduler.Effect
}

func newWorld(t *testing.T, vms int) *world {
	w := &world{t: t, tb: tables.New(), s: scheduler.New(scheduler.Config{TailWeight: 0.5, Seed: 1}), now: time.Hour}
	for i := range vms {
		w.tb.PutVM(&tables.VM{ID: fmt.Sprintf("vm-%d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/3), Connected: true,
			Capacity: task.Resources{CPU: 16000, Memory: 65536}})
	}
	return w
}

func cores(n int64) task.Resources { return task.Resources{CPU: 1000 * n, Memory: 1024 * n} }

func (w *world) submit(customer, class string, need task.Resources, change func(*task.Spec)) *tables.Task {
	w.n++
	tk := &tables.Task{Submitted: w.now, Record: task.Record{State: task.Pending,
		Spec: task.Spec{ID: fmt.Sprintf("t-%04d", w.n), Customer: customer, JobClass: class, Declared: need}}}
	if change != nil {
		change(&tk.Record.Spec)
	}
	w.tb.Put(tk)
	return tk
}

func (w *world) tick() []scheduler.Effect {
	w.now += 100 * time.Millisecond
	effects := w.s.Tick(w.tb, w.now)
	for _, e := range effects {
		switch e.Kind {
		case scheduler.Assign:
			assign(w.tb, e)
			w.tb.Tasks[e.Task].Started = w.now
		case scheduler.Evict:
			w.requeue(w.tb.Tasks[e.Task])
			w.tb.Tasks[e.Task].Record.Evictions++
		case scheduler.Reject:
			w.tb.Update(w.tb.Tasks[e.Task], func(tk *tables.Task) { tk.Record.State, tk.Record.Reason = task.Rejected, e.Reason })
		}
	}
	w.log = append(w.log, effects...)
	return effects
}

func (w *world) requeue(tk *tables.Task) {
	w.tb.Update(tk, func(tk *tables.Task) {
		tk.Record.State, tk.Record.VM, tk.Reserved = task.Pending, "", task.Resources{}
	})
}

func (w *world) end(tk *tables.Task, ok bool) {
	w.tb.IngestEnd(tk, w.now, ok)
	if ok {
		w.tb.Remove(tk.Record.Spec.ID)
		return
	}
	w.requeue(tk)
}

func (w *world) count(k scheduler.EffectKind) int {
	n := 0
	for _, e := range w.log {
		if e.Kind == k {
			n++
		}
	}
	return n
}

// Guards against impossible work that waits for ever or takes a place in every search.
func TestRejectsWorkThatCanNeverRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		need task.Resources
		zone string
	}{
		{"more processors than any VM", cores(17), ""},
		{"more accelerators than any VM", task.Resources{CPU: 1000, Accelerators: 1}, ""},
		{"beyond the plan", cores(5), ""},
		{"beyond every VM of its zone", cores(17), "z"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.tb.Customer("a").Limit = plan.Limit{Plan: "small", CPUMilli: 4000}
			customer := "b"
			if tc.name == "beyond the plan" {
				customer = "a"
			}
			tk := w.submit(customer, "c", tc.need, func(s *task.Spec) { s.Zone = tc.zone })
			w.tick()
			assert.Equal(t, tk.Record.State, task.Rejected)
			assert.Equal(t, tk.Record.Reason, errkind.Infeasible)
			assert.Assert(t, w.log[0].Detail != "")
		})
	}
}

// Guards against a rejection by an owner that has not heard of its larger VMs yet.
func TestDoesNotRejectBeforeTheVMsAreKnown(t *testing.T) {
	w := newWorld(t, 1)
	w.s = scheduler.New(scheduler.DefaultConfig())
	tk := w.submit("a", "c", cores(20), nil)
	w.tick()
	assert.Equal(t, tk.Record.State, task.Pending)
	w.tb.PutVM(&tables.VM{ID: "large", Zone: "z", Connected: true, Capacity: cores(32)})
	w.tick()
	assert.Equal(t, tk.Record.VM, "large")
}

// Guards against two starts of one tick that each fit the quota but exceed it together.
func TestQuotaHoldsWithinATick(t *testing.T) {
	w := newWorld(t, 4)
	w.tb.Customer("a").Limit = plan.Limit{Plan: "p", CPUMilli: 5000}
	for range 3 {
		w.submit("a", "c", cores(2), nil)
	}
	other := w.submit("b", "c", cores(2), nil)
	w.tick()
	assert.Equal(t, w.tb.Customer("a").Used.CPU, int64(4000))
	assert.Equal(t, other.Record.State, task.Running)
	for id := range w.tb.Pending {
		assert.Equal(t, w.tb.Tasks[id].Refused, tables.OverQuota)
		assert.Equal(t, w.tb.Tasks[id].Waiting, errkind.QuotaExceeded)
	}
}

// Guards against a VM that fails every start at once and so looks empty: it must not take the queue.
func TestFailingVMDoesNotSwallowTheQueue(t *testing.T) {
	w := newWorld(t, 4)
	failures, running := 0, 0
	for range 200 {
		w.submit("a", fmt.Sprintf("c%d", w.n%5), cores(1), nil)
		for _, e := range w.tick() {
			if tk := w.tb.Tasks[e.Task]; e.Kind == scheduler.Assign {
				if e.VM == "vm-0" {
					failures++
				} else {
					running++
				}
				w.end(tk, e.VM != "vm-0")
			}
		}
	}
	assert.Assert(t, failures <= 4, "%d starts on the failing VM", failures)
	assert.Assert(t, running >= 200)
	assert.Assert(t, w.count(scheduler.Quarantine) >= 1)
	w.now += 2 * time.Hour
	w.submit("a", "c", cores(1), nil)
	v := w.tb.VMs["vm-0"]
	w.tb.Customer("a")
	for i := 1; i < 4; i++ {
		w.tb.VMs[fmt.Sprintf("vm-%d", i)].Connected = false
	}
	w.submit("a", "c", cores(1), nil)
	effects := w.tick()
	assert.Equal(t, len(effects), 1, "one probe at a time")
	w.end(w.tb.Tasks[effects[0].Task], true)
	w.tick()
	assert.Equal(t, v.Health.Streak, 0)
}

// Guards against a broken job class that gets every VM quarantined.
func TestFailingClassDoesNotQuarantineVMs(t *testing.T) {
	w := newWorld(t, 8)
	for range 100 {
		w.submit("a", "broken", cores(1), nil)
		for _, e := range w.tick() {
			if e.Kind == scheduler.Assign {
				w.end(w.tb.Tasks[e.Task], false)
			}
		}
	}
	assert.Equal(t, w.count(scheduler.Quarantine), 0)
}

// Guards against sizes that stay wrong in either direction, and against harm by missing or absurd reports.
func TestLearnsSizes(t *testing.T) {
	for _, tc := range []struct {
		name           string
		use            task.Resources
		report         bool
		least, atMost  int64
		wantGrowEffect bool
	}{
		{"declared too large", task.Resources{CPU: 1000, Memory: 1024}, true, 1000, 1500, false},
		{"declared too small", task.Resources{CPU: 7000, Memory: 1024}, true, 7000, 10000, true},
		{"about right", task.Resources{CPU: 3600, Memory: 4000}, true, 4000, 4000, false},
		{"missing", task.Resources{}, false, 4000, 4000, false},
		{"zero", task.Resources{}, true, 4000, 4000, false},
		{"beyond the VM", task.Resources{CPU: 99000, Memory: 1024}, true, 4000, 4000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 4)
			for range 4 {
				w.submit("a", "c", cores(4), nil)
			}
			for range 12 {
				w.tick()
				w.now += 16 * time.Second
				for _, v := range w.tb.SortedVMs() {
					r := tables.Report{VM: v.ID, At: w.now, Lag: 5 * time.Second}
					for id := range v.Tasks {
						r.Uses = append(r.Uses, tables.Use{Task: id, Use: tc.use})
					}
					if tc.report {
						w.tb.Ingest(r)
					}
				}
			}
			w.tick()
			w.log = nil
			tk := w.submit("a", "c", cores(4), nil)
			w.tick()
			assert.Assert(t, tk.Reserved.CPU >= tc.least && tk.Reserved.CPU <= tc.atMost, "reserved %+v", tk.Reserved)
		})
	}
}

// Guards against learning from a measurement taken before the attempt began.
func TestLaggingUsageIsNotAttributedToANewAttempt(t *testing.T) {
	w := newWorld(t, 1)
	tk := w.submit("a", "c", cores(4), nil)
	w.tick()
	w.tb.Ingest(tables.Report{VM: "vm-0", At: w.now + time.Second, Lag: 5 * time.Second,
		Uses: []tables.Use{{Task: tk.Record.Spec.ID, Use: cores(16)}}})
	w.tick()
	assert.Equal(t, w.count(scheduler.Grow), 0)
	assert.Equal(t, w.tb.Size(tk.Job()).Samples, uint32(0))
}

// Guards against interference blamed on tasks that came after the measurement.
func TestInterferenceIsAttributedOneLagEarlier(t *testing.T) {
	w := newWorld(t, 1)
	v := w.tb.VMs["vm-0"]
	v.Service = "svc"
	w.tb.Touch(v)
	noisy := w.submit("a", "noisy", cores(4), nil)
	w.tick()
	for range 60 {
		w.now += 8 * time.Second
		// The quiet task is on the VM only when the report arrives, never when it is measured.
		quiet := w.submit("a", "quiet", cores(4), nil)
		w.tick()
		w.tb.Ingest(tables.Report{VM: "vm-0", At: w.now, Lag: 5 * time.Second, Tail: 1.4, Load: 0.3})
		w.tick()
		if quiet.Record.State == task.Running {
			w.end(quiet, true)
		}
		w.tick()
	}
	assert.Equal(t, noisy.Record.State, task.Running)
	assert.Assert(t, w.tb.Harm("svc", "noisy", 1) > 5*w.tb.Harm("svc", "quiet", 1))
}

// Guards against starvation: a task as large as a VM must start although small tasks keep coming.
func TestLargeTaskDoesNotStarve(t *testing.T) {
	w := newWorld(t, 3)
	type ending struct {
		tk *tables.Task
		at time.Duration
	}
	var running []ending
	step := func() {
		w.now += 2 * time.Second
		for range 4 {
			w.submit("a", "small", cores(2), nil)
		}
		for _, e := range w.tick() {
			if e.Kind == scheduler.Assign {
				running = append(running, ending{w.tb.Tasks[e.Task], w.now + time.Minute})
			}
		}
		var rest []ending
		for _, r := range running {
			if r.tk.Record.State == task.Running && w.now >= r.at {
				w.end(r.tk, true)
			} else if r.tk.Record.State == task.Running {
				rest = append(rest, r)
			}
		}
		running = rest
	}
	for range 60 {
		step()
	}
	large := w.submit("b", "large", cores(16), nil)
	for range 500 {
		if step(); large.Record.State == task.Running {
			break
		}
	}
	assert.Equal(t, large.Record.State, task.Running)
	assert.Assert(t, w.now-large.Submitted < 12*time.Minute)
}

// Guards against urgent work that waits behind batch work on a full cluster, and against an
// eviction of more than is needed.
func TestUrgentTaskMakesRoomWithLeastLoss(t *testing.T) {
	w := newWorld(t, 2)
	for range 8 {
		w.submit("a", "c", cores(4), nil)
	}
	w.tick()
	for _, tk := range w.tb.Tasks {
		tk.RunningProgress, tk.Record.Evictions = time.Hour, 3
	}
	cheap := w.tb.Tasks["t-0003"]
	cheap.RunningProgress, cheap.Record.Evictions = time.Second, 0
	urgent := w.submit("b", "c", cores(4), func(s *task.Spec) { s.Urgent = true })
	waiting := w.submit("b", "c", cores(4), nil)
	w.tick()
	w.tick()
	assert.Equal(t, urgent.Record.State, task.Running)
	assert.Equal(t, waiting.Record.State, task.Pending)
	assert.Equal(t, w.count(scheduler.Evict), 1)
	assert.Equal(t, cheap.Record.State, task.Pending)
}

// Guards against mass eviction when a wave of noise slows every service.
func TestNoiseWaveDoesNotCauseMassEviction(t *testing.T) {
	for _, tc := range []struct {
		name        string
		slow, least int
	}{{"all VMs slow", 12, 0}, {"one VM slow", 1, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 12)
			for b := range uint8(tables.LoadBuckets) {
				w.tb.Pairs[tables.Pair{Service: "svc", JobClass: "c", Load: b}] = &tables.Slowdown{Harm: 0.2}
			}
			for range 36 {
				w.submit("a", "c", cores(4), nil)
			}
			w.tick()
			for _, v := range w.tb.VMs {
				v.Service = "svc"
				w.tb.Touch(v)
			}
			for range 20 {
				w.now += 8 * time.Second
				for i := range 12 {
					tail := 0.9
					if i < tc.slow {
						tail = 3
					}
					w.tb.Ingest(tables.Report{VM: fmt.Sprintf("vm-%d", i), At: w.now, Lag: 5 * time.Second, Tail: tail, Load: 0.5})
				}
				w.tick()
			}
			assert.Assert(t, w.count(scheduler.Evict) >= tc.least)
			assert.Assert(t, w.count(scheduler.Evict) <= 3, "%d evictions", w.count(scheduler.Evict))
		})
	}
}

// Guards against VMs that left while slow and then hide a slow VM as part of a wave for ever.
func TestHotVMsThatLeftDoNotCountAsAWave(t *testing.T) {
	w := newWorld(t, 12)
	for b := range uint8(tables.LoadBuckets) {
		w.tb.Pairs[tables.Pair{Service: "svc", JobClass: "c", Load: b}] = &tables.Slowdown{Harm: 0.2}
	}
	for range 36 {
		w.submit("a", "c", cores(4), nil)
	}
	w.tick()
	for _, v := range w.tb.VMs {
		v.Service = "svc"
		w.tb.Touch(v)
	}
	report := func(from, to int) {
		w.now += 8 * time.Second
		for i := from; i < to; i++ {
			w.tb.Ingest(tables.Report{VM: fmt.Sprintf("vm-%d", i), At: w.now, Lag: 5 * time.Second, Tail: 3, Load: 0.5})
		}
		w.tick()
	}
	report(0, 6)
	for i := range 6 {
		w.tb.VMs[fmt.Sprintf("vm-%d", i)].Connected = false
	}
	for range 5 {
		report(11, 12)
	}
	assert.Assert(t, w.count(scheduler.Evict) >= 1)
}

// Guards against a share that ignores the plan's weight, and against a flood of one customer.
func TestFairShareFollowsWeights(t *testing.T) {
	w := newWorld(t, 3)
	w.tb.Customer("a").Limit = plan.Limit{Plan: "p", ShareWeight: 1}
	w.tb.Customer("b").Limit = plan.Limit{Plan: "q", ShareWeight: 2}
	for range 60 {
		w.submit("a", "c", cores(1), nil)
	}
	for range 60 {
		w.submit("b", "c", cores(1), nil)
	}
	w.tick()
	a, b := w.tb.Customer("a").Used.CPU, w.tb.Customer("b").Used.CPU
	assert.Equal(t, a+b, int64(48000))
	assert.Assert(t, b >= 31000 && b <= 33000, "a %d, b %d", a, b)
}

// Guards against a rack that holds a whole job, and against a rule that prevents a start for good.
func TestSpreadsAJobOverRacks(t *testing.T) {
	w := newWorld(t, 9)
	for range 6 {
		w.submit("a", "c", cores(1), nil)
	}
	w.tick()
	for _, rack := range []string{"r0", "r1", "r2"} {
		onRack, total, _ := w.tb.OnRack(tables.JobKey{Customer: "a", JobClass: "c"}, rack)
		assert.Equal(t, total, 6)
		assert.Assert(t, onRack <= 4)
	}
	for i := 3; i < 9; i++ {
		v := w.tb.VMs[fmt.Sprintf("vm-%d", i)]
		v.Connected = false
		w.tb.Touch(v)
	}
	tk := w.submit("a", "c", cores(8), nil)
	w.tick()
	assert.Equal(t, tk.Record.State, task.Running)
}
