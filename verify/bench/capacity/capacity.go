// Package capacity measures how the cost of the running system grows with its size.
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

// Sizes of the measured system. Tasks and customers are those of the long-term size for each agent.
const (
	entries         = 14
	zones           = 7
	customers       = 230
	tasksPerHundred = 867
	settle          = 45 * time.Second
	measure         = 120 * time.Second
	startDeadline   = 2 * time.Minute
)

var sizes = []int{150, 300, 600}

// Requirements for one daemon.
const (
	maxCorePercent = 1.2
	maxMegabytes   = 128
	maxBytes       = 2000
)

// sample is what one size costs.
type sample struct {
	agents, tasks int
	// heap is the live heap of all processes and stand-ins in bytes.
	heap float64
	// core is processor time for each second of virtual time, of all processes and stand-ins.
	core float64
	// entryBytes is the control traffic of the busiest entry with headers, in B/s.
	entryBytes    float64
	writes, reads float64
}

// Run measures every size and fits slopes.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "capacity", Seed: seed}
	var samples []sample
	for _, n := range sizes {
		var s sample
		err := inmem.Virtual(ctx, func(ctx context.Context) (err error) {
			s, err = measureSize(ctx, n)
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

func measureSize(ctx context.Context, agents int) (sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := inmem.Start(ctx, inmem.Config{Entries: entries, Agents: agents, Zones: zones, ShardsPerZone: 2, AgentsPerRack: 12,
		Capacity: task.Resources{CPU: 32000, Memory: 125 << 10}, WorkerStep: 5 * time.Second})
	defer c.Stop(cancel)
	s := sample{agents: agents, tasks: agents * tasksPerHundred / 100}
	if err := c.RunTasks(ctx, s.tasks, customers, startDeadline); err != nil {
		return s, err
	}
	time.Sleep(settle)
	counts, traffic, cpu := c.Table.Counts(), entryTraffic(c), processTime()
	time.Sleep(measure)
	s.core = (processTime() - cpu).Seconds() / measure.Seconds()
	after, later := c.Table.Counts(), entryTraffic(c)
	s.writes = float64(after.Commits-counts.Commits) / measure.Seconds()
	s.reads = float64(after.Reads-counts.Reads) / measure.Seconds()
	for id, t := range later {
		s.entryBytes = max(s.entryBytes, float64(t-traffic[id])/measure.Seconds())
	}
	s.heap = liveHeap()
	return s, nil
}

func entryTraffic(c *inmem.Cluster) map[string]uint64 {
	out := make(map[string]uint64)
	for _, e := range c.Entries {
		out[e.ID] = uint64(inmem.Sum(c.Net.Traffic(e.ID)).Total())
	}
	return out
}

// processTime is the processor time of this process, user and system.
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

// slope fits y over x by least squares.
func slope(samples []sample, y func(sample) float64) (perAgent, base float64) {
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
	t := bench.Table{Title: fmt.Sprintf("all processes and stand-ins together, %d entries, %v of virtual time in steady state", entries, measure),
		Header: []string{"agents", "tasks", "heap MB", "% of a core", "busiest entry B/s", "store writes/s", "store reads/s"}}
	for _, s := range samples {
		t.Add(s.agents, s.tasks, s.heap/1e6, 100*s.core, s.entryBytes, s.writes, s.reads)
	}
	heap, heapBase := slope(samples, func(s sample) float64 { return s.heap })
	core, coreBase := slope(samples, func(s sample) float64 { return 100 * s.core })
	bytes, bytesBase := slope(samples, func(s sample) float64 { return s.entryBytes })
	f := bench.Table{Title: "slopes for each agent with its tasks and its share of the entries' state", Header: []string{"figure", "for each agent", "at 0 agents"}}
	f.Add("heap kB", heap/1e3, heapBase/1e3)
	f.Add("% of a core", core, coreBase)
	f.Add("busiest entry B/s", bytes, bytesBase)
	res.Tables = append(res.Tables, t, f)
	last := samples[len(samples)-1]
	res.Checks = append(res.Checks,
		bench.AtMost("processor time of all daemons, divided by the entries", 100*last.core/entries, maxCorePercent, "% of a core"),
		bench.AtMost("heap of all daemons, divided by the entries", last.heap/1e6/entries, maxMegabytes, "MB"),
		bench.AtMost("control traffic of the busiest entry with headers", last.entryBytes, maxBytes, "B/s"))
}
