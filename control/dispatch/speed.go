package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/control/speed"
)

const (
	// speedWindow is the shortest time over which the progress of a run is measured, since
	// progress is reported in whole percent.
	speedWindow = 250 * time.Millisecond
	// moveSlowdown is the slowdown of an executor, its run times relative to those elsewhere, from
	// which its runs are moved.
	moveSlowdown = 2.0
	// suspectSlowdown is the slowdown from which an executor gets fewer new tasks.
	suspectSlowdown = 2.0
	// moveCost is the time that a stop, a new start and their records take.
	moveCost = 500 * time.Millisecond
	// minMoveGain is the least ratio of the remaining time here to the run time elsewhere for a
	// move.
	minMoveGain = 1.1
	// maxMovesPerTask limits how often a task is moved.
	maxMovesPerTask = 4
)

// beginSpeedMeasurement starts the measurement for a run that has just begun. A run that is first
// seen in a snapshot may have worked for a while, so it is not measured from its start.
func (o *Owner) beginSpeedMeasurement(t *taskEntry, now time.Duration) {
	if t.fullRun = t.startCheckpoint == ""; t.fullRun {
		t.speedBaseAt, t.speedBasePercent = now, 0
	}
}

// observeSpeed records the progress of a run at readAt.
func (o *Owner) observeSpeed(t *taskEntry, percent int, readAt, now time.Duration) {
	if t.step().LongRunning || t.stopping {
		return
	}
	// A run that resumes from a checkpoint is restored first, which takes an unknown time, so its
	// speed is measured from its first progress on.
	if t.restoring && t.speedBaseAt != 0 && percent > t.speedBasePercent {
		t.restoring = false
		t.speedBaseAt = 0
	}
	if t.restoring || t.speedLimit != fullSpeed || t.speedBaseAt == 0 || percent < t.speedBasePercent {
		t.speedBaseAt, t.speedBasePercent = readAt, percent
		return
	}
	elapsed := readAt - t.speedBaseAt
	if elapsed < speedWindow {
		return
	}
	// Progress below one percent counts as half a percent.
	worked := max(float64(percent-t.speedBasePercent), 0.5)
	projected := time.Duration(float64(elapsed) * 100 / (worked * o.remoteFactorOf(t)))
	t.speedBaseAt, t.speedBasePercent = readAt, percent
	o.observeDuration(t, projected, now)
}

// observeEnd records the run time of a completed task.
func (o *Owner) observeEnd(t *taskEntry, now time.Duration) {
	if !t.fullRun || t.step().LongRunning {
		return
	}
	elapsed := time.Duration(float64(now-t.changedAt) / o.remoteFactorOf(t))
	e := o.estimates[t.job.sub.Queue]
	if e == nil {
		e = new(speed.EstimateAccuracy)
		o.estimates[t.job.sub.Queue] = e
	}
	e.Observe(elapsed, t.step().Estimate)
	o.observeDuration(t, elapsed, now)
}

// observeDuration compares a run time with the expected one and records it.
func (o *Owner) observeDuration(t *taskEntry, d, now time.Duration) {
	if expected, ok := o.expectedDuration(t); ok {
		t.node.speed.Observe(float64(d)/float64(expected), now)
	}
	t.job.stepDurations(t.stepKey()).Observe(t.node.info.ID, d)
}

// expectedDuration returns the expected run time of the task: the median on other executors, or
// the corrected estimate.
func (o *Owner) expectedDuration(t *taskEntry) (time.Duration, bool) {
	if d, ok := t.job.stepDurations(t.stepKey()).MedianElsewhere(t.node.info.ID); ok {
		return d, true
	}
	if e := o.estimates[t.job.sub.Queue]; e != nil {
		return e.ExpectedDuration(t.step().Estimate)
	}
	return 0, false
}

// stepDurations returns the observed run times of a step.
func (j *job) stepDurations(k stepKey) *speed.StepSamples {
	s := j.durations[k]
	if s == nil {
		s = new(speed.StepSamples)
		j.durations[k] = s
	}
	return s
}

// fasterElsewhere reports whether a run on an executor with the given slowdown would complete
// earlier after a move.
func (o *Owner) fasterElsewhere(t *taskEntry, slowdown float64) bool {
	s := t.step()
	if t.phase != phaseRunning || t.stopping || s.LongRunning || s.Gang || t.moves >= maxMovesPerTask || t.speedLimit != fullSpeed {
		return false
	}
	expected, ok := o.expectedDuration(t)
	if !ok {
		return false
	}
	left := time.Duration(float64(expected) * float64(100-min(t.progressPercent, 100)) / 100)
	restarted := expected
	if s.Checkpoints {
		restarted = left
	}
	return float64(left)*slowdown > float64(restarted)*minMoveGain+float64(moveCost)
}

// faultScore returns how likely an executor is faulty or slow, from 0 to 1.
func (n *node) faultScore(now time.Duration) float64 {
	s := n.health.share(now)
	if f := n.speed.Slowdown(now); f > suspectSlowdown {
		s = max(s, 1-1/f)
	}
	return s
}
