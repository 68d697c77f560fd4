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

// place removes tasks from the queue until it is empty or maxFailedSearches is reached.
func (k *pass) place() {
	if len(k.t.Pending) == 0 {
		return
	}
	q := queue.New(k.t, k.now, &k.queue)
	for tk := q.Pop(k.now); tk != nil; tk = q.Pop(k.now) {
		if k.searchFailures >= maxFailedSearches {
			tk.RecordRefusal(tables.NotSearched)
			return
		}
		k.placeOne(tk)
	}
}

func (k *pass) placeOne(tk *tables.Task) {
	spec := &tk.Record.Spec
	need := sizing.Reservation(k.t, tk, k.cfg.TailWeight)
	key := searchKey{tk.Job(), need, spec.Zone}
	_, hasHold := k.holds[spec.ID]
	if f, ok := k.failedSearches[key]; ok && !hasHold && (f.retryAt > k.now && !spec.Urgent || f.searchedAt == k.now) {
		tk.RecordRefusal(f.reason)
		return
	}
	c := k.t.Customer(spec.Customer)
	if kind, detail := feasibility.Infeasible(k.t, tk, c); kind != errkind.None && (k.now-k.firstVMAt >= k.cfg.RejectDelay || feasibility.ExceedsPlan(tk, c)) {
		k.decisions = append(k.decisions, Decision{Kind: Reject, Task: spec.ID, Reason: kind, Detail: detail})
		return
	}
	if reason := feasibility.CheckQuota(c, need); reason != tables.Placed {
		k.recordFailedSearch(tk, key, reason)
		return
	}
	v, reason := k.chooseVM(tk, need)
	if v == nil {
		k.recordFailedSearch(tk, key, reason)
		k.preempt(tk, need, reason)
		return
	}
	k.assign(tk, v, need)
}

// recordFailedSearch records the reason and delays the next search for the key, so that tasks
// that cannot be placed do not use up the searches of a pass before those behind them.
func (k *pass) recordFailedSearch(tk *tables.Task, key searchKey, reason tables.Reason) {
	k.searchFailures++
	f, ok := k.failedSearches[key]
	if !ok {
		f = &failedSearch{}
		k.failedSearches[key] = f
	}
	f.reason, f.searchedAt = reason, k.now
	f.retryAt = k.now + min(minSearchBackoff<<min(f.failures, 10), maxSearchBackoff)
	f.failures++
	tk.RecordRefusal(reason)
}

// expireFailedSearches drops keys that were not searched for maxSearchBackoff after their retry time.
func (k *pass) expireFailedSearches() {
	for key, f := range k.failedSearches {
		if k.now >= f.retryAt+maxSearchBackoff {
			delete(k.failedSearches, key)
		}
	}
}

func (k *pass) assign(tk *tables.Task, v *tables.VM, need task.Resources) {
	id := tk.Record.Spec.ID
	if h, ok := k.holds[id]; ok {
		k.release(id, h)
	}
	delete(k.drains, id)
	if quarantine.StartProbe(v, id) {
		k.probing[v.ID] = struct{}{}
	}
	tk.LastRefusal, tk.WaitingReason = tables.Placed, errkind.None
	delete(k.failedSearches, searchKey{tk.Job(), need, tk.Record.Spec.Zone})
	k.t.Reserve(v, tk, need)
	k.assignments = append(k.assignments, assignment{tk, v, need})
	k.decisions = append(k.decisions, Decision{Kind: Assign, Task: id, VM: v.ID, Reservation: need})
}

// chooseVM returns the best VM. The rack limit is ignored when it is the only obstacle.
func (k *pass) chooseVM(tk *tables.Task, need task.Resources) (*tables.VM, tables.Reason) {
	r := k.cfg.FeasibilityRequest(k.t, tk, need)
	v, reason := k.search(r)
	if v == nil && reason == tables.RackLimit {
		r.IgnoreRackLimit = true
		v, reason = k.search(r)
	}
	return v, reason
}

// search returns a feasible VM with the highest score. It compares groups and rows, and
// examines VMs only in rows that score higher than the best so far.
func (k *pass) search(r feasibility.Request) (*tables.VM, tables.Reason) {
	f := vmSearch{pass: k, request: r, minRow: tables.CPUBin(r.Need.CPU), minCol: tables.MemoryBin(r.Need.Memory)}
	f.scoreRequest = ScoringRequest(r, k.cfg.TailWeight)
	for _, g := range k.t.Groups() {
		f.searchGroup(g)
	}
	if f.best != nil {
		return f.best, tables.Placed
	}
	return nil, f.reason()
}

// FeasibilityRequest returns the feasibility request for a task with the reservation.
func (c Config) FeasibilityRequest(t *tables.Tables, tk *tables.Task, need task.Resources) feasibility.Request {
	return feasibility.Request{Task: tk, Need: need, PressureLimits: c.PressureLimits(t), Interference: t.InterferenceOf(tk.Record.Spec.JobClass)}
}

// ScoringRequest returns the scoring request for the same placement.
func ScoringRequest(r feasibility.Request, tailWeight float64) scoring.Request {
	spec := &r.Task.Record.Spec
	return scoring.Request{Class: spec.Class, Need: r.Need, TailWeight: tailWeight, Interference: r.Interference}
}
