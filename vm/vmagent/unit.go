package vmagent

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// pollWait is how long a list waits for an end.
	pollWait = 900 * time.Millisecond
	// throttlingPollWait is listWait on an executor on which runs are paced.
	throttlingPollWait = 500 * time.Millisecond
	// ackWait is how long the next list waits for the owner to record the ends of the last one.
	ackWait = 150 * time.Millisecond
	// failureBackoff is the pause after a list that was not answered.
	failureBackoff = 100 * time.Millisecond
	// maxRefusedConnections is the number of refused connections on end that prove that an executor has ended.
	maxRefusedConnections = 2
	// orderRetryDelay is the pause before an order is sent again.
	orderRetryDelay = 30 * time.Millisecond
	// maxUnavailableAttempts is how often a start is sent to an executor that does nothing.
	maxUnavailableAttempts = 3
	// maxOrders bounds the orders to one executor that are in progress at once.
	maxOrders = 8
)

// runKey names a run.
type runKey struct {
	task string
	run  uint32
}

// executorSession is one lifetime of an executor.
type executorSession struct {
	agent  *Agent
	inc    submission.Incarnation
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	slots  chan struct{}

	// lastReportedEnd is the number of the last end in the last list; only poll uses it.
	lastReportedEnd int64

	// The fields below are guarded by the agent's mu.
	info     executor.Info
	heartbeats    int
	leaseEnd int64
	lastSeen int64
	// throttling tells that runs are paced here, so that the owner wants lists more often.
	throttling bool
	// pollNow tells that the next list is wanted without a wait.
	pollNow  bool
	starting map[runKey]*pendingStart
	stopping map[runKey]struct{}
	// unconfirmed holds the starts that may have reached the next lifetime under the id.
	unconfirmed map[runKey]startState
	// startCalls counts the starts that are being sent.
	startCalls sync.WaitGroup
}

func newExecutorSession(a *Agent, info executor.Info) *executorSession {
	ctx, cancel := context.WithCancel(a.ctx)
	return &executorSession{agent: a, inc: info.Incarnation, ctx: ctx, cancel: cancel, info: info, wake: make(chan struct{}, 1), slots: make(chan struct{}, maxOrders),
		starting: make(map[runKey]*pendingStart), stopping: make(map[runKey]struct{}), unconfirmed: make(map[runKey]startState)}
}

// requestPoll makes a list be read as soon as possible. The caller holds the agent's mu.
func (u *executorSession) requestPoll() {
	u.pollNow = true
	u.wakeUp()
}

// wakeUp ends a pause.
func (u *executorSession) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// pollLoop reads the executor's list again and again until its lifetime ends.
func (u *executorSession) pollLoop() {
	refused, failing := 0, false
	u.endPredecessorRuns()
	for u.ctx.Err() == nil {
		epoch := u.agent.cfg.Link.Epoch()
		if epoch == 0 {
			u.sleepOrWake(failureBackoff)
			continue
		}
		h, info, starts := u.nextPollRequest(epoch)
		if failing {
			// After silence the next lifetime under the id may answer, which counts its ends anew.
			h.LastSeen = 0
		}
		snap := u.agent.cfg.Client.Poll(u.ctx, info, h)
		u.agent.cfg.Observe("hold", snap.Answer)
		if u.ctx.Err() != nil {
			return
		}
		if (snap.Outcome != executor.OK) != failing {
			failing = !failing
			u.logAvailability(failing, snap.Answer)
		}
		switch snap.Outcome {
		case executor.OK:
			refused = 0
			if snap.StartedAt != 0 && snap.StartedAt != info.StartedAt {
				u.end(causeOtherIncarnation)
				return
			}
			u.confirmStarts(starts)
			u.report(epoch, snap)
			u.awaitAck(snap)
		case executor.OtherIncarnation:
			u.end(causeOtherID)
			return
		case executor.NoListener:
			if refused++; refused >= maxRefusedConnections {
				u.end(causeRefused)
				return
			}
			u.sleepOrWake(failureBackoff / 2)
		default:
			refused = 0
			u.sleepOrWake(failureBackoff)
		}
	}
}

func (u *executorSession) logAvailability(failing bool, a executor.Answer) {
	if failing {
		events.ExecutorSilent.Log(u.agent.cfg.Log).Str("executor", u.inc.ID).Str("outcome", a.Outcome.String()).Str("reason", a.Reason.String()).Send()
		return
	}
	events.ExecutorAnswers.Log(u.agent.cfg.Log).Str("executor", u.inc.ID).Send()
}

// currentInfo returns what the executor said of itself last.
func (u *executorSession) currentInfo() executor.Info {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	return u.info
}

// sleepOrWake waits for d, the next wakeUp or the end of the lifetime.
func (u *executorSession) sleepOrWake(d time.Duration) {
	select {
	case <-u.ctx.Done():
	case <-u.wake:
	case <-time.After(d):
	}
}

func (u *executorSession) end(cause string) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.agent.endSessionLocked(u, cause)
}

// nextPollRequest returns the next request for a list, and the starts that were answered before it.
func (u *executorSession) nextPollRequest(epoch uint64) (executor.PollRequest, executor.Info, []runKey) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	h := executor.PollRequest{Epoch: epoch, Deadline: u.leaseEnd, LastSeen: u.lastSeen, Wait: pollWait}
	if u.throttling {
		h.Wait = throttlingPollWait
	}
	if u.pollNow {
		h.Wait, u.pollNow = 0, false
	}
	return h, u.info, u.answeredStarts()
}

// report sends the list to the owner, with the ends that it has not seen.
func (u *executorSession) report(epoch uint64, snap executor.Snapshot) {
	u.agent.mu.Lock()
	u.info.Clock = max(u.info.Clock, snap.Clock)
	r := &wire.Report{Epoch: epoch, Agent: u.agent.cfg.Name, Info: u.info, Full: true, Running: snap.Running}
	for _, e := range snap.Ended {
		// Every list carries all ends that are not recorded, since an owner takes a
		// run that is neither listed nor ended for lost.
		if e.Number > u.lastSeen {
			r.Ended = append(r.Ended, e)
		}
	}
	u.agent.mu.Unlock()
	u.agent.send(r)
}

// awaitAck waits for the owner to record the ends of a list: until then the
// executor would answer the next list at once. It waits longer when no end is
// new, as while the owner cannot reach the store.
func (u *executorSession) awaitAck(snap executor.Snapshot) {
	n := len(snap.Ended)
	if n == 0 {
		return
	}
	last := snap.Ended[n-1].Number
	wait := ackWait
	if last == u.lastReportedEnd {
		wait = pollWait
	}
	u.lastReportedEnd = last
	deadline := time.Now().Add(wait)
	for u.ctx.Err() == nil && time.Now().Before(deadline) {
		u.agent.mu.Lock()
		next := u.lastSeen >= last || u.pollNow
		u.agent.mu.Unlock()
		if next {
			return
		}
		u.sleepOrWake(time.Until(deadline))
	}
}
