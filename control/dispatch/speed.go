package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/control/speed"
)

const (
	// speedWindow is the least time over which the progress of a run is measured; it is
	// reported in whole percent.
	speedWindow = 250 * time.Millisecond
	// slowFactor is how many times as long as elsewhere runs have to take before they are moved.
	slowFactor = 2.0
	// suspectFactor is the factor from which an executor gets fewer new tasks.
	suspectFactor = 2.0
	// moveCost is the time that a stop, a new start and their records take.
	moveCost = 500 * time.Millisecond
	// moveGain is how many times the time of a run elsewhere it has to take here to be moved.
	moveGain = 1.1
	// maxMoves bounds how often a task is moved.
	maxMoves = 4
)

// beginSpeed notes that a run has just begun; a run that is first seen in a list may
// have worked for a while.
func (o *Owner) beginSpeed(t *taskEntry, now time.Duration) {
	if t.whole = t.rec.Checkpoint == ""; t.whole {
		t.basedAt, t.basePercent = now, 0
	}
}

// observeSpeed takes in the progress of a run.
func (o *Owner) observeSpeed(t *taskEntry, percent int, now time.Duration) {
	if t.step().LongRunning || t.stopping {
		return
	}
	// A run that goes on from a checkpoint is restored first, for a time that is not
	// known; its speed is measured from its first progress on.
	if t.restoring && t.basedAt != 0 && percent > t.basePercent {
		t.restoring = false
		t.basedAt = 0
	}
	if t.restoring || t.pace != fullPace || t.basedAt == 0 || percent < t.basePercent {
		t.basedAt, t.basePercent = now, percent
		return
	}
	took := now - t.basedAt
	if took < speedWindow {
		return
	}
	// Less than a percent counts as half of one.
	worked := max(float64(percent-t.basePercent), 0.5)
	projected := time.Duration(float64(took) * 100 / worked)
	t.basedAt, t.basePercent = now, percent
	o.observeDuration(t, projected, now)
}

// observeEnd takes in the run time of a task that is done.
func (o *Owner) observeEnd(t *taskEntry, now time.Duration) {
	if !t.whole || t.step().LongRunning {
		return
	}
	took := now - t.changedAt
	e := o.estimates[t.job.sub.Queue]
	if e == nil {
		e = new(speed.EstimateAccuracy)
		o.estimates[t.job.sub.Queue] = e
	}
	e.Observe(took, t.step().Estimate)
	o.observeDuration(t, took, now)
}

// observeDuration compares a run time with what it is elsewhere.
func (o *Owner) observeDuration(t *taskEntry, d, now time.Duration) {
	if usual, ok := o.usualDuration(t); ok {
		t.node.speed.Observe(float64(d)/float64(usual), now)
	}
	t.job.stepSpeed(t.stepKey()).Observe(t.node.info.ID, d)
}

// usualDuration returns the run time of the task on other executors.
func (o *Owner) usualDuration(t *taskEntry) (time.Duration, bool) {
	if d, ok := t.job.stepSpeed(t.stepKey()).MedianElsewhere(t.node.info.ID); ok {
		return d, true
	}
	if e := o.estimates[t.job.sub.Queue]; e != nil {
		return e.ExpectedDuration(t.step().Estimate)
	}
	return 0, false
}

// stepSpeed returns the run times that are known of a step.
func (j *job) stepSpeed(k stepKey) *speed.StepSamples {
	s := j.speeds[k]
	if s == nil {
		s = new(speed.StepSamples)
		j.speeds[k] = s
	}
	return s
}

// fasterElsewhere reports whether a run on an executor that takes factor times as
// long would be done earlier after a move.
func (o *Owner) fasterElsewhere(t *taskEntry, factor float64) bool {
	s := t.step()
	if t.phase != phaseRunning || t.stopping || s.LongRunning || s.Gang || t.moves >= maxMoves || t.pace != fullPace {
		return false
	}
	usual, ok := o.usualDuration(t)
	if !ok {
		return false
	}
	left := time.Duration(float64(usual) * float64(100-min(t.percent, 100)) / 100)
	again := usual
	if s.Checkpoints {
		again = left
	}
	return float64(left)*factor > float64(again)*moveGain+float64(moveCost)
}

// suspicion returns the share, 0 to 1, by which an executor is taken for faulty or slow.
func (n *node) suspicion(now time.Duration) float64 {
	s := n.health.share(now)
	if f := n.speed.Slowdown(now); f > suspectFactor {
		s = max(s, 1-1/f)
	}
	return s
}
