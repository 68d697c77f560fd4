package histories

import (
	"context"
	"flag"
	"fmt"
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
	logLines  = flag.Bool("histories.log", false, "write the log lines of the processes to standard error")
	seedCount = flag.Int("histories.count", 25, "number of random histories")
)

const (
	// settleTime is the time after the last fault in which all work has to end.
	settleTime = 60 * time.Second
	// requestDeadline bounds one call of a client; clients repeat calls without a final answer.
	requestDeadline = 3 * time.Second
	clientRetry     = 300 * time.Millisecond
)

// Guards against faults that break a promise only in combination: random work and
// random faults, as rare orderings are not found by tests that name them.
func TestRandomHistories(t *testing.T) {
	plans := rapid.Custom(drawPlan)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := plans.Example(seed)
			violations := play(t, p)
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

// play runs a plan in virtual time and checks what happened.
func play(t *testing.T, p plan) []history.Violation {
	t.Helper()
	var found []history.Violation
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, p.work.Works)
		done := make(chan struct{}, len(p.work.Requests)+len(p.faults))
		for i := range p.work.Requests {
			go func() {
				c.client(&p.work.Requests[i])
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
		c.awaitEnds(p)
		c.recordFinalStates(t, p)
		events := c.recorder.Events()
		found = history.Check(events, history.Options{Finished: true})
		t.Logf("%d submissions, %d faults, %d events, %v of virtual time", len(p.work.Requests), len(p.faults), len(events), time.Since(c.start))
		c.shutdown()
		cancel()
		synctest.Wait()
	})
	return found
}

// sleepUntil returns at a time of the plan.
func (c *cluster) sleepUntil(at time.Duration) { time.Sleep(at - time.Since(c.start)) }

// client hands a submission in until it is accepted, and cancels it when the plan says so.
func (c *cluster) client(r *workload.Request) {
	c.sleepUntil(r.At)
	route := &c.manifest.Routes[0]
	c.repeat(r.Entry, func(ctx context.Context, p *process) error {
		s := r.Submission
		return p.requests.Submit(ctx, route, &s)
	})
	r.Accepted(c.recorder)
	if r.CancelAfter == 0 {
		return
	}
	time.Sleep(r.CancelAfter)
	c.repeat(r.Entry+1, func(ctx context.Context, p *process) error {
		return p.requests.Cancel(ctx, route, r.Submission.ID)
	})
	r.Cancelled(c.recorder)
}

// repeat calls one entry after the other until one gives a final answer.
func (c *cluster) repeat(entry int, call func(ctx context.Context, p *process) error) {
	for i := entry; ; i++ {
		ctx, cancel := context.WithTimeout(c.ctx, requestDeadline)
		err := call(ctx, c.entry(i%entryCount))
		cancel()
		if err == nil {
			return
		}
		time.Sleep(clientRetry)
	}
}

// awaitEnds waits until every submission has a final state in the store.
func (c *cluster) awaitEnds(p plan) {
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ended := 0
		for i := range p.work.Requests {
			if state, err := c.state(p.work.Requests[i].Submission.ID); err == nil && state.Final() {
				ended++
			}
		}
		if ended == len(p.work.Requests) {
			break
		}
	}
	// What was cancelled may need a stop before it has ended.
	time.Sleep(5 * time.Second)
}

func (c *cluster) state(id string) (submission.State, error) {
	rows, err := c.table.Get(c.ctx, dispatch.ProgressKey(id))
	if err != nil {
		return 0, err
	}
	if len(rows) == 0 {
		return 0, errkind.New(errkind.NotFound, "%s has no record", id)
	}
	return submission.DecodeState(rows[0].Value)
}

// recordFinalStates records the durable state of every submission.
func (c *cluster) recordFinalStates(t *testing.T, p plan) {
	for i := range p.work.Requests {
		r := &p.work.Requests[i]
		state, err := c.state(r.Submission.ID)
		if err != nil || !state.Final() {
			t.Logf("submission %s: state %v, %v", r.Submission.ID, state, err)
			continue
		}
		if state == submission.Completed {
			assert.Assert(t, !r.Submission.LongRunning(), "a submission that lasts was shown as completed")
		}
		r.Found(c.recorder, state)
	}
}

// inject begins a fault at its time and ends it.
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
		c.during(f, func(on bool) { link.SetDisconnected(on) })
	case cutEntry:
		c.during(f, func(on bool) { c.cut(entryName(entry), on) })
	case cutAgent:
		c.during(f, func(on bool) { c.cut(agentName(f.target), on) })
	case crashExecutor, rebirth, drainExecutors:
		c.replaceExecutor(f, e)
	default:
		c.injectAnswers(f, e)
	}
}

// replaceExecutor ends a lifetime of an executor and begins the next.
func (c *cluster) replaceExecutor(f fault, e *standin.Executor) {
	name := executorName(f.target)
	if !c.leave(name) {
		return
	}
	if f.kind == drainExecutors {
		e.Drain()
		time.Sleep(f.lasts)
	}
	e.Crash()
	time.Sleep(processRestart)
	e.Boot(f.kind == rebirth)
	c.back(name)
}

// injectAnswers alters the answers of an executor or of the store.
func (c *cluster) injectAnswers(f fault, e *standin.Executor) {
	orders, rows := standin.ExecutorFaults{}, standin.Faults{}
	delay := time.Duration(f.amount) * time.Second
	switch f.kind {
	case muteExecutor:
		orders.Unresponsive = true
	case busyExecutor:
		orders.Unavailable = true
	case lostOrders:
		orders.LoseResponses = f.amount
	case lateOrders:
		orders.DelayOrders, orders.OrderDelay = f.amount, 2*delay
	case failingRuns:
		orders.FailRuns = true
	case storeDown:
		rows.Down = true
	case storeSlow:
		rows.Latency = 40 * time.Millisecond * time.Duration(f.amount)
	case storeLoses:
		rows.LoseResponses = 3 * f.amount
	case storeDelays:
		rows.DelayCommits, rows.CommitDelay = 3*f.amount, delay
	case storeForgets:
		c.table.Compact()
		return
	}
	if orders != (standin.ExecutorFaults{}) {
		e.SetFaults(orders)
		time.Sleep(f.lasts)
		e.SetFaults(standin.ExecutorFaults{})
		return
	}
	c.table.SetFaults(rows)
	time.Sleep(f.lasts)
	c.table.SetFaults(standin.Faults{})
}

func (c *cluster) during(f fault, set func(on bool)) {
	set(true)
	time.Sleep(f.lasts)
	set(false)
}
