package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/placewait"
	"github.com/chicorystand/chicorystand/control/task"
)

const (
	// demandWindow is the time constant by which the demand for a rack is averaged. Bursts of a few times the rack's room
	// are not taken for a lasting demand. A run counts with at most this time, so that a single long run is no demand beyond
	// the processors that it holds.
	demandWindow = 20 * time.Second
	// minDemand is the work in processor seconds below which the demand for a rack is forgotten.
	minDemand = 0.1
	// maxCountedSlots bounds the tasks of one step that are counted as room on one executor, since each is counted by a trial
	// and a task without a request would fit without end.
	maxCountedSlots = 64
	// minProjectedPercent is the progress from which the end of a run is projected from it: at one percent the
	// resolution alone makes the projection wrong by up to a factor of two.
	minProjectedPercent = 5
	// minRemaining is the shortest time to the expected end of a run: its report has to arrive.
	minRemaining = 100 * time.Millisecond
	// overdueShare is the share of its age that a run without known progress is expected to take beyond its estimate. The
	// longer a run is overdue, the less its estimate tells.
	overdueShare = 0.1
	// resumedShare is the share of its run time that a task with a checkpoint is expected to need. The progress at the
	// checkpoint is not known, and half is the mean of all that are possible.
	resumedShare = 0.5
)

// rackWait is the wait of a task for its preferred rack.
type rackWait struct {
	// since is when the wait began, 0 for none.
	since time.Duration
	// until is when the decision reverses, decideAt when it is taken again at the latest.
	until, decideAt time.Duration
	// active is set if the task waited by choice in the last pass, although it fits elsewhere.
	active bool
	// rack is the awaited rack, gain the time that a run elsewhere loses.
	rack string
	gain time.Duration
	// counted is set once the task counts as an arrival of its rack.
	counted bool
	reason  placewait.Reason
}

// rackKey identifies a rack of the executors of a service.
type rackKey struct{ service, rack string }

// claim is work that waits for a rack, as found earlier in the same pass.
type claim struct {
	need task.Resources
	run  time.Duration
	// count is the number of equal tasks in a row.
	count int
}

// rackDemand is what is known of the tasks that want a rack. It is advisory and starts empty after a takeover.
type rackDemand struct {
	// work is the weighted sum of the work that arrived recently, in processor seconds, by the priority of its queue.
	work map[int]float64
	// ahead is the work that waits for the rack, as found so far in the current pass.
	ahead []claim
	// capacity is that of the rack without runs that have no end, in thousandths of a processor, 0 until it is needed in the
	// current pass.
	capacity int64
}

// placeWaits is the state of all waits for racks.
type placeWaits struct {
	demand map[rackKey]*rackDemand
	// decayedAt is when the counts were last decayed.
	decayedAt time.Duration
	// endings are the runs of nodes by their expected ends, computed once in each pass.
	endings map[*node][]ending
	// reconsiderNext is the earliest time at which a decision to wait reverses, 0 for none.
	reconsiderNext time.Duration
}

func (o *Owner) placeWaitsOn() bool { return o.bounds.Features.PlaceWait && o.bounds.RemoteFactor > 1 }

// placeWaitDue reports whether a decision to wait reverses.
func (o *Owner) placeWaitDue(now time.Duration) bool {
	return o.placeWaits.reconsiderNext != 0 && now >= o.placeWaits.reconsiderNext
}

// beginPlaceWaits prepares the demand of all racks for a placement pass.
func (o *Owner) beginPlaceWaits(now time.Duration) {
	if !o.placeWaitsOn() {
		o.placeWaits = placeWaits{}
		return
	}
	s := &o.placeWaits
	s.reconsiderNext = 0
	weight := math.Exp(-float64(now-s.decayedAt) / float64(demandWindow))
	s.decayedAt = now
	for key, d := range s.demand {
		d.ahead, d.capacity = d.ahead[:0], 0
		for priority := range d.work {
			if d.work[priority] *= weight; d.work[priority] < minDemand {
				delete(d.work, priority)
			}
		}
		if len(d.work) == 0 {
			delete(s.demand, key)
		}
	}
}

// finishPlaceWaits drops what holds for one placement pass only.
func (o *Owner) finishPlaceWaits() { clear(o.placeWaits.endings) }

func (o *Owner) rackDemand(key rackKey) *rackDemand {
	d := o.placeWaits.demand[key]
	if d == nil {
		if o.placeWaits.demand == nil {
			o.placeWaits.demand = make(map[rackKey]*rackDemand)
		}
		d = &rackDemand{work: make(map[int]float64)}
		o.placeWaits.demand[key] = d
	}
	return d
}

