package shard

import (
	"sort"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// Select returns the records that match the query, sorted by id, with the reasons why pending tasks wait.
func (o *Owner) Select(q *wire.Lookup) (*wire.LookupReply, error) {
	if err := o.checkHeld(); err != nil {
		return nil, err
	}
	reply := &wire.LookupReply{}
	for _, id := range o.selectedIDs(q) {
		tk := o.tables.Tasks[id]
		if len(reply.Records) >= int(q.Limit) && len(q.IDs) == 0 {
			break
		}
		reply.Records = append(reply.Records, o.visibleRecord(tk))
		if tk.Record.State == task.Pending {
			reply.Waiting = append(reply.Waiting, wire.TaskResult{ID: id, Kind: tk.WaitingReason})
		}
	}
	return reply, nil
}

func (o *Owner) selectedIDs(q *wire.Lookup) []string {
	matches := func(id string) bool {
		tk, ok := o.tables.Tasks[id]
		if !ok || id <= q.After {
			return false
		}
		rec := &tk.Record
		return (q.Customer == "" || rec.Spec.Customer == q.Customer) && (q.JobClass == "" || rec.Spec.JobClass == q.JobClass) &&
			(q.State == "" || rec.State == q.State)
	}
	var ids []string
	for _, id := range q.IDs {
		if matches(id) {
			ids = append(ids, id)
		}
	}
	if len(q.IDs) == 0 {
		for id := range o.tables.Tasks {
			if matches(id) {
				ids = append(ids, id)
			}
		}
	}
	sort.Strings(ids)
	return ids
}

// Explain returns the record of a task and, if it is pending, how many VMs are currently infeasible for
// each reason. It returns errkind.NotFound for a task of another customer.
func (o *Owner) Explain(customer, id string) (*wire.ExplainReply, error) {
	tk, ok := o.tables.Tasks[id]
	if !ok || (customer != "" && tk.Record.Spec.Customer != customer) {
		return nil, errkind.New(errkind.NotFound, "task %s", id)
	}
	r := &wire.ExplainReply{Record: o.visibleRecord(tk), VMs: len(o.tables.VMs)}
	if tk.Record.State != task.Pending {
		return r, nil
	}
	r.Waiting = tk.WaitingReason
	now := o.cfg.Clock.Now()
	need := o.cfg.Scheduler.FeasibilityRequest(o.tables, tk, sizing.Reservation(o.tables, tk, o.cfg.Scheduler.TailWeight))
	var counts [tables.NumReasons]int
	for _, v := range o.tables.VMs {
		counts[feasibility.Filter(o.tables, need, v, now)]++
	}
	for reason := tables.Placed + 1; reason < tables.NumReasons; reason++ {
		if n := counts[reason]; n > 0 {
			r.Reasons = append(r.Reasons, wire.ReasonCount{Reason: reason.String(), Count: n})
		}
		if n := tk.Refusals[reason]; n > 0 {
			r.Refusals = append(r.Refusals, wire.ReasonCount{Reason: reason.String(), Count: int(n)})
		}
	}
	for other := range o.tables.Pending {
		if o.tables.Tasks[other].Submitted < tk.Submitted {
			r.Ahead++
		}
	}
	return r, nil
}

// Status returns the state of the shard's VMs and queues.
func (o *Owner) Status() *wire.ShardStatusReply {
	r := &wire.ShardStatusReply{Shard: o.cfg.Shard, Epoch: o.cfg.Epoch}
	for _, v := range o.tables.SortedVMs() {
		st := vmStatus(v)
		st.Quarantined = o.cfg.Clock.Now() < v.Health.NotBefore || v.Health.ProbeTask != ""
		st.Used = o.measuredUse(v)
		r.VMs = append(r.VMs, st)
	}
	byCustomer := make(map[string]*wire.QueueStatus)
	for _, tk := range o.tables.Tasks {
		name := tk.Record.Spec.Customer
		q, ok := byCustomer[name]
		if !ok {
			q = &wire.QueueStatus{Customer: name, States: make(map[string]int)}
			byCustomer[name] = q
		}
		q.States[tk.Record.State]++
		if tables.OccupiesVM(tk.Record.State) {
			q.Used = q.Used.Add(tk.Reserved)
		}
	}
	for _, q := range byCustomer {
		r.Queues = append(r.Queues, *q)
	}
	sort.Slice(r.Queues, func(i, j int) bool { return r.Queues[i].Customer < r.Queues[j].Customer })
	return r
}

func vmStatus(v *tables.VM) wire.VMStatus {
	return wire.VMStatus{VM: v.ID, Zone: v.Zone, Rack: v.Rack, Service: v.Service, Capacity: v.Capacity, Reserved: v.Reserved,
		Load: v.Load, Tail: v.Tail, Tasks: len(v.Tasks), Connected: v.Connected, Draining: v.Draining, ConfigGen: v.ConfigGen, Evacuated: v.Evacuated}
}

// configConfirmed records the configuration generation acknowledged by a VM's agent.
func (o *Owner) configConfirmed(vm string, generation uint64) {
	if v, ok := o.tables.VMs[vm]; ok {
		v.ConfigGen = max(v.ConfigGen, generation)
	}
}

// recordUsage stores the latest measured usage of each task on a VM. Reports contain only tasks whose usage changed.
func (o *Owner) recordUsage(vm string, reported []wire.Usage) {
	if len(reported) == 0 {
		return
	}
	if o.measuredUsage == nil {
		o.measuredUsage = make(map[string]map[string]task.Resources)
	}
	if o.measuredUsage[vm] == nil {
		o.measuredUsage[vm] = make(map[string]task.Resources)
	}
	for _, u := range reported {
		o.measuredUsage[vm][u.ID] = task.Resources{CPU: int64(u.CPU), Memory: int64(u.MemMiB)}
	}
}

// measuredUse returns the total usage of the VM's tasks and deletes measurements of tasks that are gone.
func (o *Owner) measuredUse(v *tables.VM) task.Resources {
	var sum task.Resources
	for id, use := range o.measuredUsage[v.ID] {
		if _, ok := v.Tasks[id]; !ok {
			delete(o.measuredUsage[v.ID], id)
			continue
		}
		sum = sum.Add(use)
	}
	return sum
}

// logFinished logs rejected and parked tasks, which operators need to look at.
func (o *Owner) logFinished(tk *tables.Task) {
	event := events.TaskRejected
	switch tk.Record.State {
	case task.Parked:
		event = events.TaskParked
	case task.Rejected:
	default:
		return
	}
	event.Log(o.cfg.Log).Str("shard", o.cfg.Shard).Str("task", tk.Record.Spec.ID).Str("kind", tk.Record.Reason.String()).Str("detail", tk.Record.Detail).Send()
}
