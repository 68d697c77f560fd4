// Package config measures how long an accepted configuration takes to be in force in all processes.
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

// Parameters of the measured system and the required limit.
const (
	agents          = 600
	entries         = 10
	zones           = 5
	customers       = 230
	changes         = 40
	maxInForceDelay = 3 * time.Second
	changeInterval  = 4 * time.Second
)

// Run measures 40 changes with all entries running, then changes after a crash of one
// entry, during a partition of one availability zone, and after the partition heals.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "config", Seed: seed}
	err := inmem.RunInVirtualTime(ctx, func(ctx context.Context) error { return run(ctx, res) })
	return res, err
}

// phase is a part of the run that is reported separately.
type phase struct {
	name     string
	from, to time.Duration
	// proposals holds the time at which each generation was proposed.
	proposals map[uint64]time.Duration
	// unreachable holds the processes that are down or partitioned during the phase.
	unreachable map[string]bool
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
			doc, err := c.ApplyConfig(ctx, int(gen)%2, inmem.ConfigDocument(gen, customers))
			if err != nil {
				return err
			}
			gen = doc.Generation
			p.proposals[gen] = at
			time.Sleep(changeInterval)
		}
		p.to = c.Clock.Now()
		return nil
	}
	newPhase := func(name string) *phase {
		return &phase{name: name, from: c.Clock.Now(), proposals: make(map[uint64]time.Duration), unreachable: make(map[string]bool)}
	}
	allUp := newPhase("all alive")
	if err := apply(allUp, changes); err != nil {
		return err
	}
	crashed := newPhase("one entry dead")
	c.KillEntry(entries - 1)
	crashed.unreachable[c.Entries[entries-1].ID] = true
	if err := apply(crashed, 5); err != nil {
		return err
	}
	partitioned := newPhase("one zone cut off")
	isolated := isolate(c, partitioned, crashed)
	c.Net.SetPartition(func(a, b string) bool { return isolated[a] != isolated[b] })
	if err := apply(partitioned, 3); err != nil {
		return err
	}
	c.Net.SetPartition(nil)
	time.Sleep(time.Minute)
	healed := newPhase("zone back")
	healed.unreachable = crashed.unreachable
	if err := apply(healed, 5); err != nil {
		return err
	}
	report(res, c, []*phase{allUp, crashed, partitioned, healed})
	return nil
}

// isolate returns whether each process is in the last zone. It marks these and the
// crashed processes as unreachable in p.
func isolate(c *inmem.Cluster, p, crashed *phase) map[string]bool {
	isolated := make(map[string]bool)
	zone := c.Entries[zones-1].Zone
	for _, e := range c.Entries {
		isolated[e.ID] = e.Zone == zone
	}
	for _, a := range c.Agents {
		isolated[a.VM] = a.Zone == zone
	}
	for id, inZone := range isolated {
		if inZone || crashed.unreachable[id] {
			p.unreachable[id] = true
		}
	}
	return isolated
}

func report(res *bench.Result, c *inmem.Cluster, phases []*phase) {
	events := c.Recorder.Events()
	accepted := make(map[uint64]time.Duration)
	inForce := make(map[string]map[uint64]time.Duration)
	newest := make(map[string]uint64)
	reversals := 0
	for _, e := range events {
		switch e.Kind {
		case history.ConfigAccepted:
			accepted[e.Generation] = e.At
		case history.ConfigInForce:
			if e.Generation < newest[e.Process] {
				reversals++
			}
			newest[e.Process] = e.Generation
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
		acceptLatency, inForceLatency := hdrhistogram.New(1, time.Minute.Microseconds(), 3), hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		missing := 0
		for gen, at := range p.proposals {
			_ = acceptLatency.RecordValue((accepted[gen] - at).Microseconds())
			for _, process := range processNames(c) {
				if p.unreachable[process] {
					continue
				}
				when, ok := firstInForce(inForce[process], gen)
				if !ok {
					missing++
					continue
				}
				_ = inForceLatency.RecordValue(max(1, (when - accepted[gen]).Microseconds()))
			}
		}
		ms := func(v int64) float64 { return float64(v) / 1000 }
		t.Add(p.name, len(p.proposals), ms(acceptLatency.ValueAtQuantile(50)), ms(acceptLatency.Max()), ms(inForceLatency.ValueAtQuantile(50)),
			ms(inForceLatency.ValueAtQuantile(99)), ms(inForceLatency.Max()), missing)
		res.Checks = append(res.Checks, bench.AtMost("acceptance to in force, p99, "+p.name, ms(inForceLatency.ValueAtQuantile(99)), float64(maxInForceDelay.Milliseconds()), "ms"),
			bench.AtMost("processes that miss a generation, "+p.name, float64(missing), 0, ""))
	}
	res.Tables = append(res.Tables, t)
	res.Checks = append(res.Checks, bench.AtMost("reversals", float64(reversals), 0, ""))
}

func processNames(c *inmem.Cluster) []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.ID)
	}
	for _, a := range c.Agents {
		out = append(out, a.VM)
	}
	return out
}

// firstInForce returns the first time at which the generation or a newer one was in force.
func firstInForce(times map[uint64]time.Duration, gen uint64) (time.Duration, bool) {
	var first time.Duration
	found := false
	for g, at := range times {
		if g >= gen && (!found || at < first) {
			first, found = at, true
		}
	}
	return first, found
}
