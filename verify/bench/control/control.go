// Package control measures the control traffic of each daemon in steady state.
package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
)

// Parameters of the measured system and the required limit.
const (
	agents            = 600
	entries           = 14
	zones             = 7
	tasksRunning      = 5200
	customers         = 230
	maxBytesPerSecond = 2000
	settleTime        = 45 * time.Second
	measureTime       = 240 * time.Second
	startDeadline     = 2 * time.Minute
)

// Run measures the traffic of every daemon over four minutes of virtual time.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "control", Seed: seed}
	err := inmem.RunInVirtualTime(ctx, func(ctx context.Context) error { return run(ctx, res) })
	return res, err
}

func run(ctx context.Context, res *bench.Result) error {
	ctx, cancel := context.WithCancel(ctx)
	c := inmem.Start(ctx, inmem.Config{Seed: res.Seed, Entries: entries, Agents: agents, Zones: zones, ShardsPerZone: 2, AgentsPerRack: 12,
		Capacity: task.Resources{CPU: 32000, Memory: 125 << 10}, WorkerStep: 5 * time.Second})
	defer c.Stop(cancel)
	if err := c.RunTasks(ctx, tasksRunning, customers, startDeadline); err != nil {
		return err
	}
	time.Sleep(settleTime)
	before := trafficSnapshot(c)
	time.Sleep(measureTime)
	report(res, c, before)
	return nil
}

// trafficSnapshot returns the traffic of every daemon by kind of peer.
func trafficSnapshot(c *inmem.Cluster) map[string]map[string]inmem.Traffic {
	out := make(map[string]map[string]inmem.Traffic)
	for _, e := range c.Entries {
		out[e.ID] = c.Net.Traffic(e.ID)
	}
	for _, a := range c.Agents {
		out[a.VM] = c.Net.Traffic(a.VM)
	}
	return out
}

// rate is the traffic of a daemon, or of one kind of its peers, in bytes per second.
type rate struct {
	name           string
	payload, total float64
}

func rateBetween(name string, after, before inmem.Traffic) rate {
	return rate{name, float64(after.Payload-before.Payload) / measureTime.Seconds(), float64(after.Total()-before.Total()) / measureTime.Seconds()}
}

func report(res *bench.Result, c *inmem.Cluster, before map[string]map[string]inmem.Traffic) {
	after := trafficSnapshot(c)
	rates := func(names []string) []rate {
		var out []rate
		for _, name := range names {
			out = append(out, rateBetween(name, inmem.SumTraffic(after[name]), inmem.SumTraffic(before[name])))
		}
		sort.Slice(out, func(i, j int) bool { return out[i].total < out[j].total })
		return out
	}
	var entryIDs, agentIDs []string
	for _, e := range c.Entries {
		entryIDs = append(entryIDs, e.ID)
	}
	for _, a := range c.Agents {
		agentIDs = append(agentIDs, a.VM)
	}
	t := bench.Table{Title: fmt.Sprintf("control traffic in B/s, both directions, %d entries, %d agents, %d tasks, %v of virtual time", entries, agents, tasksRunning, measureTime),
		Header: []string{"daemon", "median payload", "median with headers", "largest payload", "largest with headers"}}
	groups := []struct {
		name  string
		rates []rate
	}{{"entry", rates(entryIDs)}, {"agent", rates(agentIDs)}}
	for _, g := range groups {
		median, largest := g.rates[len(g.rates)/2], g.rates[len(g.rates)-1]
		t.Add(g.name, median.payload, median.total, largest.payload, largest.total)
		res.Checks = append(res.Checks, bench.AtMost("payload of the busiest "+g.name, largest.payload, maxBytesPerSecond, "B/s"),
			bench.AtMost("payload and headers of the busiest "+g.name, largest.total, maxBytesPerSecond, "B/s"))
	}
	busiest := groups[0].rates[len(entryIDs)-1].name
	byPeer := bench.Table{Title: "busiest entry by the other process", Header: []string{"other", "payload", "with headers"}}
	for _, kind := range []string{"vm", "entry", "store", "client"} {
		r := rateBetween(kind, after[busiest][kind], before[busiest][kind])
		byPeer.Add(kind, r.payload, r.total)
	}
	res.Tables = append(res.Tables, t, byPeer)
}
