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

// harness drives a scheduler in virtual time.
type harness struct {
	t   *testing.T
	tb  *tables.Tables
	s   *scheduler.Scheduler
	now time.Duration
	n   int
	// decisions holds the decisions of all passes so far.
	decisions []scheduler.Decision
}

func newHarness(t *testing.T, vms int) *harness {
	w := &harness{t: t, tb: tables.New(), s: scheduler.New(scheduler.Config{TailWeight: 0.5, Seed: 1}), now: time.Hour}
	for i := range vms {
		w.tb.PutVM(&tables.VM{ID: fmt.Sprintf("vm-%d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/3), Connected: true,
			Capacity: task.Resources{CPU: 16000, Memory: 65536}})
	}
	return w
}

func cores(n int64) task.Resources { return task.Resources{CPU: 1000 * n, Memory: 1024 * n} }

func (w *harness) submit(customer, class string, need task.Resources, change func(*task.Spec)) *tables.Task {
	w.n++
	tk := &tables.Task{Submitted: w.now, Record: task.Record{State: task.Pending,
		Spec: task.Spec{ID: fmt.Sprintf("t-%04d", w.n), Customer: customer, JobClass: class, Declared: need}}}
	if change != nil {
		change(&tk.Record.Spec)
	}
	w.tb.Put(tk)
	return tk
}

func (w *harness) tick() []scheduler.Decision {
	w.now += 100 * time.Millisecond
	decisions := w.s.Tick(w.tb, w.now)
	for _, e := range decisions {
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
	w.decisions = append(w.decisions, decisions...)
	return decisions
}

func (w *harness) requeue(tk *tables.Task) {
	w.tb.Update(tk, func(tk *tables.Task) {
		tk.Record.State, tk.Record.VM, tk.Reserved = task.Pending, "", task.Resources{}
	})
}

func (w *harness) end(tk *tables.Task, ok bool) {
	w.tb.IngestAttemptEnd(tk, w.now, ok)
	if ok {
		w.tb.Remove(tk.Record.Spec.ID)
		return
	}
	w.requeue(tk)
}

func (w *harness) count(k scheduler.DecisionKind) int {
	n := 0
	for _, e := range w.decisions {
		if e.Kind == k {
			n++
		}
	}
	return n
}

// Guards against infeasible tasks that stay pending for ever and use up searches in every pass.
func TestRejectsInfeasibleTasks(t *testing.T) {
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
			w := newHarness(t, 2)
			w.tb.Customer("a").Limit = plan.Limit{Plan: "small", CPUMilli: 4000}
			customer := "b"
			if tc.name == "beyond the plan" {
				customer = "a"
			}
			tk := w.submit(customer, "c", tc.need, func(s *task.Spec) { s.Zone = tc.zone })
			w.tick()
			assert.Equal(t, tk.Record.State, task.Rejected)
			assert.Equal(t, tk.Record.Reason, errkind.Infeasible)
			assert.Assert(t, w.decisions[0].Detail != "")
		})
	}
}

// Guards against a rejection by an owner whose larger VMs have not connected yet.
func TestDoesNotRejectBeforeTheVMsAreKnown(t *testing.T) {
	w := newHarness(t, 1)
	w.s = scheduler.New(scheduler.DefaultConfig())
	tk := w.submit("a", "c", cores(20), nil)
	w.tick()
	assert.Equal(t, tk.Record.State, task.Pending)
	w.tb.PutVM(&tables.VM{ID: "large", Zone: "z", Connected: true, Capacity: cores(32)})
	w.tick()
	assert.Equal(t, tk.Record.VM, "large")
}

// Guards against two assignments of one pass that each fit the quota but exceed it together.
func TestQuotaIsEnforcedWithinOneTick(t *testing.T) {
	w := newHarness(t, 4)
	w.tb.Customer("a").Limit = plan.Limit{Plan: "p", CPUMilli: 5000}
	for range 3 {
		w.submit("a", "c", cores(2), nil)
	}
	other := w.submit("b", "c", cores(2), nil)
	w.tick()
	assert.Equal(t, w.tb.Customer("a").Used.CPU, int64(4000))
	assert.Equal(t, other.Record.State, task.Running)
	for id := range w.tb.Pending {
		assert.Equal(t, w.tb.Tasks[id].LastRefusal, tables.OverQuota)
		assert.Equal(t, w.tb.Tasks[id].WaitingReason, errkind.QuotaExceeded)
	}
}

// Guards against a VM that fails every task immediately, therefore always has free capacity, and
// receives most of the queue.
func TestFailingVMIsQuarantined(t *testing.T) {
	w := newHarness(t, 4)
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
	decisions := w.tick()
	assert.Equal(t, len(decisions), 1, "one probe at a time")
	w.end(w.tb.Tasks[decisions[0].Task], true)
	w.tick()
	assert.Equal(t, v.Health.ConsecutiveFailures, 0)
}

