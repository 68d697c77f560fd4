package events

import "github.com/rs/zerolog"

// Events of the scheduler: 100 to 199.
var (
	TaskEvicted   = define(100, "task_evicted", zerolog.InfoLevel, "A task was checkpointed, stopped on its VM and queued again. The field kind names the cause.")
	TaskParked    = define(101, "task_parked", zerolog.WarnLevel, "A task failed on several VMs and is not retried. Read its record with `chicoryctl task describe` and correct the job.")
	TaskRejected  = define(102, "task_rejected", zerolog.WarnLevel, "A task can never run. The record names the reason.")
	TaskWithdrawn = define(104, "task_withdrawn", zerolog.InfoLevel, "A task was assigned to a VM whose zone was then evacuated. Its start was not ordered; the task waits for another VM.")
	VMQuarantined = define(103, "vm_quarantined", zerolog.WarnLevel, "All tasks started on a VM fail; it receives only probes. Replace it if probes keep failing.")
)
