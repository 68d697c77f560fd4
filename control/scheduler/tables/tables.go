// Package tables holds the scheduler's in-memory state: VMs, tasks, customers, indexes
// over them, and learnt estimates. It is not safe for concurrent use.
package tables

import (
	"slices"
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
	// Capacity is the physical size of the VM. Reservations never exceed it.
	Capacity task.Resources
	// Reserved is the sum of reservations of tasks on the VM and of its service.
	Reserved task.Resources
	// Service names the upstream on the VM; empty when there is none.
	Service         string
	ServiceReserved task.Resources
	// Tail is the service's p99 divided by its target, 0 when unknown.
	Tail float64
	// Load is the share of the upstream's slots in use, 0 to 1.
	Load float64
	// LoadTrend is the smoothed change of Load per second.
	LoadTrend float64
	Draining  bool
	// Evacuated is set while the VM's availability zone is under evacuation.
	Evacuated bool
	// ConfigGen is the configuration generation reported by the agent.
	ConfigGen uint64
	// Connected is false from the loss of the control connection until the agent announces itself again.
	Connected bool
	// GrantedUntil is the end of the last grant on the owner's clock, including drift and margin.
	GrantedUntil time.Duration
	// Tasks holds the ids of the tasks assigned to the VM.
	Tasks map[string]struct{}
	// HeldFor is the id of the pending task for which the VM is held; no other task is placed on it.
	HeldFor string
	// Pressure is the expected relative increase of the service's p99 caused by the batch tasks
	// on the VM.
	Pressure float64
	// Health counts the failures of tasks on the VM.
	Health Health

	loadMeasuredAt time.Duration
	batchCPU       []classCPU
	batchChanges   []batchChange
	group          *Group
	row            uint8
	col            uint8
	cellIndex      int
}

// Health is the quarantine state of a VM.
type Health struct {
	// ConsecutiveFailures counts failures since the last success.
	ConsecutiveFailures int
	// LastFailedTask is the task of the last failure; repeated failures of one task are not counted.
	LastFailedTask string
	// NotBefore is the earliest time at which a task may be placed.
	NotBefore time.Duration
	// ProbeTask is the single task admitted to a quarantined VM to test it; empty when there is none.
	ProbeTask string
}

// Load forecast. Batch tasks run for minutes, so a rising load is extrapolated by
// loadHorizon; a falling load is not.
const (
	loadHorizon     = 90 * time.Second
	loadTrendWeight = 0.3
)

// ExpectedLoad returns the higher of the current load and the forecast.
func (v *VM) ExpectedLoad() float64 {
	return min(max(v.Load, v.Load+v.LoadTrend*loadHorizon.Seconds()), 1)
}

// observeLoad records a measured load and updates the trend.
func (v *VM) observeLoad(load float64, at time.Duration) {
	if dt := (at - v.loadMeasuredAt).Seconds(); v.loadMeasuredAt > 0 && dt > 0 {
		v.LoadTrend += loadTrendWeight * ((load-v.Load)/dt - v.LoadTrend)
	}
	v.Load, v.loadMeasuredAt = load, at
}

// Free returns the unreserved capacity.
func (v *VM) Free() task.Resources { return v.Capacity.Sub(v.Reserved) }

// Task is a task with its scheduling state.
type Task struct {
	Record task.Record
	// Version is the version of the stored row.
	Version uint64
	// Reserved is the amount reserved on the VM while assigned.
	Reserved task.Resources
	// Submitted is when the task was accepted, on the owner's clock.
	Submitted time.Duration
	// Started is when the current attempt started, on the owner's clock.
	Started time.Duration
	// WaitingReason is why the task was not placed in the last pass.
	WaitingReason errkind.Kind
	// LastRefusal is the specific reason of the last refusal; Refusals counts refusals by reason.
	LastRefusal Reason
	Refusals    [NumReasons]uint32
	// RunningProgress is the progress last reported by the VM.
	RunningProgress time.Duration
}

// Customer is a tenant with its limits and current reservations.
type Customer struct {
	Name  string
	Limit plan.Limit
	Used  task.Resources
}

// Tables is the scheduler's state.
type Tables struct {
	VMs       map[string]*VM
	Tasks     map[string]*Task
	Customers map[string]*Customer
	// evacuatedZones are the availability zones under evacuation.
	evacuatedZones []string
	// Pending holds the ids of tasks in state pending.
	Pending map[string]struct{}
	// Slowdowns holds the learnt slowdown of services by job class, and their baselines.
	Slowdowns map[SlowdownKey]*Slowdown
	// Profiles holds the learnt resource use and run times of job classes.
	Profiles map[JobKey]*UsageProfile
	// Now is the time of the current pass. Changes between passes carry the time of the last one.
	Now time.Duration
	// Capacity is the total of connected VMs that are not draining.
	Capacity task.Resources

	reports       []Report
	attemptEnds   []AttemptEnd
	groups        map[groupKey]*Group
	groupList     []*Group
	vmsByShape    map[vmShape]int
	tasksByRack   map[rackKey]int
	tasksByJob    map[JobKey]int
	vmsByRack     map[string]int
	zones         map[string]zoneUsage
	contributions map[string]contribution
}

