// Package backlog estimates how long a new submission of a queue waits until it can begin, by its size: from the
// processors that the queue can get, the remaining work of what runs, and the work that waits before it in the order
// of package ordering. Two values are given: the expected delay, and a bound that the delay is not below, given
// estimates of run time that are off by RelativeSpread either way.
package backlog

import (
	"math"
	"time"

	"github.com/chicorystand/chicorystand/control/ordering"
)

const (
	// RelativeSpread is how far a run time may be off its estimate, as a share of the estimate, either way.
	RelativeSpread = 0.9
	// leastShare is the smallest share of its estimate that a run takes.
	leastShare = 1 - RelativeSpread
	// deviations is by how many standard deviations a sum of run times is reduced for the lower bound.
	deviations = 2
	// MaxDelay is the longest delay that is reported.
	MaxDelay = 15 * time.Minute
	// minBacklog is the shortest delay of the largest submissions from which a queue is reported.
	minBacklog = 500 * time.Millisecond
)

// Key identifies the part of a queue's work that uses one kind of capacity: reserved processors, or those that are idle.
type Key struct {
	Queue      string
	BestEffort bool
}

// Policy is what the estimate needs to know of a queue.
type Policy struct {
	Queue, Service string
	// Priority 0 is the highest.
	Priority int
	// Accuracy is the typical run time as a multiple of the estimate, 0 while that is not known.
	Accuracy float64
}

// Input is the state of the work and of the executors.
type Input struct {
	Now     time.Duration
	Queues  []Policy
	Nodes   []Node
	Waiting []Work
	// FairShares is set if the queues of one priority share the capacity, so that a submission may pass the work of other queues.
	FairShares bool
}

// Node is an executor.
type Node struct {
	Service string
	// CPU is its capacity in thousandths of a processor.
	CPU int64
	// Open is set when it can get tasks now.
	Open bool
	Runs []Run
}

// Run is a task on an executor.
type Run struct {
	Priority int
	// CPU is what it reserves, IdleCPU what it takes from best-effort tasks, in thousandths of a processor.
	CPU, IdleCPU int64
	// Remaining is the estimated time to its end. It is not used for a permanent run.
	Remaining time.Duration
	// Accuracy is that of its queue.
	Accuracy  float64
	Permanent bool
	// Preemptible is set if a queue of higher priority may stop the run.
	Preemptible bool
}

// Work is the unfinished work of one occurrence of a submission, without what its current runs do.
type Work struct {
	Queue, Service string
	Order          ordering.PendingStep
	// Reserved and BestEffort are the estimated work in processor seconds, by the kind of capacity that it needs.
	Reserved, BestEffort float64
	// Duration is the typical run time of its tasks by the estimates.
	Duration time.Duration
	// TaskCPU is the request of the smallest task that waits, in thousandths of a processor.
	TaskCPU int64
	// Accuracy is that of its queue.
	Accuracy float64
	// Restricted is set if the work waits for more than free processors: for all members of a gang, a label, an accelerator,
	// memory or a permission. Others can begin before it.
	Restricted bool
	// PermanentCPU are the processors, in thousandths, that its long-running tasks keep once they have started.
	PermanentCPU int64
}

// Queue is the estimate for one Key.
type Queue struct {
	// FreeCPU is the largest task, in thousandths of a processor, that could begin at once, since no work that waits
	// can use that capacity.
	FreeCPU int64
	// CPU is the capacity that the queue can get when it is first in order, in thousandths of a processor.
	CPU int64
	// Delay is the expected delay by size class, Least its lower bound. Both are for a submission that is on time.
	Delay, Least [Classes]time.Duration
	// Late is how long the late work of each range of slack is expected to take. It goes before a submission that becomes
	// late itself and has more slack.
	Late [SlackBuckets]time.Duration
}

// Estimate returns the queues with a considerable backlog.
func Estimate(in *Input) map[Key]Queue {
	out := make(map[Key]Queue)
	views := make(map[viewKey]*Queue)
	for i := range in.Queues {
		p := &in.Queues[i]
		for _, bestEffort := range []bool{false, true} {
			k := viewKey{service: p.Service, priority: p.Priority, bestEffort: bestEffort}
			if in.FairShares {
				k.queue = p.Queue
			}
			q, ok := views[k]
			if !ok {
				q = estimateView(in, k)
				views[k] = q
			}
			if q != nil {
				out[Key{p.Queue, bestEffort}] = *q
			}
		}
	}
	return out
}

// viewKey identifies the capacity that work of one priority can get.
type viewKey struct {
	service    string
	priority   int
	bestEffort bool
	// queue is set where the queues of one priority share the capacity.
	queue string
}

