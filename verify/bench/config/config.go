// Package config measures how fast an accepted configuration is in force everywhere.
package config

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
	"github.com/chicorystand/chicorystand/verify/history"
)

// Size of the measured system and the requirement.
const (
	agents    = 600
	entries   = 10
	zones     = 5
	customers = 230
	changes   = 40
	bound     = 3 * time.Second
	gap       = 4 * time.Second
)

// Run measures 40 changes with all entries alive, then changes with one entry
// dead, and with one availability zone cut off and back.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "config", Seed: seed}
	err := inmem.Virtual(ctx, func(ctx context.Context) error { return run(ctx, res) })
	return res, err
}

// phase is a part of the run with its own figures.
type phase struct {
	name     string
	from, to time.Duration
	// proposals are the times of the calls, by generation.
	proposals map[uint64]time.Duration
	// down lists processes that are dead or cut off during the phase.
	down map[string]bool
}

func run(ctx context.Context, res *bench.Result) error {
	ctx, cancel := context.WithCancel(ctx)
	c := inmem.Start(ctx, inmem.Config{Seed: res.Seed, Entries: entries, Agents: agents, Zones: zones, ShardsPerZone: 2, AgentsPerRack: 12,
		Capacity: task.Resources{CPU: 32000, Memory: 125 << 10}, WorkerStep: 10 * time.Second})
	defer c.Stop(cancel)
	if err := c.AwaitReady(ctx, agents); err != nil {
		return err
	}
	time.Sleep(45 * time.Second)
	gen := uint64(0)
	apply := func(p *phase, n int) error {
		for range n {
			at := c.Clock.Now()
			doc, err := c.Apply(ctx, int(gen)%2, inmem.Document(gen, customers))
			if err != nil {
				return err
			}
			gen = doc.Generation
			p.proposals[gen] = at
			time.Sleep(gap)
		}
		p.to = c.Clock.Now()
		return nil
	}
	newPhase := func(name string) *phase {
		return &phase{name: name, from: c.Clock.Now(), proposals: make(map[uint64]time.Duration), down: make(map[string]bool)}
	}
	alive := newPhase("all alive")
	if err := apply(alive, changes); err != nil {
		return err
	}
	dead := newPhase("one entry dead")
	c.KillEntry(entries - 1)
	dead.down[c.Entries[entries-1].ID] = true
	if err := apply(dead, 5); err != nil {
		return err
	}
	cutOff := newPhase("one zone cut off")
	isolated := isolate(c, cutOff, dead)
	c.Net.SetCut(func(a, b string) bool { return isolated[a] != isolated[b] })
	if err := apply(cutOff, 3); err != nil {
		return err
	}
	c.Net.SetCut(nil)
	time.Sleep(time.Minute)
	back := newPhase("zone back")
	back.down = dead.down
	if err := apply(back, 5); err != nil {
		return err
	}
	report(res, c, []*phase{alive, dead, cutOff, back})
	return nil
}

// isolate marks the processes of the last zone.
func isolate(c *inmem.Cluster, p, dead *phase) map[string]bool {
	isolated := make(map[string]bool)
	zone := c.Entries[zones-1].Zone
	for _, e := range c.Entries {
		isolated[e.ID] = e.Zone == zone
	}
	for _, a := range c.Agents {
		isolated[a.VM] = a.Zone == zone
	}
	for id, in := range isolated {
		if in || dead.down[id] {
			p.down[id] = true
		}
	}
	return isolated
}

func report(res *bench.Result, c *inmem.Cluster, phases []*phase) {
	events := c.Recorder.Events()
	accepted := make(map[uint64]time.Duration)
	inForce := make(map[string]map[uint64]time.Duration)
	highest := make(map[string]uint64)
	reversals := 0
	for _, e := range events {
		switch e.Kind {
		case history.ConfigAccepted:
			accepted[e.Generation] = e.At
		case history.ConfigInForce:
			if e.Generation < highest[e.Process] {
				reversals++
			}
			highest[e.Process] = e.Generation
			if inForce[e.Process] == nil {
				inForce[e.Process] = make(map[uint64]time.Duration)
			}
			if _, ok := inForce[e.Process][e.Generation]; !ok {
				inForce[e.Process][e.Generation] = e.At
			}
		}
	}
	t := bench.Table{Title: fmt.Sprintf("%d entries, %d agents; times in ms", entries, agents),
		Header: []string{"phase", "changes", "proposal to acceptance p50", "max", "acceptance to in force p50", "p99", "max", "missing"}}
	for _, p := range phases {
		propose, force := hdrhistogram.New(1, time.Minute.Microseconds(), 3), hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		missing := 0
		for gen, at := range p.proposals {
			_ = propose.RecordValue((accepted[gen] - at).Microseconds())
			for _, process := range processes(c) {
				if p.down[process] {
					continue
				}
				when, ok := firstFrom(inForce[process], gen)
				if !ok {
					missing++
					continue
				}
				_ = force.RecordValue(max(1, (when - accepted[gen]).Microseconds()))
			}
		}
		ms := func(v int64) float64 { return float64(v) / 1000 }
		t.Add(p.name, len(p.proposals), ms(propose.ValueAtQuantile(50)), ms(propose.Max()), ms(force.ValueAtQuantile(50)),
			ms(force.ValueAtQuantile(99)), ms(force.Max()), missing)
		res.Checks = append(res.Checks, bench.AtMost("acceptance to in force, p99, "+p.name, ms(force.ValueAtQuantile(99)), float64(bound.Milliseconds()), "ms"),
			bench.AtMost("processes that miss a generation, "+p.name, float64(missing), 0, ""))
	}
	res.Tables = append(res.Tables, t)
	res.Checks = append(res.Checks, bench.AtMost("reversals", float64(reversals), 0, ""))
}

func processes(c *inmem.Cluster) []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.ID)
	}
	for _, a := range c.Agents {
		out = append(out, a.VM)
	}
	return out
}

// firstFrom returns when the process had the generation or a newer one in force.
func firstFrom(times map[uint64]time.Duration, gen uint64) (time.Duration, bool) {
	var first time.Duration
	found := false
	for g, at := range times {
		if g >= gen && (!found || at < first) {
			first, found = at, true
		}
	}
	return first, found
}
