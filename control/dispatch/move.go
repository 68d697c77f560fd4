package dispatch

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/placement"
)

const (
	// moveInterval is the time between two searches for runs to move.
	moveInterval = 300 * time.Millisecond
	// maxMovesPerInterval limits the runs that leave one executor in each interval for one reason.
	maxMovesPerInterval = 4
)

// moveRuns stops runs that are better off on another executor: throttled runs where a stop loses
// little work, and runs on slow executors that would complete earlier elsewhere.
func (o *Owner) moveRuns(now time.Duration) {
	if now-o.movedAt < moveInterval {
		return
	}
	o.movedAt = now
	clear(o.moveTargets)
	for _, n := range o.executors {
		if n.gone || !n.connected {
			continue
		}
		o.relocateRuns(n, now)
		if n.throttled() {
			o.moveFrom(n, math.Inf(1), now, func(t *taskEntry) bool { return t.cheapToMove(now) }, func(t *taskEntry) {
				events.TaskMoved.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Int("pace", t.speedLimit).Int("percent", t.progressPercent).Send()
			})
		}
		if slowdown := n.speed.Slowdown(now); slowdown >= moveSlowdown && !n.info.Draining {
			o.moveFrom(n, suspectSlowdown, now, func(t *taskEntry) bool { return o.fasterElsewhere(t, slowdown) }, func(t *taskEntry) {
				events.RunSlow.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Float64("factor", slowdown).Int("percent", t.progressPercent).Send()
				t.moves++
			})
		}
	}
}

// moveFrom stops runs for which shouldMove returns true and that can go to another executor whose
// slowdown is below maxSlowdown. It calls onMove for each.
func (o *Owner) moveFrom(n *node, maxSlowdown float64, now time.Duration, shouldMove func(*taskEntry) bool, onMove func(*taskEntry)) {
	left := maxMovesPerInterval
	for t := range n.tasks {
		if left == 0 {
			return
		}
		if shouldMove(t) && o.hasBetterNode(t, maxSlowdown, now) {
			onMove(t)
			o.stop(t, now)
			left--
		}
	}
}

// hasBetterNode reports whether another executor with a slowdown below maxSlowdown can take the task
// now without interference.
func (o *Owner) hasBetterNode(t *taskEntry, maxSlowdown float64, now time.Duration) bool {
	targets := o.moveTargets[t.stepKey()]
	if targets == nil {
		targets = o.freeNodes(t, now)
		o.moveTargets[t.stepKey()] = targets
	}
	for _, n := range targets.nodes {
		if n != t.node && n.speed.Slowdown(now) < maxSlowdown {
			return true
		}
	}
	return false
}

// freeNodes returns the executors that can take a task of the same step without interference.
func (o *Owner) freeNodes(t *taskEntry, now time.Duration) *pool {
	all := o.pool(o.service(t.job.sub), now)
	w := &waitingStep{key: t.stepKey(), job: t.job, since: now}
	q := o.query(w, all, now)
	free := new(pool)
	ranking := placement.Rank(q, all.placementNodes)
	for i, n := range all.nodes {
		if ranking.Fits(i) && q.ExpectedLatency(i) <= q.MaxLatency {
			free.nodes = append(free.nodes, n)
		}
	}
	return free
}
