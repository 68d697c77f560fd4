package dispatch

import (
	"maps"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/placement"
)

// SetEvacuations records what this process knows of the evacuated zones. It is called before each
// scheduling pass.
func (o *Owner) SetEvacuations(s evacuation.State) {
	o.placementChanged = o.placementChanged || !maps.Equal(s.Zones, o.evacuations.Zones)
	o.evacuations = s
}

// evacuated reports whether the node's zone is evacuated.
func (o *Owner) evacuated(n *node) bool { return o.evacuations.Zones.Contains(n.info.Zone) }

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
