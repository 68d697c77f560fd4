// Package queue orders pending tasks: urgent ones first, then those that are about to
// miss their deadlines, then by fair share with ageing.
package queue

import (
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/fairshare"
	"github.com/chicorystand/chicorystand/control/scheduler/sizing"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// Priority levels, highest first.
const (
	levelUrgent = iota
	levelAtRisk
	levelFairShare
)

// Parameters of the order.
const (
	// deadlineSlack is the multiple of the expected remaining run time that must remain until the
	// deadline; learnt run times vary.
	deadlineSlack = 1.5
	// StarvationAge is the wait after which a task gets the priority of one whose deadline is at risk.
	StarvationAge = 10 * time.Minute
	// agingScale is the wait that outweighs a share of the whole capacity.
	agingScale = 10 * time.Minute
)

type item struct {
	task     *tables.Task
	customer *tables.Customer
	level    int
	// orderTime orders the levels before levelFairShare and breaks ties of fairShareKey: the time of
	// submission, or the latest start that meets the deadline.
	orderTime    time.Duration
	share        float64
	fairShareKey float64
}

// Queue is a heap of the pending tasks of one scheduling pass.
type Queue struct {
	items []item
	t     *tables.Tables
}

// New returns the queue of pending tasks at a time. It reuses buffer.
func New(t *tables.Tables, now time.Duration, buffer *Queue) *Queue {
	q := buffer
	q.t, q.items = t, q.items[:0]
	shares := make(map[*tables.Customer]float64)
	for id := range t.Pending {
		tk := t.Tasks[id]
		if tk == nil {
			continue
		}
		it := item{task: tk, customer: t.Customer(tk.Record.Spec.Customer)}
		it.level, it.orderTime = level(t, tk, now)
		share, ok := shares[it.customer]
		if !ok {
			share = fairshare.Share(it.customer, t.Capacity)
			shares[it.customer] = share
		}
		it.setShare(share, now)
		q.items = append(q.items, it)
	}
	for i := len(q.items)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
	return q
}

func (it *item) setShare(share float64, now time.Duration) {
	it.share = share
	it.fairShareKey = share - float64(now-it.task.Submitted)/float64(agingScale)
}

func level(t *tables.Tables, tk *tables.Task, now time.Duration) (int, time.Duration) {
	spec := &tk.Record.Spec
	if spec.Urgent {
		return levelUrgent, tk.Submitted
	}
	if spec.Deadline > 0 {
		latest := tk.Submitted + spec.Deadline - time.Duration(deadlineSlack*float64(sizing.Remaining(t, tk)))
		// A deadline that is already missed gives no priority over those that can be met.
		if now >= latest && now < tk.Submitted+spec.Deadline {
			return levelAtRisk, latest
		}
	}
	if now-tk.Submitted >= StarvationAge {
		return levelAtRisk, tk.Submitted
	}
	return levelFairShare, tk.Submitted
}

// Pop returns the next task, or nil. Shares are updated lazily, which is correct because they
// only grow within a pass.
func (q *Queue) Pop(now time.Duration) *tables.Task {
	for len(q.items) > 0 {
		top := &q.items[0]
		if top.level == levelFairShare {
			if share := fairshare.Share(top.customer, q.t.Capacity); share > top.share {
				top.setShare(share, now)
				q.down(0)
				continue
			}
		}
		tk := top.task
		last := len(q.items) - 1
		q.items[0] = q.items[last]
		q.items[last] = item{}
		q.items = q.items[:last]
		q.down(0)
		return tk
	}
	return nil
}

// Len returns the number of tasks left.
func (q *Queue) Len() int { return len(q.items) }

func less(a, b *item) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	if a.level == levelFairShare && a.fairShareKey != b.fairShareKey {
		return a.fairShareKey < b.fairShareKey
	}
	if a.orderTime != b.orderTime {
		return a.orderTime < b.orderTime
	}
	return a.task.Record.Spec.ID < b.task.Record.Spec.ID
}

func (q *Queue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if r := child + 1; r < len(q.items) && less(&q.items[r], &q.items[child]) {
			child = r
		}
		if !less(&q.items[child], &q.items[i]) {
			return
		}
		q.items[i], q.items[child] = q.items[child], q.items[i]
		i = child
	}
}
