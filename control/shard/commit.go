package shard

import (
	"context"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

func encodeRecord(rec task.Record) ([]byte, error) { return msgpack.Marshal(rec) }

func decodeRecord(data []byte) (task.Record, error) {
	var rec task.Record
	err := msgpack.Unmarshal(data, &rec)
	return rec, errkind.Wrap(errkind.Internal, err, "decode task record")
}

// flush passes dirty rows to the committer. A row with a write in flight is kept back, because the
// next write is conditional on the version that the first one returns.
func (o *Owner) flush(ctx context.Context) {
	if o.lost || len(o.dirty) == 0 {
		return
	}
	ids := make([]string, 0, len(o.dirty))
	for id := range o.dirty {
		if o.inFlight[id] == nil {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	sort.Strings(ids)
	if o.source.deliver == nil {
		o.source.deliver = func(results []commitResult) { o.post(ctx, func() { o.applyCommitResults(results) }) }
	}
	items := make([]*commitItem, 0, len(ids))
	for _, id := range ids {
		tk := o.tables.Tasks[id]
		value, err := encodeRecord(tk.Record)
		if err != nil {
			o.cfg.Log.Error().Err(err).Str("task", id).Msg("failed to encode task record")
			continue
		}
		o.inFlight[id] = o.dirty[id]
		delete(o.dirty, id)
		items = append(items, &commitItem{source: o.source, id: id, key: TaskKeyPrefix(o.cfg.Shard) + id, version: tk.Version,
			value: value, isSubmission: o.inFlight[id].isSubmission, spec: tk.Record.Spec})
	}
	o.cfg.Commits.Enqueue(items)
}

// applyCommitResults applies the outcomes of writes to the tables and completes their callbacks.
func (o *Owner) applyCommitResults(results []commitResult) {
	for _, r := range results {
		row := o.inFlight[r.id]
		delete(o.inFlight, r.id)
		if row == nil || o.lost {
			continue
		}
		switch {
		case errkind.Of(r.err) == errkind.NotOwner:
			o.inFlight[r.id] = row
			o.markLost(r.err)
		case row.isSubmission && (r.err != nil || r.acceptedElsewhere):
			o.tables.Remove(r.id)
			if newer, ok := o.dirty[r.id]; ok {
				delete(o.dirty, r.id)
				newer.complete(errkind.New(errkind.NotFound, "task %s", r.id))
			}
			row.complete(r.err)
		default:
			if tk, ok := o.tables.Tasks[r.id]; ok {
				tk.Version = r.version
			}
			row.complete(r.err)
		}
	}
}

// Drain stops scheduling and waits until every change is durable and its caller answered, or ctx ends.
func (o *Owner) Drain(ctx context.Context) {
	if o.Do(ctx, func() { o.stopping = true }) != nil {
		return
	}
	for ctx.Err() == nil {
		idle := false
		err := o.Do(ctx, func() {
			idle = len(o.dirty)+len(o.inFlight) == 0
			o.drained = idle
		})
		if err != nil || idle {
			return
		}
		sleep(ctx, drainPollInterval)
	}
}

// drainPollInterval separates checks for changes that are not yet durable.
const drainPollInterval = 10 * time.Millisecond

// markLost stops the owner after a failed condition has shown that another entry owns the shard.
func (o *Owner) markLost(err error) {
	o.lost = true
	for _, rows := range []map[string]*dirtyRow{o.inFlight, o.dirty} {
		for _, row := range rows {
			row.complete(errkind.Wrap(errkind.NotOwner, err, "shard %s was lost", o.cfg.Shard))
		}
	}
	o.inFlight, o.dirty = make(map[string]*dirtyRow), make(map[string]*dirtyRow)
	if o.cfg.OnLost != nil {
		go o.cfg.OnLost()
	}
}

// Submit stages submissions. done is called once for each spec when its outcome is durable.
func (o *Owner) Submit(specs []task.Spec, nowUnixMilli int64, done func(id string, err error)) {
	for _, s := range specs {
		o.submitOne(s, nowUnixMilli, done)
	}
}

func (o *Owner) submitOne(s task.Spec, nowUnixMilli int64, done func(string, error)) {
	if tk, ok := o.tables.Tasks[s.ID]; ok {
		o.answerResubmission(tk, s, done)
		return
	}
	switch {
	case o.stopping || o.lost:
		done(s.ID, errkind.New(errkind.NotOwner, "shard %s is being released", o.cfg.Shard))
		return
	case o.cfg.Commits.Failing():
		done(s.ID, errkind.New(errkind.StoreUnavailable, "table service is not responding; submissions are refused"))
		return
	}
	tk := &tables.Task{
		Record:    task.Record{Spec: s, State: task.Pending, SubmittedUnixMilli: nowUnixMilli},
		Submitted: o.cfg.Clock.Now(),
	}
	o.tables.Put(tk)
	// Scheduling runs before the flush, so that a task that can be placed at once is submitted and
	// assigned in a single write.
	o.newSubmissions = true
	o.markDirty(tk, true, func(err error) { done(s.ID, err) })
}

// answerResubmission answers a repeated submission with the outcome of the first one.
func (o *Owner) answerResubmission(tk *tables.Task, s task.Spec, done func(string, error)) {
	if tk.Record.Spec != s {
		done(s.ID, errkind.New(errkind.AlreadyExists, "task %s exists with another specification", s.ID))
		return
	}
	for _, rows := range []map[string]*dirtyRow{o.dirty, o.inFlight} {
		if row, ok := rows[s.ID]; ok && row.isSubmission {
			row.callbacks = append(row.callbacks, func(err error) { done(s.ID, err) })
			return
		}
	}
	if tk.Version == 0 {
		done(s.ID, errkind.New(errkind.NotReady, "the first submission of task %s is in progress", s.ID))
		return
	}
	done(s.ID, nil)
}