// estimateView returns nil when nothing considerable waits, or nothing is known of the executors.
func estimateView(in *Input, k viewKey) *Queue {
	w := collect(in, k)
	if !w.waits {
		return nil
	}
	if k.bestEffort {
		// Best-effort work also waits beside free processors, where it would interfere; other images may begin there.
		w.smallestTask = math.MaxInt64
	}
	c := capacityOf(in, k, w.smallestTask)
	if c.cpu <= 0 {
		return nil
	}
	q := &Queue{FreeCPU: c.free, CPU: c.cpu}
	ahead := w.before
	before := c.least.reach(ahead.least(), 0)
	for i := range Classes {
		// Work of the same class may be larger and then goes after. Work of the same priority goes before a submission that is on
		// time only as long as it is on time itself.
		least := max(0, c.least.reach(ahead.least(), 0)-ahead.inFlight())
		ahead.add(&w.onTime[i])
		q.Delay[i] = max(0, c.expected.reach(ahead.expected, w.permanent)-ahead.inFlight())
		q.Least[i] = min(least, max(before, w.longestSlack), q.Delay[i])
	}
	worst := q.Delay[Classes-1]
	for i := range SlackBuckets {
		q.Late[i] = min(MaxDelay, seconds(w.late[i].expected*1000/float64(c.cpu)))
		worst += q.Late[i]
	}
	if worst < minBacklog {
		return nil
	}
	return q
}

// waitingWork is the work that waits before a new submission.
type waitingWork struct {
	// before is that of higher priorities, onTime that of the same priority by size class, late by slack.
	before sum
	onTime [Classes]sum
	late   [SlackBuckets]sum
	// longestSlack is the longest time until work of onTime becomes late.
	longestSlack time.Duration
	// smallestTask is the smallest task that takes free processors before a new submission does, in thousandths of a
	// processor.
	smallestTask int64
	// permanent are processors that waiting long-running tasks will keep.
	permanent int64
	waits     bool
}

func collect(in *Input, k viewKey) *waitingWork {
	w := &waitingWork{smallestTask: math.MaxInt64}
	for i := range in.Waiting {
		x := &in.Waiting[i]
		if x.Service != k.service || x.Order.Priority > k.priority {
			continue
		}
		work, certain := x.Reserved, x.Reserved
		if k.bestEffort {
			// Work that waits for reserved processors cannot use all that is idle, so that best-effort work may pass it.
			work, certain = work+x.BestEffort, x.BestEffort
		}
		otherShare := k.queue != "" && x.Queue != k.queue && x.Order.Priority == k.priority
		if x.Restricted || otherShare {
			certain = 0
		}
		w.permanent += x.PermanentCPU
		if work <= 0 {
			continue
		}
		w.waits = true
		if !x.Restricted && x.TaskCPU > 0 {
			w.smallestTask = min(w.smallestTask, x.TaskCPU)
		}
		w.of(x, k.priority, in.Now).count(x, work, certain)
	}
	return w
}

// of returns the sum to which work belongs. Work of the same priority whose result has lost its value goes last.
func (w *waitingWork) of(x *Work, priority int, now time.Duration) *sum {
	if x.Order.Priority < priority {
		return &w.before
	}
	switch standing, slack := x.Order.Timeliness(now); standing {
	case ordering.OnTime:
		w.longestSlack = max(w.longestSlack, slack)
		return &w.onTime[ClassOf(x.Order.Work)]
	case ordering.Late:
		return &w.late[SlackBucket(slack)]
	default:
		return new(sum)
	}
}

// sum is an amount of work in processor seconds.
type sum struct {
	expected float64
	// known is the part that no work can pass and whose estimates were compared with run times, squares the sum of the squares
	// of its parts. unknown is the part whose estimates were not compared yet.
	known, squares, unknown float64
	// weighted is the sum of work times the duration of its tasks in seconds.
	weighted float64
}

// count adds work of which the certain part cannot be passed.
func (s *sum) count(x *Work, work, certain float64) {
	accuracy := x.Accuracy
	if accuracy == 0 {
		accuracy = 1
	}
	corrected := work * accuracy
	s.expected += corrected
	s.weighted += corrected * accuracy * x.Duration.Seconds()
	certain *= accuracy
	if x.Accuracy == 0 {
		s.unknown += certain
		return
	}
	s.known += certain
	s.squares += certain * certain
}

func (s *sum) add(t *sum) {
	s.expected += t.expected
	s.known += t.known
	s.squares += t.squares
	s.unknown += t.unknown
	s.weighted += t.weighted
}

// least returns a lower bound of the work.
func (s *sum) least() float64 {
	if s.squares == 0 {
		return s.unknown * leastShare
	}
	return s.known*reduction(s.known*s.known/s.squares) + s.unknown*leastShare
}

// reduction returns the least share of its expected value that a sum of n independent run times takes. The errors of many
// estimates cancel out.
func reduction(n float64) float64 {
	return max(leastShare, 1-deviations*RelativeSpread/math.Sqrt(n))
}

// inFlight is how long the processors are still busy with the work when all of it has begun: the mean time that is left of
// runs seen at a random moment, with run times spread evenly over the range.
func (s *sum) inFlight() time.Duration {
	if s.expected == 0 {
		return 0
	}
	return seconds(s.weighted / s.expected * (1 + RelativeSpread*RelativeSpread/3) / 2)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, MaxDelay.Seconds()) * float64(time.Second))
}
