// Package scheduler runs the scheduling systems over the tables on each tick and
// returns their effects. It performs no I/O; a tick depends only on the tables,
// the time and the random source.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/scheduler/eviction"
	"github.com/chicorystand/chicorystand/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/scheduler/interference"
	"github.com/chicorystand/chicorystand/scheduler/quarantine"
	"github.com/chicorystand/chicorystand/scheduler/queue"
	"github.com/chicorystand/chicorystand/scheduler/scoring"
	"github.com/chicorystand/chicorystand/scheduler/sizing"
	"github.com/chicorystand/chicorystand/scheduler/tables"
	"github.com/chicorystand/chicorystand/task"
)

// EffectKind selects what an effect does.
type EffectKind uint8

// Effect kinds.
const (
	// Assign places the task on the VM with the reservation.
	Assign EffectKind = iota
	// Evict checkpoints and stops the task on its VM and makes it pending again.
	Evict
	// Reject ends a task that can never run.
	Reject
	// Park sets a task aside that failed on several VMs.
	Park
	// Grow reports that a task uses more than its reservation; Reservation is what would
	// cover the use. The VM may throttle or checkpoint the task. When Reason is
	// errkind.CapacityExceeded, the VM cannot hold the larger reservation.
	Grow
	// Quarantine reports that the VM gets no work except for probes.
	Quarantine
)

// Effect is one decision of a tick.
type Effect struct {
	Kind        EffectKind
	Task        string
	VM          string
	Reservation task.Resources
	Reason      errkind.Kind
	Detail      string
}

// Limits of one tick and of holds.
const (
	// maxFailedSearches bounds the searches without result in a tick. Tasks of the same
	// customer, job class, size and zone share one search.
	maxFailedSearches = 64
	// firstRetry and lastRetry bound the wait before a shape without a place is searched
	// again. Urgent tasks do not wait.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
	// maxEvictionSearches bounds the searches for victims in a tick.
	maxEvictionSearches = 8
	// victimVMs is the number of VMs compared in such a search.
	victimVMs = 8
	// holdTime keeps room for the task it was made for; an eviction takes at most 2 s.
	holdTime = 5 * time.Second
	// drainTime keeps a VM free of new tasks, so that it empties by itself. One VM in
	// vmsPerHold may be held. Starving tasks that are not urgent get drainsFirst such waits
	// before others are evicted for them.
	drainTime   = 2 * time.Minute
	vmsPerHold  = 20
	drainsFirst = 2
	// hotTail and hotReports make a VM a candidate for relief: the guard has had the time
	// of two reports to bring the tail down.
	hotTail    = 1.2
	hotReports = 3
	// waveShare is the part of services that may be hot before relief stops, since a wave
	// that hits many VMs is not caused by where tasks were placed.
	waveShare = 0.25
)

// Config configures a scheduler.
type Config struct {
	// TailWeight weighs tail latency (1) against batch throughput and evictions (0).
	TailWeight float64
	// Seed seeds the choice among VMs of equal score.
	Seed uint64
	// RejectAfter is the time from the first tick with a VM before a task is rejected for
	// exceeding every VM. A new owner learns of its VMs within one heartbeat.
	RejectAfter time.Duration
}

// DefaultConfig weighs tail latency and throughput alike.
func DefaultConfig() Config { return Config{TailWeight: 0.5, RejectAfter: 10 * time.Second} }

// Limits returns the pressure up to which batch tasks are placed beside services: as much
// as is expected to keep the tail below a part of the target, given the service's tail
// without batch tasks at its load.
func (c Config) Limits(t *tables.Tables) *tables.Limits {
	w := min(max(c.TailWeight, 0), 1)
	return t.LimitsOf(maxTail-maxTailRange*w, unknownLimit-unknownRange*w)
}

// Tail that placements may be expected to cause, as a fraction of the target, at tail
// weight 0, and how much less it is at tail weight 1; and the same for the pressure beside
// a service that reports no tail.
const (
	maxTail      = 0.94
	maxTailRange = 0.01
	unknownLimit = 0.3
	unknownRange = 0.2
)