// count adds the work of a task that wants the rack, once while it waits.
func (d *rackDemand) count(t *taskEntry, run time.Duration) {
	if !t.rackWait.counted {
		t.rackWait.counted = true
		d.work[t.job.sub.Priority] += min(run, demandWindow).Seconds() * float64(t.step().Request.CPU) / 1000
	}
}

// demand returns the share of the processors of a rack that is taken by the tasks of a priority or a higher one that want
// it. Processors of runs without end do not count.
func (o *Owner) demand(key rackKey, priority int, p *pool, now time.Duration) float64 {
	d := o.placeWaits.demand[key]
	if d == nil {
		return 0
	}
	if d.capacity == 0 {
		d.capacity = o.rackCapacity(key.rack, p, now)
	}
	work := 0.0
	for other, x := range d.work {
		if other <= priority {
			work += x
		}
	}
	return work / demandWindow.Seconds() * 1000 / float64(d.capacity)
}

// rackCapacity returns the processors of a rack that runs without end leave, in thousandths, at least 1.
func (o *Owner) rackCapacity(rack string, p *pool, now time.Duration) int64 {
	capacity := int64(0)
	for _, n := range p.nodes {
		if n.info.Rack == rack {
			capacity += n.placementNode.Capacity.CPU - o.endless(n, now)
		}
	}
	return max(1, capacity)
}

// endless returns the processors of the runs without end on a node, in thousandths.
func (o *Owner) endless(n *node, now time.Duration) int64 {
	sum, ends := int64(0), o.endings(n, now)
	for i := len(ends) - 1; i >= 0 && ends[i].left == never; i-- {
		sum += ends[i].task.reserved().CPU
	}
	return sum
}

// claim records that a number of waiting tasks want room before those that follow in the pass.
func (d *rackDemand) claim(need task.Resources, run time.Duration, count int) {
	if last := len(d.ahead) - 1; last >= 0 && d.ahead[last].need == need && d.ahead[last].run == run {
		d.ahead[last].count += count
		return
	}
	d.ahead = append(d.ahead, claim{need, run, count})
}

// rackDecider decides for the tasks of one step in one pass.
type rackDecider struct {
	owner  *Owner
	step   *waitingStep
	pool   *pool
	query  placement.Query
	demand *rackDemand
	task   placewait.Task
	state  placewait.Rack
	// sized is set once the state is known, declined once the rest of the step starts elsewhere for the same reason.
	sized, declined bool
	reason          placewait.Reason
}

// rackDecider returns the decision for a step whose tasks want a rack, nil for other steps.
func (o *Owner) rackDecider(w *waitingStep, p *pool, q placement.Query, now time.Duration) *rackDecider {
	w.countRackWaitTime(now)
	step := &w.job.sub.Steps[w.key.step]
	if !o.placeWaitsOn() || step.DataRack == "" || step.LongRunning {
		return nil
	}
	for _, t := range w.tasks {
		t.rackWait.active = false
	}
	key := rackKey{o.service(w.job.sub), step.DataRack}
	r := &rackDecider{owner: o, step: w, pool: p, query: q, demand: o.rackDemand(key), task: o.waitTask(w)}
	for _, t := range w.tasks {
		r.demand.count(t, r.task.Run)
	}
	return r
}

// waits reports whether a task waits for its rack, given the best executor for it now.
func (r *rackDecider) waits(t *taskEntry, best int, ranking *placement.Ranking, now time.Duration) bool {
	if r == nil {
		return false
	}
	rack := t.step().DataRack
	there := r.pool.placementNodes[best].Rack == rack
	if there || r.declined {
		t.rackWait.reason = r.reason
		return false
	}
	if now < t.rackWait.decideAt {
		t.rackWait.active = true
		r.demand.claim(t.step().Request, r.task.Run, 1)
		r.owner.reconsiderAt(t.rackWait.until)
		return true
	}
	if !r.sized && r.hasRoom(rack, ranking) {
		// The better choice for this task is another for a reason such as a fault there. The tasks that follow may take
		// the room.
		t.rackWait.reason = placewait.RoomNow
		return false
	}
	if !r.sized {
		r.size(rack, best, ranking, now)
	}
	if r.declined {
		t.rackWait.reason = r.reason
		return false
	}
	return r.decide(t, best, now)
}

