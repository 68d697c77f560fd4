// Package capacity measures how the resource use of the system grows with the number of agents.
package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
)

// Parameters of the measured system. The number of tasks for each agent and the number of
// customers are those of the system's long-term target size.
const (
	entries           = 14
	zones             = 7
	customers         = 230
	tasksPer100Agents = 867
	settleTime        = 45 * time.Second
	measureTime       = 120 * time.Second
	startDeadline     = 2 * time.Minute
)

var agentCounts = []int{150, 300, 600}

// Required limits for one daemon.
const (
	maxCorePercent    = 1.2
	maxMegabytes      = 128
	maxBytesPerSecond = 2000
)

// sample is the resource use at one number of agents.
type sample struct {
	agents, tasks int
	// heapBytes is the live heap of all daemons and simulated services.
	heapBytes float64
	// cpuFraction is the CPU time of all daemons and simulated services for each second of virtual time.
	cpuFraction float64
	// entryBytesPerSecond is the control traffic of the busiest entry, with headers.
	entryBytesPerSecond float64
	writes, reads       float64
}

// Run measures each number of agents and fits the growth for each agent.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "capacity", Seed: seed}
	var samples []sample
	for _, n := range agentCounts {
		var s sample
		err := inmem.RunInVirtualTime(ctx, func(ctx context.Context) (err error) {
			s, err = measureSize(ctx, n, seed)
			return err
		})
		if err != nil {
			return nil, err
		}
		samples = append(samples, s)
	}
	report(res, samples)
	return res, nil
}

func measureSize(ctx context.Context, agents int, seed uint64) (sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := inmem.Start(ctx, inmem.Config{Seed: seed, Entries: entries, Agents: agents, Zones: zones, ShardsPerZone: 2, AgentsPerRack: 12,
		Capacity: task.Resources{CPU: 32000, Memory: 125 << 10}, WorkerStep: 5 * time.Second})
	defer c.Stop(cancel)
	s := sample{agents: agents, tasks: agents * tasksPer100Agents / 100}
	if err := c.RunTasks(ctx, s.tasks, customers, startDeadline); err != nil {
		return s, err
	}
	time.Sleep(settleTime)
	countsBefore, trafficBefore, cpuBefore := c.Table.Counts(), entryTraffic(c), processTime()
	time.Sleep(measureTime)
	s.cpuFraction = (processTime() - cpuBefore).Seconds() / measureTime.Seconds()
	countsAfter, trafficAfter := c.Table.Counts(), entryTraffic(c)
	s.writes = float64(countsAfter.Commits-countsBefore.Commits) / measureTime.Seconds()
	s.reads = float64(countsAfter.Reads-countsBefore.Reads) / measureTime.Seconds()
	for id, t := range trafficAfter {
		s.entryBytesPerSecond = max(s.entryBytesPerSecond, float64(t-trafficBefore[id])/measureTime.Seconds())
	}
	s.heapBytes = liveHeap()
	return s, nil
}

func entryTraffic(c *inmem.Cluster) map[string]uint64 {
	out := make(map[string]uint64)
	for _, e := range c.Entries {
		out[e.ID] = uint64(inmem.SumTraffic(c.Net.Traffic(e.ID)).Total())
	}
	return out
}

// processTime returns the CPU time of this process, user and system.
func processTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// fitLine fits y over the number of agents by least squares.
func fitLine(samples []sample, y func(sample) float64) (perAgent, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(samples))
	for _, s := range samples {
		x := float64(s.agents)
		sx, sy, sxx, sxy = sx+x, sy+y(s), sxx+x*x, sxy+x*y(s)
	}
	perAgent = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return perAgent, (sy - perAgent*sx) / n
}

func report(res *bench.Result, samples []sample) {
	t := bench.Table{Title: fmt.Sprintf("all processes and stand-ins together, %d entries, %v of virtual time in steady state", entries, measureTime),
		Header: []string{"agents", "tasks", "heap MB", "% of a core", "busiest entry B/s", "store writes/s", "store reads/s"}}
	for _, s := range samples {
		t.Add(s.agents, s.tasks, s.heapBytes/1e6, 100*s.cpuFraction, s.entryBytesPerSecond, s.writes, s.reads)
	}
	heap, heapBase := fitLine(samples, func(s sample) float64 { return s.heapBytes })
	cpu, cpuBase := fitLine(samples, func(s sample) float64 { return 100 * s.cpuFraction })
	bytes, bytesBase := fitLine(samples, func(s sample) float64 { return s.entryBytesPerSecond })
	slopes := bench.Table{Title: "slopes for each agent with its tasks and its share of the entries' state", Header: []string{"figure", "for each agent", "at 0 agents"}}
	slopes.Add("heap kB", heap/1e3, heapBase/1e3)
	slopes.Add("% of a core", cpu, cpuBase)
	slopes.Add("busiest entry B/s", bytes, bytesBase)
	res.Tables = append(res.Tables, t, slopes)
	last := samples[len(samples)-1]
	res.Checks = append(res.Checks,
		bench.AtMost("processor time of all daemons, divided by the entries", 100*last.cpuFraction/entries, maxCorePercent, "% of a core"),
		bench.AtMost("heap of all daemons, divided by the entries", last.heapBytes/1e6/entries, maxMegabytes, "MB"),
		bench.AtMost("control traffic of the busiest entry with headers", last.entryBytesPerSecond, maxBytesPerSecond, "B/s"))
}