// New returns empty tables.
func New() *Tables {
	return &Tables{
		VMs:           make(map[string]*VM),
		Tasks:         make(map[string]*Task),
		Customers:     make(map[string]*Customer),
		Pending:       make(map[string]struct{}),
		Slowdowns:     make(map[SlowdownKey]*Slowdown),
		Profiles:      make(map[JobKey]*UsageProfile),
		groups:        make(map[groupKey]*Group),
		vmsByShape:    make(map[vmShape]int),
		tasksByRack:   make(map[rackKey]int),
		tasksByJob:    make(map[JobKey]int),
		vmsByRack:     make(map[string]int),
		zones:         make(map[string]zoneUsage),
		contributions: make(map[string]contribution),
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

// Update changes a task through f and updates the indexes.
func (t *Tables) Update(tk *Task, f func(*Task)) {
	t.unindex(tk)
	f(tk)
	t.index(tk)
}

// PutVM adds or replaces a VM and recomputes its reservations. Health, hold and batch
// history are kept when the same VM is announced again.
func (t *Tables) PutVM(v *VM) {
	if old, ok := t.VMs[v.ID]; ok {
		v.Health, v.HeldFor, v.batchChanges = old.Health, old.HeldFor, old.batchChanges
		t.unindexVM(old)
	}
	v.Tasks = make(map[string]struct{})
	v.batchCPU = nil
	v.Reserved = v.ServiceReserved
	v.Evacuated = slices.Contains(t.evacuatedZones, v.Zone)
	t.VMs[v.ID] = v
	for id, tk := range t.Tasks {
		if tk.Record.VM == v.ID && OccupiesVM(tk.Record.State) {
			v.Tasks[id] = struct{}{}
			v.Reserved = v.Reserved.Add(tk.Reserved)
			if tk.Record.Spec.Class == task.Batch {
				v.addBatchCPU(tk.Record.Spec.JobClass, tk.Reserved.CPU)
			}
			t.updateTaskCounts(tk, v, 1)
		}
	}
	t.Reindex(v)
}

// RemoveVM deletes a VM that will not reconnect. Its tasks stay in the tables.
func (t *Tables) RemoveVM(id string) {
	if v, ok := t.VMs[id]; ok {
		t.unindexVM(v)
		delete(t.VMs, id)
	}
}

// unindexVM removes the VM from all indexes.
func (t *Tables) unindexVM(v *VM) {
	for id := range v.Tasks {
		t.updateTaskCounts(t.Tasks[id], v, -1)
	}
	t.removeFromTotals(v)
	t.removeFromCell(v)
}

// SortedVMs returns the VMs in id order, for deterministic results.
func (t *Tables) SortedVMs() []*VM {
	out := make([]*VM, 0, len(t.VMs))
	for _, v := range t.VMs {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Customer returns the named customer, and adds it when it is new.
func (t *Tables) Customer(name string) *Customer {
	c, ok := t.Customers[name]
	if !ok {
		c = &Customer{Name: name}
		t.Customers[name] = c
	}
	return c
}

// SetConfig applies a configuration document: the customers' limits and the zones under evacuation.
func (t *Tables) SetConfig(doc plan.Document) {
	t.evacuatedZones = doc.EvacuatedZones
	for _, v := range t.VMs {
		if evacuated := slices.Contains(t.evacuatedZones, v.Zone); evacuated != v.Evacuated {
			v.Evacuated = evacuated
			t.Reindex(v)
		}
	}
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

// OccupiesVM reports whether a task in the state occupies its VM.
func OccupiesVM(state string) bool {
	return state == task.Assigned || state == task.Running || state == task.Suspended
}

func (t *Tables) index(tk *Task) {
	id := tk.Record.Spec.ID
	if tk.Record.State == task.Pending {
		t.Pending[id] = struct{}{}
	}
	if !OccupiesVM(tk.Record.State) {
		return
	}
	c := t.Customer(tk.Record.Spec.Customer)
	c.Used = c.Used.Add(tk.Reserved)
	if v, ok := t.VMs[tk.Record.VM]; ok {
		v.Tasks[id] = struct{}{}
		v.Reserved = v.Reserved.Add(tk.Reserved)
		t.taskChanged(v, tk, 1)
	}
}

func (t *Tables) unindex(tk *Task) {
	id := tk.Record.Spec.ID
	delete(t.Pending, id)
	if !OccupiesVM(tk.Record.State) {
		return
	}
	c := t.Customer(tk.Record.Spec.Customer)
	c.Used = c.Used.Sub(tk.Reserved)
	if v, ok := t.VMs[tk.Record.VM]; ok {
		delete(v.Tasks, id)
		v.Reserved = v.Reserved.Sub(tk.Reserved)
		t.taskChanged(v, tk, -1)
	}
}