// hasRoom reports whether an executor of the rack can take a task of the step now.
func (r *rackDecider) hasRoom(rack string, ranking *placement.Ranking) bool {
	for i, n := range r.pool.placementNodes {
		if n.Rack == rack && ranking.Fits(i) {
			return true
		}
	}
	return false
}

// size evaluates the rack once for the step. Nothing of the step starts there in this pass anymore, since it has no room.
func (r *rackDecider) size(rack string, best int, ranking *placement.Ranking, now time.Duration) {
	r.sized = true
	o := r.owner
	r.task.ElsewhereSlowdown = r.pool.nodes[best].speed.Slowdown(now)
	var usable bool
	r.state, usable = o.rackState(r.step, r.pool, r.query, ranking, rack, r.task, now)
	if !usable {
		r.decline(placewait.NoRack)
	}
}

func (r *rackDecider) decline(reason placewait.Reason) { r.declined, r.reason = true, reason }

func (r *rackDecider) decide(t *taskEntry, best int, now time.Duration) bool {
	o, step := r.owner, t.step()
	r.state.Ahead = r.demand.claims(step.Request, r.state.Ahead[:0])
	r.task.Displaced = min(1, o.demand(rackKey{o.service(t.job.sub), r.pool.placementNodes[best].Rack}, t.job.sub.Priority, r.pool, now))
	r.task.Waited = t.rackWait.waited(now)
	d := placewait.Decide(r.task, r.state, now)
	t.rackWait.reason = d.Reason
	if !d.Wait {
		if !ofOneTask(d.Reason) {
			r.decline(d.Reason)
		}
		return false
	}
	r.demand.claim(step.Request, r.task.Run, 1)
	o.beginRackWait([]*taskEntry{t}, step.DataRack, placewait.Gain(r.task, r.state), d, now)
	return true
}

// ofOneTask reports whether a reason against a wait holds for one task and not for those that follow in its step.
func ofOneTask(reason placewait.Reason) bool {
	return reason == placewait.RoomNow || reason == placewait.GainUsedUp || reason == placewait.DeadlineReached
}

// finish records what is left of a step after its tasks were placed. stuck is set if a task fits no executor.
func (r *rackDecider) finish(left []*taskEntry, stuck bool, now time.Duration) {
	if r == nil {
		return
	}
	for _, t := range left {
		switch {
		case stuck && !t.rackWait.active:
			r.demand.claim(t.step().Request, r.task.Run, 1)
		case !stuck && t.rackWait.active:
			r.step.rackWaitAt = now
		}
	}
}

// claims appends the work that waits before a task, in slots of its size.
func (d *rackDemand) claims(slot task.Resources, out []placewait.Claim) []placewait.Claim {
	for _, c := range d.ahead {
		out = append(out, placewait.Claim{Slots: slotsOf(c.need, slot), Run: c.run, Count: c.count})
	}
	return out
}

// slotsOf returns how many slots of a size an amount takes.
func slotsOf(need, slot task.Resources) float64 {
	n := 0.0
	for _, x := range [][2]int64{{need.CPU, slot.CPU}, {need.Memory, slot.Memory}, {need.Accelerators, slot.Accelerators}} {
		if x[1] > 0 {
			n = max(n, float64(x[0])/float64(x[1]))
		}
	}
	return n
}

func (h *rackWait) waited(now time.Duration) time.Duration {
	if h.since == 0 {
		return 0
	}
	return now - h.since
}

// reconsiderAt plans a placement pass for the time at which a decision reverses.
func (o *Owner) reconsiderAt(until time.Duration) {
	if o.placeWaits.reconsiderNext == 0 || until < o.placeWaits.reconsiderNext {
		o.placeWaits.reconsiderNext = until
	}
}

// beginRackWait marks tasks as waiting for a rack.
func (o *Owner) beginRackWait(tasks []*taskEntry, rack string, gain time.Duration, d placewait.Decision, now time.Duration) {
	o.reconsiderAt(d.Until)
	begun := tasks[0].rackWait.since == 0
	for _, t := range tasks {
		t.rackWait.active, t.rackWait.rack, t.rackWait.gain, t.rackWait.reason = true, rack, gain, d.Reason
		t.rackWait.until, t.rackWait.decideAt = d.Until, min(d.Until, now+placeInterval)
		if t.rackWait.since == 0 {
			t.rackWait.since = now
		}
	}
	if begun {
		o.counters.PlaceWaits++
		events.PlaceWaitBegun.Log(o.log).Str("task", tasks[0].name()).Int("tasks", len(tasks)).Str("rack", rack).Dur("until", d.Until-now).
			Dur("there", d.There).Dur("elsewhere", d.Elsewhere).Str("reason", d.Reason.String()).Send()
	}
}