// Scheduler holds what the systems keep between ticks besides the tables.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	queue   queue.Queue
	budget  eviction.Budget
	holds   map[string]hold
	drains  map[string]int
	probing map[string]struct{}
	hot     map[string]int
	failed  map[shape]*failure
	since   time.Duration
	started bool
}

// hold keeps a VM for a task for which others were evicted.
type hold struct {
	vm    string
	until time.Duration
}

// New returns a scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), holds: make(map[string]hold), drains: make(map[string]int),
		probing: make(map[string]struct{}), hot: make(map[string]int), failed: make(map[shape]*failure)}
}

// tick is the state of one run of the systems.
type tick struct {
	*Scheduler
	t        *tables.Tables
	now      time.Duration
	effects  []Effect
	planned  []plan
	failures int
	searches int
	evicting map[string]bool
}

type plan struct {
	tk   *tables.Task
	vm   *tables.VM
	need task.Resources
}

// shape is what the outcome of a search depends on.
type shape struct {
	job  tables.JobKey
	need task.Resources
	zone string
}

// failure is the last search for a shape without result.
type failure struct {
	reason tables.Reason
	// at is the time of the search.
	at time.Duration
	// until is the time before which the shape is not searched again, tries the number of
	// failures in a row.
	until time.Duration
	tries int
}

// Tick runs every system once. Reservations of the returned assignments are
// not yet applied to the tables; the caller applies effects that it commits.
func (s *Scheduler) Tick(t *tables.Tables, now time.Duration) []Effect {
	t.Now = now
	if !s.started && len(t.VMs) > 0 {
		s.started, s.since = true, now
	}
	k := &tick{Scheduler: s, t: t, now: now, evicting: make(map[string]bool)}
	k.ingest()
	quarantine.Run(t, s.probing, now)
	k.expireHolds()
	k.expireFailures()
	k.place()
	for i := len(k.planned) - 1; i >= 0; i-- {
		p := k.planned[i]
		t.Unreserve(p.vm, p.tk, p.need)
	}
	return k.effects
}

// ingest runs the learning systems over the reports since the last tick.
func (k *tick) ingest() {
	reports, ended := k.t.TakeReports()
	for _, e := range ended {
		sizing.Finish(k.t, e)
		if quarantine.Learn(k.t, e, k.now) {
			k.effects = append(k.effects, Effect{Kind: Quarantine, VM: e.VM, Task: e.Task, Reason: errkind.NotReady})
		}
	}
	for _, r := range reports {
		interference.Learn(k.t, r)
		for _, g := range sizing.Learn(k.t, r) {
			k.grow(g)
		}
		k.heat(r)
	}
	for _, r := range reports {
		k.relieve(r.VM)
	}
}

// grow reports growth, and moves tasks when the VM's memory is not enough for it.
func (k *tick) grow(g sizing.Grow) {
	e := Effect{Kind: Grow, Task: g.Task.Record.Spec.ID, VM: g.Task.Record.VM, Reservation: g.Need}
	if g.Overflow {
		e.Reason = errkind.CapacityExceeded
	}
	k.effects = append(k.effects, e)
	v := k.t.VMs[g.Task.Record.VM]
	extra := task.Resources{Memory: g.Need.Memory - g.Task.Reserved.Memory}
	if !g.Overflow || extra.Fits(v.Free()) {
		return
	}
	victims, _ := eviction.Victims(k.t, v, extra, k.now)
	k.evict(victims, errkind.CapacityExceeded, "memory beyond the reservations")
}

// heat counts consecutive reports of a tail above target.
func (k *tick) heat(r tables.Report) {
	switch {
	case r.Tail > hotTail:
		k.hot[r.VM]++
	default:
		delete(k.hot, r.VM)
	}
}

