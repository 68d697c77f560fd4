package store

import (
	"bytes"
	"context"
	"encoding/binary"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// resolveInterval is the pause between attempts to resolve a commit whose answer was lost.
const resolveInterval = 100 * time.Millisecond

// Writer commits transactions one at a time and resolves ambiguous answers.
//
// Every transaction also writes the row writer/<id> with an increasing sequence
// number, conditional on the row's previous version. After a lost answer the
// row tells whether the transaction took effect. A transaction that was
// answered as failed can not take effect later.
type Writer struct {
	table Table
	key   string

	// lock holds a token while a commit is in progress. Unlike a mutex it is given
	// up when the caller's context ends.
	lock   chan struct{}
	loaded bool
	// seq is the last sequence number used, committed the last one that took effect.
	seq, committed uint64
	version        uint64
	// pending is the sequence number of a transaction with an unknown outcome, 0 when there is none.
	pending uint64
}

// NewWriter returns a writer. Two live processes must not use the same id; a
// process that restarts with its id fences what the previous one left in flight.
func NewWriter(table Table, id string) *Writer {
	return &Writer{table: table, key: "writer/" + id, lock: make(chan struct{}, 1)}
}

// Commit applies txn and returns the versions of txn.Writes. The version of a
// row is 0 when the answer was lost and another writer has replaced the row
// since. Error kinds: errkind.Conflict and errkind.StoreUnavailable mean that the
// transaction has no effect, now or later; errkind.StoreAmbiguous is returned
// only when ctx ends before the outcome is known.
func (w *Writer) Commit(ctx context.Context, txn Txn) ([]uint64, error) {
	select {
	case w.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "wait for an earlier commit")
	}
	defer func() { <-w.lock }()
	if err := w.prepare(ctx); err != nil {
		return nil, err
	}
	w.seq++
	seq := w.seq
	versions, err := w.table.Commit(ctx, w.withToken(txn, seq))
	switch errkind.Of(err) {
	case errkind.None:
		w.committed, w.version = seq, versions[len(versions)-1]
		return versions[:len(versions)-1], nil
	case errkind.StoreUnavailable, errkind.InvalidArgument, errkind.TooLarge:
		return nil, err
	case errkind.Conflict:
		// The failed condition may be the writer row, when a process with the same id has written it.
		w.loaded = false
		return nil, err
	}
	w.pending = seq
	if err := w.resolve(ctx); err != nil {
		return nil, err
	}
	return w.writtenVersions(ctx, txn)
}

// prepare reads the writer row before the first commit and resolves an older
// transaction whose outcome is still unknown. Errors mean that nothing was sent.
func (w *Writer) prepare(ctx context.Context) error {
	if w.pending != 0 {
		if err := w.resolve(ctx); errkind.Of(err) == errkind.StoreAmbiguous {
			return errkind.Wrap(errkind.StoreUnavailable, err, "an earlier transaction is not resolved")
		}
	}
	if w.loaded {
		return nil
	}
	rows, err := w.table.Get(ctx, w.key)
	if err != nil {
		return errkind.Wrap(errkind.StoreUnavailable, err, "read writer row")
	}
	w.version = 0
	if len(rows) == 1 {
		w.version = rows[0].Version
		w.committed = binary.BigEndian.Uint64(rows[0].Value)
		w.seq = max(w.seq, w.committed)
	}
	w.loaded = true
	return nil
}

func (w *Writer) withToken(txn Txn, seq uint64) Txn {
	value := binary.BigEndian.AppendUint64(nil, seq)
	conds := append(append([]Cond(nil), txn.Conds...), Cond{Key: w.key, Version: w.version})
	writes := append(append([]Write(nil), txn.Writes...), Write{Key: w.key, Value: value})
	return Txn{Conds: conds, Writes: writes}
}

// resolve reads the writer row until it is known whether the pending transaction
// took effect. A transaction that has not taken effect by then could still do so
// later, so the row is rewritten first, which makes the condition of a delayed
// commit fail.
func (w *Writer) resolve(ctx context.Context) error {
	for {
		done, err := w.fence(ctx)
		if err == nil {
			w.pending = 0
			if done {
				return nil
			}
			return errkind.New(errkind.StoreUnavailable, "transaction did not take effect")
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "outcome of the transaction is not known")
		case <-time.After(resolveInterval):
		}
	}
}

func (w *Writer) fence(ctx context.Context) (bool, error) {
	rows, err := w.table.Get(ctx, w.key)
	if err != nil {
		return false, err
	}
	if len(rows) == 1 && rows[0].Version != w.version {
		// Either the transaction or an earlier fence whose answer was lost has taken effect.
		w.version = rows[0].Version
		if binary.BigEndian.Uint64(rows[0].Value) != w.pending {
			return false, nil
		}
		w.committed = w.pending
		return true, nil
	}
	versions, err := w.table.Commit(ctx, Txn{
		Conds:  []Cond{{Key: w.key, Version: w.version}},
		Writes: []Write{{Key: w.key, Value: binary.BigEndian.AppendUint64(nil, w.committed)}},
	})
	if err != nil {
		return false, err
	}
	w.version = versions[0]
	return false, nil
}

// writtenVersions reads the rows of a transaction that took effect without an answer.
func (w *Writer) writtenVersions(ctx context.Context, txn Txn) ([]uint64, error) {
	keys := make([]string, len(txn.Writes))
	for i, wr := range txn.Writes {
		keys[i] = wr.Key
	}
	for {
		rows, err := w.table.Get(ctx, keys...)
		if err == nil {
			return matchVersions(txn.Writes, rows), nil
		}
		select {
		case <-ctx.Done():
			return nil, errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "transaction took effect, row versions are not known")
		case <-time.After(resolveInterval):
		}
	}
}

func matchVersions(writes []Write, rows []Row) []uint64 {
	byKey := make(map[string]Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	versions := make([]uint64, len(writes))
	for i, wr := range writes {
		if r, ok := byKey[wr.Key]; ok && !wr.Delete && bytes.Equal(r.Value, wr.Value) {
			versions[i] = r.Version
		}
	}
	return versions
}
