// Package tables holds the entities that the scheduling systems run over: VMs,
// tasks, customers and services. Tables are owned by one goroutine.
package tables

import (
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
)

// VM is a machine that runs tasks beside an optional upstream.
type VM struct {
	ID          string
	Incarnation uint64
	Zone        string
	Rack        string
	// Capacity is the real size of the VM. Reservations never exceed it.
	Capacity task.Resources
	// Reserved is the sum of reservations of tasks on the VM and of its service.
	Reserved task.Resources
	// Service names the upstream beside the agent; empty when there is none.
	Service     string
	ServiceHeld task.Resources
	// Tail is the service's p99 divided by its target, 0 when unknown.
	Tail float64
	// Load is the used share of the upstream's slots, 0 to 1.
	Load float64
	// Trend is the smoothed change of Load for each second.
	Trend    float64
	Draining bool
	// ConfigGen is the configuration generation that the agent reported.
	ConfigGen uint64
	// Connected is false from the loss of the control connection until the agent announces itself again.
	Connected bool
	// GrantedUntil is the end of the last grant on the owner's clock, including drift and margin.
	GrantedUntil time.Duration
	// Tasks holds the ids of the tasks assigned to the VM.
	Tasks map[string]struct{}
	// HeldFor is the id of the task for which room is being made; no other task is placed.
	HeldFor string
	// Pressure is the expected relative increase of the service's p99 by the batch tasks on the VM.
	Pressure float64
	// Health is the record of failures on the VM.
	Health Health

	loadAt  time.Duration
	mix     []classCPU
	changes []mixChange
	group   *Group
	row     uint8
	col     uint8
	pos     int
}

// Health tells whether starts on a VM succeed.
type Health struct {
	// Streak counts failures without a success between them.
	Streak int
	// LastTask is the task of the last failure; repeats of one task are not counted.
	LastTask string
	// NotBefore is the earliest time of the next start.
	NotBefore time.Duration
	// Probe is the task that tests a quarantined VM; empty when there is none.
	Probe string
}

// Forecast of the load. A batch task stays for minutes, so that a VM whose load rises is
// judged by where it is going; a falling load is not anticipated.
const (
	loadHorizon = 90 * time.Second
	trendWeight = 0.3
)

// ExpectedLoad returns the higher of the load now and that expected at the horizon.
func (v *VM) ExpectedLoad() float64 {
	return min(max(v.Load, v.Load+v.Trend*loadHorizon.Seconds()), 1)
}

// observeLoad takes a report of the load into account.
func (v *VM) observeLoad(load float64, at time.Duration) {
	if dt := (at - v.loadAt).Seconds(); v.loadAt > 0 && dt > 0 {
		v.Trend += trendWeight * ((load-v.Load)/dt - v.Trend)
	}
	v.Load, v.loadAt = load, at
}

// Free returns the unreserved capacity.
func (v *VM) Free() task.Resources { return v.Capacity.Sub(v.Reserved) }

// Task is a task with its scheduling state.
type Task struct {
	Record task.Record
	// Version is the version of the table row.
	Version uint64
	// Reserved is the amount reserved on the VM while assigned.
	Reserved task.Resources
	// Submitted is the time of acceptance on the owner's clock.
	Submitted time.Duration
	// Started is the time of the current attempt's start on the owner's clock.
	Started time.Duration
	// Waiting is why the task was not placed on the last tick.
	Waiting errkind.Kind
	// Refused is the last refusal in detail, and Refusals counts refusals by reason.
	Refused  Reason
	Refusals [NumReasons]uint32
	// RunningProgress is the last progress that the VM reported.
	RunningProgress time.Duration
}

// Customer is a tenant with its limits and current use.
type Customer struct {
	Name  string
	Limit plan.Limit
	Used  task.Resources
}

// Tables is the set of all entities.
type Tables struct {
	VMs       map[string]*VM
	Tasks     map[string]*Task
	Customers map[string]*Customer
	// Pending holds the ids of tasks in state pending.
	Pending map[string]struct{}
	// Pairs holds the learnt interference between services and job classes.
	Pairs map[Pair]*Slowdown
	// Sizes holds the learnt sizes of job classes.
	Sizes map[JobKey]*Size
	// Now is the time of the current tick. Changes between ticks carry the time of the last one.
	Now time.Duration
	// Capacity is the sum over connected VMs that are not draining.
	Capacity task.Resources

	reports []Report
	ended   []Ended
	groups  map[groupKey]*Group
	order   []*Group
	shapes  map[shape]int
	spread  map[rackKey]int
	jobs    map[JobKey]int
	racks   map[string]int
	zones   map[string]zoneUse
	counted map[string]counted
}

