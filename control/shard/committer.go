package shard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/store"
)

// TaskIDPrefix is the key prefix of the rows that keep task ids unique across shards. The value of a
// row is the name of the task's shard.
const TaskIDPrefix = "task-id/"

const (
	// CommitInterval is the minimum time between the starts of two transactions of an entry.
	CommitInterval = 100 * time.Millisecond
	// slowCommitThreshold is the age at which an unanswered transaction causes submissions to be refused.
	slowCommitThreshold = 2 * time.Second
)

// commitSource is a shard whose rows the committer writes.
type commitSource struct {
	shard string
	// epoch is the condition that fences every write of the shard's owner.
	epoch   store.Cond
	deliver func([]commitResult)
	lost    bool
}

// commitItem is one task record to write.
type commitItem struct {
	source  *commitSource
	id, key string
	version uint64
	value   []byte
	// isSubmission marks a submission, which also creates the row for the task's id.
	isSubmission bool
	spec         task.Spec
}

// commitResult is the outcome of an item. Items other than submissions are retried until they are
// written or the shard is lost (errkind.NotOwner).
type commitResult struct {
	id      string
	version uint64
	err     error
	// acceptedElsewhere is set when another shard had already accepted the same submission.
	acceptedElsewhere bool
}

// Committer runs the commit loop of an entry. It writes the changes of all shards in batches, at most
// one transaction per CommitInterval, submissions first.
type Committer struct {
	table  store.Table
	writer *store.Writer
	clock  clock.Clock
	log    zerolog.Logger
	wake   chan struct{}

	mu          sync.Mutex
	submissions []*commitItem
	changes     []*commitItem
	// sentAt is the start of the transaction in flight, or 0 if there is none.
	sentAt   time.Duration
	failedAt time.Duration
	failing  bool
}

// NewCommitter returns a committer whose loop is not running.
func NewCommitter(table store.Table, w *store.Writer, c clock.Clock, log zerolog.Logger) *Committer {
	return &Committer{table: table, writer: w, clock: c, log: log, wake: make(chan struct{}, 1)}
}

// Enqueue adds items to the queues. Results are delivered to each item's source.
func (c *Committer) Enqueue(items []*commitItem) {
	c.mu.Lock()
	for _, it := range items {
		if it.isSubmission {
			c.submissions = append(c.submissions, it)
		} else {
			c.changes = append(c.changes, it)
		}
	}
	c.mu.Unlock()
	c.signal()
}

// CommitNow writes a transaction that bypasses the queues, serialized with those of the commit loop.
func (c *Committer) CommitNow(ctx context.Context, txn store.Txn) error {
	_, err := c.writer.Commit(ctx, txn)
	return err
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Failing reports whether submissions are refused: the last transaction failed less than a second
// ago, or the one in flight has been unanswered for slowCommitThreshold.
func (c *Committer) Failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	return c.failing && now < c.failedAt+time.Second || c.sentAt != 0 && now >= c.sentAt+slowCommitThreshold
}

// Run commits queued items until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for ctx.Err() == nil {
			batch := c.nextBatch()
			if len(batch) == 0 {
				break
			}
			started := c.clock.Now()
			wait := CommitInterval
			if !c.commit(ctx, batch) {
				wait = commitRetryDelay
			}
			sleep(ctx, started+wait-c.clock.Now())
		}
	}
}

// nextBatch removes the next batch from the queues, up to store.MaxTxnRows rows.
func (c *Committer) nextBatch() []*commitItem {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*commitItem
	rows := 0
	ids := make(map[string]bool)
	pick := func(queue []*commitItem, cost int) []*commitItem {
		rest := queue[:0:0]
		for i, it := range queue {
			if rows+cost > store.MaxTxnRows {
				return append(rest, queue[i:]...)
			}
			// Two shards may be asked to create the same id. The second waits and then finds the row of the first.
			if ids[it.id] {
				rest = append(rest, it)
				continue
			}
			ids[it.id] = true
			rows += cost
			batch = append(batch, it)
		}
		return rest
	}
	c.submissions = pick(c.submissions, 2)
	c.changes = pick(c.changes, 1)
	if len(batch) > 0 {
		c.sentAt = c.clock.Now()
	}
	return batch
}

func buildTransaction(batch []*commitItem) (store.Txn, []int) {
	var txn store.Txn
	index := make([]int, len(batch))
	fenced := make(map[string]bool)
	for i, it := range batch {
		if !fenced[it.source.shard] {
			fenced[it.source.shard] = true
			txn.Conds = append(txn.Conds, it.source.epoch)
		}
		index[i] = len(txn.Writes)
		txn.Conds = append(txn.Conds, store.Cond{Key: it.key, Version: it.version})
		txn.Writes = append(txn.Writes, store.Write{Key: it.key, Value: it.value})
		if it.isSubmission {
			txn.Conds = append(txn.Conds, store.Cond{Key: TaskIDPrefix + it.id})
			txn.Writes = append(txn.Writes, store.Write{Key: TaskIDPrefix + it.id, Value: []byte(it.source.shard)})
		}
	}
	return txn, index
}

