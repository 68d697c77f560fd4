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
	// pollWait is how long a poll waits for an end.
	pollWait = 900 * time.Millisecond
	// throttlingPollWait replaces pollWait on an executor on which runs are throttled.
	throttlingPollWait = 500 * time.Millisecond
	// ackWait is how long the next poll waits for the owner to record the ends in the last
	// snapshot.
	ackWait = 150 * time.Millisecond
	// failureBackoff is the pause after a failed poll.
	failureBackoff = 100 * time.Millisecond
	// maxRefusedConnections is the number of consecutive refused connections after which an
	// executor counts as ended.
	maxRefusedConnections = 2
	// orderRetryDelay is the pause before an order is retried. That of a stop grows to maxOrderRetryDelay.
	orderRetryDelay    = 30 * time.Millisecond
	maxOrderRetryDelay = 240 * time.Millisecond
	// maxUnavailableAttempts is how often an order is sent to an executor that is unavailable.
	maxUnavailableAttempts = 3
	// maxOrders bounds the starts in progress at one executor.
	maxOrders = 8
)

// runKey identifies a run.
type runKey struct {
	task string
	run  uint32
}

func (k runKey) names(r executor.Run) bool { return r.Task == k.task && r.Number == k.run }

// executorSession is the agent's state for one executor incarnation.
type executorSession struct {
	agent  *Agent
	inc    submission.Incarnation
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	slots  chan struct{}

	// lastReportedEnd is the number of the last end in the last snapshot; only pollLoop uses it.
	lastReportedEnd int64

	// The fields below are guarded by the agent's mu.
	info executor.Info
	// tokenNumber is that of the incarnation in fencing tokens, tokenRaises how often it was raised.
	tokenNumber uint64
	tokenRaises int
	// clockAt is when info.Clock was received, on the agent's clock.
	clockAt    time.Duration
	heartbeats int
	leaseEnd   int64
	lastSeen   int64
	// throttling is set once runs are throttled here; the owner then needs snapshots more often.
	throttling bool
	// pollNow is set when the next poll must return without waiting.
	pollNow  bool
	starting map[runKey]*pendingStart
	stopping map[runKey]struct{}
	// throttles holds the speed limits that are being sent.
	throttles map[runKey]*pendingThrottle
	// unconfirmed holds the starts that may have reached the next incarnation under the id.
	unconfirmed map[runKey]unconfirmedStart
	// startCalls counts the starts that are being sent.
	startCalls sync.WaitGroup
	// listed are the runs in the last snapshot, those that have ended too.
	listed []runKey
	// acknowledgedEnd is the number of the last end that an answered poll has acknowledged.
	acknowledgedEnd int64
	// acknowledging is set while a poll with an acknowledgement is in progress, unanswered once the last poll got no answer.
	acknowledging, unanswered bool
	// answeredPollSentAt is when the last poll was sent that this incarnation has answered, 0 before.
	answeredPollSentAt time.Duration
	// earlierCallsUntil is the time until which calls that an earlier process of this agent made for the incarnation may be executed, 0
	// if there are none.
	earlierCallsUntil time.Duration
}

func newExecutorSession(a *Agent, info executor.Info) *executorSession {
	ctx, cancel := context.WithCancel(a.ctx)
	return &executorSession{
		agent:             a,
		inc:               info.Incarnation,
		tokenNumber:       a.nextTokenNumber(info.Incarnation),
		ctx:               ctx,
		cancel:            cancel,
		info:              info,
		earlierCallsUntil: a.earlierCallsUntil(info),
		wake:              make(chan struct{}, 1),
		slots:             make(chan struct{}, maxOrders),
		starting:          make(map[runKey]*pendingStart),
		stopping:          make(map[runKey]struct{}),
		throttles:         make(map[runKey]*pendingThrottle),
		unconfirmed:       make(map[runKey]unconfirmedStart),
	}
}

