package tables

import "github.com/chicorystand/chicorystand/base/errkind"

// Reason is why a task was not placed.
type Reason uint8

// Reasons. Placed means that the task was placed.
const (
	Placed Reason = iota
	NoVM
	VMDraining
	ZoneMismatch
	InsufficientCPU
	InsufficientMemory
	InsufficientAccelerators
	RackLimit
	OverQuota
	Quarantined
	VMHeld
	InterferenceLimit
	NotSearched
	ZoneEvacuated
	NumReasons
)

var reasons = [NumReasons]struct {
	name string
	kind errkind.Kind
}{
	Placed:                   {"placed", errkind.None},
	NoVM:                     {"no_vm", errkind.NotReady},
	VMDraining:               {"draining", errkind.Draining},
	ZoneMismatch:             {"zone", errkind.Infeasible},
	InsufficientCPU:          {"cpu", errkind.CapacityExceeded},
	InsufficientMemory:       {"memory", errkind.CapacityExceeded},
	InsufficientAccelerators: {"accelerators", errkind.CapacityExceeded},
	RackLimit:                {"rack", errkind.CapacityExceeded},
	OverQuota:                {"quota", errkind.QuotaExceeded},
	Quarantined:              {"quarantine", errkind.NotReady},
	VMHeld:                   {"held", errkind.CapacityExceeded},
	InterferenceLimit:        {"interference", errkind.CapacityExceeded},
	NotSearched:              {"not_tried", errkind.QueueFull},
	ZoneEvacuated:            {"evacuated", errkind.Draining},
}

// String returns the stable identifier of the reason.
func (r Reason) String() string { return reasons[r].name }

// Kind returns the error kind that is shown to operators and callers.
func (r Reason) Kind() errkind.Kind { return reasons[r].kind }

// RecordRefusal records why the task was not placed.
func (tk *Task) RecordRefusal(r Reason) {
	tk.LastRefusal, tk.WaitingReason = r, r.Kind()
	tk.Refusals[r]++
}
