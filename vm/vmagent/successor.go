package vmagent

import (
	"context"
	"slices"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// An order names the executor by its id, so one that was meant for a lifetime that
// has ended may be carried out by the next under the same id. The agent therefore
// remembers the starts of which no later list has proved that the lifetime was
// still there. The next lifetime under the id ends them before the owner is told of
// the end of the one before, since the owner then starts the tasks elsewhere.

// startState is what is known of a start that no later list has proved.
type startState uint8

const (
	// startInProgress: a call is in progress.
	startInProgress startState = iota
	// startTaken: an executor has carried the start out, or may have.
	startMaybeExecuted
	// startRefused: no executor has carried the start out.
	startNotExecuted
)

// beginStart notes that a start is being sent. It reports false when the lifetime has ended.
func (u *executorSession) beginStart(ctx context.Context, k runKey) bool {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	u.unconfirmed[k] = startInProgress
	u.startCalls.Add(1)
	return true
}

// recordStartAnswer notes the last answer to a start, and whether an earlier attempt had
// none; no call is in progress any more.
func (u *executorSession) recordStartAnswer(k runKey, a executor.Answer, uncertain bool) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.unconfirmed[k] = startNotExecuted
	if uncertain || a.Outcome == executor.OK || a.Outcome == executor.Unknown {
		u.unconfirmed[k] = startMaybeExecuted
	}
	u.startCalls.Done()
}

// answeredStarts returns the starts that a list which is requested now will prove.
// The caller holds the agent's mu.
func (u *executorSession) answeredStarts() []runKey {
	var keys []runKey
	for k, state := range u.unconfirmed {
		if state != startInProgress {
			keys = append(keys, k)
		}
	}
	return keys
}

// confirmStarts notes that a list of this lifetime was requested after the answers to the starts.
func (u *executorSession) confirmStarts(keys []runKey) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	for _, k := range keys {
		delete(u.unconfirmed, k)
	}
}

// endSessionLocked takes note that a lifetime of an executor has ended. The caller holds mu.
func (a *Agent) endSessionLocked(u *executorSession, cause string) {
	inc := u.info.Incarnation
	if a.executors[inc] != u {
		return
	}
	delete(a.executors, inc)
	// The next lifetime may bear an earlier time when the clock was set back.
	delete(a.newest, u.info.Address)
	u.cancel()
	events.ExecutorEnded.Log(a.cfg.Log).Str("executor", inc.ID).Int64("born", inc.StartedAt).Str("cause", cause).
		Int("unproven", len(u.unconfirmed)).Send()
	a.dropOldestEnded()
	if len(u.unconfirmed) == 0 {
		a.reportEnd(u)
		return
	}
	a.ended[inc] = false
	a.predecessors[inc.ID] = append(a.predecessors[inc.ID], u)
	if cause != causeReplaced && cause != causeOtherIncarnation {
		go a.reportEndAfterCalls(u)
	}
}

// maxEnded bounds the ended lifetimes that an agent remembers. Late heartbeats and
// owners that have not heard of an end concern the newest ones.
const maxEnded = 200

// dropOldestEnded makes room for one more ended lifetime. The caller holds mu.
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
	delete(a.predecessors, oldest.ID)
}

// reportEndAfterCalls tells the owner of the end of a lifetime once its calls have
// returned. When one of them was carried out meanwhile, a later lifetime under the
// id has to report the end; without one, the lease ends the wait.
func (a *Agent) reportEndAfterCalls(u *executorSession) {
	a.mu.Lock()
	inProgress := make(map[runKey]struct{})
	for k, state := range u.unconfirmed {
		if state == startInProgress {
			inProgress[k] = struct{}{}
		}
	}
	a.mu.Unlock()
	u.startCalls.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for k := range inProgress {
		if u.unconfirmed[k] == startMaybeExecuted {
			return
		}
	}
	a.reportEnd(u)
}

// reportEnd tells the owner of the end of a lifetime, once. The caller holds mu.
func (a *Agent) reportEnd(u *executorSession) {
	if a.ended[u.inc] {
		return
	}
	a.ended[u.inc] = true
	a.send(&wire.Report{Epoch: a.cfg.Link.Epoch(), Agent: a.cfg.Name, Info: u.info, Gone: true})
}

// endPredecessorRuns ends in this lifetime what was meant for the earlier ones under its id,
// and reports their ends. Its list goes first: it holds the ends of runs that this
// lifetime has taken.
func (u *executorSession) endPredecessorRuns() {
	u.agent.mu.Lock()
	earlier := u.agent.predecessors[u.inc.ID]
	delete(u.agent.predecessors, u.inc.ID)
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
}

// endRuns stops runs and reports a list that holds none of them. It reports false
// when the lifetime has ended before.
func (u *executorSession) endRuns(runs []runKey) bool {
	for u.ctx.Err() == nil {
		if epoch := u.agent.cfg.Link.Epoch(); epoch != 0 && u.stopAll(runs, epoch) && u.reportWithout(runs, epoch) {
			return true
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

// reportWithout reads a list and reports it to the owner unless it holds one of the runs.
func (u *executorSession) reportWithout(runs []runKey, epoch uint64) bool {
	h, info, _ := u.nextPollRequest(epoch)
	h.Wait = 0
	snap := u.agent.cfg.Client.Poll(u.ctx, info, h)
	u.agent.cfg.Observe("hold", snap.Answer)
	if snap.Outcome != executor.OK || (snap.StartedAt != 0 && snap.StartedAt != u.inc.StartedAt) ||
		slices.ContainsFunc(snap.Running, func(r executor.Run) bool { return slices.Contains(runs, runKey{r.Task, r.Number}) }) {
		return false
	}
	u.report(epoch, snap)
	return true
}

// reportAll reports everything again.
func (a *Agent) reportAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for inc, reported := range a.ended {
		if reported {
			a.reportGone(inc)
		}
	}
	for _, u := range a.executors {
		u.requestPoll()
	}
}

func (a *Agent) reportGone(inc submission.Incarnation) {
	a.send(&wire.Report{Epoch: a.cfg.Link.Epoch(), Agent: a.cfg.Name, Info: executor.Info{Incarnation: inc}, Gone: true})
}
