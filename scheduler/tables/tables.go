// Package tables holds the entities that the scheduling systems run over: VMs,
// tasks, customers and services. Tables are owned by one goroutine.
package tables

import (
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/plan"
	"github.com/chicorystand/chicorystand/task"
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
	Load     float64
	Draining bool
	// ConfigGen is the configuration generation that the agent reported.
	ConfigGen uint64
	// Connected is false from the loss of the control connection until the agent announces itself again.
	Connected bool
	// GrantedUntil is the end of the last grant on the owner's clock, including drift and margin.
	GrantedUntil time.Duration
	// Tasks holds the ids of the tasks assigned to the VM.
	Tasks map[string]struct{}
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
}

// New returns empty tables.
func New() *Tables {
	return &Tables{
		VMs:       make(map[string]*VM),
		Tasks:     make(map[string]*Task),
		Customers: make(map[string]*Customer),
		Pending:   make(map[string]struct{}),
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

// PutVM adds or replaces a VM and recomputes its reservations.
func (t *Tables) PutVM(v *VM) {
	v.Tasks = make(map[string]struct{})
	v.Reserved = v.ServiceHeld
	t.VMs[v.ID] = v
	for id, tk := range t.Tasks {
		if tk.Record.VM == v.ID && Holds(tk.Record.State) {
			v.Tasks[id] = struct{}{}
			v.Reserved = v.Reserved.Add(tk.Reserved)
		}
	}
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
	}
}