// endRackWait records the start of a task or a gang that prefers a rack, and the end of its wait if it has waited.
func (o *Owner) endRackWait(tasks []*taskEntry, there bool, now time.Duration) {
	if !there {
		o.counters.RemoteStarts += uint64(len(tasks))
	}
	wait := tasks[0].rackWait
	for _, t := range tasks {
		t.rackWait = rackWait{}
	}
	if wait.since == 0 {
		return
	}
	reason := wait.reason
	if there {
		o.counters.PlaceWaitsLocal++
		reason = placewait.RoomNow
	} else {
		o.counters.PlaceWaitsRemote++
	}
	events.PlaceWaitEnded.Log(o.log).Str("task", tasks[0].name()).Int("tasks", len(tasks)).Str("rack", wait.rack).Bool("local", there).
		Dur("waited", now-wait.since).Str("reason", reason.String()).Send()
}

// endTaskRackWait records the start of a task that is not a member of a gang. Remote starts are counted also while no task waits.
func (o *Owner) endTaskRackWait(t *taskEntry, now time.Duration) {
	if s := t.step(); o.bounds.RemoteFactor > 1 && !s.Gang && s.DataRack != "" && !s.LongRunning {
		o.endRackWait([]*taskEntry{t}, t.node.info.Rack == s.DataRack, now)
	}
}

// countRackWaitTime adds the time since the last pass if the step waited for its rack then.
func (w *waitingStep) countRackWaitTime(now time.Duration) {
	if w.rackWaitAt != 0 {
		w.rackWaitTime += now - w.rackWaitAt
		w.rackWaitAt = 0
	}
}

// waited returns how long the step has waited for want of an executor. The time for which it waits for a rack by choice
// does not count.
func (w *waitingStep) waited(now time.Duration) time.Duration {
	waited := now - w.since - w.rackWaitTime
	if w.rackWaitAt != 0 {
		waited -= now - w.rackWaitAt
	}
	return waited
}

// waitTask returns what a decision needs to know of the tasks of a step.
func (o *Owner) waitTask(w *waitingStep) placewait.Task {
	ratio, spread := o.accuracy(w.job.sub.Queue)
	key := w.orderingKey()
	path := time.Duration(float64(key.RemainingPath) * ratio * o.bounds.RemoteFactor)
	return placewait.Task{Width: 1, Run: o.expectedRun(w), Spread: spread, RemoteFactor: o.bounds.RemoteFactor, ElsewhereSlowdown: 1, LatestElsewhere: key.SoftDeadline - path}
}

// accuracy returns the typical ratio of run time to estimate in a queue and the spread of the run times around it, 1 and
// the highest spread while they are unknown.
func (o *Owner) accuracy(queue string) (ratio, spread float64) {
	if e := o.estimates[queue]; e != nil {
		if ratio, spread, ok := e.Accuracy(); ok {
			return ratio, spread
		}
	}
	return 1, placewait.MaxSpread
}

// expectedRun returns the expected run time of a waiting step's tasks at full speed near their data.
func (o *Owner) expectedRun(w *waitingStep) time.Duration {
	run := o.expectedFullRun(w.job, w.key)
	for _, t := range w.tasks {
		if t.rec.Checkpoint != "" {
			return time.Duration(float64(run) * resumedShare)
		}
	}
	return run
}

// expectedFullRun returns the expected run time of a step's tasks from their start, at full speed near their data. Other than
// expectedDuration, by which the speed of executors is measured, it also uses estimates that vary much.
func (o *Owner) expectedFullRun(j *job, k stepKey) time.Duration {
	if d, ok := j.stepDurations(k).MedianElsewhere(""); ok {
		return d
	}
	ratio, _ := o.accuracy(j.sub.Queue)
	return time.Duration(float64(j.sub.Steps[k.step].Estimate) * ratio)
}

