package dispatch

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/placement"
)

const (
	// moveInterval is the time between two looks for runs to move.
	moveInterval = 300 * time.Millisecond
	// movesAtOnce bounds the runs that leave one executor in each interval for one reason.
	movesAtOnce = 4
)

// moveRuns stops runs that are better off on another executor: those that are
// paced down where that loses little work, and those on slow executors that would
// be done earlier elsewhere.
func (o *Owner) moveRuns(now time.Duration) {
	if now-o.movedAt < moveInterval {
		return
	}
	o.movedAt = now
	clear(o.movePlaces)
	for _, n := range o.executors {
		if n.gone || !n.connected {
			continue
		}
		if n.paced() {
			o.moveFrom(n, math.Inf(1), now, func(t *taskEntry) bool { return t.slowed(now) }, func(t *taskEntry) {
				events.TaskMoved.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Int("pace", t.pace).Int("percent", t.percent).Send()
			})
		}
		if factor := n.speed.Slowdown(now); factor >= slowFactor && !n.info.Draining {
			o.moveFrom(n, suspectFactor, now, func(t *taskEntry) bool { return o.fasterElsewhere(t, factor) }, func(t *taskEntry) {
				events.RunSlow.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", n.info.ID).
					Float64("factor", factor).Int("percent", t.percent).Send()
				t.moves++
			})
		}
	}
}

// moveFrom stops runs that should leave an executor and have another to go to,
// where runs take less than maxFactor times as long as usual. moved is told of each.
func (o *Owner) moveFrom(n *node, maxFactor float64, now time.Duration, leaves func(*taskEntry) bool, moved func(*taskEntry)) {
	left := movesAtOnce
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

// hasBetterNode reports whether another executor can take the task now without
// harm, on which runs take less than maxFactor times as long as usual.
func (o *Owner) hasBetterNode(t *taskEntry, maxFactor float64, now time.Duration) bool {
	places := o.movePlaces[t.stepKey()]
	if places == nil {
		places = o.freePlaces(t, now)
		o.movePlaces[t.stepKey()] = places
	}
	for _, n := range places.nodes {
		if n != t.node && n.speed.Slowdown(now) < maxFactor {
			return true
		}
	}
	return false
}

// freePlaces returns the executors that can take a task of the same step without harm.
func (o *Owner) freePlaces(t *taskEntry, now time.Duration) *pool {
	all := o.pool(o.service(t.job.sub), now)
	w := &waitingStep{key: t.stepKey(), job: t.job, since: now}
	q := o.query(w, all, now)
	free := new(pool)
	for i, n := range all.nodes {
		if placement.Fits(q, all.places[i]) && q.ExpectedLatency(i) <= placement.MaxExpectedLatency {
			free.nodes = append(free.nodes, n)
		}
	}
	return free
}
