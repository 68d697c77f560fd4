package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/placewait"
)

// wantsRack reports whether the members of a gang run faster on one rack.
func (w *waitingStep) wantsRack() bool {
	s := &w.job.sub.Steps[w.key.step]
	return !s.LongRunning && (s.SameRack || s.DataRack != "")
}

// tryGang returns positions of nodes for all members of a gang, and the sum of their costs. A step that prefers one rack
// prefers that of the first member. The nodes are not changed.
func tryGang(w *waitingStep, q placement.Query, nodes []*placement.Node) (chosen []int, cost float64, ok bool) {
	trial := make([]*placement.Node, len(nodes))
	for i, n := range nodes {
		c := *n
		trial[i] = &c
	}
	onNode := maps.Clone(w.onNode)
	defer func() { w.onNode = onNode }()
	w.onNode = maps.Clone(onNode)
	ranking := placement.Rank(q, trial)
	for _, t := range w.tasks {
		best := ranking.Best(t.avoidFilter())
		if best < 0 {
			return nil, 0, false
		}
		cost += ranking.Cost(best)
		addTask(trial[best], q.Step.Request, q.Step.BestEffort)
		w.onNode[trial[best].ID]++
		chosen = append(chosen, best)
		if len(chosen) == 1 {
			q.Rack = trial[best].Rack
			ranking = placement.Rank(q, trial)
			continue
		}
		ranking.Update(best)
	}
	return chosen, cost, true
}

// rackPart is the part of a pool in one rack.
type rackPart struct {
	rack      string
	positions []int
	nodes     []*placement.Node
}

// racks divides a pool by rack, in the order of the pool.
func (p *pool) racks() []*rackPart {
	var out []*rackPart
	byName := make(map[string]*rackPart)
	for i, n := range p.placementNodes {
		r := byName[n.Rack]
		if r == nil {
			r = &rackPart{rack: n.Rack}
			byName[n.Rack] = r
			out = append(out, r)
		}
		r.positions = append(r.positions, i)
		r.nodes = append(r.nodes, n)
	}
	return out
}

// within returns a query about positions in the part of a pool.
func (r *rackPart) within(q placement.Query) placement.Query {
	latency, compatible, loss, over, own := q.ExpectedLatency, q.Compatible, q.CompatibilityLoss, q.OverTargetFor, q.OverByOwnLoad
	q.ExpectedLatency = func(i int) float64 { return latency(r.positions[i]) }
	q.Compatible = func(i int) float64 { return compatible(r.positions[i]) }
	q.CompatibilityLoss = func(i int) float64 { return loss(r.positions[i]) }
	q.OverTargetFor = func(i int) time.Duration { return over(r.positions[i]) }
	q.OverByOwnLoad = func(i int) bool { return own(r.positions[i]) }
	return q
}

// wholeGang returns positions for a gang on the cheapest rack that can hold all of it now. Racks are left out in which
// it would use an executor that is slow or on which a member has failed.
func (o *Owner) wholeGang(w *waitingStep, p *pool, q placement.Query, now time.Duration) ([]int, string) {
	var best []int
	bestRack, least := "", 0.0
	for _, r := range p.racks() {
		chosen, cost, ok := tryGang(w, r.within(q), r.nodes)
		if !ok || (best != nil && cost >= least) {
			continue
		}
		positions := make([]int, len(chosen))
		for i, c := range chosen {
			positions[i] = r.positions[c]
		}
		if !w.suits(p, positions, now) {
			continue
		}
		best, bestRack, least = positions, r.rack, cost
	}
	return best, bestRack
}

// suits reports whether no executor at the positions is slow, and no member has failed on its one.
func (w *waitingStep) suits(p *pool, positions []int, now time.Duration) bool {
	for i, at := range positions {
		n := p.nodes[at]
		if n.speed.Slowdown(now) >= suspectSlowdown || slices.Contains(w.tasks[i].failedOn, n.info.ID) {
			return false
		}
	}
	return true
}

