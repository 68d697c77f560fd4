package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
)

// Status is a summary of the tables.
type Status struct {
	Executors, Usable, Serving int
	// CapacityCPU, ReservedCPU and FillingCPU are sums in thousandths of a processor.
	CapacityCPU, ReservedCPU, FillingCPU int64
	Jobs, WaitingSteps, WaitingTasks     int
	// OldestWait is how long the oldest waiting step's submission has been known.
	OldestWait time.Duration
}

// Status returns the summary.
func (o *Owner) Status(now time.Duration) Status {
	s := Status{Jobs: len(o.jobs), WaitingSteps: len(o.waiting)}
	for _, n := range o.executors {
		if n.gone {
			continue
		}
		s.Executors++
		if n.adopted && n.connected && !n.lost && !n.info.Draining {
			s.Usable++
		}
		if n.place.LatencyCritical > 0 {
			s.Serving++
		}
		s.CapacityCPU += n.place.Capacity.CPU
		s.ReservedCPU += n.place.Reserved.CPU
		s.FillingCPU += n.place.BestEffortCPU
	}
	for _, w := range o.waiting {
		s.WaitingTasks += len(w.tasks)
		s.OldestWait = max(s.OldestWait, now-w.job.arrived)
	}
	return s
}

// LogStatus writes the summary to the log.
func (o *Owner) LogStatus(now time.Duration) {
	s := o.Status(now)
	events.OwnerStatus.Log(o.log).Uint64("epoch", o.epoch).Int("executors", s.Executors).Int("usable", s.Usable).
		Int("serving", s.Serving).Int64("capacity_cpu", s.CapacityCPU).Int64("reserved_cpu", s.ReservedCPU).
		Int64("filling_cpu", s.FillingCPU).Int("jobs", s.Jobs).Int("waiting_steps", s.WaitingSteps).
		Int("waiting_tasks", s.WaitingTasks).Dur("oldest_wait", s.OldestWait).Dur("commit_age", now-o.lastCommit).Send()
}