// New returns empty tables.
func New() *Tables {
	return &Tables{
		VMs:       make(map[string]*VM),
		Tasks:     make(map[string]*Task),
		Customers: make(map[string]*Customer),
		Pending:   make(map[string]struct{}),
		Pairs:     make(map[Pair]*Slowdown),
		Sizes:     make(map[JobKey]*Size),
		groups:    make(map[groupKey]*Group),
		shapes:    make(map[shape]int),
		spread:    make(map[rackKey]int),
		jobs:      make(map[JobKey]int),
		racks:     make(map[string]int),
		zones:     make(map[string]zoneUse),
		counted:   make(map[string]counted),
	}
}

// Put adds or replaces a task and updates the indexes.
func (t *Tables) Put(tk *Task) {
	t.Remove(tk.Record.Spec.ID)
	t.Tasks[tk.Record.Spec.ID] = tk
	t.index(tk)
}

// Remove deletes a task.
func (t *Tables) Remove(id string) {
	if old, ok := t.Tasks[id]; ok {
		t.unindex(old)
		delete(t.Tasks, id)
	}
}

// Update changes a task through f and keeps the indexes current.
func (t *Tables) Update(tk *Task, f func(*Task)) {
	t.unindex(tk)
	f(tk)
	t.index(tk)
}

// PutVM adds or replaces a VM and recomputes its reservations. The record of
// failures survives a new announcement of the same VM.
func (t *Tables) PutVM(v *VM) {
	if old, ok := t.VMs[v.ID]; ok {
		v.Health, v.HeldFor, v.changes = old.Health, old.HeldFor, old.changes
		t.leave(old)
	}
	v.Tasks = make(map[string]struct{})
	v.mix = nil
	v.Reserved = v.ServiceHeld
	t.VMs[v.ID] = v
	for id, tk := range t.Tasks {
		if tk.Record.VM == v.ID && Holds(tk.Record.State) {
			v.Tasks[id] = struct{}{}
			v.Reserved = v.Reserved.Add(tk.Reserved)
			if tk.Record.Spec.Class == task.Batch {
				v.addMix(tk.Record.Spec.JobClass, tk.Reserved.CPU)
			}
			t.countSpread(tk, v, 1)
		}
	}
	t.Touch(v)
}

// RemoveVM deletes a VM that will not return. Its tasks keep their records.
func (t *Tables) RemoveVM(id string) {
	if v, ok := t.VMs[id]; ok {
		t.leave(v)
		delete(t.VMs, id)
	}
}

// leave takes the VM out of every index.
func (t *Tables) leave(v *VM) {
	for id := range v.Tasks {
		t.countSpread(t.Tasks[id], v, -1)
	}
	t.uncount(v)
	t.unplace(v)
}

// SortedVMs returns the VMs in id order, so that ticks are deterministic.
func (t *Tables) SortedVMs() []*VM {
	out := make([]*VM, 0, len(t.VMs))
	for _, v := range t.VMs {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Customer returns the entity of the named customer and adds it when it is new.
func (t *Tables) Customer(name string) *Customer {
	c, ok := t.Customers[name]
	if !ok {
		c = &Customer{Name: name}
		t.Customers[name] = c
	}
	return c
}

// SetLimits applies the limits of a configuration document.
func (t *Tables) SetLimits(doc plan.Document) {
	limits := make(map[string]plan.Limit, len(doc.Limits))
	for _, l := range doc.Limits {
		limits[l.Plan] = l
	}
	for _, c := range t.Customers {
		c.Limit = plan.Limit{}
	}
	for _, p := range doc.Plans {
		t.Customer(p.Customer).Limit = limits[p.Plan]
	}
}

// Holds reports whether a task in the state occupies its VM.
func Holds(state string) bool {
	return state == task.Assigned || state == task.Running || state == task.Suspended
}

func (t *Tables) index(tk *Task) {
	id := tk.Record.Spec.ID
	if tk.Record.State == task.Pending {
		t.Pending[id] = struct{}{}
	}
	if !Holds(tk.Record.State) {
		return
	}
	c := t.Customer(tk.Record.Spec.Customer)
	c.Used = c.Used.Add(tk.Reserved)
	if v, ok := t.VMs[tk.Record.VM]; ok {
		v.Tasks[id] = struct{}{}
		v.Reserved = v.Reserved.Add(tk.Reserved)
		t.changed(v, tk, 1)
	}
}

func (t *Tables) unindex(tk *Task) {
	id := tk.Record.Spec.ID
	delete(t.Pending, id)
	if !Holds(tk.Record.State) {
		return
	}
	c := t.Customer(tk.Record.Spec.Customer)
	c.Used = c.Used.Sub(tk.Reserved)
	if v, ok := t.VMs[tk.Record.VM]; ok {
		delete(v.Tasks, id)
		v.Reserved = v.Reserved.Sub(tk.Reserved)
		t.changed(v, tk, -1)
	}
}
