package dispatch

import (
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// A call names the ID of an executor, not its incarnation, so that the next incarnation under the ID may execute it: at once while
// nobody knows of the restart, or later if it got no answer. The lease that it sets there ends on a clock that began anew, up to
// Bounds.MaxLease after the execution. A run is therefore certain to have ended with its incarnation only if that one has executed
// its start and no call of the start is left.

// recordSending records that the starts in an outbox are sent to the agent, which makes no call after the end of the lease.
func (o *Owner) recordSending(b *outbox) {
	for _, s := range b.starts {
		if t := o.find(s.Task); t != nil && t.node == b.node && t.rec.Run == s.Run {
			t.startCallsUntil = b.node.grantedUntil() + executor.MaxExecutionDelay
		}
	}
}

// startConfirmed records that the run's incarnation has executed a copy of its start, and that no call of that is left.
func (t *taskEntry) startConfirmed() {
	if t.startCopies <= 1 {
		// Otherwise another copy may be on its way to the agent.
		t.rec.Confirmed, t.startCallsUntil = true, 0
	}
}

// confirmationRecordAge is the age of a run from which the record is written once more to tell that its start is confirmed. A new owner
// needs that for the runs of an executor that is lost together with its agent; most runs end before.
const confirmationRecordAge = 3 * time.Second

// recordConfirmation has the confirmed start of a listed run recorded if no other change of the record has done that. A run that is listed when
// no call of its start can be left needs no confirmation by the agent.
func (o *Owner) recordConfirmation(t *taskEntry, now time.Duration) {
	if !t.rec.Confirmed && !t.mayRunInLaterIncarnation() && t.rec.Executor == t.node.info.Incarnation {
		t.rec.Confirmed, t.startCallsUntil = true, 0
	}
	if t.rec.Confirmed && !t.confirmationRecorded && now-t.changedAt >= confirmationRecordAge {
		t.confirmationRecorded = true
		o.markDirty(t)
	}
}

// mayRunInLaterIncarnation reports whether an incarnation after that of the run's node may execute the start, or may have executed it.
func (t *taskEntry) mayRunInLaterIncarnation() bool {
	return t.startCallsUntil != 0 && t.node.snapshotAt <= t.startCallsUntil
}

// latestEndInLaterIncarnation returns the time after which a run that may have begun in a later incarnation can't be alive if no incarnation
// was reached: other late calls may have prolonged its lease.
func (o *Owner) latestEndInLaterIncarnation(t *taskEntry) time.Duration {
	lastCall := max(t.node.grantedUntil()+executor.MaxExecutionDelay, t.startCallsUntil)
	return lastCall + maxLeaseTime(o.bounds.MaxLease)
}

// maxWallClockError bounds the difference between the time of day on two VMs, which may jump by seconds.
const maxWallClockError = 10 * time.Second

// mayInheritLease reports whether calls that were meant for an earlier incarnation under the node's ID may have set its lease before the
// first one that was meant for it, which makes it reject the others.
func (o *Owner) mayInheritLease(n *node, now time.Duration) bool {
	// An owner does not know the incarnations that had ended before its term.
	if now-o.startedAt > o.lastEarlierCall() && len(o.incarnations[n.info.ID]) == 1 {
		return false
	}
	return o.isYoung(n.info.Incarnation, now)
}

// lastEarlierCall returns the longest time from the start of an incarnation to the last call that was meant for an earlier one.
func (o *Owner) lastEarlierCall() time.Duration {
	return maxLeaseTime(o.bounds.LeaseDuration) + executor.MaxExecutionDelay
}

// isYoung reports whether a lease may be in force that a call has set which was meant for an earlier incarnation.
func (o *Owner) isYoung(inc submission.Incarnation, now time.Duration) bool {
	uptime := time.Duration(o.unixMillis(now)-inc.StartedAt) * time.Millisecond
	return uptime < o.lastEarlierCall()+maxLeaseTime(o.bounds.MaxLease)+maxWallClockError
}

// recordCallsLeft records, when a run is over, that calls of its start may be left.
func (t *taskEntry) recordCallsLeft(now time.Duration) {
	if t.rec.State == submission.TaskAssigned && now < t.startCallsUntil {
		t.callsLeftAt, t.callsLeftUntil = t.rec.Executor.ID, t.startCallsUntil
	}
	t.startCallsUntil = 0
}

// awaitsEarlierCalls reports whether an executor may still execute a call of the start of an earlier run. It may do so in an incarnation that
// nobody has reached, so that another executor must not run the task. Long-running tasks don't wait: each second without them counts. Nor
// do gangs, whose members would wait for all executors in question.
func (t *taskEntry) awaitsEarlierCalls(now time.Duration) bool {
	return now < t.callsLeftUntil && !t.step().LongRunning && !t.step().Gang
}

// unknownRunHold is how long after an executor has listed an unknown run of a task no other run starts: until the stop has taken effect or the
// next snapshot lists the run again.
const unknownRunHold = 1200 * time.Millisecond

// unknownRunGoesOn reports whether an executor runs the task although it is not assigned to it.
func (t *taskEntry) unknownRunGoesOn(now time.Duration) bool {
	return t.unknownRunAt != 0 && now-t.unknownRunAt < unknownRunHold
}

// placeBesideEarlierCalls assigns a task to the executor that may execute a call of the start of an earlier run, which rejects it beside a
// higher run. It returns the executor's position in the pool, -1 when it can't take the task now.
func (o *Owner) placeBesideEarlierCalls(t *taskEntry, p *pool, fits func(i int) bool, now time.Duration) int {
	at := slices.IndexFunc(p.nodes, func(n *node) bool { return n.info.ID == t.callsLeftAt })
	if at < 0 || !fits(at) {
		return -1
	}
	o.assign(t, p.nodes[at], now)
	return at
}

// retireOlderIncarnations marks older incarnations with the ID or address of a node as gone: the executor's process has been
// replaced, so none of their runs is alive but those that this one has begun. It needs a complete snapshot, which lists the running
// ones, since the executor may have run their tasks and list the ends later.
func (o *Owner) retireOlderIncarnations(next *node, running []executor.Run, now time.Duration) {
	for _, n := range slices.Concat(o.incarnations[next.info.ID], o.incarnations[next.info.Address]) {
		if n.info.StartedAt >= next.info.StartedAt || n.gone && len(n.tasks) == 0 {
			continue
		}
		sameID := n.info.ID == next.info.ID
		if !sameID && n.info.Address != next.info.Address {
			continue
		}
		if !n.gone {
			o.markGone(n, now)
		}
		for t := range n.tasks {
			if sameID && t.runsOrMayBeginIn(running, now) {
				o.stopInNextIncarnation(t, next, now)
				continue
			}
			if !sameID {
				// An incarnation under another ID rejects the calls.
				t.startCallsUntil = 0
			}
			o.requeueLost(t, now)
		}
	}
}

// runsOrMayBeginIn reports whether the next incarnation, which runs the given tasks, has begun the run or may still begin it.
func (t *taskEntry) runsOrMayBeginIn(running []executor.Run, now time.Duration) bool {
	return now < t.startCallsUntil || slices.ContainsFunc(running, func(r executor.Run) bool { return r.Task == t.name() && r.Number == t.rec.Run })
}

// stopInNextIncarnation assigns a run to the next incarnation and stops it there, which rejects the start if it has not come yet. The
// record keeps the incarnation that the start was meant for.
func (o *Owner) stopInNextIncarnation(t *taskEntry, next *node, now time.Duration) {
	t.node.release(t)
	t.node, t.phase, t.stopAcked, t.missingSnapshots = next, phaseStartSent, 0, 0
	next.reserve(t)
	o.stop(t, now)
}

// applyExecutorEnd requeues the tasks whose runs were meant for an incarnation that has ended. Its agent reports the end once no call
// for it can be executed any more, by the next one either. Runs that it was to stop for an earlier incarnation stay assigned until the next
// one reports, or until their lease is over.
func (o *Owner) applyExecutorEnd(inc submission.Incarnation, now time.Duration) {
	if n := o.executors[inc]; n != nil && !n.gone {
		o.markGone(n, now)
	}
	for _, n := range o.incarnations[inc.ID] {
		for t := range n.tasks {
			if t.rec.Executor != inc {
				continue
			}
			if n.info.Incarnation == inc {
				// Otherwise the run was stopped on the next incarnation, and the one after that does not know of it.
				t.startCallsUntil = 0
			}
			o.requeueLost(t, now)
		}
	}
}
