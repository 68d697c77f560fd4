package vmagent

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// An order names the executor by its id, so one that was sent to an incarnation that has
// ended may be executed by the next one under the same id. The agent therefore tracks the
// starts after which no snapshot has confirmed the incarnation. The session of the next
// incarnation under the id stops these runs before the end of the previous one is reported
// to the owner, since the owner then starts the tasks elsewhere.

// startState is the state of a start that no later snapshot has confirmed.
type startState uint8

const (
	// startInProgress: a call is in progress.
	startInProgress startState = iota
	// startMaybeExecuted: an executor has or may have executed the start.
	startMaybeExecuted
	// startNotExecuted: no executor has executed the start.
	startNotExecuted
	// startUncertain: an attempt got no reply and may be executed later, also by the next incarnation.
	startUncertain
)

// unconfirmedStart is a start that no later snapshot has confirmed.
type unconfirmedStart struct {
	state startState
	// until is when an uncertain start can no longer be executed.
	until time.Duration
	// confirmed is closed once a snapshot has confirmed the start.
	confirmed chan struct{}
}

// beginStart records that a start is about to be sent. It returns false when the incarnation has
// ended.
func (u *executorSession) beginStart(ctx context.Context, k runKey) bool {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	u.unconfirmed[k] = unconfirmedStart{state: startInProgress, confirmed: make(chan struct{})}
	u.startCalls.Add(1)
	return true
}

// recordStartAnswer records the last answer to a start, and whether an earlier attempt got no
// reply. No call is in progress any more.
func (u *executorSession) recordStartAnswer(k runKey, a executor.Answer, uncertain bool) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	defer u.startCalls.Done()
	s, ok := u.unconfirmed[k]
	if !ok {
		// The executor has left meanwhile.
		return
	}
	switch {
	case uncertain || a.Outcome == executor.Unknown:
		s.state, s.until = startUncertain, u.agent.cfg.Clock.Now()+executor.MaxExecutionDelay
	case a.Outcome == executor.OK:
		s.state = startMaybeExecuted
	default:
		s.state = startNotExecuted
	}
	u.unconfirmed[k] = s
	if s.state == startMaybeExecuted && u.isFromThisIncarnation(a) {
		u.confirmStart(k)
	}
}

// isFromThisIncarnation reports whether an answer is certainly that of this incarnation: its clock goes on from the last reading. That of the
// next incarnation begins anew, with 0 or another reading, after the last poll that this one has answered was sent. The caller holds
// the agent's mu.
func (u *executorSession) isFromThisIncarnation(a executor.Answer) bool {
	elapsed := (u.agent.cfg.Clock.Now() - u.answeredPollSentAt).Milliseconds()
	if u.answeredPollSentAt == 0 || a.Clock <= elapsed {
		return false
	}
	return a.Clock >= u.info.Clock && a.Clock <= u.info.Clock+elapsed
}

// confirmStart records that no incarnation but this one has executed a start or will. The caller holds the agent's mu.
func (u *executorSession) confirmStart(k runKey) {
	if s, ok := u.unconfirmed[k]; ok {
		close(s.confirmed)
		delete(u.unconfirmed, k)
	}
}

// awaitConfirmation waits until a start is confirmed. It returns false when the incarnation ends first, or the start is withdrawn.
func (u *executorSession) awaitConfirmation(ctx context.Context, k runKey) bool {
	u.agent.mu.Lock()
	s, ok := u.unconfirmed[k]
	if ok {
		u.requestPoll()
	}
	u.agent.mu.Unlock()
	if !ok {
		return true
	}
	select {
	case <-s.confirmed:
		return true
	case <-ctx.Done():
		return false
	}
}

// answeredStarts returns the starts that a snapshot requested now will confirm. The caller holds
// the agent's mu.
func (u *executorSession) answeredStarts() []runKey {
	var keys []runKey
	now := u.agent.cfg.Clock.Now()
	for k, s := range u.unconfirmed {
		if s.state != startInProgress && now >= s.until {
			keys = append(keys, k)
		}
	}
	return keys
}

// recordAnsweredPoll records that this incarnation has answered a poll with the given reading of its clock. The poll was sent at sentAt, after
// the given starts were answered.
func (u *executorSession) recordAnsweredPoll(h executor.PollRequest, clock int64, sentAt time.Duration, starts []runKey) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.observeClock(clock)
	u.answeredPollSentAt, u.acknowledgedEnd = max(u.answeredPollSentAt, sentAt), max(u.acknowledgedEnd, h.LastSeen)
	for _, k := range starts {
		u.confirmStart(k)
	}
}