// rackState evaluates the room of a rack for a step. ok is false if no executor there could hold a task of it.
func (o *Owner) rackState(w *waitingStep, p *pool, q placement.Query, ranking *placement.Ranking, rack string, t placewait.Task, now time.Duration) (placewait.Rack, bool) {
	var state placewait.Rack
	longest := 2 * placewait.Gain(t, state)
	nodes, empty, slowdown := 0, 0, 0.0
	for i, n := range p.nodes {
		c := p.placementNodes[i]
		if c.Rack != rack || !placement.FitsWhenEmpty(q.Step, c) || (q.Allowed != nil && !q.Allowed(c.ID)) {
			continue
		}
		empty++
		if t.Width > 1 {
			bare := *c
			bare.Reserved, bare.BestEffortCPU, bare.LatencyCriticalCPU = task.Resources{}, 0, 0
			empty += newRoom(q, bare).slots - 1
		}
		r := newRoom(q, *c)
		if r.slots > 0 && !ranking.Fits(i) {
			// The task would interfere with others there.
			continue
		}
		nodes++
		slowdown += n.speed.Slowdown(now)
		state.Free += float64(r.slots)
		state.Releases = append(state.Releases, o.releases(w, n, r, longest, now)...)
	}
	if nodes == 0 || empty < t.Width {
		return state, false
	}
	slices.SortStableFunc(state.Releases, func(a, b placewait.Release) int { return cmp.Compare(a.At, b.At) })
	state.Slowdown, state.Taken = slowdown/float64(nodes), p.reservedShare()
	state.Demand = o.demand(rackKey{o.service(w.job.sub), rack}, w.job.sub.Priority, p, now)
	return state, true
}

// room counts how many tasks of a step a copy of a node can take.
type room struct {
	query       placement.Query
	node        placement.Node
	slots, most int
}

func newRoom(q placement.Query, n placement.Node) *room {
	r := &room{query: q, node: n, most: maxCountedSlots}
	if s := q.Step; s.MaxPerExecutor > 0 {
		r.most = min(r.most, max(0, s.MaxPerExecutor-q.OnNode(n.ID)))
	}
	r.fill()
	return r
}

// fill adds tasks as long as the node can take more, and returns how many it has added.
func (r *room) fill() int {
	before := r.slots
	for r.slots < r.most && placement.Fits(r.query, &r.node) {
		addTask(&r.node, r.query.Step.Request, r.query.Step.BestEffort)
		r.slots++
	}
	return r.slots - before
}

// release takes a run off the node.
func (r *room) release(t *taskEntry) {
	r.node.Reserved = r.node.Reserved.Sub(t.reserved())
	if t.step().BestEffort {
		r.node.BestEffortCPU -= t.bestEffortCPU(t.speedLimit)
	}
}

// addTask adds a task to a copy of a node.
func addTask(n *placement.Node, request task.Resources, bestEffort bool) {
	if bestEffort {
		n.BestEffortCPU += request.CPU
		request.CPU = 0
	}
	n.Reserved = n.Reserved.Add(request)
}

// ending is a run with the time to its expected end, which never comes for a run without end.
type ending struct {
	task *taskEntry
	left time.Duration
}

// never is the time to the end of a run without end. It is above the longest wait, so that the run's slots are no room.
const never = time.Duration(math.MaxInt64)

// endings returns the runs of a node in the order of their expected ends.
func (o *Owner) endings(n *node, now time.Duration) []ending {
	if ends, ok := o.placeWaits.endings[n]; ok {
		return ends
	}
	ends := make([]ending, 0, len(n.tasks))
	for t := range n.tasks {
		ends = append(ends, ending{t, o.expectedRemaining(t, now)})
	}
	sortEndings(ends)
	if o.placeWaits.endings == nil {
		o.placeWaits.endings = make(map[*node][]ending)
	}
	o.placeWaits.endings[n] = ends
	return ends
}

func sortEndings(ends []ending) {
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.left, b.left) })
}

// releases returns when slots for a step come free on a node within the longest wait.
func (o *Owner) releases(w *waitingStep, n *node, r *room, longest, now time.Duration) []placewait.Release {
	var out []placewait.Release
	for _, e := range o.withPreemptions(w, o.endings(n, now), longest/2) {
		if e.left >= longest {
			break
		}
		r.release(e.task)
		if added := r.fill(); added > 0 {
			out = append(out, placewait.Release{At: now + e.left, Slots: float64(added)})
		}
	}
	return out
}

