package dispatch

import (
	"maps"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/vm/executor"
)

const (
	// evacuationMargin is how long before the end of the evacuation bound the last start may begin.
	evacuationMargin = 500 * time.Millisecond
	// minStartWindow is the time that a new decision needs until its run begins: a commit and an
	// order, with a slow store. Nothing is placed when less is left.
	minStartWindow = time.Second
)

// SetEvacuations records what this process knows of the evacuated zones. It is called before each
// scheduling pass.
func (o *Owner) SetEvacuations(s evacuation.State) {
	o.placementChanged = o.placementChanged || !maps.Equal(s.Zones, o.evacuations.Zones)
	o.evacuations = s
}

// evacuated reports whether the node's zone is evacuated.
func (o *Owner) evacuated(n *node) bool { return o.evacuations.Zones.Contains(n.info.Zone) }

// startLimit returns the time until which a run may begin by what is known of the evacuations: an
// operator may have evacuated any zone right after they were last known. limited is false where
// zones can't be evacuated.
func (o *Owner) startLimit() (limit time.Duration, limited bool) {
	if o.bounds.Evacuation == 0 {
		return 0, false
	}
	return o.evacuations.AsOf + o.bounds.Evacuation - evacuationMargin, true
}

// knowsEvacuations reports whether the evacuations are known recently enough to place tasks. An
// owner that has just started, or was cut off or suspended, waits until it has read them again.
func (o *Owner) knowsEvacuations(now time.Duration) bool {
	limit, limited := o.startLimit()
	return !limited || (o.evacuations.AsOf != 0 && now+minStartWindow <= limit)
}

// startDeadline returns the latest time at which a run may begin on the node, in milliseconds on
// the executor's clock, 0 for no limit but the lease. It holds however late the order is executed:
// the executor's clock may be slow, but not fast.
func (o *Owner) startDeadline(n *node) int64 {
	limit, limited := o.startLimit()
	if !limited {
		return 0
	}
	left := time.Duration(float64(limit-n.clockAt) * executor.MinClockRate)
	return n.clock + left.Milliseconds()
}

// holdPlacement logs when placing stops because the evacuations are not known, and when it goes on.
func (o *Owner) holdPlacement(held bool, now time.Duration) {
	if held == o.placementHeld {
		return
	}
	o.placementHeld = held
	if !held {
		o.placementChanged = true
		events.PlacementResumed.Log(o.log).Strs("evacuated", o.evacuations.Zones.Names()).Send()
		return
	}
	age := time.Duration(0)
	if o.evacuations.AsOf != 0 {
		age = now - o.evacuations.AsOf
	}
	events.PlacementHeld.Log(o.log).Dur("age", age).Send()
}

// withdrawStarts takes back the starts in evacuated zones that no executor has confirmed. A start
// that was ordered is called back with a stop, which the executor applies even to a run that has
// not arrived yet.
func (o *Owner) withdrawStarts(now time.Duration) {
	if len(o.evacuations.Zones) == 0 {
		return
	}
	for _, n := range o.executors {
		if n.gone || !o.evacuated(n) {
			continue
		}
		for t := range n.tasks {
			o.withdrawStart(t, now)
		}
	}
}

func (o *Owner) withdrawStart(t *taskEntry, now time.Duration) {
	if t.stopping || (t.phase != phaseCommitPending && t.phase != phaseStartSent) {
		return
	}
	if !t.step().Gang {
		o.takeBack(t, now)
		return
	}
	// The members of a gang start together or not at all.
	for _, member := range t.job.stepTasks(t.stepKey()) {
		if member.node != nil && !member.stopping {
			o.takeBack(member, now)
		}
	}
}

// takeBack withdraws one start.
func (o *Owner) takeBack(t *taskEntry, now time.Duration) {
	sent := t.phase != phaseCommitPending
	o.counters.Withdrawn++
	events.StartWithdrawn.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
		Str("zone", t.node.info.Zone).Bool("sent", sent).Send()
	if sent {
		o.stop(t, now)
		return
	}
	o.requeue(t, now)
}

// reportZoneWait logs once that a waiting step fits only executors of evacuated zones.
func (o *Owner) reportZoneWait(w *waitingStep) {
	if w.awaitsZone || len(o.evacuations.Zones) == 0 || !o.onlyEvacuatedZonesFit(w) {
		return
	}
	w.awaitsZone = true
	o.counters.ZoneWaits++
	events.StepAwaitsZone.Log(o.log).Str("step", stepName(w.key)).Strs("evacuated", o.evacuations.Zones.Names()).Send()
}

// onlyEvacuatedZonesFit reports whether a step fits an executor of an evacuated zone and, however
// idle they were, none elsewhere.
func (o *Owner) onlyEvacuatedZonesFit(w *waitingStep) bool {
	step, service := &w.job.sub.Steps[w.key.step], o.service(w.job.sub)
	fitsInEvacuated := false
	for _, n := range o.executors {
		switch {
		case n.gone:
		case n.agent == "":
			return false // It has not reported yet, so its zone and capacity are not known.
		case n.info.Service != service || !placement.FitsWhenEmpty(step, &n.placementNode):
		case !o.evacuated(n):
			return false
		default:
			fitsInEvacuated = true
		}
	}
	return fitsInEvacuated
}
