package shard

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/store"
)

// Retention of finished tasks.
const (
	// TerminalRetention is how long the record of a finished task is kept. A client that repeats a
	// submission within this time receives the outcome of the first one.
	TerminalRetention = 24 * time.Hour
	// deleteBatch is the maximum number of records deleted in one transaction; each record has a second row for its id.
	deleteBatch = store.MaxTxnRows / 2
	// deleteInterval is the minimum interval between deletions, which limits them to one write in
	// 10 s of the store's write budget.
	deleteInterval = 10 * time.Second
)

// retentionQueue lists finished tasks in insertion order, which is the order in which they ended, except
// for tasks loaded at takeover.
type retentionQueue struct {
	queue        []finishedTask
	nextDeletion time.Duration
	inFlight     bool
}

type finishedTask struct {
	id        string
	unixMilli int64
}

func (r *retentionQueue) add(id string, endedUnixMilli int64) {
	r.queue = append(r.queue, finishedTask{id, endedUnixMilli})
}

// takeExpired removes and returns at most one batch of tasks that ended before the given time. A task
// queued behind one that ended later waits for that one, at most one retention period.
func (r *retentionQueue) takeExpired(before int64) []finishedTask {
	n := 0
	for n < len(r.queue) && n < deleteBatch && r.queue[n].unixMilli < before {
		n++
	}
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	return batch
}

// deleteExpired deletes a batch of records whose retention period has ended.
func (o *Owner) deleteExpired(ctx context.Context) {
	now := o.cfg.Clock.Now()
	if o.finished.inFlight || o.cfg.Commits.Failing() || now < o.finished.nextDeletion {
		return
	}
	o.finished.nextDeletion = now + deleteInterval
	batch := o.finished.takeExpired(time.Now().Add(-TerminalRetention).UnixMilli())
	if len(batch) == 0 {
		return
	}
	txn := store.Txn{Conds: []store.Cond{o.cfg.EpochCond}}
	for _, e := range batch {
		tk, ok := o.tables.Tasks[e.id]
		if !ok || !task.Terminal(tk.Record.State) {
			continue
		}
		key := TaskKeyPrefix(o.cfg.Shard) + e.id
		txn.Conds = append(txn.Conds, store.Cond{Key: key, Version: tk.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Delete: true}, store.Write{Key: TaskIDPrefix + e.id, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return
	}
	o.finished.inFlight = true
	go func() {
		err := o.cfg.Commits.CommitNow(ctx, txn)
		o.post(ctx, func() { o.deletionCommitted(batch, err) })
	}()
}

func (o *Owner) deletionCommitted(batch []finishedTask, err error) {
	o.finished.inFlight = false
	if errkind.Of(err) != errkind.None {
		// Nothing was deleted. A failed condition means that the shard has a new owner, which deletes the
		// records itself.
		o.finished.queue = append(batch, o.finished.queue...)
		return
	}
	for _, e := range batch {
		o.tables.Remove(e.id)
	}
}