// placesForGang returns positions for all members of a gang; ok is false if the gang waits, for an executor or by choice for a rack.
func (o *Owner) placesForGang(w *waitingStep, p *pool, q placement.Query, now time.Duration) (chosen []int, ok bool) {
	w.countRackWaitTime(now)
	if !o.placeWaitsOn() || !w.wantsRack() {
		chosen, _, ok = tryGang(w, q, p.placementNodes)
		return chosen, ok
	}
	whole, rack := o.wholeGang(w, p, q, now)
	wanted := q.Step.DataRack
	if whole != nil && (wanted == "" || rack == wanted) {
		o.countGang(w, rack)
		return whole, true
	}
	if chosen, ok = whole, whole != nil; !ok {
		chosen, _, ok = tryGang(w, q, p.placementNodes)
	}
	if !ok {
		o.releaseGang(w, placewait.NoRack)
		return nil, false
	}
	if o.gangWaits(w, p, q, chosen, now) {
		w.rackWaitAt = now
		return nil, false
	}
	return chosen, true
}

// releaseGang ends the choice to wait.
func (o *Owner) releaseGang(w *waitingStep, reason placewait.Reason) {
	for _, t := range w.tasks {
		t.rackWait.active, t.rackWait.reason = false, reason
	}
}

// countGang counts the work of a gang for a rack and returns the rack's demand.
func (o *Owner) countGang(w *waitingStep, rack string) *rackDemand {
	d := o.rackDemand(rackKey{o.service(w.job.sub), rack})
	run := o.expectedRun(w)
	for _, t := range w.tasks {
		d.count(t, run)
	}
	return d
}

// gangWaits reports whether a gang waits for one rack, given where it could start now.
func (o *Owner) gangWaits(w *waitingStep, p *pool, q placement.Query, elsewhere []int, now time.Duration) bool {
	t := o.waitTask(w)
	t.Width, t.Waited = len(w.tasks), w.tasks[0].rackWait.waited(now)
	for _, i := range elsewhere {
		t.ElsewhereSlowdown = max(t.ElsewhereSlowdown, p.nodes[i].speed.Slowdown(now))
		t.Displaced = max(t.Displaced, min(1, o.demand(rackKey{o.service(w.job.sub), p.nodes[i].info.Rack}, w.job.sub.Priority, p, now)))
	}
	ranking := placement.Rank(q, p.placementNodes)
	best, bestRack, bestGain := placewait.Decision{Reason: placewait.NoRack}, "", time.Duration(0)
	for _, r := range p.racks() {
		if q.Step.DataRack != "" && r.rack != q.Step.DataRack {
			continue
		}
		state, ok := o.rackState(w, p, q, ranking, r.rack, t, now)
		if !ok {
			continue
		}
		state.Ahead = o.rackDemand(rackKey{o.service(w.job.sub), r.rack}).claims(q.Step.Request, nil)
		d := placewait.Decide(t, state, now)
		if bestRack == "" || d.Wait && (!best.Wait || d.There < best.There) {
			best, bestRack, bestGain = d, r.rack, placewait.Gain(t, state)
		}
	}
	if bestRack == "" {
		o.releaseGang(w, best.Reason)
		return false
	}
	if !best.Wait {
		// A gang without a data rack that does not wait wants none of the racks more than another.
		if q.Step.DataRack != "" {
			o.countGang(w, bestRack)
		}
		o.releaseGang(w, best.Reason)
		return false
	}
	d := o.countGang(w, bestRack)
	d.claim(q.Step.Request, t.Run, len(w.tasks))
	o.beginRackWait(w.tasks, bestRack, bestGain, best, now)
	return true
}

// endGangRackWait records the start of a gang that wants one rack.
func (o *Owner) endGangRackWait(w *waitingStep, now time.Duration) {
	if o.bounds.RemoteFactor > 1 && w.wantsRack() {
		o.endRackWait(w.tasks, !w.tasks[0].isRemote(), now)
	}
}
