package scheduler_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/naive"
	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// drawCluster draws VMs of a few sizes in three zones.
func drawCluster(rt *rapid.T) *tables.Tables {
	t := tables.New()
	for i := range rapid.IntRange(1, 40).Draw(rt, "vms") {
		v := &tables.VM{
			ID: fmt.Sprintf("vm-%02d", i), Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/3),
			Capacity: task.Resources{
				CPU: rapid.SampledFrom([]int64{8000, 16000, 32000}).Draw(rt, "cpu"), Memory: rapid.SampledFrom([]int64{16384, 65536}).Draw(rt, "memory"),
				Accelerators: rapid.Int64Range(0, 2).Draw(rt, "accelerators"),
			},
			Connected: rapid.IntRange(0, 9).Draw(rt, "connected") > 0, Draining: rapid.IntRange(0, 9).Draw(rt, "draining") == 0,
			Load: rapid.Float64Range(0, 1).Draw(rt, "load"),
		}
		if rapid.Bool().Draw(rt, "service") {
			v.Service, v.ServiceReserved = "tourdesk", task.Resources{CPU: 4000, Memory: 4096}
		}
		if rapid.IntRange(0, 9).Draw(rt, "quarantined") == 0 {
			v.Health.NotBefore = time.Hour
		}
		t.PutVM(v)
	}
	for _, class := range []string{"quiet", "noisy"} {
		for b := range uint8(tables.LoadBuckets) {
			t.Slowdowns[tables.SlowdownKey{Service: "tourdesk", JobClass: class, Load: b}] = &tables.Slowdown{PerCPU: rapid.Float64Range(0, 0.1).Draw(rt, "harm")}
		}
	}
	return t
}

func drawTask(rt *rapid.T, i int) *tables.Task {
	return &tables.Task{Submitted: time.Duration(i), Record: task.Record{State: task.Pending, Spec: task.Spec{
		ID: fmt.Sprintf("t-%03d", i), Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "customer"),
		JobClass: rapid.SampledFrom([]string{"quiet", "noisy", "new"}).Draw(rt, "class"), Zone: rapid.SampledFrom([]string{"", "", "z0", "z1"}).Draw(rt, "zone"),
		Declared: task.Resources{CPU: rapid.Int64Range(0, 9000).Draw(rt, "cpu"), Memory: rapid.Int64Range(0, 20000).Draw(rt, "memory"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(rt, "accelerators")},
	}}}
}

func assign(t *tables.Tables, e scheduler.Decision) {
	t.Update(t.Tasks[e.Task], func(tk *tables.Task) {
		tk.Record.State, tk.Record.VM, tk.Reserved = task.Running, e.VM, e.Reservation
	})
}

// Guards against indexes that miss a feasible VM, prefer one of lower score, or diverge from
// the reservations. Each placement is compared with a linear scan of all VMs.
func TestIndexedSearchMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := drawCluster(rt)
		cfg := scheduler.Config{TailWeight: rapid.Float64Range(0, 1).Draw(rt, "weight"), RejectDelay: time.Hour}
		s := scheduler.New(cfg)
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 4).Draw(rt, "end") == 0 {
				removeOne(rt, tb)
			}
			if rapid.IntRange(0, 4).Draw(rt, "load") == 0 {
				for _, v := range tb.SortedVMs()[:1] {
					v.Load = rapid.Float64Range(0, 1).Draw(rt, "new load")
					tb.Reindex(v)
				}
			}
			tk := drawTask(rt, i)
			compareStart(rt, tb, s, cfg, tk)
			for _, v := range tb.VMs {
				if want := naive.Reserved(tb, v); v.Reserved != want || !v.Reserved.Fits(v.Capacity) {
					rt.Fatalf("VM %s: reserved %+v, sum of tasks %+v, capacity %+v", v.ID, v.Reserved, want, v.Capacity)
				}
			}
		}
	})
}

func removeOne(rt *rapid.T, tb *tables.Tables) {
	for i := range 60 {
		if tk, ok := tb.Tasks[fmt.Sprintf("t-%03d", i)]; ok && tables.OccupiesVM(tk.Record.State) {
			tb.Remove(tk.Record.Spec.ID)
			return
		}
	}
}

func compareStart(rt *rapid.T, tb *tables.Tables, s *scheduler.Scheduler, cfg scheduler.Config, tk *tables.Task) {
	r := cfg.FeasibilityRequest(tb, tk, sizing.Reservation(tb, tk, cfg.TailWeight))
	score := scheduler.ScoringRequest(r, cfg.TailWeight)
	want := naive.Best(tb, r, score, 0)
	wantScore := 0.0
	if want != nil {
		wantScore = naive.Score(tb, score, want)
	}
	tb.Put(tk)
	decisions := s.Tick(tb, 0)
	if (len(decisions) == 1) != (want != nil) {
		rt.Fatalf("task %+v: decisions %v, linear scan chose %v", tk.Record.Spec, decisions, want)
	}
	if want == nil {
		if tk.LastRefusal == tables.Placed || tk.Refusals[tk.LastRefusal] != 1 {
			rt.Fatalf("refusal not recorded once: reason %v, counts %v", tk.LastRefusal, tk.Refusals)
		}
		tb.Remove(tk.Record.Spec.ID)
		return
	}
	if got := naive.Score(tb, score, tb.VMs[decisions[0].VM]); got < wantScore {
		rt.Fatalf("score %v on %s, linear scan reaches %v on %s", got, decisions[0].VM, wantScore, want.ID)
	}
	assign(tb, decisions[0])
}
