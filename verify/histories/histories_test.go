package histories

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/verify/workload"
)

var (
	firstSeed = flag.Int("histories.first", 1, "first seed of the random histories")
	logLines  = flag.Bool("histories.log", false, "write the logs of the processes to standard error")
	seedCount = flag.Int("histories.count", 25, "number of random histories")
)

const (
	// settleTime is the time allowed for all work to finish after the last fault.
	settleTime = 60 * time.Second
	// requestDeadline is the timeout of one client call; clients retry calls that fail.
	requestDeadline = 3 * time.Second
	clientRetry     = 300 * time.Millisecond
)

// Guards against combinations of faults that violate an invariant: random work and random
// faults reach rare orderings that no hand-written test covers.
func TestRandomHistories(t *testing.T) {
	planGenerator := rapid.Custom(generatePlan)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := planGenerator.Example(seed)
			violations := runPlan(t, p)
			for _, v := range violations {
				t.Errorf("%v %s: %s", v.At, v.Invariant, v.Detail)
			}
			if len(violations) > 0 {
				for _, f := range p.faults {
					t.Log(f)
				}
			}
		})
	}
}

// runPlan runs a plan in virtual time and returns the violations in its history.
func runPlan(t *testing.T, p plan) []history.Violation {
	t.Helper()
	var violations []history.Violation
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, p.work.TaskWork, p.machines)
		done := make(chan struct{}, len(p.work.Requests)+len(p.faults))
		for i := range p.work.Requests {
			go func() {
				c.runClient(&p.work.Requests[i])
				done <- struct{}{}
			}()
		}
		for _, f := range p.faults {
			go func() {
				c.inject(f)
				done <- struct{}{}
			}()
		}
		for range cap(done) {
			<-done
		}
		c.awaitFinalStates(p)
		c.recordFinalStates(t, p)
		events := c.recorder.Events()
		violations = history.Check(events, history.Options{Finished: true})
		t.Logf("%d submissions, %d faults, %d events, %v of virtual time", len(p.work.Requests), len(p.faults), len(events), time.Since(c.start))
		if p.inspect != nil {
			p.inspect(c)
		}
		c.shutdown()
		cancel()
		synctest.Wait()
	})
	return violations
}

// sleepUntil sleeps until the given time since the start of the run.
func (c *cluster) sleepUntil(at time.Duration) { time.Sleep(at - time.Since(c.start)) }

// awaitFinalStates waits until every submission has a final state in the store, for at most settleTime.
func (c *cluster) awaitFinalStates(p plan) {
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if !slices.ContainsFunc(p.work.Requests, c.unfinished) {
			break
		}
	}
	// Cancelled runs may still have to be stopped on the executors.
	time.Sleep(5 * time.Second)
}

// unfinished reports whether a submission that was not denied has no final state in the store.
func (c *cluster) unfinished(r workload.Request) bool {
	id := r.Submission.ID
	if c.wasDenied(id) {
		return false
	}
	state, err := c.state(id)
	return err != nil || !state.Final()
}

func (c *cluster) state(id string) (submission.State, error) {
	rows, err := c.table.Get(c.ctx, dispatch.ProgressKey(id))
	if err != nil {
		return 0, err
	}
	if len(rows) == 0 {
		return 0, errkind.New(errkind.NotFound, "submission %s has no state in the store", id)
	}
	return submission.DecodeState(rows[0].Value)
}

// recordFinalStates adds the stored final state of every submission to the history.
func (c *cluster) recordFinalStates(t *testing.T, p plan) {
	for i := range p.work.Requests {
		r := &p.work.Requests[i]
		state, err := c.state(r.Submission.ID)
		if err != nil || !state.Final() {
			t.Logf("submission %s: state %v, %v", r.Submission.ID, state, err)
			continue
		}
		if state == submission.Completed {
			assert.Assert(t, !r.Submission.LongRunning(), "a long-running submission was recorded as completed")
		}
		r.RecordFinalState(c.recorder, state)
	}
}

