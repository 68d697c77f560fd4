// Package scheduler runs the scheduling systems over the tables on each tick and
// returns their effects. It performs no I/O; a tick depends only on the tables,
// the time and the random source.
package scheduler

import (
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/scheduler/feasibility"
	"github.com/chicorystand/chicorystand/scheduler/scoring"
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

// Scheduler holds what the systems learn between ticks.
type Scheduler struct{}

// New returns a scheduler.
func New() *Scheduler { return &Scheduler{} }

// Tick runs every system once. Reservations of the returned assignments are
// not yet applied to the tables; the caller applies effects that it commits.
func (s *Scheduler) Tick(t *tables.Tables, now time.Duration) []Effect {
	var effects []Effect
	vms := t.SortedVMs()
	planned := newReservations(t)
	for _, tk := range queue(t) {
		if e, ok := s.place(t, tk, vms, planned); ok {
			effects = append(effects, e)
		}
	}
	return effects
}

// queue returns the pending tasks: urgent first, then by submission.
func queue(t *tables.Tables) []*tables.Task {
	out := make([]*tables.Task, 0, len(t.Pending))
	for id := range t.Pending {
		out = append(out, t.Tasks[id])
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Record.Spec.Urgent != b.Record.Spec.Urgent {
			return a.Record.Spec.Urgent
		}
		if a.Submitted != b.Submitted {
			return a.Submitted < b.Submitted
		}
		return a.Record.Spec.ID < b.Record.Spec.ID
	})
	return out
}

func (s *Scheduler) place(t *tables.Tables, tk *tables.Task, vms []*tables.VM, planned *reservations) (Effect, bool) {
	need := tk.Record.Spec.Declared
	if detail := neverFits(need, vms); detail != "" {
		return Effect{Kind: Reject, Task: tk.Record.Spec.ID, Reason: errkind.Infeasible, Detail: detail}, true
	}
	if k := feasibility.Quota(planned.customer(t, tk), need); k != errkind.None {
		tk.Waiting = k
		return Effect{}, false
	}
	best, reason := choose(tk, need, vms, planned)
	if best == nil {
		tk.Waiting = reason
		return Effect{}, false
	}
	planned.reserve(tk, best, need)
	return Effect{Kind: Assign, Task: tk.Record.Spec.ID, VM: best.ID, Reservation: need}, true
}

func choose(tk *tables.Task, need task.Resources, vms []*tables.VM, planned *reservations) (*tables.VM, errkind.Kind) {
	reason := errkind.NotReady
	var best *tables.VM
	bestScore := 0.0
	for _, v := range vms {
		candidate := planned.vm(v)
		if k := feasibility.Filter(tk, need, candidate); k != errkind.None {
			reason = k
			continue
		}
		if score := scoring.Score(need, candidate); best == nil || score > bestScore {
			best, bestScore = v, score
		}
	}
	return best, reason
}

// neverFits explains why no known VM could hold the reservation even when empty.
func neverFits(need task.Resources, vms []*tables.VM) string {
	if len(vms) == 0 {
		return ""
	}
	for _, v := range vms {
		if need.Fits(v.Capacity.Sub(v.ServiceHeld)) {
			return ""
		}
	}
	return "the declared resources exceed every VM"
}

// reservations tracks what the current tick has already planned.
type reservations struct {
	vms       map[string]task.Resources
	customers map[string]task.Resources
}

func newReservations(*tables.Tables) *reservations {
	return &reservations{vms: make(map[string]task.Resources), customers: make(map[string]task.Resources)}
}

func (r *reservations) reserve(tk *tables.Task, v *tables.VM, need task.Resources) {
	r.vms[v.ID] = r.vms[v.ID].Add(need)
	r.customers[tk.Record.Spec.Customer] = r.customers[tk.Record.Spec.Customer].Add(need)
}

func (r *reservations) vm(v *tables.VM) *tables.VM {
	c := *v
	c.Reserved = c.Reserved.Add(r.vms[v.ID])
	return &c
}

func (r *reservations) customer(t *tables.Tables, tk *tables.Task) *tables.Customer {
	c := *t.Customer(tk.Record.Spec.Customer)
	c.Used = c.Used.Add(r.customers[c.Name])
	return &c
}
