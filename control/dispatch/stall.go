package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
)

const (
	// stallTimeout is how long a run may make no progress before it is considered stuck. Snapshots
	// come at least every second, and a percent of a task's work takes a small part of that.
	stallTimeout = 2 * time.Second
	// maxPercentTime is the run time for which a percent may take longer than stallTimeout; it
	// bounds the detection for very long tasks.
	maxPercentTime = 100 * stallTimeout
	// minStallSpeed is the speed limit in percent below which missing progress proves nothing.
	minStallSpeed = 50
)

// observeProgress records the progress of a run at readAt and stops it when it is stuck, so that it can
// resume elsewhere.
func (o *Owner) observeProgress(t *taskEntry, percent int, readAt, now time.Duration) {
	o.observeSpeed(t, percent, readAt, now)
	if percent != t.progressPercent || t.progressAt == 0 || t.speedLimit < minStallSpeed {
		t.progressPercent, t.progressAt = percent, readAt
		return
	}
	step := t.step()
	if step.LongRunning || step.Gang || t.stopping || step.Estimate > maxPercentTime/4 || readAt-t.progressAt < stallTimeout {
		return
	}
	events.RunStalled.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
		Int("percent", percent).Dur("still", readAt-t.progressAt).Send()
	t.node.health.observe(true, now)
	t.failedOn = append(t.failedOn, t.node.info.ID)
	o.stop(t, now)
}
