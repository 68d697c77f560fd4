// Package recovery measures how long the placement of tasks is interrupted by failures,
// and whether tasks are lost, run twice or suspended.
package recovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// Parameters of the measured system and the required limit.
const (
	agents         = 36
	entries        = 3
	zones          = 3
	rackSize       = 3
	customers      = 20
	watchers       = 36
	maxExtraDelay  = 5 * time.Second
	outageDuration = 30 * time.Minute
	// submitInterval is the time between submissions of batch tasks.
	submitInterval = 400 * time.Millisecond
	finishTimeout  = 5 * time.Minute
)

// Run kills an entry, replaces one, fails a rack and stops the store for 30 minutes of
// virtual time, while tasks are submitted.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "recover", Seed: seed}
	err := inmem.RunInVirtualTime(ctx, func(ctx context.Context) error { return run(ctx, res) })
	return res, err
}

type runner struct {
	*inmem.Cluster
	rand        *rand.Rand
	nextTask    int
	accepted    map[string]bool
	longRunning map[string]bool
	notAccepted int
}

func run(ctx context.Context, res *bench.Result) error {
	ctx, cancel := context.WithCancel(ctx)
	c := inmem.Start(ctx, inmem.Config{Seed: res.Seed, Entries: entries, Agents: agents, Zones: zones, ShardsPerZone: 1, AgentsPerRack: rackSize,
		Capacity: task.Resources{CPU: 32000, Memory: 125 << 10}, WorkerStep: 250 * time.Millisecond, CheckpointInterval: 5 * time.Second})
	defer c.Stop(cancel)
	r := &runner{Cluster: c, rand: rand.New(rand.NewPCG(res.Seed, 2)), accepted: make(map[string]bool), longRunning: make(map[string]bool)}
	if err := r.prepare(ctx); err != nil {
		return err
	}
	t := bench.Table{Title: "recovery", Header: []string{"failure", "next placement after s", "allowed after s", "beyond s"}}
	add := func(name string, delay, allowed time.Duration) {
		t.Add(name, delay.Seconds(), allowed.Seconds(), (delay - allowed).Seconds())
		res.Checks = append(res.Checks, bench.AtMost("placement beyond what the lease allows, "+name, (delay-allowed).Seconds(), maxExtraDelay.Seconds(), "s"))
	}
	delay, err := r.crashEntry(ctx)
	if err != nil {
		return err
	}
	add("entry dies", delay, lease.ObserverWait(lease.ShardTTL))
	if delay, err = r.replaceEntry(ctx); err != nil {
		return err
	}
	add("entry replaced", delay, 0)
	first, last := r.failRack(ctx)
	add("rack lost, first task", first, lease.ObserverWait(lease.GrantTTL))
	add("rack lost, last task", last, lease.ObserverWait(lease.GrantTTL))
	suspended, ended := r.stopStore(ctx)
	res.Checks = append(res.Checks, bench.AtMost("tasks suspended in the outage", float64(suspended), 0, ""),
		bench.AtMost("watchers ended in the outage", float64(ended), 0, ""))
	r.reportHistory(res)
	res.Tables = append(res.Tables, t)
	return nil
}

func (r *runner) prepare(ctx context.Context) error {
	if err := r.AwaitReady(ctx, agents); err != nil {
		return err
	}
	time.Sleep(45 * time.Second)
	if _, err := r.ApplyConfig(ctx, 0, inmem.ConfigDocument(0, customers)); err != nil {
		return err
	}
	var specs []task.Spec
	for i := range watchers {
		id := fmt.Sprintf("watcher-%d", i)
		r.longRunning[id] = true
		specs = append(specs, task.Spec{ID: id, Customer: inmem.CustomerName(i % customers), JobClass: "watcher", Class: task.LatencyCritical,
			Declared: task.Resources{CPU: 1000, Memory: 1024}})
	}
	if _, err := r.Submit(ctx, 0, specs); err != nil {
		return err
	}
	r.submitFor(ctx, 60*time.Second, 0)
	return nil
}

// submitFor submits batch tasks through an entry for the duration d.
func (r *runner) submitFor(ctx context.Context, d time.Duration, entry int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(submitInterval) {
		r.submit(ctx, entry)
	}
}

func (r *runner) submit(ctx context.Context, entry int) {
	id := fmt.Sprintf("batch-%05d", r.nextTask)
	r.nextTask++
	n, err := r.Submit(ctx, entry, []task.Spec{{ID: id, Customer: inmem.CustomerName(r.rand.IntN(customers)), JobClass: "route-plan",
		Declared: task.Resources{CPU: 2000, Memory: 2048}, Duration: 20*time.Second + time.Duration(r.rand.Int64N(int64(60*time.Second)))}})
	if err == nil && n == 1 {
		r.accepted[id] = true
		return
	}
	r.notAccepted++
}

// ownedShards returns the shards that an entry owns according to their lease rows.
func (r *runner) ownedShards(ctx context.Context, id string) map[string]bool {
	out := make(map[string]bool)
	rows, _ := r.Table.Scan(ctx, shard.LeasePrefix, "", 100)
	for _, row := range rows {
		var l shard.LeaseRow
		if msgpack.Unmarshal(row.Value, &l) == nil && l.Owner == id {
			out[row.Key[len(shard.LeasePrefix):]] = true
		}
	}
	return out
}

// firstStart returns the time of the first task start on a VM of the shards after a point in time.
func (r *runner) firstStart(after time.Duration, shards map[string]bool) (time.Duration, bool) {
	zones := make(map[string]string)
	for _, a := range r.Agents {
		zones[a.VM] = a.Zone
	}
	for _, e := range r.Recorder.Events() {
		if e.Kind == history.TaskRunStart && e.At > after && shards[shard.ForVM(zones[e.VM], e.VM, 1)] {
			return e.At, true
		}
	}
	return 0, false
}

