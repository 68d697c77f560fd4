package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/control/ordering"
)

// shareAmongQueues returns the steps in the order in which the queues of one priority get their shares of the capacity. The
// order stays where that is switched off, and while there is room for all.
func (o *Owner) shareAmongQueues(list []*waitingStep, now time.Duration) []*waitingStep {
	if !o.bounds.Features.FairShares || len(list) < 2 || !o.exceedsRoom(list, now) {
		return list
	}
	claims := make([]ordering.Claim, len(list))
	for i, w := range list {
		key, step := w.orderingKey(), &w.job.sub.Steps[w.key.step]
		timeliness, _ := key.Timeliness(now)
		claims[i] = ordering.Claim{Queue: w.job.sub.Queue, Priority: key.Priority, Timeliness: timeliness, CPU: int64(len(w.tasks)) * step.Request.CPU, LongRunning: step.LongRunning}
	}
	out := make([]*waitingStep, len(list))
	for i, at := range ordering.Share(claims, o.heldByQueue()) {
		out[i] = list[at]
	}
	return out
}

// exceedsRoom reports whether the waiting tasks of any pool ask for more processors than are free in it.
func (o *Owner) exceedsRoom(list []*waitingStep, now time.Duration) bool {
	wanted := make(map[string]int64)
	for _, w := range list {
		wanted[o.service(w.job.sub)] += int64(len(w.tasks)) * w.job.sub.Steps[w.key.step].Request.CPU
	}
	for service, cpu := range wanted {
		free := int64(0)
		for _, n := range o.pool(service, now).placementNodes {
			free += n.Capacity.CPU - n.Reserved.CPU
		}
		if cpu > free {
			return true
		}
	}
	return false
}

// heldByQueue returns what the runs of each queue hold, without those of long-running tasks, in thousandths of a processor.
func (o *Owner) heldByQueue() map[string]int64 {
	held := make(map[string]int64)
	for _, n := range o.executors {
		for t := range n.tasks {
			if s := t.step(); !s.LongRunning {
				held[t.job.sub.Queue] += s.Request.CPU
			}
		}
	}
	return held
}
