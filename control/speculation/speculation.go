// Package speculation decides whether a task gets a second run beside the one that it has: since nothing is heard of the
// executor of the first, or since the first makes much less progress than similar ones. It has no side effects.
package speculation

import "time"

const (
	// SilentAfter is the time without a sign of life after which an executor counts as unresponsive. Snapshots come every
	// 0.9 s; the rest is for a slow reply.
	SilentAfter = 1200 * time.Millisecond
	// DisconnectedAfter is the time without a connection to its agent after which an executor counts as unresponsive. An
	// agent that has only lost its connection is reached again within less.
	DisconnectedAfter = 300 * time.Millisecond
	// SettleTime is how long the owner has to be in contact before silence counts. After a takeover or a suspension of its
	// process, reports of healthy executors are still on their way.
	SettleTime = 2 * time.Second
	// maxSilentShare is the share of the executors that may be unresponsive. If more are, the owner itself may be cut off.
	maxSilentShare = 0.5
	// maxReservedShare is the share of the pool's processors above which a slow run gets no copy: the rest is for work that
	// arrives. One on an unresponsive executor does, since it would hold up its submission until the lease ends.
	maxReservedShare = 0.85
	// minElapsed is the run time before which the progress of a run proves nothing.
	minElapsed = time.Second
	// minSlowdown is the ratio of the run time, as projected from the progress, to that of similar runs from which a run counts
	// as slow.
	minSlowdown = 2.0
	// minGain is the least ratio of the remaining time of a slow run to that of its copy.
	minGain = 1.5
	// startCost is the time that the commit, the order and the start of a copy take.
	startCost = 500 * time.Millisecond
	// maxPercent is the progress that is complete.
	maxPercent = 100
)

// Run is a run of a task whose step allows copies, or the last run that is left of two.
type Run struct {
	// Begun is set once the executor has confirmed the run. The start of another run may still be on its way, and
	// could be carried out after the copy has completed the task.
	Begun bool
	// Stopping is set once the run is being stopped. The task is restarted elsewhere as soon as the executor has answered.
	Stopping bool
	// Suspected is set for a task that may crash its executor. A copy could crash a second one.
	Suspected bool
	// Failures is the number of failed runs, MaxAttempts the number after which the task is not started again, 0 for no limit.
	Failures, MaxAttempts int
	// Silence is the time since the last sign of life of the executor. Disconnected is how long its agent has had no
	// connection, 0 while it has one.
	Silence, Disconnected time.Duration
	// Elapsed is the time from the start of the run to its last reported progress, Percent that progress. Elapsed is 0 where they
	// don't give the pace of the run: it began from a checkpoint, was held below full speed, or was started by another owner.
	Elapsed time.Duration
	Percent int
	// Expected is the run time of similar runs, 0 if it is not known, or if the run restores a checkpoint or is held below full speed.
	Expected time.Duration
	// Slowdown is the run time on its executor relative to others, as measured on all of its runs, 1 if that is not known.
	Slowdown float64
	// CopyPercent is the progress from which the copy would start: that of the last checkpoint.
	CopyPercent int
}

// Room is the state of the executors that could take the copy.
type Room struct {
	// Free is set if an executor other than that of the run can take the copy now without displacing or slowing other work.
	Free bool
	// WorkWaits is set if other tasks wait for the room that the copy would take.
	WorkWaits bool
	// ReservedShare is the share of the pool's processors that is reserved.
	ReservedShare float64
	// Silent is the number of unresponsive executors among Executors.
	Silent, Executors int
	// Settled is how long the owner has been in contact without interruption.
	Settled time.Duration
}

// Verdict is the result of a decision.
type Verdict uint8

// Verdicts.
const (
	// None: no copy now.
	None Verdict = iota
	// Silent: copy, since the executor is unresponsive.
	Silent
	// Slow: copy, since it would be done clearly sooner.
	Slow
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"none", "silent", "slow"}[v] }

// Unresponsive reports whether an executor counts as unresponsive.
func Unresponsive(silence, disconnected time.Duration) bool {
	return silence >= SilentAfter || disconnected >= DisconnectedAfter
}

// Decide returns whether to start a copy of a run.
func Decide(r Run, room Room) Verdict {
	if !r.mayBeCopied() || !room.Free || room.WorkWaits {
		return None
	}
	switch {
	case Unresponsive(r.Silence, r.Disconnected):
		if room.ContactLost() {
			return None
		}
		return Silent
	case r.slow() && room.ReservedShare <= maxReservedShare:
		return Slow
	}
	return None
}

// mayBeCopied reports whether a second run could do harm: both may fail, and no run may start after the last permitted
// failure, so the run must not be the last one that is permitted.
func (r *Run) mayBeCopied() bool {
	return r.Begun && !r.Suspected && (r.MaxAttempts == 0 || r.Failures+1 < r.MaxAttempts)
}

// ContactLost reports whether the owner rather than the executors may be the reason for the silence.
func (r *Room) ContactLost() bool {
	return r.Settled < SettleTime || float64(r.Silent) > maxSilentShare*float64(r.Executors)
}

// slow reports whether the run is far behind similar ones, and its copy would be done clearly sooner.
func (r *Run) slow() bool {
	if r.Stopping || r.Expected == 0 || r.Percent >= maxPercent {
		return false
	}
	total := float64(r.Expected) * r.Slowdown
	if r.Elapsed >= minElapsed {
		// Progress below one percent counts as half a percent.
		total = float64(r.Elapsed) * maxPercent / max(float64(r.Percent), 0.5)
	}
	if total < minSlowdown*float64(r.Expected) {
		return false
	}
	left := total * float64(maxPercent-r.Percent) / maxPercent
	copied := float64(r.Expected)*float64(maxPercent-r.CopyPercent)/maxPercent + float64(startCost)
	return left >= minGain*copied
}
