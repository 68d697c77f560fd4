// Package policy compares the scheduler and the guard with first-fit placement on the
// example deployments, in virtual time on a simplified model of VMs. The policies see only
// delayed reports. The model covers interference by pair and load, CPU contention, external
// slowdowns, wrong declared sizes and run times, VM failures, and VMs on which every start
// fails. It leaves out memory pressure and the overhead of the control plane.
package policy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/naive"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

// Bounds of the checks.
const (
	maxTailOverIdle     = 1.25
	maxTailOverFirstFit = 1.0 / 3
	minThroughput       = 0.9
	maxEvictions        = 0.5
)

const (
	seeds    = 5
	duration = 30 * time.Minute
	// workers is the number of simulations that run concurrently.
	workers = 3
	// targetOverIdle is the ratio of the service's latency target to its p99 without batch tasks.
	targetOverIdle = 1.2
)

// Policies.
const (
	noBatch    = "no batch"
	firstFit   = "first-fit"
	guardsOnly = "guards on first-fit"
	// uninformedGuards is the scheduler at the deployment's tail weight with guards that the owner
	// does not send learnt interference to. The messages do not carry interference yet.
	uninformedGuards = "scheduler, guards not told"
)

// weights are the tail weights that are compared on the same load.
var weights = []float64{0.8, 0.35}

func policyName(weight float64) string { return fmt.Sprintf("scheduler, tail weight %.2f", weight) }

// Outcome aggregates the runs of one policy over all seeds.
type Outcome struct {
	Latencies, StartDelays               *hdrhistogram.Histogram
	UsefulWork, SubmittedWork            float64
	Evictions, MissedDeadlines, Finished int
	FailedStarts                         int
}

// P99 returns the service's p99 in milliseconds.
func (o *Outcome) P99() float64 { return float64(o.Latencies.ValueAtQuantile(99)) / 1e3 }

func (o *Outcome) add(r *run) {
	o.Latencies.Merge(r.latencies)
	o.StartDelays.Merge(r.startDelays)
	o.UsefulWork += r.usefulWork
	o.SubmittedWork += r.submittedWork
	o.Evictions += r.evictions
	o.MissedDeadlines += r.missedDeadlines
	o.Finished += r.finished
	o.FailedStarts += r.failedStarts
}

// Run measures both example deployments.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	res := &bench.Result{Bench: "policy", Seed: seed}
	for _, name := range []string{"belfry-lane", "laternenwerk"} {
		dep, err := devenv.Load(name)
		if err != nil {
			return nil, err
		}
		out, err := Compare(ctx, dep, seed, seeds, duration)
		if err != nil {
			return nil, err
		}
		report(res, dep, out)
	}
	return res, nil
}

// Compare simulates every policy on the same n loads, each for the time d.
func Compare(ctx context.Context, dep devenv.Deployment, seed uint64, n int, d time.Duration) (map[string]*Outcome, error) {
	idle, err := simulateAll(ctx, dep, seed, n, d, []string{noBatch}, 0)
	if err != nil {
		return nil, err
	}
	target := time.Duration(targetOverIdle * idle[noBatch].P99() * float64(time.Millisecond))
	names := []string{firstFit, guardsOnly, uninformedGuards}
	for _, w := range weights {
		names = append(names, policyName(w))
	}
	out, err := simulateAll(ctx, dep, seed, n, d, names, target)
	if err != nil {
		return nil, err
	}
	out[noBatch] = idle[noBatch]
	return out, nil
}

