// Package soak runs the real programs as separate processes on the loopback
// network, with random work and random faults from outside them, and checks what
// requesters and executors see against the invariants of package history.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/platform/stub"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/workload"
)

const (
	// settleTime is the time after the last fault in which all work has to end.
	settleTime = 45 * time.Second
	// stopTime is the time after the last final state in which cancelled runs have to end.
	stopTime = 5 * time.Second
	// clientRetry is the pause before a client calls the next entry.
	clientRetry = 300 * time.Millisecond
	pollPause   = 400 * time.Millisecond
)

// Config is one run.
type Config struct {
	// Binaries is the directory of the programs; Dir takes settings and logs.
	Binaries, Dir string
	Seed          uint64
	// Faults is the time in which faults begin and submissions arrive.
	Faults time.Duration
	// Entries and Executors are the numbers of processes.
	Entries, Executors int
	// Submissions is the largest number of submissions.
	Submissions int
}

// Report is what a run has found.
type Report struct {
	Submissions, Events, Runs int
	// Shown counts the submissions by the final state that their clients were shown.
	Shown map[submission.State]int
	// Faults lists what was injected.
	Faults []string
	// Failures is empty when every promise was kept.
	Failures []string
}

// Run plays one seed. An error means that the run could not be made.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := rand.New(rand.NewPCG(cfg.Seed, 0))
	plan := workload.Generate(r, workload.Config{MinSubmissions: cfg.Submissions / 2, MaxSubmissions: cfg.Submissions, ArrivalWindow: cfg.Faults, Executors: cfg.Executors})
	faults := drawFaults(r, cfg.Faults)
	c, err := newCluster(ctx, cfg, plan.TaskWork, r)
	if err != nil {
		return nil, err
	}
	c.play(ctx, plan, faults)
	shown := c.awaitStates(ctx, plan)
	c.stop()
	report := &Report{Submissions: len(plan.Requests), Shown: shown, Failures: c.failures}
	for i := range faults {
		report.Faults = append(report.Faults, faults[i].String())
	}
	events := c.recorder.Events()
	report.Events = len(events)
	for i := range events {
		if events[i].Kind == history.TaskRunStart {
			report.Runs++
		}
	}
	for _, v := range history.Check(events, history.Options{Finished: true}) {
		report.Failures = append(report.Failures, fmt.Sprintf("%v %s: %s", v.At, v.Invariant, v.Detail))
	}
	return report, nil
}

// play runs clients and faults to their end.
func (c *cluster) play(ctx context.Context, plan workload.Plan, faults []fault) {
	var all sync.WaitGroup
	for i := range plan.Requests {
		all.Go(func() { c.client(ctx, &plan.Requests[i]) })
	}
	for i := range faults {
		all.Go(func() {
			time.Sleep(faults[i].at - time.Since(c.start))
			faults[i].kind.inject(c, &faults[i])
		})
	}
	all.Wait()
}

func (c *cluster) requester() *stub.Requester {
	return &stub.Requester{HTTP: &http.Client{Transport: &http.Transport{}}, Route: c.route, Deadline: requestDeadline}
}

// client hands a submission in until it is accepted, and cancels it when the plan
// says so. It keeps its connections open.
func (c *cluster) client(ctx context.Context, r *workload.Request) {
	q := c.requester()
	time.Sleep(r.At - time.Since(c.start))
	c.repeat(ctx, r.Entry, func(address string) error { return q.Submit(ctx, address, &r.Submission) })
	r.RecordAccepted(c.recorder)
	if r.CancelAfter == 0 {
		return
	}
	time.Sleep(r.CancelAfter)
	c.repeat(ctx, r.Entry+1, func(address string) error { return q.Cancel(ctx, address, r.Submission.ID) })
	r.RecordCancelled(c.recorder)
}

// repeat calls one entry after the other until one gives a final answer.
func (c *cluster) repeat(ctx context.Context, entry int, call func(address string) error) {
	for i := entry; ctx.Err() == nil; i++ {
		if call(c.entries[i%len(c.entries)].requests.listener.Addr().String()) == nil {
			return
		}
		time.Sleep(clientRetry)
	}
}

// awaitStates asks for the state of every submission until each is final, and
// returns how many were shown in each state.
func (c *cluster) awaitStates(ctx context.Context, plan workload.Plan) map[submission.State]int {
	shown := make(map[submission.State]int)
	q := c.requester()
	deadline := time.Now().Add(settleTime)
	for i := range plan.Requests {
		r := &plan.Requests[i]
		state, err := submission.Queued, error(nil)
		for n := i; time.Now().Before(deadline) && ctx.Err() == nil && !state.Final(); n++ {
			address := c.entries[n%len(c.entries)].requests.listener.Addr().String()
			if state, err = q.State(ctx, address, r.Submission.ID); err != nil || !state.Final() {
				time.Sleep(pollPause)
			}
		}
		if !state.Final() {
			c.fail("submission %s is %s after %v without a fault, last error %v", r.Submission.ID, state, settleTime, err)
			continue
		}
		if state == submission.Completed && r.Submission.LongRunning() {
			c.fail("submission %s, which runs until it is cancelled, is shown as completed", r.Submission.ID)
		}
		shown[state]++
		r.RecordFinalState(c.recorder, state)
	}
	time.Sleep(stopTime)
	return shown
}