// earlierCallsUntil returns the time until which calls of an earlier process of this agent may be executed by an incarnation, 0 for
// one whose first heartbeat has reached this process.
func (a *Agent) earlierCallsUntil(info executor.Info) time.Duration {
	if info.Sequence <= 1 {
		return 0
	}
	return a.startedAt + executor.MaxExecutionDelay
}

// earlierCallsLeft reports whether calls of an earlier process of this agent may still be executed.
func (u *executorSession) earlierCallsLeft() bool {
	return u.agent.cfg.Clock.Now() < u.earlierCallsUntil
}

// nextTokenNumber returns the number of a new incarnation, which is higher than those before under its ID although the clock may have been set
// back. The caller holds mu.
func (a *Agent) nextTokenNumber(inc submission.Incarnation) uint64 {
	number := executor.IncarnationNumber(inc.StartedAt)
	if last, ok := a.tokenNumbers[inc.ID]; ok {
		number = max(number, last+1)
	}
	a.tokenNumbers[inc.ID] = number
	return number
}

const (
	// tokenNumberStep is by how much the number of an incarnation that rejects its token is raised, about nine minutes of its start time.
	tokenNumberStep = 1 << 16
	// maxTokenRaises bounds the steps, since a newer owner may be the cause of the rejection.
	maxTokenRaises = 100
)

// raiseTokenNumber raises the number of an incarnation that has seen a higher token: a call for an earlier one whose start time is later, since
// the clock was set back while this process did not run.
func (u *executorSession) raiseTokenNumber() {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	if u.tokenRaises < maxTokenRaises {
		u.tokenRaises++
		u.tokenNumber += tokenNumberStep
		u.agent.tokenNumbers[u.inc.ID] = max(u.agent.tokenNumbers[u.inc.ID], u.tokenNumber)
	}
}

// token returns the fencing token of the calls for this incarnation under an owner's epoch.
func (u *executorSession) token(epoch uint64) uint64 {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	return u.tokenLocked(epoch)
}

func (u *executorSession) tokenLocked(epoch uint64) uint64 {
	return executor.FencingToken(epoch, u.tokenNumber)
}

// requestPoll makes the next poll start and return as soon as possible. The caller holds the
// agent's mu.
func (u *executorSession) requestPoll() {
	u.pollNow = true
	u.wakeUp()
}

// wakeUp ends a pause of sleepOrWake.
func (u *executorSession) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// pollLoop polls the executor until its incarnation ends.
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
			// The next incarnation under the id may answer after a failure. Its end numbers restart at 1,
			// and its clock begins anew.
			h.Deadline, h.LastSeen, h.Wait = 0, 0, 0
		}
		sent := u.agent.cfg.Clock.Now()
		u.beginPoll(h)
		snap := u.agent.cfg.Client.Poll(u.ctx, info, h)
		u.endPoll(snap.Answer)
		u.agent.cfg.Observe("hold", snap.Answer)
		if u.ctx.Err() != nil {
			return
		}
		if (snap.Outcome != executor.OK) != failing {
			failing = !failing
			u.logAvailability(failing, h, snap.Answer)
		}
		switch snap.Outcome {
		case executor.OK:
			refused = 0
			if snap.StartedAt != 0 && snap.StartedAt != info.StartedAt {
				u.end(causeOtherIncarnation)
				return
			}
			u.recordAnsweredPoll(h, snap.Clock, sent, starts)
			if h.LastSeen == 0 || len(snap.Ended) > 0 {
				u.report(epoch, snap)
			}
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
			if snap.Reason == executor.ReasonStaleEpoch {
				u.raiseTokenNumber()
			}
			u.sleepOrWake(failureBackoff)
		}
	}
}

// logAvailability logs that an executor has stopped or begun to answer polls. h is the last one.
func (u *executorSession) logAvailability(failing bool, h executor.PollRequest, a executor.Answer) {
	if failing {
		events.ExecutorSilent.Log(u.agent.cfg.Log).Str("executor", u.inc.ID).Int64("born", u.inc.StartedAt).Str("outcome", a.Outcome.String()).
			Str("reason", a.Reason.String()).Int64("lease_end", h.Deadline).Int64("last_seen", h.LastSeen).Send()
		return
	}
	events.ExecutorAnswers.Log(u.agent.cfg.Log).Str("executor", u.inc.ID).Int64("born", u.inc.StartedAt).Send()
}

