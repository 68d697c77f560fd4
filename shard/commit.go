package shard

import (
	"context"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/scheduler/tables"
	"github.com/chicorystand/chicorystand/store"
	"github.com/chicorystand/chicorystand/task"
)

func decodeRecord(data []byte) (task.Record, error) {
	var rec task.Record
	err := msgpack.Unmarshal(data, &rec)
	return rec, errkind.Wrap(errkind.Internal, err, "decode task record")
}

// group is one transaction in flight.
type group struct {
	ids  []string
	rows []*dirtyRow
	txn  store.Txn
}

// flush commits dirty rows in one transaction when none is in flight.
func (o *Owner) flush(ctx context.Context) {
	if o.inFlight || o.lost || len(o.dirty) == 0 || o.cfg.Clock.Now() < o.retryAt {
		return
	}
	g, err := o.takeGroup()
	if err != nil {
		o.cfg.Log.Error().Err(err).Msg("encode task record")
		return
	}
	o.inFlight = true
	go func() {
		versions, err := o.cfg.Writer.Commit(ctx, g.txn)
		if err == nil && versions == nil {
			versions, err = o.readVersions(ctx, g)
		}
		o.post(ctx, func() { o.committed(g, versions, err) })
	}()
}

func (o *Owner) takeGroup() (*group, error) {
	ids := make([]string, 0, len(o.dirty))
	for id := range o.dirty {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	if len(ids) > store.MaxTxnRows {
		ids = ids[:store.MaxTxnRows]
	}
	g := &group{ids: ids, txn: store.Txn{Conds: []store.Cond{o.cfg.EpochCond}}}
	for _, id := range ids {
		tk := o.tables.Tasks[id]
		value, err := msgpack.Marshal(tk.Record)
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "task %s", id)
		}
		key := Prefix(o.cfg.Shard) + id
		g.txn.Conds = append(g.txn.Conds, store.Cond{Key: key, Version: tk.Version})
		g.txn.Writes = append(g.txn.Writes, store.Write{Key: key, Value: value})
		g.rows = append(g.rows, o.dirty[id])
		delete(o.dirty, id)
	}
	return g, nil
}

// readVersions is used after a commit was recognised without an answer.
func (o *Owner) readVersions(ctx context.Context, g *group) ([]uint64, error) {
	keys := make([]string, len(g.txn.Writes))
	for i, w := range g.txn.Writes {
		keys[i] = w.Key
	}
	for {
		rows, err := o.cfg.Table.Get(ctx, keys...)
		if err == nil && len(rows) == len(keys) {
			versions := make([]uint64, len(rows))
			for i, r := range rows {
				versions[i] = r.Version
			}
			return versions, nil
		}
		if err == nil {
			return nil, errkind.New(errkind.Conflict, "rows of shard %s were removed", o.cfg.Shard)
		}
		if ctx.Err() != nil {
			return nil, errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "versions of shard %s", o.cfg.Shard)
		}
		sleep(ctx, commitRetryDelay)
	}
}

func (o *Owner) committed(g *group, versions []uint64, err error) {
	o.inFlight = false
	switch errkind.Of(err) {
	case errkind.None:
		o.storeFailed = false
		for i, id := range g.ids {
			if tk, ok := o.tables.Tasks[id]; ok {
				tk.Version = versions[i]
			}
			g.rows[i].finish(nil)
		}
	case errkind.StoreUnavailable:
		o.storeFailed = true
		o.retryAt = o.cfg.Clock.Now() + commitRetryDelay
		o.restore(g, err)
	default:
		o.lose(g, err)
	}
}

// restore returns rows whose transaction did not take effect. Submissions are
// refused; every other change is kept and written later.
func (o *Owner) restore(g *group, err error) {
	for i, id := range g.ids {
		row := g.rows[i]
		if row.created {
			o.tables.Remove(id)
			if newer, ok := o.dirty[id]; ok {
				delete(o.dirty, id)
				newer.finish(err)
			}
			row.finish(err)
			continue
		}
		if newer, ok := o.dirty[id]; ok {
			newer.done = append(row.done, newer.done...)
			continue
		}
		o.dirty[id] = row
	}
}

// lose stops the owner after a condition failed: another entry owns the shard.
func (o *Owner) lose(g *group, err error) {
	o.lost = true
	for _, row := range g.rows {
		row.finish(errkind.Wrap(errkind.NotOwner, err, "shard %s", o.cfg.Shard))
	}
	for _, row := range o.dirty {
		row.finish(errkind.Wrap(errkind.NotOwner, err, "shard %s", o.cfg.Shard))
	}
	o.dirty = make(map[string]*dirtyRow)
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
		o.resubmitted(tk, s, done)
		return
	}
	tk := &tables.Task{
		Record:    task.Record{Spec: s, State: task.Pending, SubmittedUnixMilli: nowUnixMilli},
		Submitted: o.cfg.Clock.Now(),
	}
	o.tables.Put(tk)
	// The task is not eligible for placement before its row is durable.
	delete(o.tables.Pending, s.ID)
	o.markDirty(tk, true, func(err error) {
		if err == nil && tk.Record.State == task.Pending {
			o.tables.Pending[s.ID] = struct{}{}
		}
		done(s.ID, err)
	})
}

// resubmitted answers a repeated submission with the state of the first.
func (o *Owner) resubmitted(tk *tables.Task, s task.Spec, done func(string, error)) {
	if tk.Record.Spec != s {
		done(s.ID, errkind.New(errkind.AlreadyExists, "task %s exists with another specification", s.ID))
		return
	}
	if row, ok := o.dirty[s.ID]; ok && row.created {
		row.done = append(row.done, func(err error) { done(s.ID, err) })
		return
	}
	if tk.Version == 0 {
		done(s.ID, errkind.New(errkind.NotReady, "the first submission of task %s is in progress", s.ID))
		return
	}
	done(s.ID, nil)
}
