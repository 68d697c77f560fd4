// Package soak runs the real programs as separate processes on the loopback network,
// generates random work and injects random faults from outside the processes, and checks
// what requesters and executors observe against the invariants of package history.
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
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/verify/workload"
	"github.com/chicorystand/chicorystand/vm/executor"
)

const (
	// settleTimeout bounds the time after the last fault until all submissions are in a final state.
	settleTimeout = 45 * time.Second
	// runStopTimeout bounds the time after the last final state until cancelled runs have ended.
	runStopTimeout = 5 * time.Second
	// clientRetryDelay is the delay before a client retries with the next entry.
	clientRetryDelay = 300 * time.Millisecond
	pollInterval     = 400 * time.Millisecond
	// longTaskInterval is the mean time between submissions of long tasks. They leave most of the executors' capacity to others.
	longTaskInterval = 10 * time.Second
)

// Config configures one run.
type Config struct {
	// Binaries is the directory of the programs; settings and logs are written to Dir.
	Binaries, Dir string
	Seed          uint64
	// FaultWindow is the period in which faults start and submissions arrive.
	FaultWindow time.Duration
	// Entries and Executors are the numbers of processes.
	Entries, Executors int
	// MaxSubmissions is the maximum number of submissions; at least half as many are made.
	MaxSubmissions int
	// intercept returns the client that gets the calls to an executor in place of the stand-in; nil means none.
	intercept func(c *cluster, agent *node, e *standin.Executor) executor.Client
}

// Report is the result of a run.
type Report struct {
	Submissions, Events, Runs int
	// FinalStates counts the submissions by the final state that their clients observed.
	FinalStates map[submission.State]int
	// Faults describes the injected faults.
	Faults []string
	// Failures is empty if the run passed.
	Failures []string
}

// Run makes the run of one seed. An error means that the cluster could not be started; failures
// of the run are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := rand.New(rand.NewPCG(cfg.Seed, 0))
	load := workload.Config{MinSubmissions: cfg.MaxSubmissions / 2, MaxSubmissions: cfg.MaxSubmissions, ArrivalWindow: cfg.FaultWindow, Executors: cfg.Executors}
	plan := workload.Generate(r, load)
	faults := generateFaults(r, cfg.FaultWindow)
	plan.AddLongTasks(r, load, int(cfg.FaultWindow/longTaskInterval))
	c, err := newCluster(ctx, cfg, plan.TaskWork, r)
	if err != nil {
		return nil, err
	}
	c.runClientsAndFaults(ctx, plan, faults)
	finalStates := c.awaitFinalStates(ctx, plan)
	c.stop()
	report := &Report{Submissions: len(plan.Requests), FinalStates: finalStates, Failures: c.failures}
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

// runClientsAndFaults runs all clients and injects all faults, and returns when they have finished.
func (c *cluster) runClientsAndFaults(ctx context.Context, plan workload.Plan, faults []fault) {
	var wg sync.WaitGroup
	for i := range plan.Requests {
		wg.Go(func() { c.runClient(ctx, &plan.Requests[i]) })
	}
	for i := range faults {
		wg.Go(func() {
			time.Sleep(faults[i].at - time.Since(c.start))
			faults[i].kind.inject(c, &faults[i])
		})
	}
	wg.Wait()
}

func (c *cluster) newRequester() *stub.Requester {
	return &stub.Requester{HTTP: &http.Client{Transport: &http.Transport{}}, Route: c.route, Deadline: requestDeadline}
}

// runClient retries a submission until it is accepted, and cancels it if the plan says so.
// It keeps its connections open.
func (c *cluster) runClient(ctx context.Context, r *workload.Request) {
	requester := c.newRequester()
	time.Sleep(r.At - time.Since(c.start))
	c.retryAcrossEntries(ctx, r.Entry, func(address string) error { return requester.Submit(ctx, address, &r.Submission) })
	r.RecordAccepted(c.recorder)
	if r.CancelAfter == 0 {
		return
	}
	time.Sleep(r.CancelAfter)
	c.retryAcrossEntries(ctx, r.Entry+1, func(address string) error { return requester.Cancel(ctx, address, r.Submission.ID) })
	r.RecordCancelled(c.recorder)
}

// retryAcrossEntries calls one entry after the other until a call succeeds.
func (c *cluster) retryAcrossEntries(ctx context.Context, entry int, call func(address string) error) {
	for i := entry; ctx.Err() == nil; i++ {
		if call(c.entries[i%len(c.entries)].requests.listener.Addr().String()) == nil {
			return
		}
		time.Sleep(clientRetryDelay)
	}
}

// awaitFinalStates polls the state of each submission until it is final, and returns the
// number of submissions in each state.
func (c *cluster) awaitFinalStates(ctx context.Context, plan workload.Plan) map[submission.State]int {
	finalStates := make(map[submission.State]int)
	requester := c.newRequester()
	deadline := time.Now().Add(settleTimeout)
	for i := range plan.Requests {
		r := &plan.Requests[i]
		state, err := submission.Queued, error(nil)
		for n := i; time.Now().Before(deadline) && ctx.Err() == nil && !state.Final(); n++ {
			address := c.entries[n%len(c.entries)].requests.listener.Addr().String()
			if state, err = requester.State(ctx, address, r.Submission.ID); err != nil || !state.Final() {
				time.Sleep(pollInterval)
			}
		}
		if !state.Final() {
			c.fail("submission %s is %s after %v without a fault, last error %v", r.Submission.ID, state, settleTimeout, err)
			continue
		}
		if state == submission.Completed && r.Submission.LongRunning() {
			c.fail("long-running submission %s is reported as completed without having been cancelled", r.Submission.ID)
		}
		finalStates[state]++
		r.RecordFinalState(c.recorder, state)
	}
	time.Sleep(runStopTimeout)
	return finalStates
}