// relieve moves the most harmful task off a VM that the guard could not bring below target.
func (k *tick) relieve(vm string) {
	v, ok := k.t.VMs[vm]
	if !ok || k.hot[vm] < hotReports || float64(len(k.hot)) > max(waveShare*float64(len(k.t.VMs)), 1) {
		return
	}
	if v.Pressure <= k.cfg.Limits(k.t).On(v.Service, v.Load) {
		return
	}
	if tk := eviction.Relief(k.t, v, k.now); tk != nil && k.evict([]*tables.Task{tk}, errkind.SlotsFull, "service above its latency target") {
		delete(k.hot, vm)
	}
}

// evict appends the evictions when they are within the budget.
func (k *tick) evict(victims []*tables.Task, reason errkind.Kind, detail string) bool {
	if len(victims) == 0 {
		return false
	}
	for _, tk := range victims {
		if k.evicting[tk.Record.Spec.ID] {
			return false
		}
	}
	if !k.budget.Take(len(victims), len(k.t.Tasks)-len(k.t.Pending), k.now) {
		return false
	}
	for _, tk := range victims {
		k.evicting[tk.Record.Spec.ID] = true
		k.effects = append(k.effects, Effect{Kind: Evict, Task: tk.Record.Spec.ID, VM: tk.Record.VM, Reason: reason, Detail: detail})
	}
	return true
}

func (k *tick) expireHolds() {
	for id, h := range k.holds {
		tk, ok := k.t.Tasks[id]
		if k.now >= h.until || !ok || tk.Record.State != task.Pending {
			k.release(id, h)
		}
		if !ok || tk.Record.State != task.Pending {
			delete(k.drains, id)
		}
	}
}

func (k *tick) release(id string, h hold) {
	if v, ok := k.t.VMs[h.vm]; ok && v.HeldFor == id {
		v.HeldFor = ""
	}
	delete(k.holds, id)
}

// place serves the queue until it is empty or too many searches failed.
func (k *tick) place() {
	if len(k.t.Pending) == 0 {
		return
	}
	q := queue.New(k.t, k.now, &k.queue)
	for tk := q.Pop(k.now); tk != nil; tk = q.Pop(k.now) {
		if k.failures >= maxFailedSearches {
			tk.Refuse(tables.NotTried)
			return
		}
		k.placeOne(tk)
	}
}

func (k *tick) placeOne(tk *tables.Task) {
	spec := &tk.Record.Spec
	need := sizing.Reservation(k.t, tk, k.cfg.TailWeight)
	sh := shape{tk.Job(), need, spec.Zone}
	_, held := k.holds[spec.ID]
	if f, ok := k.failed[sh]; ok && !held && (f.until > k.now && !spec.Urgent || f.at == k.now) {
		tk.Refuse(f.reason)
		return
	}
	c := k.t.Customer(spec.Customer)
	if kind, detail := feasibility.Never(k.t, tk, c); kind != errkind.None && (k.now-k.since >= k.cfg.RejectAfter || feasibility.BeyondPlan(tk, c)) {
		k.effects = append(k.effects, Effect{Kind: Reject, Task: spec.ID, Reason: kind, Detail: detail})
		return
	}
	if reason := feasibility.Quota(c, need); reason != tables.Placed {
		k.refuse(tk, sh, reason)
		return
	}
	v, reason := k.choose(tk, need)
	if v == nil {
		k.refuse(tk, sh, reason)
		k.makeRoom(tk, need, reason)
		return
	}
	k.assign(tk, v, need)
}

// refuse records the reason and delays the next search for the shape, so that tasks
// without a place do not take the searches from those behind them.
func (k *tick) refuse(tk *tables.Task, sh shape, reason tables.Reason) {
	k.failures++
	f, ok := k.failed[sh]
	if !ok {
		f = &failure{}
		k.failed[sh] = f
	}
	f.reason, f.at = reason, k.now
	f.until = k.now + min(firstRetry<<min(f.tries, 10), lastRetry)
	f.tries++
	tk.Refuse(reason)
}