// endSessionLocked handles the end of an executor incarnation. The caller holds mu.
func (a *Agent) endSessionLocked(u *executorSession, cause string) {
	inc := u.info.Incarnation
	if a.executors[inc] != u {
		return
	}
	delete(a.executors, inc)
	// The next incarnation may have an earlier start time if the clock was set back.
	delete(a.newest, u.info.Address)
	u.cancel()
	events.ExecutorEnded.Log(a.cfg.Log).Str("executor", inc.ID).Int64("born", inc.StartedAt).Str("cause", cause).
		Int("unproven", len(u.unconfirmed)).Bool("earlier_calls", u.earlierCallsLeft()).Send()
	a.dropOldestEnded()
	if cause == causeDeregistered {
		// An executor that has left does not start again under its ID, so that no call can be executed.
		u.earlierCallsUntil = 0
		clear(u.unconfirmed)
	}
	if len(u.unconfirmed) == 0 && !u.earlierCallsLeft() {
		a.reportEnd(u)
		return
	}
	a.ended[inc] = false
	a.predecessors[inc.ID] = append(a.predecessors[inc.ID], u)
	if cause != causeReplaced && cause != causeOtherIncarnation {
		go a.reportEndAfterCalls(u)
	}
}

// maxEnded bounds the ended incarnations that an agent keeps. Late heartbeats, and owners that do
// not know of an end yet, concern the newest ones.
const maxEnded = 200

// dropOldestEnded makes space for one more ended incarnation. The caller holds mu.
func (a *Agent) dropOldestEnded() {
	if len(a.ended) < maxEnded {
		return
	}
	var oldest submission.Incarnation
	for inc := range a.ended {
		if oldest.ID == "" || inc.StartedAt < oldest.StartedAt {
			oldest = inc
		}
	}
	delete(a.ended, oldest)
	if !a.knows(oldest.ID) {
		delete(a.tokenNumbers, oldest.ID)
	}
	left := slices.DeleteFunc(a.predecessors[oldest.ID], func(u *executorSession) bool { return u.inc == oldest })
	if a.predecessors[oldest.ID] = left; len(left) == 0 {
		delete(a.predecessors, oldest.ID)
	}
}

// knows reports whether an incarnation under the ID runs or is kept as ended. The caller holds mu.
func (a *Agent) knows(id string) bool {
	for inc := range a.executors {
		if inc.ID == id {
			return true
		}
	}
	for inc := range a.ended {
		if inc.ID == id {
			return true
		}
	}
	return false
}

// reportEndAfterCalls reports the end of an incarnation to the owner once its calls have returned and none of them can be
// executed any more. If one may have been executed by a later incarnation under the ID, that has to report the end, unless nothing
// listens at the address any more; until then the owner waits.
func (a *Agent) reportEndAfterCalls(u *executorSession) {
	a.mu.Lock()
	inProgress := make(map[runKey]struct{})
	for k, s := range u.unconfirmed {
		if s.state == startInProgress {
			inProgress[k] = struct{}{}
		}
	}
	a.mu.Unlock()
	u.startCalls.Wait()
	a.mu.Lock()
	last, maybeExecuted := u.earlierCallsUntil, u.earlierCallsLeft()
	for k, s := range u.unconfirmed {
		_, ok := inProgress[k]
		last = max(last, s.until)
		maybeExecuted = maybeExecuted || s.state == startUncertain || ok && s.state == startMaybeExecuted
	}
	wait := last - a.cfg.Clock.Now()
	a.mu.Unlock()
	select {
	case <-a.ctx.Done():
		return
	case <-time.After(wait):
	}
	if maybeExecuted && !a.hasNoListener(u) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportEnd(u)
}

// hasNoListener reports whether nothing listens at the address of an incarnation that has ended, so that no run goes on there.
func (a *Agent) hasNoListener(u *executorSession) bool {
	epoch := a.cfg.Link.Epoch()
	if epoch == 0 {
		return false
	}
	return a.cfg.Client.Poll(a.ctx, u.currentInfo(), executor.PollRequest{Token: u.token(epoch)}).Outcome == executor.NoListener
}

// reportEnd reports the end of an incarnation to the owner, once, unless calls of an earlier process of this agent may be left. The
// owner then learns of the end from the next incarnation. The caller holds mu.
func (a *Agent) reportEnd(u *executorSession) {
	if u.earlierCallsLeft() {
		a.ended[u.inc] = false
		return
	}
	if a.ended[u.inc] {
		return
	}
	a.ended[u.inc] = true
	a.send(&wire.Report{Epoch: a.cfg.Link.Epoch(), Agent: a.cfg.Name, Info: u.info, ExecutorEnded: true})
}

