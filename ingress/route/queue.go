package route

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

const (
	// queuePollInterval is the interval at which a waiter is woken even if no slot was
	// released here, since the entry does not see the slots that other entries release.
	queuePollInterval = 20 * time.Millisecond
	// intervalWeight is the weight of a new sample in the average wake interval.
	intervalWeight = 0.05
)

// Queue holds requests that wait for a slot, ordered by priority and then by
// arrival. When the queue is full, the request with the lowest priority is shed. It
// is safe for concurrent use.
type Queue struct {
	limit int

	mu       sync.Mutex
	waiters  []*Waiter
	arrivals uint64
	polling  bool
	lastWake time.Time
	// starvedPriority is the highest priority at which a request has timed out and no
	// request of that or a lower priority has proceeded since; -1 when there is none.
	starvedPriority int
	// interval is the average time between two wakes while requests waited.
	interval time.Duration
}

// Waiter is the position of one request in a queue. It keeps its position over several
// calls of Wait and is not safe for concurrent use.
type Waiter struct {
	priority int
	arrival  uint64
	deadline time.Time
	wake     chan error
	// entered is set by the first Wait. A request that was woken but got no slot is then
	// not rejected because of starvedPriority.
	entered bool
}

// NewQueue returns a queue of at most limit waiting requests.
func NewQueue(limit int) *Queue { return &Queue{limit: limit, starvedPriority: -1} }

// Waiter returns a position behind all current waiters of the same or a higher
// priority. The request waits at most maxWait in total.
func (q *Queue) Waiter(priority int, maxWait time.Duration) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	return &Waiter{priority: priority, arrival: q.arrivals, deadline: time.Now().Add(maxWait), wake: make(chan error, 1)}
}

// Wait blocks until the request may try to get a slot. It returns errkind.QueueFull
// when the request is shed. That happens immediately when the queue is full of
// requests of at least the same priority, when the expected wait exceeds maxWait, or
// when requests of the same or a higher priority are starved and one of them is still
// waiting; it happens later when a request of higher priority takes the position or
// maxWait has passed. Wait returns errkind.Cancelled when ctx ends first.
func (q *Queue) Wait(ctx context.Context, w *Waiter) error {
	if err := q.enter(w); err != nil {
		return err
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case err := <-w.wake:
		return err
	case <-timer.C:
		return q.leave(w, errkind.New(errkind.QueueFull, "no slot became free within the maximum wait"), true)
	case <-ctx.Done():
		return q.leave(w, errkind.Wrap(errkind.Cancelled, ctx.Err(), "the caller no longer waits"), false)
	}
}

func (q *Queue) enter(w *Waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := sort.Search(len(q.waiters), func(i int) bool { return w.before(q.waiters[i]) })
	if wait := time.Duration(at) * q.interval; time.Now().Add(wait).After(w.deadline) {
		return errkind.New(errkind.QueueFull, "the expected wait of %v is too long", wait)
	}
	if !w.entered && w.priority <= q.starvedPriority && len(q.waiters) > 0 && q.waiters[len(q.waiters)-1].priority <= q.starvedPriority {
		return errkind.New(errkind.QueueFull, "requests with priority %d are starved", q.starvedPriority)
	}
	w.entered = true
	if len(q.waiters) >= q.limit {
		if at == len(q.waiters) {
			return errkind.New(errkind.QueueFull, "the queue is full with %d waiting requests", len(q.waiters))
		}
		last := q.waiters[len(q.waiters)-1]
		q.waiters = q.waiters[:len(q.waiters)-1]
		last.wake <- errkind.New(errkind.QueueFull, "displaced by a request with a higher priority")
	}
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = w
	if !q.polling {
		q.polling = true
		time.AfterFunc(queuePollInterval, q.poll)
	}
	return nil
}

func (w *Waiter) before(o *Waiter) bool {
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	return w.arrival < o.arrival
}

// leave removes a waiter that timed out or was cancelled. A wake that it received
// meanwhile is passed on to the next waiter.
func (q *Queue) leave(w *Waiter, err error, timedOut bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			if timedOut {
				q.starvedPriority = max(q.starvedPriority, w.priority)
			}
			return err
		}
	}
	if woken := <-w.wake; woken == nil {
		q.wakeLocked(1)
	}
	return err
}

// Wake lets the first n waiters try to get a slot.
func (q *Queue) Wake(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n = min(n, len(q.waiters)); n == 0 {
		q.lastWake = time.Time{}
		return
	}
	now := time.Now()
	if !q.lastWake.IsZero() {
		sample := now.Sub(q.lastWake) / time.Duration(n)
		q.interval += time.Duration(intervalWeight * float64(sample-q.interval))
	}
	q.lastWake = now
	q.wakeLocked(n)
}

func (q *Queue) wakeLocked(n int) {
	for ; n > 0 && len(q.waiters) > 0; n-- {
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		q.starvedPriority = min(q.starvedPriority, w.priority-1)
		w.wake <- nil
	}
}

func (q *Queue) poll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		q.polling = false
		return
	}
	q.wakeLocked(1)
	time.AfterFunc(queuePollInterval, q.poll)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}
