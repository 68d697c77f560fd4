// Package store measures the number of table service operations for each task start.
package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
	"github.com/chicorystand/chicorystand/verify/history"
)

// Parameters of the measured system and the required limits.
const (
	agents             = 140
	entries            = 14
	zones              = 7
	customers          = 230
	startsPerSecond    = 130
	maxWritesPerStart  = 2
	maxWritesPerSecond = 300
	maxReadsPerSecond  = 1500
	measureTime        = 30 * time.Second
)

// Run measures an idle system, 1 start/s and then 130 starts/s through all entries.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "store", Seed: seed}
	err := inmem.RunInVirtualTime(ctx, func(ctx context.Context) error { return run(ctx, res) })
	return res, err
}

func run(ctx context.Context, res *bench.Result) error {
	ctx, cancel := context.WithCancel(ctx)
	c := inmem.Start(ctx, inmem.Config{Seed: res.Seed, Entries: entries, Agents: agents, Zones: zones, ShardsPerZone: 2, AgentsPerRack: 12,
		Capacity: task.Resources{CPU: 64000, Memory: 250 << 10}, WorkerStep: 500 * time.Millisecond})
	defer c.Stop(cancel)
	if err := c.AwaitReady(ctx, agents); err != nil {
		return err
	}
	time.Sleep(45 * time.Second)
	if _, err := c.ApplyConfig(ctx, 0, inmem.ConfigDocument(0, customers)); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	t := bench.Table{Title: fmt.Sprintf("%d entries, %d agents", entries, agents),
		Header: []string{"load", "starts", "writes/start", "rows/start", "reads/start", "writes/s", "rows/s", "reads/s", "conflicts"}}
	idle := measureLoad(ctx, c, &t, "none", 0, res.Seed)
	low := measureLoad(ctx, c, &t, "1 start/s", 1, res.Seed)
	high := measureLoad(ctx, c, &t, fmt.Sprintf("%d starts/s", startsPerSecond), startsPerSecond, res.Seed)
	res.Tables = append(res.Tables, t)
	res.Checks = append(res.Checks,
		bench.AtMost("writes for each start at 1 start/s, without the idle writes", (low.writes-idle.writes)/max(low.starts, 1), maxWritesPerStart, ""),
		bench.AtMost(fmt.Sprintf("writes for each start at %d starts/s", startsPerSecond), high.writes/max(high.starts, 1), maxWritesPerStart, ""),
		bench.AtMost("writes in all", high.writes/measureTime.Seconds(), maxWritesPerSecond, "1/s"),
		bench.AtMost("reads in all", high.reads/measureTime.Seconds(), maxReadsPerSecond, "1/s"),
		bench.AtLeast("starts", high.starts/measureTime.Seconds(), 0.98*startsPerSecond, "1/s"))
	return nil
}

type loadCounts struct{ starts, writes, rows, reads float64 }

// measureLoad submits single tasks at a rate, round-robin through the entries, and counts store operations.
func measureLoad(ctx context.Context, c *inmem.Cluster, t *bench.Table, load string, perSecond int, seed uint64) loadCounts {
	r := rand.New(rand.NewPCG(seed, uint64(perSecond)))
	before, startsBefore := c.Table.Counts(), c.CountEvents(history.TaskRunStart)
	end := time.Now().Add(measureTime)
	for i := 0; time.Now().Before(end); i++ {
		if perSecond == 0 {
			time.Sleep(measureTime)
			break
		}
		id, customer := fmt.Sprintf("task-%d-%05d", perSecond, i), r.IntN(customers)
		go func() {
			_, _ = c.Submit(ctx, i%entries, []task.Spec{{ID: id, Customer: inmem.CustomerName(customer), JobClass: "short",
				Declared: task.Resources{CPU: 1000, Memory: 512}, Duration: 8 * time.Second}})
		}()
		time.Sleep(time.Duration(float64(time.Second) / float64(perSecond) * (0.5 + r.Float64())))
	}
	after := c.Table.Counts()
	counts := loadCounts{starts: float64(c.CountEvents(history.TaskRunStart) - startsBefore), writes: float64(after.Commits - before.Commits),
		rows: float64(after.Rows - before.Rows), reads: float64(after.Reads - before.Reads)}
	starts := max(counts.starts, 1)
	t.Add(load, counts.starts, counts.writes/starts, counts.rows/starts, counts.reads/starts, counts.writes/measureTime.Seconds(), counts.rows/measureTime.Seconds(),
		counts.reads/measureTime.Seconds(), after.Conflicts-before.Conflicts)
	return counts
}