func simulateAll(ctx context.Context, dep devenv.Deployment, seed uint64, n int, d time.Duration, names []string, target time.Duration) (map[string]*Outcome, error) {
	runs := make([]*run, len(names)*n)
	var wg sync.WaitGroup
	slots := make(chan struct{}, workers)
	for i := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() == nil {
				runs[i] = build(dep, names[i/n], seed*1000+uint64(i%n), target)
				runs[i].simulate(d)
			}
		}()
	}
	wg.Wait()
	if ctx.Err() != nil {
		return nil, errkind.Wrap(errkind.Cancelled, ctx.Err(), "benchmark")
	}
	out := make(map[string]*Outcome, len(names))
	for i, r := range runs {
		o, ok := out[names[i/n]]
		if !ok {
			o = &Outcome{Latencies: hdrhistogram.New(100, 60_000_000, 3), StartDelays: hdrhistogram.New(1, 7200_000, 3)}
			out[names[i/n]] = o
		}
		o.add(r)
	}
	return out, nil
}

// build returns the simulation of the named policy.
func build(dep devenv.Deployment, name string, seed uint64, target time.Duration) *run {
	switch name {
	case noBatch:
		return newRun(dep, seed, nil, target, 0, false)
	case firstFit:
		return newRun(dep, seed, naive.FirstFit{}, target, 0, false)
	case guardsOnly:
		return newRun(dep, seed, naive.FirstFit{}, target, dep.Objective.TailWeight, true)
	}
	if w := dep.Objective.TailWeight; name == uninformedGuards {
		return newRun(dep, seed, scheduler.New(scheduler.Config{TailWeight: w, Seed: seed}), target, w, true)
	}
	for _, w := range weights {
		if name == policyName(w) {
			r := newRun(dep, seed, scheduler.New(scheduler.Config{TailWeight: w, Seed: seed}), target, w, true)
			r.informsGuards = true
			return r
		}
	}
	return nil
}

func report(res *bench.Result, dep devenv.Deployment, out map[string]*Outcome) {
	t := bench.Table{Title: fmt.Sprintf("%s, %d seeds of %s", dep.Name, seeds, duration),
		Header: []string{"policy", "service p50 ms", "p99 ms", "p99.9 ms", "p99 over no batch", "batch work (core h)", "of submitted", "evictions", "failed starts", "start p50 s", "start p99 s"}}
	idle := out[noBatch].P99()
	names := []string{noBatch, firstFit, guardsOnly, uninformedGuards, policyName(weights[0]), policyName(weights[1])}
	for _, name := range names {
		o := out[name]
		t.Add(name, float64(o.Latencies.ValueAtQuantile(50))/1e3, o.P99(), float64(o.Latencies.ValueAtQuantile(99.9))/1e3, o.P99()/idle,
			o.UsefulWork/3600, o.UsefulWork/max(o.SubmittedWork, 1), o.Evictions, o.FailedStarts,
			float64(o.StartDelays.ValueAtQuantile(50))/1e3, float64(o.StartDelays.ValueAtQuantile(99))/1e3)
	}
	res.Tables = append(res.Tables, t)
	schedulerOutcome, firstFitOutcome := out[policyName(dep.Objective.TailWeight)], out[firstFit]
	tailWeighted, throughputWeighted := out[policyName(weights[0])], out[policyName(weights[1])]
	res.Checks = append(res.Checks,
		bench.AtMost(dep.Name+": service p99 over no batch", schedulerOutcome.P99()/idle, maxTailOverIdle, "x"),
		bench.AtMost(dep.Name+": service p99 over first-fit", schedulerOutcome.P99()/firstFitOutcome.P99(), maxTailOverFirstFit, "x"),
		bench.AtLeast(dep.Name+": batch throughput over first-fit", schedulerOutcome.UsefulWork/firstFitOutcome.UsefulWork, minThroughput, "x"),
		bench.AtMost(dep.Name+": evictions over guards alone", float64(schedulerOutcome.Evictions)/float64(max(out[guardsOnly].Evictions, 1)), maxEvictions, "x"),
		bench.AtMost(dep.Name+": p99 at tail weight 0.8 over 0.35", tailWeighted.P99()/throughputWeighted.P99(), 1, "x"),
		bench.AtMost(dep.Name+": batch work at tail weight 0.8 over 0.35", tailWeighted.UsefulWork/throughputWeighted.UsefulWork, 1, "x"),
	)
}
