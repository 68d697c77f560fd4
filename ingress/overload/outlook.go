package overload

import (
	"time"

	"github.com/chicorystand/chicorystand/control/backlog"
	"github.com/chicorystand/chicorystand/control/ordering"
	"github.com/chicorystand/chicorystand/wire"
)

// maxEstimateAge is the age from which an estimate is not used.
const maxEstimateAge = 2 * time.Second

// outlook is what an estimate means for a request.
type outlook struct {
	// fits is set if its tasks could begin at once.
	fits bool
	// delay is the expected time until it begins, least the lower bound.
	delay, least time.Duration
	// turn is how long the capacity needs for its work.
	turn time.Duration
}

// outlookOf returns the outlook of a request by the estimate of a queue, made age ago.
func outlookOf(q *wire.QueueBacklog, r *Request, age time.Duration) outlook {
	class := backlog.ClassOf(r.Work)
	o := outlook{fits: r.TaskCPU <= q.FreeCPU, delay: milliseconds(q.DelayMS[class]) - age, least: milliseconds(q.LeastMS[class]) - age}
	soft, hard := r.Objective-r.Chain, ordering.HardDeadlineFactor*r.Objective-r.Chain
	if o.delay > soft {
		// The lower bound leaves late work out: what goes before the request has less slack, so that it loses its value, and
		// with that its turn, before the request does.
		o.delay += lateWork(q, hard)
	}
	o.delay, o.least = max(0, o.delay), max(0, o.least)
	o.turn = time.Duration(r.Work * 1000 / float64(max(1, q.CPU)) * float64(time.Second))
	return o
}

// lateWork returns how long the late work takes that has no more slack than a request. It goes before the request once that is
// late too.
func lateWork(q *wire.QueueBacklog, slack time.Duration) time.Duration {
	var sum time.Duration
	for i := range q.LateMS {
		if backlog.SlackBound(i) <= slack {
			sum += milliseconds(q.LateMS[i])
		}
	}
	return sum
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// tooLate reports whether the request loses all of its value before it ends, even if it begins as early as it can and its run
// times are as far below their estimates as they may be.
func (o outlook) tooLate(r *Request) bool {
	shortest := time.Duration(float64(r.Chain) * (1 - backlog.RelativeSpread))
	return o.least+shortest > ordering.HardDeadlineFactor*r.Objective
}

// onTime reports whether the request is expected to end within its objective.
func (o outlook) onTime(r *Request) bool { return o.delay+r.Chain <= r.Objective }

// untilOnTime returns after which time a request like this is expected to be on time, if nothing else arrives.
func (o outlook) untilOnTime(r *Request) time.Duration { return max(0, o.delay+r.Chain-r.Objective) }

// find returns the estimate that applies to a request, nil when there is none.
func find(m *wire.Backlog, r *Request) *wire.QueueBacklog {
	for i := range m.Queues {
		q := &m.Queues[i]
		complete := len(q.DelayMS) == backlog.Classes && len(q.LeastMS) == backlog.Classes && len(q.LateMS) == backlog.SlackBuckets
		if q.Queue == r.Queue && q.BestEffort == r.BestEffort && complete {
			return q
		}
	}
	return nil
}
