package tables

import "github.com/chicorystand/chicorystand/base/errkind"

// Reason is why a task was not placed.
type Reason uint8

// The closed list of reasons.
const (
	Placed Reason = iota
	NoVM
	VMDraining
	WrongZone
	NoCPU
	NoMemory
	NoAccelerators
	RackFull
	OverQuota
	Quarantined
	RoomHeld
	TooHarmful
	NotTried
	NumReasons
)

var reasons = [NumReasons]struct {
	name string
	kind errkind.Kind
}{
	Placed:         {"placed", errkind.None},
	NoVM:           {"no_vm", errkind.NotReady},
	VMDraining:     {"draining", errkind.Draining},
	WrongZone:      {"zone", errkind.Infeasible},
	NoCPU:          {"cpu", errkind.CapacityExceeded},
	NoMemory:       {"memory", errkind.CapacityExceeded},
	NoAccelerators: {"accelerators", errkind.CapacityExceeded},
	RackFull:       {"rack", errkind.CapacityExceeded},
	OverQuota:      {"quota", errkind.QuotaExceeded},
	Quarantined:    {"quarantine", errkind.NotReady},
	RoomHeld:       {"held", errkind.CapacityExceeded},
	TooHarmful:     {"interference", errkind.CapacityExceeded},
	NotTried:       {"not_tried", errkind.QueueFull},
}

// String returns the stable identifier of the reason.
func (r Reason) String() string { return reasons[r].name }

// Kind returns the error kind that operators and callers see.
func (r Reason) Kind() errkind.Kind { return reasons[r].kind }

// Refuse records that the task was not placed for the reason.
func (tk *Task) Refuse(r Reason) {
	tk.Refused, tk.Waiting = r, r.Kind()
	tk.Refusals[r]++
}