// endPredecessorRuns stops runs that were ordered from earlier incarnations under the id, and
// reports the ends of those incarnations. A snapshot is reported first: it holds the ends of runs
// that this incarnation has executed.
func (u *executorSession) endPredecessorRuns() {
	u.agent.mu.Lock()
	// They stay in the list until their ends are reported: if this incarnation ends first, the next one
	// has to stop the runs.
	earlier := slices.Clone(u.agent.predecessors[u.inc.ID])
	u.agent.mu.Unlock()
	var runs []runKey
	for _, before := range earlier {
		before.startCalls.Wait()
		u.agent.mu.Lock()
		for k := range before.unconfirmed {
			runs = append(runs, k)
		}
		u.agent.mu.Unlock()
	}
	if len(earlier) == 0 || !u.endRuns(runs) {
		return
	}
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	for _, before := range earlier {
		u.agent.reportEnd(before)
	}
	u.agent.dropPredecessors(u.inc.ID, earlier)
}

// dropPredecessors removes incarnations whose ends are reported. The caller holds mu.
func (a *Agent) dropPredecessors(id string, reported []*executorSession) {
	left := slices.DeleteFunc(a.predecessors[id], func(u *executorSession) bool { return slices.Contains(reported, u) })
	if a.predecessors[id] = left; len(left) == 0 {
		delete(a.predecessors, id)
	}
}

// endRuns stops runs and reports a snapshot without them. It returns false when the incarnation
// ends first.
func (u *executorSession) endRuns(runs []runKey) bool {
	silent := false
	for u.ctx.Err() == nil {
		if epoch := u.agent.cfg.Link.Epoch(); epoch != 0 && u.stopAll(runs, epoch) {
			snap, ok := u.snapshot(epoch, silent)
			if ok && u.reportWithout(runs, snap, epoch) {
				return true
			}
			silent = !ok
		}
		u.sleepOrWake(failureBackoff)
	}
	return false
}

func (u *executorSession) stopAll(runs []runKey, epoch uint64) bool {
	for _, k := range runs {
		if !u.stopUntilCertain(u.ctx, k, epoch) {
			return false
		}
	}
	return true
}

// snapshot takes a snapshot of this incarnation. afterSilence is set if the next incarnation under the id
// may answer: its end numbers and its clock restart, so it must get neither an acknowledgement nor a lease.
func (u *executorSession) snapshot(epoch uint64, afterSilence bool) (executor.Snapshot, bool) {
	h, info, _ := u.nextPollRequest(epoch)
	h.Wait = 0
	if afterSilence {
		h.Deadline, h.LastSeen = 0, 0
	}
	snap := u.agent.cfg.Client.Poll(u.ctx, info, h)
	u.agent.cfg.Observe("hold", snap.Answer)
	return snap, snap.Outcome == executor.OK && (snap.StartedAt == 0 || snap.StartedAt == u.inc.StartedAt)
}

// reportWithout reports a snapshot to the owner unless it contains one of the runs. It returns true
// if the snapshot lists all ends, which include those of the runs.
func (u *executorSession) reportWithout(runs []runKey, snap executor.Snapshot, epoch uint64) bool {
	if slices.ContainsFunc(snap.Running, func(r executor.Run) bool { return slices.Contains(runs, runKey{r.Task, r.Number}) }) {
		return false
	}
	u.report(epoch, snap)
	return !snap.MoreEnds
}

// reportAll reports all ended incarnations and requests new snapshots, for a new owner. It confirms the starts of runs that an
// incarnation has listed: an owner that does not know how they were answered keeps them for longer when the executor is silent.
func (a *Agent) reportAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for inc, reported := range a.ended {
		if reported {
			a.reportGone(inc)
		}
	}
	for _, u := range a.executors {
		u.reportConfirmedStarts()
		u.requestPoll()
	}
}

// reportConfirmedStarts sends the owner the results of the starts of which no call is left. The caller holds mu.
func (u *executorSession) reportConfirmedStarts() {
	if u.earlierCallsLeft() {
		return
	}
	m := &wire.OrderResults{Epoch: u.agent.cfg.Link.Epoch(), Executor: u.inc.ID, StartedAt: u.inc.StartedAt}
	for _, k := range u.listed {
		_, unconfirmed := u.unconfirmed[k]
		if _, starting := u.starting[k]; !starting && !unconfirmed {
			m.Results = append(m.Results, wire.OrderResult{Task: k.task, Run: k.run})
		}
	}
	if len(m.Results) > 0 {
		u.agent.send(m)
	}
}

func (a *Agent) reportGone(inc submission.Incarnation) {
	a.send(&wire.Report{Epoch: a.cfg.Link.Epoch(), Agent: a.cfg.Name, Info: executor.Info{Incarnation: inc}, ExecutorEnded: true})
}
