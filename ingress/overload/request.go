package overload

import (
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
)

// Request is what the decision needs to know of a submission.
type Request struct {
	ID, Queue string
	// BestEffort is set if any of its tasks uses idle processors only.
	BestEffort bool
	// Work is its estimated work in processor seconds, TaskCPU the request of its largest task in thousandths of a processor.
	Work    float64
	TaskCPU int64
	// Chain is the estimated run time of its longest chain of steps, Objective the response time up to which it is on time.
	Chain, Objective time.Duration
	// Exempt is set if it is never refused, since it has no end, is not due yet, or its queue has no objective.
	Exempt bool
}

// RequestOf returns the request for a submission with the policy of its queue.
func RequestOf(s *submission.Submission) Request {
	r := Request{ID: s.ID, Queue: s.Queue, Work: s.Work(), Chain: s.CriticalPath(0), Objective: s.Objective(),
		Exempt: s.LongRunning() || s.Occurrences > 0 || s.FirstStart > 0 || s.Stretch == 0 && s.TargetLatency == 0}
	for i := range s.Steps {
		r.BestEffort = r.BestEffort || s.Steps[i].BestEffort
		r.TaskCPU = max(r.TaskCPU, s.Steps[i].Request.CPU)
	}
	return r
}
