// Package store measures the operations on the table service for each task start.
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

// Size of the measured system and the requirement.
const (
	agents         = 140
	entries        = 14
	zones          = 7
	customers      = 230
	startsPerSec   = 130
	writesPerStart = 2
	writesPerSec   = 300
	readsPerSec    = 1500
	measure        = 30 * time.Second
)

// Run measures single submissions, and then 130 starts/s through all entries.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "store", Seed: seed}
	err := inmem.Virtual(ctx, func(ctx context.Context) error { return run(ctx, res) })
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
	if _, err := c.Apply(ctx, 0, inmem.Document(0, customers)); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	t := bench.Table{Title: fmt.Sprintf("%d entries, %d agents", entries, agents),
		Header: []string{"load", "starts", "writes/start", "rows/start", "reads/start", "writes/s", "rows/s", "reads/s", "conflicts"}}
	idle := phase(ctx, c, &t, "none", 0, res.Seed)
	low := phase(ctx, c, &t, "1 start/s", 1, res.Seed)
	high := phase(ctx, c, &t, fmt.Sprintf("%d starts/s", startsPerSec), startsPerSec, res.Seed)
	res.Tables = append(res.Tables, t)
	res.Checks = append(res.Checks,
		bench.AtMost("writes for each start at 1 start/s, without the idle writes", (low.writes-idle.writes)/max(low.starts, 1), writesPerStart, ""),
		bench.AtMost(fmt.Sprintf("writes for each start at %d starts/s", startsPerSec), high.writes/max(high.starts, 1), writesPerStart, ""),
		bench.AtMost("writes in all", high.writes/measure.Seconds(), writesPerSec, "1/s"),
		bench.AtMost("reads in all", high.reads/measure.Seconds(), readsPerSec, "1/s"),
		bench.AtLeast("starts", high.starts/measure.Seconds(), 0.98*startsPerSec, "1/s"))
	return nil
}

type figures struct{ starts, writes, rows, reads float64 }

// phase submits single tasks at a rate, through the entries in turn.
func phase(ctx context.Context, c *inmem.Cluster, t *bench.Table, name string, perSecond int, seed uint64) figures {
	r := rand.New(rand.NewPCG(seed, uint64(perSecond)))
	before, startsBefore := c.Table.Counts(), c.Count(history.TaskRunStart)
	end := time.Now().Add(measure)
	for i := 0; time.Now().Before(end); i++ {
		if perSecond == 0 {
			time.Sleep(measure)
			break
		}
		id, customer := fmt.Sprintf("task-%d-%05d", perSecond, i), r.IntN(customers)
		go func() {
			_, _ = c.Submit(ctx, i%entries, []task.Spec{{ID: id, Customer: inmem.Customer(customer), JobClass: "short",
				Declared: task.Resources{CPU: 1000, Memory: 512}, Duration: 8 * time.Second}})
		}()
		time.Sleep(time.Duration(float64(time.Second) / float64(perSecond) * (0.5 + r.Float64())))
	}
	after := c.Table.Counts()
	f := figures{starts: float64(c.Count(history.TaskRunStart) - startsBefore), writes: float64(after.Commits - before.Commits),
		rows: float64(after.Rows - before.Rows), reads: float64(after.Reads - before.Reads)}
	per := max(f.starts, 1)
	t.Add(name, f.starts, f.writes/per, f.rows/per, f.reads/per, f.writes/measure.Seconds(), f.rows/measure.Seconds(),
		f.reads/measure.Seconds(), after.Conflicts-before.Conflicts)
	return f
}