// observeClock records a reading of the executor's clock. The caller holds the agent's mu.
func (u *executorSession) observeClock(clock int64) {
	if clock > u.info.Clock || u.clockAt == 0 {
		u.info.Clock, u.clockAt = max(clock, u.info.Clock), u.agent.cfg.Clock.Now()
	}
}

// passed reports whether a time on the executor's clock has certainly passed. The caller holds the
// agent's mu.
func (u *executorSession) passed(deadline int64) bool {
	elapsed := float64(u.agent.cfg.Clock.Now()-u.clockAt) * executor.MinClockRate
	return u.info.Clock+time.Duration(elapsed).Milliseconds() >= deadline
}

// currentInfo returns what the executor reported last.
func (u *executorSession) currentInfo() executor.Info {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	return u.info
}

// sleepOrWake waits for d, the next wakeUp or the end of the incarnation.
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

// nextPollRequest returns the next poll request, and the starts that were answered before it.
func (u *executorSession) nextPollRequest(epoch uint64) (executor.PollRequest, executor.Info, []runKey) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	h := executor.PollRequest{Token: u.tokenLocked(epoch), Deadline: u.leaseEnd, Wait: pollWait}
	if u.passed(u.leaseEnd) {
		// It extends no lease of this incarnation, but the clock of the next one has not reached it.
		h.Deadline = 0
	}
	if u.throttling {
		h.Wait = throttlingPollWait
	}
	if u.pollNow {
		h.Wait, u.pollNow = 0, false
	}
	if u.lastSeen > u.acknowledgedEnd {
		// An acknowledgement that the next incarnation executes is about other ends, so that it goes with a short call.
		h.Wait, h.LastSeen = 0, u.lastSeen
	}
	return h, u.info, u.answeredStarts()
}

func (u *executorSession) beginPoll(h executor.PollRequest) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.acknowledging = h.LastSeen > 0
}

func (u *executorSession) endPoll(a executor.Answer) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.acknowledging, u.unanswered = false, a.Outcome != executor.OK
}

// mustProbeBeforeStart reports whether a probe has to show the incarnation before a start is sent: the executor may have restarted since the
// last poll, which got no answer; or an acknowledgement is on its way, which must not meet the end of the run in the next incarnation.
func (u *executorSession) mustProbeBeforeStart() bool {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	return u.acknowledging || u.unanswered
}

// report sends a snapshot to the owner, with the ends that the owner has not acknowledged.
func (u *executorSession) report(epoch uint64, snap executor.Snapshot) {
	u.agent.mu.Lock()
	u.observeClock(snap.Clock)
	u.listed = u.listed[:0]
	for _, run := range snap.Running {
		u.listed = append(u.listed, runKey{run.Task, run.Number})
	}
	for _, e := range snap.Ended {
		u.listed = append(u.listed, runKey{e.Task, e.Run})
	}
	r := &wire.Report{Epoch: epoch, Agent: u.agent.cfg.Name, Info: u.info, FullSnapshot: !snap.MoreEnds, Running: snap.Running}
	if snap.Clock != 0 {
		// A heartbeat may have brought a later reading since.
		r.Info.Clock = snap.Clock
	}
	for _, e := range snap.Ended {
		// Every report carries all unacknowledged ends, since an owner treats a run
		// that is neither running nor ended as lost.
		if e.Number > u.lastSeen {
			r.Ended = append(r.Ended, e)
		}
	}
	u.agent.mu.Unlock()
	u.agent.send(r)
}

// awaitAck waits for the owner to record the ends in a snapshot: until then the executor would
// answer the next poll immediately. It waits longer when no end is new, for example while the
// owner cannot reach the store.
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