// commit writes a batch and delivers the results. It returns false when the store is unavailable.
func (c *Committer) commit(ctx context.Context, batch []*commitItem) bool {
	results := newResultsBySource()
	txn, index := buildTransaction(batch)
	versions, err := c.writer.Commit(ctx, txn)
	available := true
	switch kind := errkind.Of(err); {
	case kind == errkind.None:
		for i, it := range batch {
			results.add(it, commitResult{id: it.id, version: versions[index[i]]})
		}
	case kind == errkind.Conflict:
		available = c.resolveConflict(ctx, batch, txn, results)
	case kind == errkind.StoreUnavailable || ctx.Err() != nil:
		c.requeue(batch, results, err)
		available = false
	case len(batch) > 1:
		// The store rejected one of the records; bisecting the batch isolates it.
		c.commit(ctx, batch[:len(batch)/2])
		c.commit(ctx, batch[len(batch)/2:])
	default:
		c.log.Error().Err(err).Str("task", batch[0].id).Msg("store rejected task record")
		results.add(batch[0], commitResult{id: batch[0].id, version: batch[0].version, err: err})
	}
	c.recordOutcome(available)
	results.deliver()
	return available
}

func (c *Committer) recordOutcome(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAt = 0
	switch {
	case !ok && !c.failing:
		events.StoreFailing.Log(c.log).Send()
	case ok && c.failing:
		events.StoreRecovered.Log(c.log).Send()
	}
	c.failing = !ok
	if !ok {
		c.failedAt = c.clock.Now()
	}
}

// requeue returns items whose transaction had no effect to the queue. Submissions fail with err.
func (c *Committer) requeue(batch []*commitItem, results *resultsBySource, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var keep []*commitItem
	for _, it := range batch {
		if it.isSubmission {
			results.add(it, commitResult{id: it.id, err: err})
			continue
		}
		keep = append(keep, it)
	}
	c.changes = append(keep, c.changes...)
	if errkind.Of(err) == errkind.StoreUnavailable {
		for _, it := range c.submissions {
			results.add(it, commitResult{id: it.id, err: err})
		}
		c.submissions = nil
	}
}

// resolveConflict fails the items whose conditions did not hold and requeues the others.
func (c *Committer) resolveConflict(ctx context.Context, batch []*commitItem, txn store.Txn, results *resultsBySource) bool {
	keys := make([]string, len(txn.Conds))
	for i, cond := range txn.Conds {
		keys[i] = cond.Key
	}
	rows, err := c.table.Get(ctx, keys...)
	if err != nil {
		c.requeue(batch, results, errkind.Wrap(errkind.StoreUnavailable, err, "read rows after commit conflict"))
		return false
	}
	found := make(map[string]store.Row, len(rows))
	for _, r := range rows {
		found[r.Key] = r
	}
	for _, it := range batch {
		if found[it.source.epoch.Key].Version != it.source.epoch.Version {
			it.source.lost = true
		}
	}
	var keep []*commitItem
	for _, it := range batch {
		id, taken := found[TaskIDPrefix+it.id]
		switch {
		case it.source.lost:
			results.add(it, commitResult{id: it.id, err: errkind.New(errkind.NotOwner, "another entry owns shard %s", it.source.shard)})
		case it.isSubmission && taken:
			results.add(it, c.answerExistingTask(ctx, it, string(id.Value)))
		case found[it.key].Version != it.version:
			it.source.lost = true
			results.add(it, commitResult{id: it.id, err: errkind.New(errkind.NotOwner, "row %s was written by another process", it.key)})
		default:
			keep = append(keep, it)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(keep) - 1; i >= 0; i-- {
		if keep[i].isSubmission {
			c.submissions = append([]*commitItem{keep[i]}, c.submissions...)
		} else {
			c.changes = append([]*commitItem{keep[i]}, c.changes...)
		}
	}
	return true
}

// answerExistingTask answers a submission whose id exists: an identical specification is a repeat.
func (c *Committer) answerExistingTask(ctx context.Context, it *commitItem, shard string) commitResult {
	res := commitResult{id: it.id, acceptedElsewhere: true}
	rows, err := c.table.Get(ctx, TaskKeyPrefix(shard)+it.id)
	if err != nil || len(rows) != 1 {
		res.err = errkind.New(errkind.StoreUnavailable, "cannot read the first submission of task %s", it.id)
		return res
	}
	rec, err := decodeRecord(rows[0].Value)
	switch {
	case err != nil:
		res.err = err
	case rec.Spec != it.spec:
		res.err = errkind.New(errkind.AlreadyExists, "task %s exists with another specification", it.id)
	}
	return res
}

// resultsBySource collects commit results for each source.
type resultsBySource struct {
	order   []*commitSource
	results map[*commitSource][]commitResult
}

func newResultsBySource() *resultsBySource {
	return &resultsBySource{results: make(map[*commitSource][]commitResult)}
}

func (d *resultsBySource) add(it *commitItem, r commitResult) {
	if _, ok := d.results[it.source]; !ok {
		d.order = append(d.order, it.source)
	}
	d.results[it.source] = append(d.results[it.source], r)
}

func (d *resultsBySource) deliver() {
	for _, s := range d.order {
		s.deliver(d.results[s])
	}
}