// expireFailures forgets shapes that were not searched for a while.
func (k *tick) expireFailures() {
	for sh, f := range k.failed {
		if k.now >= f.until+lastRetry {
			delete(k.failed, sh)
		}
	}
}

func (k *tick) assign(tk *tables.Task, v *tables.VM, need task.Resources) {
	id := tk.Record.Spec.ID
	if h, ok := k.holds[id]; ok {
		k.release(id, h)
	}
	delete(k.drains, id)
	if quarantine.Started(v, id) {
		k.probing[v.ID] = struct{}{}
	}
	tk.Refused, tk.Waiting = tables.Placed, errkind.None
	delete(k.failed, shape{tk.Job(), need, tk.Record.Spec.Zone})
	k.t.Reserve(v, tk, need)
	k.planned = append(k.planned, plan{tk, v, need})
	k.effects = append(k.effects, Effect{Kind: Assign, Task: id, VM: v.ID, Reservation: need})
}

// choose returns the best VM. The rule about racks is dropped when it alone is in the way.
func (k *tick) choose(tk *tables.Task, need task.Resources) (*tables.VM, tables.Reason) {
	r := k.cfg.Request(k.t, tk, need)
	v, reason := k.search(r)
	if v == nil && reason == tables.RackFull {
		r.AnyRack = true
		v, reason = k.search(r)
	}
	return v, reason
}

// search returns a feasible VM with the highest score. It compares groups and rows, and
// looks at VMs only in rows that beat the best so far.
func (k *tick) search(r feasibility.Request) (*tables.VM, tables.Reason) {
	f := finder{tick: k, r: r, low: tables.CPUBin(r.Need.CPU), col: tables.MemoryBin(r.Need.Memory)}
	f.s = ScoringRequest(r, k.cfg.TailWeight)
	for _, g := range k.t.Groups() {
		f.group(g)
	}
	if f.best != nil {
		return f.best, tables.Placed
	}
	return nil, f.reason()
}

// Request returns what feasibility depends on for a task with the reservation.
func (c Config) Request(t *tables.Tables, tk *tables.Task, need task.Resources) feasibility.Request {
	return feasibility.Request{Task: tk, Need: need, Limits: c.Limits(t), Harms: t.HarmsOf(tk.Record.Spec.JobClass)}
}

// ScoringRequest returns what the scores of a placement depend on.
func ScoringRequest(r feasibility.Request, tailWeight float64) scoring.Request {
	spec := &r.Task.Record.Spec
	return scoring.Request{Class: spec.Class, Need: r.Need, TailWeight: tailWeight, Harms: r.Harms}
}

// finder is one search.
type finder struct {
	*tick
	r        feasibility.Request
	s        scoring.Request
	low, col uint8

	best    *tables.VM
	score   float64
	refused [tables.NumReasons]int
}

func (f *finder) group(g *tables.Group) {
	switch {
	case f.r.Task.Record.Spec.Zone != "" && f.r.Task.Record.Spec.Zone != g.Zone:
		f.refused[tables.WrongZone] += g.Size
		return
	case int64(g.Accelerators) < min(f.r.Need.Accelerators, tables.MaxAccelerators):
		f.refused[tables.NoAccelerators] += g.Size
		return
	}
	if f.harmful(g) {
		f.refused[tables.TooHarmful] += g.Size
		return
	}
	rows := g.Rows(f.low)
	if rows == 0 {
		f.refused[tables.NoCPU] += g.Size
		return
	}
	base := scoring.Group(f.t, f.s, g)
	for rows != 0 {
		var row uint8
		row, rows = tables.Next(rows)
		if score := base + scoring.Row(f.s, g, row); f.best == nil || score > f.score {
			if v := f.row(g, row); v != nil {
				f.best, f.score = v, score
			}
		}
	}
}

