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
		if n.throttled() {
			o.moveFrom(n, math.Inf(1), now, func(t *taskEntry) bool { return t.cheapToMove(now) }, func(t *taskEntry) {
				events.TaskMoved.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Int("pace", t.speedLimit).Int("percent", t.percent).Send()
			})
		}
		if factor := n.speed.Factor(now); factor >= moveSlowdown && !n.info.Draining {
			o.moveFrom(n, suspectSlowdown, now, func(t *taskEntry) bool { return o.fasterElsewhere(t, factor) }, func(t *taskEntry) {
				events.RunSlow.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Float64("factor", factor).Int("percent", t.percent).Send()
				t.moves++
			})
		}
	}
}

// moveFrom stops runs for which leaves returns true and that can go to another executor whose
// slowdown is below maxFactor. It calls moved for each.
func (o *Owner) moveFrom(n *node, maxFactor float64, now time.Duration, leaves func(*taskEntry) bool, moved func(*taskEntry)) {
	left := maxMovesPerInterval
	for t := range n.tasks {
		if left == 0 {
			return
		}
		if leaves(t) && o.hasBetterNode(t, maxFactor, now) {
			moved(t)
			o.stop(t, now)
			left--
		}
	}
}

// hasBetterNode reports whether another executor with a slowdown below maxFactor can take the task
// now without interference.
func (o *Owner) hasBetterNode(t *taskEntry, maxFactor float64, now time.Duration) bool {
	places := o.moveTargets[t.stepKey()]
	if places == nil {
		places = o.freeNodes(t, now)
		o.moveTargets[t.stepKey()] = places
	}
	for _, n := range places.nodes {
		if n != t.node && n.speed.Factor(now) < maxFactor {
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
	for i, n := range all.nodes {
		if placement.Fits(q, all.places[i]) && q.Latency(i) <= placement.MaxExpectedLatency {
			free.nodes = append(free.nodes, n)
		}
	}
	return free
}
