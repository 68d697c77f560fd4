package scheduler

import (
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/control/scheduler/quarantine"
	"github.com/chicorystand/chicorystand/control/scheduler/queue"
	"github.com/chicorystand/chicorystand/control/scheduler/scoring"
	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

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