// inject starts a fault at its time and returns when the fault has ended.
func (c *cluster) inject(f fault) {
	c.sleepUntil(f.at)
	entry := f.target % entryCount
	e := c.executors[f.target]
	switch f.kind {
	case killEntry:
		c.restartEntry(entry)
	case killAll:
		var all sync.WaitGroup
		for i := range c.entries {
			all.Go(func() { c.restartEntry(i) })
		}
		for i := range c.agents {
			all.Go(func() { c.restartAgent(i) })
		}
		all.Wait()
	case killAgent:
		c.restartAgent(f.target)
	case cutEntryStore:
		link := c.entry(entry).link
		c.applyFor(f, func(on bool) { link.SetDisconnected(on) })
	case cutEntry:
		c.applyFor(f, func(on bool) { c.setPartitioned(entryName(entry), on) })
	case cutAgent:
		c.applyFor(f, func(on bool) { c.setPartitioned(agentName(f.target), on) })
	case evacuateZone:
		c.evacuate(f, zoneName(f.target))
	case evacuateAllZones:
		c.evacuate(f, zoneName(0), zoneName(1))
	case crashExecutor, restartSameID, drainExecutors:
		c.replaceExecutor(f, e)
	default:
		c.injectResponseFaults(f, e)
	}
}

// evacuate evacuates zones for the duration of a fault and the time in which runs may still start there.
func (c *cluster) evacuate(f fault, zones ...string) {
	f.duration += history.EvacuationBound
	c.applyFor(f, func(on bool) {
		for _, z := range zones {
			c.setEvacuated(z, on)
		}
	})
}

// replaceExecutor ends an incarnation of an executor and starts the next one.
func (c *cluster) replaceExecutor(f fault, e *standin.Executor) {
	name := executorName(f.target)
	if !c.markDown(name) {
		return
	}
	if f.kind == drainExecutors {
		e.Drain()
		time.Sleep(f.duration)
	}
	e.Crash()
	time.Sleep(restartDelay)
	e.Boot(f.kind == restartSameID)
	c.markUp(name)
}

// injectResponseFaults makes an executor or the store respond faultily for the duration of a fault.
func (c *cluster) injectResponseFaults(f fault, e *standin.Executor) {
	executorFaults, storeFaults := standin.ExecutorFaults{}, standin.Faults{}
	delay := time.Duration(f.amount) * time.Second
	switch f.kind {
	case unresponsiveExecutor:
		executorFaults.Unresponsive = true
	case rejectingExecutor:
		executorFaults.Unavailable = true
	case lostOrderReplies:
		executorFaults.LoseResponses = f.amount
	case delayedOrders:
		executorFaults.DelayOrders, executorFaults.OrderDelay = f.amount, 2*delay
	case failingRuns:
		executorFaults.FailRuns = true
	case storeDown:
		storeFaults.Down = true
	case storeSlow:
		storeFaults.Latency = 40 * time.Millisecond * time.Duration(f.amount)
	case storeLosesReplies:
		storeFaults.LoseResponses = 3 * f.amount
	case storeDelaysCommits:
		storeFaults.DelayCommits, storeFaults.CommitDelay = 3*f.amount, delay
	case storeRefusesRows:
		writes := 0
		storeFaults.Refuse = func(key string) bool {
			if !strings.HasPrefix(key, dispatch.ProgressTable+"/") {
				return false
			}
			writes++
			return writes%f.amount == 0
		}
	case storeCompacts:
		c.table.Compact()
		return
	}
	if executorFaults != (standin.ExecutorFaults{}) {
		e.SetFaults(executorFaults)
		time.Sleep(f.duration)
		e.SetFaults(standin.ExecutorFaults{})
		return
	}
	c.table.SetFaults(storeFaults)
	time.Sleep(f.duration)
	c.table.SetFaults(standin.Faults{})
}

func (c *cluster) applyFor(f fault, set func(on bool)) {
	set(true)
	time.Sleep(f.duration)
	set(false)
}
