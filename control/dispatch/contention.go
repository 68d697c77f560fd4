package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// useWindow is the time over which an executor measures a tail latency. It is set by
	// the worst part of that time, while the use of processors is a mean.
	useWindow = 450 * time.Millisecond
	// paceInterval is the time until the effect of a change of pace is reported.
	paceInterval = 600 * time.Millisecond
	// repeatPace is the time after which a pace is ordered again, since lists do not
	// show it and an earlier order may have been carried out late.
	repeatPace = 3 * time.Second
	// disturbedFor is how long an executor takes no task that fills after one that
	// serves has missed its target there.
	disturbedFor = 1500 * time.Millisecond
	// disturbedLatency stands for the latency, as a share of the target, on an executor
	// where a task that serves is late already.
	disturbedLatency = 4.0
	// leastFilling is the least pace in percent at which a run that is paced down
	// counts, so that not too many gather on one executor.
	leastFilling = 30
	// fullPace is the pace of a run that has just started, in percent.
	fullPace = 100
)

// fillersOf turns shares of an executor by image into a list.
func fillersOf(usage map[string]float64) []contention.ImageUsage {
	list := make([]contention.ImageUsage, 0, len(usage))
	for image, share := range usage {
		if share > 0 {
			list = append(list, contention.ImageUsage{Image: image, Share: share})
		}
	}
	return list
}

// share returns processors in thousandths as a part of the node's.
func (n *node) share(cpu int64) float64 { return float64(cpu) / float64(max(1, n.place.Capacity.CPU)) }

// serving returns the latency of a task that serves, as of a list of runs.
func (t *taskEntry) serving(r *executor.Run) contention.TaskLatency {
	return contention.TaskLatency{Task: r.Task, Group: t.job.sub.ID + "." + strconv.Itoa(t.id.Step), Image: t.step().Image,
		Latency: time.Duration(r.Load) * time.Millisecond, Target: t.step().LatencyTarget}
}

// learnContention takes in the latencies of one list and adapts the paces on the node.
func (o *Owner) learnContention(n *node, running []executor.Run, now time.Duration) {
	usage := make(map[string]float64)
	var serving []contention.TaskLatency
	for i := range running {
		t := o.find(running[i].Task)
		switch {
		case t == nil || t.node != n:
		case t.step().BestEffort:
			usage[t.step().Image] += n.share(int64(running[i].Load))
		case t.step().LatencyCritical() && running[i].ProgressPercent >= 100:
			serving = append(serving, t.serving(&running[i]))
		}
	}
	used := fillersOf(usage)
	o.contention.Observe(n.info.ID, serving, fillersOf(n.highestUse(usage, now)), now)
	n.noteBases(serving)
	n.noteLateness(contention.AnyOverTarget(serving), len(used) > 0, now)
	o.adaptPaces(n, serving, now)
}

// useInList is the shares of an executor that a list shows, by image.
type useInList struct {
	at     time.Duration
	shares map[string]float64
}

// highestUse takes in the shares of a list and returns the highest of each image in the
// lists of the last useWindow.
func (n *node) highestUse(shares map[string]float64, now time.Duration) map[string]float64 {
	n.uses = slices.DeleteFunc(n.uses, func(u useInList) bool { return now-u.at > useWindow })
	highest := maps.Clone(shares)
	for _, u := range n.uses {
		for image, share := range u.shares {
			highest[image] = max(highest[image], share)
		}
	}
	n.uses = append(n.uses, useInList{now, shares})
	return highest
}

// noteLateness takes in whether a task that serves on the node is too slow, and
// whether anything fills the node.
func (n *node) noteLateness(late, filled bool, now time.Duration) {
	switch {
	case !late:
		n.lateSince = 0
	case n.lateSince == 0:
		n.lateSince = now
	}
	if late && filled {
		n.disturbedAt = now
	}
}

// lateFor returns for how long on end a task that serves on the node has been too slow.
func (n *node) lateFor(now time.Duration) time.Duration {
	if n.lateSince == 0 {
		return 0
	}
	return now - n.lateSince
}

// adaptPaces orders the paces at which the tasks that serve on the node keep their targets.
func (o *Owner) adaptPaces(n *node, serving []contention.TaskLatency, now time.Duration) {
	full := n.fillers()
	if len(full) == 0 || len(serving) == 0 && !n.paced() {
		clear(n.paces)
		return
	}
	if now-n.pacedAt < paceInterval {
		return
	}
	wanted := o.contention.SpeedLimits(serving, full, n.paces, now)
	n.paces = wanted
	for t := range n.tasks {
		if !t.step().BestEffort || t.phase != phaseRunning || t.stopping {
			continue
		}
		want := wanted[t.step().Image]
		if t.pace != want {
			n.pacedAt = now
			o.pace(t, want, now)
		} else if t.pacedAt != 0 && now-t.pacedAt > repeatPace {
			o.pace(t, want, now)
		}
	}
}

// pace orders a pace.
func (o *Owner) pace(t *taskEntry, percent int, now time.Duration) {
	t.node.place.BestEffortCPU += t.filling(percent) - t.filling(t.pace)
	t.pace, t.pacedAt, t.whole = percent, now, false
	b := o.out(t.node)
	b.paces = append(b.paces, wire.PaceOrder{Task: t.name(), Run: t.rec.Run, Percent: percent})
	b.touched = true
	events.TaskPaced.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
		Int("percent", percent).Str("image", t.step().Image).Send()
}

// paced reports whether a run on the node does not work at full pace.
func (n *node) paced() bool {
	for t := range n.tasks {
		if t.step().BestEffort && t.pace != fullPace {
			return true
		}
	}
	return false
}

// slowed reports whether a run is paced down and can be stopped at little loss.
func (t *taskEntry) slowed(now time.Duration) bool {
	if !t.step().BestEffort || t.step().LongRunning || t.phase != phaseRunning || t.stopping || t.pace > slowPace || t.pace < 0 || now-t.changedAt < settleTime {
		return false
	}
	return t.step().Checkpoints || t.percent <= cheapPercent
}

const (
	// slowPace is the pace in percent up to which a run may be moved.
	slowPace = 30
	// cheapPercent is the progress up to which a run without checkpoints may be stopped.
	cheapPercent = 10
)

// negligibleAdded is an added utilization that is not worth keeping a task away.
const negligibleAdded = 0.025
