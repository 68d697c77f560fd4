// Package task defines batch and latency-critical tasks: their specification, record and
// life cycle.
package task

import (
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Class is the scheduling class of a task.
type Class uint8

// Classes.
const (
	Batch Class = iota
	LatencyCritical
)

// Resources is an amount of VM capacity.
type Resources struct {
	// CPU is in thousandths of a processor.
	CPU int64 `msgpack:"c" json:"cpu_milli" yaml:"cpu_milli"`
	// Memory is in MiB.
	Memory int64 `msgpack:"m" json:"memory_mib" yaml:"memory_mib"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `msgpack:"a" json:"accelerators" yaml:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Spec is what a customer submits. It does not change after acceptance.
type Spec struct {
	// ID is chosen by the client and serves as the idempotency key of the submission.
	ID       string `msgpack:"id" json:"id" yaml:"id"`
	Customer string `msgpack:"cu" json:"customer" yaml:"customer"`
	// JobClass groups tasks with similar resource use, for example "route-plan".
	JobClass string    `msgpack:"jc" json:"job_class" yaml:"job_class"`
	Class    Class     `msgpack:"cl" json:"class" yaml:"class"`
	Declared Resources `msgpack:"de" json:"resources" yaml:"resources"`
	// Zone, when not empty, restricts placement to one availability zone.
	Zone string `msgpack:"zo" json:"zone,omitempty" yaml:"zone"`
	// Duration is the declared run time at full speed; 0 means the task runs until cancelled.
	Duration time.Duration `msgpack:"du" json:"duration" yaml:"duration"`
	// Deadline is the time after submission by which the task must finish; 0 means none.
	Deadline time.Duration `msgpack:"dl" json:"deadline" yaml:"deadline"`
	// Urgent tasks may preempt others. They start within 1.1 s or are reported.
	Urgent bool `msgpack:"ur" json:"urgent,omitempty" yaml:"urgent"`
}

// Record is the durable state of a task, one table row.
type Record struct {
	Spec  Spec   `msgpack:"s" json:"spec"`
	State string `msgpack:"st" json:"state"`
	// Attempt counts starts. Only a start with the attempt of the row is valid.
	Attempt uint32 `msgpack:"at" json:"attempt"`
	VM      string `msgpack:"vm" json:"vm,omitempty"`
	// Reserved is the amount reserved on the VM.
	Reserved Resources `msgpack:"rv" json:"reserved"`
	// Checkpoint is the object key of the latest checkpoint.
	Checkpoint string `msgpack:"cp" json:"checkpoint,omitempty"`
	// Progress is the work completed at the latest checkpoint.
	Progress time.Duration `msgpack:"pr" json:"progress"`
	// Evictions counts the evictions of the task so far.
	Evictions uint32 `msgpack:"ev" json:"evictions"`
	// FailedVMs lists the distinct VMs on which the task failed.
	FailedVMs []string `msgpack:"fv" json:"failed_vms,omitempty"`
	// Reason explains the state when the task is rejected, parked or failed.
	Reason errkind.Kind `msgpack:"re" json:"reason,omitempty"`
	// Detail is the human-readable form of Reason.
	Detail string `msgpack:"dt" json:"detail,omitempty"`
	// SubmittedUnixMilli is the wall-clock time of acceptance at the owner, for display.
	SubmittedUnixMilli int64 `msgpack:"su" json:"submitted_unix_milli"`
	// EndedUnixMilli is the wall-clock time at the owner when the task reached a
	// terminal state. Only the retention of finished records depends on it.
	EndedUnixMilli int64 `msgpack:"en" json:"ended_unix_milli,omitempty"`
}