// withPreemptions returns the ends of a node's runs as they are if the step preempts what makes room for one of its tasks
// and loses less than that gains. The pass that preempts makes room for one task on each executor at a time.
func (o *Owner) withPreemptions(w *waitingStep, ends []ending, gain time.Duration) []ending {
	step := &w.job.sub.Steps[w.key.step]
	if step.BestEffort || step.Gang || !slices.ContainsFunc(ends, func(e ending) bool { return e.task.preemptibleBy(w.job.sub.Priority) }) {
		return ends
	}
	after := preemptInterval + o.bounds.StopTimeout + placeInterval
	changed := slices.Clone(ends)
	slices.SortStableFunc(changed, func(a, b ending) int { return cmp.Compare(a.task.evictionLoss(), b.task.evictionLoss()) })
	var loss time.Duration
	freed := int64(0)
	for i, e := range changed {
		if freed >= step.Request.CPU {
			break
		}
		if !e.task.preemptibleBy(w.job.sub.Priority) {
			continue
		}
		if loss += e.task.evictionLoss(); loss >= gain {
			return ends
		}
		freed += e.task.reserved().CPU
		changed[i].left = min(e.left, after)
	}
	sortEndings(changed)
	return changed
}

// expectedRemaining returns the expected time to the end of a run.
func (o *Owner) expectedRemaining(t *taskEntry, now time.Duration) time.Duration {
	if t.stopping {
		return o.bounds.StopTimeout
	}
	if t.step().LongRunning {
		return never
	}
	age, percent := now-t.changedAt, min(t.progressPercent, 100)
	if t.fullRun && t.phase == phaseRunning && percent >= minProjectedPercent && t.speedLimit == fullSpeed && t.progressAt > t.changedAt {
		whole := time.Duration(float64(t.progressAt-t.changedAt) * 100 / float64(percent))
		return max(whole-age, minRemaining)
	}
	whole := float64(o.expectedFullRun(t.job, t.stepKey())) * o.remoteFactorOf(t) * t.node.speed.Slowdown(now)
	left := time.Duration(whole * float64(100-percent) / 100)
	if percent == 0 {
		left = max(left-age, time.Duration(overdueShare*float64(age)))
	}
	return max(left, minRemaining)
}

// remoteFactorOf returns by which factor a run takes longer since it is away from its data or its gang is split.
func (o *Owner) remoteFactorOf(t *taskEntry) float64 {
	if !o.placeWaitsOn() || t.node == nil || !t.isRemote() {
		return 1
	}
	return o.bounds.RemoteFactor
}

// runLocation tells where a run is.
type runLocation uint8

const (
	// locationUnknown: the racks of the gang's runs are not determined yet.
	locationUnknown runLocation = iota
	// locationLocal: the run is at its data, and its gang on one rack if it prefers that.
	locationLocal
	// locationRemote: the run is away from its data, or its gang is split over racks.
	locationRemote
)

// isRemote reports whether the run is away from its data, or its gang is split over racks.
func (t *taskEntry) isRemote() bool {
	s := t.step()
	if !s.Gang {
		return s.DataRack != "" && t.node.info.Rack != s.DataRack
	}
	if t.location == locationUnknown {
		return t.locateGang()
	}
	return t.location == locationRemote
}

// locateGang reports whether a member of the gang is away from its data or on another rack, and stores that once the
// racks of all runs are known.
func (t *taskEntry) locateGang() bool {
	s, members := t.step(), t.job.stepTasks(t.stepKey())
	location, complete := locationLocal, true
	for _, member := range members {
		if member.node == nil {
			complete = false
			continue
		}
		// The rack is not known before the first report of an executor that a new owner knows from the records only.
		complete = complete && member.node.info.Rack != ""
		if s.DataRack != "" && member.node.info.Rack != s.DataRack || s.SameRack && member.node.info.Rack != t.node.info.Rack {
			location = locationRemote
		}
	}
	if complete {
		for _, member := range members {
			member.location = location
		}
	}
	return location == locationRemote
}

// preemptionPool returns the executors on which runs may be preempted for a waiting task, and the loss up to which that
// is worth it, 0 for any. A task that waits for its rack by choice preempts only there.
func (o *Owner) preemptionPool(w *waitingStep, t *taskEntry, p *pool, now time.Duration) (*pool, time.Duration) {
	if !t.rackWait.active {
		if w.waited(now) < preemptDelay {
			return new(pool), 0
		}
		return p, 0
	}
	rack := new(pool)
	for i, n := range p.nodes {
		if n.info.Rack == t.rackWait.rack {
			rack.nodes = append(rack.nodes, n)
			rack.placementNodes = append(rack.placementNodes, p.placementNodes[i])
		}
	}
	return rack, t.rackWait.gain
}