// harmful reports whether every VM of the group is refused for its pressure.
func (f *finder) harmful(g *tables.Group) bool {
	edge := tables.PressureEdge(g.Pressure)
	if g.Service == "" || edge == 0 || f.s.Class != task.Batch {
		return false
	}
	limit := f.r.Limits.Highest(g.Service, g.Load)
	if edge <= limit/2 {
		return false
	}
	own := f.r.Harms.On(g.Service, g.Load) * float64(f.r.Need.CPU) / 1000
	return own > feasibility.Negligible && edge+own > limit
}

// row returns a feasible VM of the row. The first VM looked at in each cell is random, so
// that equal VMs share the work.
func (f *finder) row(g *tables.Group, row uint8) *tables.VM {
	cols := g.Columns(row, f.col)
	if cols == 0 {
		f.refused[tables.NoMemory]++
	}
	for cols != 0 {
		var col uint8
		col, cols = tables.Next(cols)
		cell := g.Cell(row, col)
		start := f.rng.IntN(len(cell))
		for i := range cell {
			v := cell[(start+i)%len(cell)]
			reason := feasibility.Filter(f.t, f.r, v, f.now)
			if reason == tables.Placed {
				return v
			}
			f.refused[reason]++
		}
	}
	return nil
}

// reason returns the refusal to report: that of the VMs that came closest to taking the task.
func (f *finder) reason() tables.Reason {
	for _, r := range []tables.Reason{tables.RackFull, tables.TooHarmful, tables.RoomHeld, tables.Quarantined, tables.NoMemory,
		tables.NoCPU, tables.NoAccelerators, tables.VMDraining, tables.NoVM, tables.WrongZone} {
		if f.refused[r] > 0 {
			return r
		}
	}
	return tables.NoVM
}

// makeRoom evicts batch tasks for an urgent or starving task that found no place.
func (k *tick) makeRoom(tk *tables.Task, need task.Resources, reason tables.Reason) {
	spec := &tk.Record.Spec
	if !spec.Urgent && k.now-tk.Submitted < queue.Starving {
		return
	}
	if _, ok := k.holds[spec.ID]; ok || reason.Kind() != errkind.CapacityExceeded || k.searches >= maxEvictionSearches {
		return
	}
	k.searches++
	var best *tables.VM
	var victims []*tables.Task
	var least time.Duration
	for _, v := range k.roomiest(tk, need) {
		if list, loss := eviction.Victims(k.t, v, need, k.now); len(list) > 0 && (best == nil || loss < least) {
			best, victims, least = v, list, loss
		}
	}
	if best == nil {
		return
	}
	until := k.now + holdTime
	drain := !spec.Urgent && k.drains[spec.ID] < drainsFirst
	if drain || !k.evict(victims, errkind.CapacityExceeded, "room for task "+spec.ID) {
		if len(k.holds) >= max(1, len(k.t.VMs)/vmsPerHold) {
			return
		}
		until = k.now + drainTime
		k.drains[spec.ID]++
	}
	best.HeldFor = spec.ID
	k.holds[spec.ID] = hold{best.ID, until}
}

// roomiest returns VMs that could hold the amount when empty, those with many free
// processors first within each group.
func (k *tick) roomiest(tk *tables.Task, need task.Resources) []*tables.VM {
	var out []*tables.VM
	groups := k.t.Groups()
	if len(groups) == 0 {
		return nil
	}
	start := k.rng.IntN(len(groups))
	for i := range groups {
		if len(out) >= victimVMs {
			break
		}
		if v := k.roomiestOf(groups[(start+i)%len(groups)], tk, need); v != nil {
			out = append(out, v)
		}
	}
	return out
}

func (k *tick) roomiestOf(g *tables.Group, tk *tables.Task, need task.Resources) *tables.VM {
	for row := tables.Bins - 1; row >= 0; row-- {
		for cols := g.Columns(uint8(row), 0); cols != 0; {
			var col uint8
			col, cols = tables.Next(cols)
			for _, v := range g.Cell(uint8(row), col) {
				if need.Fits(v.Capacity.Sub(v.ServiceHeld)) && feasibility.Available(tk, v, k.now) == tables.Placed {
					return v
				}
			}
		}
	}
	return nil
}