// awaitPlacement submits tasks until each shard has placed one, and returns the longest
// delay until a shard's first placement, or finishTimeout if a shard places none in time.
func (r *runner) awaitPlacement(ctx context.Context, from time.Duration, shards map[string]bool, entry int) (time.Duration, error) {
	var longest time.Duration
	for id := range shards {
		for {
			at, ok := r.firstStart(from, map[string]bool{id: true})
			if ok {
				longest = max(longest, at-from)
				break
			}
			if r.Clock.Now() > from+finishTimeout {
				return finishTimeout, nil
			}
			r.submit(ctx, entry)
			time.Sleep(submitInterval)
		}
	}
	return longest, nil
}

func (r *runner) crashEntry(ctx context.Context) (time.Duration, error) {
	shards := r.ownedShards(ctx, r.Entries[entries-1].ID)
	from := r.Clock.Now()
	r.KillEntry(entries - 1)
	delay, err := r.awaitPlacement(ctx, from, shards, 0)
	r.StartEntry(entries - 1)
	r.submitFor(ctx, 90*time.Second, 0)
	return delay, err
}

func (r *runner) replaceEntry(ctx context.Context) (time.Duration, error) {
	shards := r.ownedShards(ctx, r.Entries[1].ID)
	r.StopEntry(ctx, 1)
	from := r.Clock.Now()
	delay, err := r.awaitPlacement(ctx, from, shards, 0)
	r.StartEntry(1)
	r.submitFor(ctx, 90*time.Second, 0)
	return delay, err
}

// failRack fails the rack with the most tasks and returns the delays until the first and
// the last of its tasks run elsewhere.
func (r *runner) failRack(ctx context.Context) (time.Duration, time.Duration) {
	byRack := make(map[string]map[string]bool)
	rack := r.Agents[0].Rack
	for _, a := range r.Agents {
		if byRack[a.Rack] == nil {
			byRack[a.Rack] = make(map[string]bool)
		}
		for _, t := range a.Worker.List() {
			byRack[a.Rack][t.ID] = true
		}
		if len(byRack[a.Rack]) > len(byRack[rack]) {
			rack = a.Rack
		}
	}
	lost := byRack[rack]
	from := r.Clock.Now()
	r.KillRack(rack)
	r.submitFor(ctx, 60*time.Second, 0)
	first, last := finishTimeout, time.Duration(0)
	for id := range lost {
		at := finishTimeout
		for _, e := range r.Recorder.Events() {
			if e.Kind == history.TaskRunStart && e.Task == id && e.At > from {
				at = e.At - from
				break
			}
		}
		first, last = min(first, at), max(last, at)
	}
	return first, last
}

// stopStore makes the store unavailable for outageDuration and returns how many tasks
// were suspended and how many watchers ended.
func (r *runner) stopStore(ctx context.Context) (int, int) {
	from := r.Clock.Now()
	r.Table.SetFaults(standin.Faults{Down: true})
	r.submitFor(ctx, 10*time.Second, 0)
	time.Sleep(outageDuration - 10*time.Second)
	r.Table.SetFaults(standin.Faults{})
	to := r.Clock.Now()
	r.submitFor(ctx, 60*time.Second, 0)
	suspended, ended := 0, 0
	for _, e := range r.Recorder.Events() {
		if e.At < from || e.At > to+30*time.Second {
			continue
		}
		switch {
		case e.Kind == history.TaskSuspended:
			suspended++
		case e.Kind == history.TaskRunEnd && r.longRunning[e.Task]:
			ended++
		}
	}
	return suspended, ended
}

func (r *runner) reportHistory(res *bench.Result) {
	for end := time.Now().Add(finishTimeout); time.Now().Before(end) && r.unfinished() > 0; {
		time.Sleep(time.Second)
	}
	violations := history.Check(r.Recorder.Events(), history.Options{Finished: true, Unfinished: r.longRunning})
	lost, duplicates := 0, 0
	t := bench.Table{Title: "history", Header: []string{"invariant", "first violation"}}
	for _, v := range violations {
		switch v.Invariant {
		case history.NothingLost:
			lost++
		case history.NoDoubleRun, history.ResumeOnce:
			duplicates++
		}
		if len(t.Rows) < 10 {
			t.Add(v.Invariant, v.Detail)
		}
	}
	res.Tables = append(res.Tables, t)
	totals := bench.Table{Title: "tasks", Header: []string{"accepted", "refused or unknown", "unfinished"}}
	totals.Add(len(r.accepted), r.notAccepted, r.unfinished())
	res.Tables = append(res.Tables, totals)
	res.Checks = append(res.Checks, bench.AtMost("tasks lost or with two ends", float64(lost), 0, ""),
		bench.AtMost("tasks run twice at once or resumed twice", float64(duplicates), 0, ""),
		bench.AtMost("accepted tasks that did not finish", float64(r.unfinished()), 0, ""))
}

// unfinished returns the number of accepted batch tasks that have not ended.
func (r *runner) unfinished() int {
	ended := make(map[string]bool)
	for _, e := range r.Recorder.Events() {
		// FinalStateRead: a new owner read a terminal record whose writer crashed before it reported the end.
		if e.Kind == history.TaskCompleted || e.Kind == history.TaskTerminal || e.Kind == history.FinalStateRead {
			ended[e.Task] = true
		}
	}
	n := 0
	for id := range r.accepted {
		if !ended[id] {
			n++
		}
	}
	return n
}