// Guards against a job class whose tasks always fail and that gets every VM quarantined.
func TestFailingClassDoesNotQuarantineVMs(t *testing.T) {
	w := newHarness(t, 8)
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

// Guards against reservations that stay too large or too small, and against missing or implausible
// reports that change them.
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
			w := newHarness(t, 4)
			for range 4 {
				w.submit("a", "c", cores(4), nil)
			}
			for range 12 {
				w.tick()
				w.now += 16 * time.Second
				for _, v := range w.tb.SortedVMs() {
					r := tables.Report{VM: v.ID, At: w.now, Lag: 5 * time.Second}
					for id := range v.Tasks {
						r.Usage = append(r.Usage, tables.TaskUsage{Task: id, Used: tc.use})
					}
					if tc.report {
						w.tb.Ingest(r)
					}
				}
			}
			w.tick()
			w.decisions = nil
			tk := w.submit("a", "c", cores(4), nil)
			w.tick()
			assert.Assert(t, tk.Reserved.CPU >= tc.least && tk.Reserved.CPU <= tc.atMost, "reserved %+v", tk.Reserved)
		})
	}
}

// Guards against learning from a measurement that was taken before the attempt began.
func TestLaggingUsageIsNotAttributedToANewAttempt(t *testing.T) {
	w := newHarness(t, 1)
	tk := w.submit("a", "c", cores(4), nil)
	w.tick()
	w.tb.Ingest(tables.Report{VM: "vm-0", At: w.now + time.Second, Lag: 5 * time.Second,
		Usage: []tables.TaskUsage{{Task: tk.Record.Spec.ID, Used: cores(16)}}})
	w.tick()
	assert.Equal(t, w.count(scheduler.ReservationExceeded), 0)
	assert.Equal(t, w.tb.Profile(tk.Job()).Samples, uint32(0))
}

// Guards against interference attributed to tasks that started after the measurement.
func TestInterferenceIsAttributedAtMeasurementTime(t *testing.T) {
	w := newHarness(t, 1)
	v := w.tb.VMs["vm-0"]
	v.Service = "svc"
	w.tb.Reindex(v)
	noisy := w.submit("a", "noisy", cores(4), nil)
	w.tick()
	for range 60 {
		w.now += 8 * time.Second
		// The quiet task is on the VM when the report arrives, but not when the tail is measured.
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
	assert.Assert(t, w.tb.Interference("svc", "noisy", 1) > 5*w.tb.Interference("svc", "quiet", 1))
}

// Guards against starvation of a task as large as a VM while small tasks keep arriving.
func TestLargeTaskDoesNotStarve(t *testing.T) {
	w := newHarness(t, 3)
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

// Guards against urgent tasks that wait behind batch tasks on a full cluster, and against
// more evictions than needed.
func TestUrgentTaskPreemptsWithLeastLoss(t *testing.T) {
	w := newHarness(t, 2)
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

// Guards against mass eviction when an external cause slows every service.
func TestFleetWideSlowdownDoesNotCauseMassEviction(t *testing.T) {
	for _, tc := range []struct {
		name        string
		slow, least int
	}{{"all VMs slow", 12, 0}, {"one VM slow", 1, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newHarness(t, 12)
			for b := range uint8(tables.LoadBuckets) {
				w.tb.Slowdowns[tables.SlowdownKey{Service: "svc", JobClass: "c", Load: b}] = &tables.Slowdown{PerCPU: 0.2}
			}
			for range 36 {
				w.submit("a", "c", cores(4), nil)
			}
			w.tick()
			for _, v := range w.tb.VMs {
				v.Service = "svc"
				w.tb.Reindex(v)
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

// Guards against disconnected slow VMs that are still counted and make a single slow VM look like
// part of a fleet-wide slowdown, which would disable relief for good.
func TestDisconnectedSlowVMsDoNotCountAsFleetWideSlowdown(t *testing.T) {
	w := newHarness(t, 12)
	for b := range uint8(tables.LoadBuckets) {
		w.tb.Slowdowns[tables.SlowdownKey{Service: "svc", JobClass: "c", Load: b}] = &tables.Slowdown{PerCPU: 0.2}
	}
	for range 36 {
		w.submit("a", "c", cores(4), nil)
	}
	w.tick()
	for _, v := range w.tb.VMs {
		v.Service = "svc"
		w.tb.Reindex(v)
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

// Guards against shares that ignore the weights of the plans, and against one customer with many
// tasks that starves the others.
func TestFairShareFollowsWeights(t *testing.T) {
	w := newHarness(t, 3)
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

// Guards against a rack that holds a whole job, and against a rack limit that blocks a start for good.
func TestSpreadsJobOverRacks(t *testing.T) {
	w := newHarness(t, 9)
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
		w.tb.Reindex(v)
	}
	tk := w.submit("a", "c", cores(8), nil)
	w.tick()
	assert.Equal(t, tk.Record.State, task.Running)
}
