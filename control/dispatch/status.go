package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
)

// Status is a summary of the tables.
type Status struct {
	Executors, Usable, LatencyCritical int
	// CapacityCPU, ReservedCPU and BestEffortCPU are sums in thousandths of a processor.
	CapacityCPU, ReservedCPU, BestEffortCPU int64
	Jobs, WaitingSteps, WaitingTasks        int
	// OldestWait is the longest time since the acceptance of a submission with a waiting step.
	OldestWait time.Duration
}

// Status returns a summary of the tables.
func (o *Owner) Status(now time.Duration) Status {
	s := Status{Jobs: len(o.jobs), WaitingSteps: len(o.waiting)}
	for _, n := range o.executors {
		if n.gone {
			continue
		}
		s.Executors++
		if n.adopted && n.connected && !n.leaseExpired && !n.info.Draining {
			s.Usable++
		}
		if n.placementNode.LatencyCritical > 0 {
			s.LatencyCritical++
		}
		s.CapacityCPU += n.placementNode.Capacity.CPU
		s.ReservedCPU += n.placementNode.Reserved.CPU
		s.BestEffortCPU += n.placementNode.BestEffortCPU
	}
	for _, w := range o.waiting {
		s.WaitingTasks += len(w.tasks)
		s.OldestWait = max(s.OldestWait, now-w.job.arrived)
	}
	return s
}

// LogStatus logs the summary.
func (o *Owner) LogStatus(now time.Duration) {
	s := o.Status(now)
	events.OwnerStatus.Log(o.log).Uint64("epoch", o.epoch).Int("executors", s.Executors).Int("usable", s.Usable).
		Int("serving", s.LatencyCritical).Int64("capacity_cpu", s.CapacityCPU).Int64("reserved_cpu", s.ReservedCPU).
		Int64("filling_cpu", s.BestEffortCPU).Int("jobs", s.Jobs).Int("waiting_steps", s.WaitingSteps).
		Int("waiting_tasks", s.WaitingTasks).Dur("oldest_wait", s.OldestWait).Dur("commit_age", now-o.lastCommit).Send()
}
