package store

import (
	"bytes"
	"context"
	"encoding/binary"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// resolveRetryDelay is the delay between attempts to resolve a commit whose reply was lost.
const resolveRetryDelay = 100 * time.Millisecond

// Writer commits transactions one at a time and resolves ambiguous outcomes.
//
// Every transaction also writes the row writer/<id> with an increasing sequence
// number, conditional on the row's previous version. After a lost reply the row
// shows whether the transaction took effect. A transaction that was reported as
// failed cannot take effect later.
type Writer struct {
	table Table
	key   string

	// lock holds a token while a commit is in progress. Unlike for a mutex, the wait
	// for it ends with the caller's context.
	lock   chan struct{}
	loaded bool
	// lastSeq is the last sequence number used, committed the last one that took effect.
	lastSeq, committedSeq uint64
	rowVersion            uint64
	// pendingSeq is the sequence number of a transaction with an unknown outcome, 0 when there is none.
	pendingSeq uint64
}

// NewWriter returns a writer. Two live processes must not use the same id; a restarted
// process with the same id fences the transactions that its predecessor left in flight.
func NewWriter(table Table, id string) *Writer {
	return &Writer{table: table, key: "writer/" + id, lock: make(chan struct{}, 1)}
}

// Commit applies txn and returns the versions of txn.Writes. The version of a
// row is 0 when the reply was lost and another writer has since replaced the
// row. Error kinds: errkind.Conflict and errkind.StoreUnavailable mean that the
// transaction has no effect, now or later; errkind.StoreAmbiguous is returned
// only when ctx ends before the outcome is known.
func (w *Writer) Commit(ctx context.Context, txn Txn) ([]uint64, error) {
	select {
	case w.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "wait for the commit in progress")
	}
	defer func() { <-w.lock }()
	if err := w.prepare(ctx); err != nil {
		return nil, err
	}
	w.lastSeq++
	seq := w.lastSeq
	versions, err := w.table.Commit(ctx, w.withWriterRow(txn, seq))
	switch errkind.Of(err) {
	case errkind.None:
		w.committedSeq, w.rowVersion = seq, versions[len(versions)-1]
		return versions[:len(versions)-1], nil
	case errkind.StoreUnavailable, errkind.InvalidArgument, errkind.TooLarge:
		return nil, err
	case errkind.Conflict:
		// The failed condition may be that of the writer row, if a process with the same id has written it.
		w.loaded = false
		return nil, err
	}
	w.pendingSeq = seq
	if err := w.resolve(ctx); err != nil {
		return nil, err
	}
	return w.writtenVersions(ctx, txn)
}

// prepare reads the writer row before the first commit and resolves an earlier
// transaction whose outcome is still unknown. An error means that nothing was sent.
func (w *Writer) prepare(ctx context.Context) error {
	if w.pendingSeq != 0 {
		if err := w.resolve(ctx); errkind.Of(err) == errkind.StoreAmbiguous {
			return errkind.Wrap(errkind.StoreUnavailable, err, "outcome of an earlier transaction is not known")
		}
	}
	if w.loaded {
		return nil
	}
	rows, err := w.table.Get(ctx, w.key)
	if err != nil {
		return errkind.Wrap(errkind.StoreUnavailable, err, "read writer row")
	}
	w.rowVersion = 0
	if len(rows) == 1 {
		w.rowVersion = rows[0].Version
		w.committedSeq = binary.BigEndian.Uint64(rows[0].Value)
		w.lastSeq = max(w.lastSeq, w.committedSeq)
	}
	w.loaded = true
	return nil
}

func (w *Writer) withWriterRow(txn Txn, seq uint64) Txn {
	value := binary.BigEndian.AppendUint64(nil, seq)
	conds := append(append([]Cond(nil), txn.Conds...), Cond{Key: w.key, Version: w.rowVersion})
	writes := append(append([]Write(nil), txn.Writes...), Write{Key: w.key, Value: value})
	return Txn{Conds: conds, Writes: writes}
}

// resolve reads the writer row until it is known whether the pending transaction
// took effect. A transaction that has not taken effect yet could still do so later,
// so the row is rewritten first, which makes the condition of a delayed commit fail.
func (w *Writer) resolve(ctx context.Context) error {
	for {
		done, err := w.fencePending(ctx)
		if err == nil {
			w.pendingSeq = 0
			if done {
				return nil
			}
			return errkind.New(errkind.StoreUnavailable, "transaction did not take effect")
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "outcome of the transaction is not known")
		case <-time.After(resolveRetryDelay):
		}
	}
}

func (w *Writer) fencePending(ctx context.Context) (bool, error) {
	rows, err := w.table.Get(ctx, w.key)
	if err != nil {
		return false, err
	}
	if len(rows) == 1 && rows[0].Version != w.rowVersion {
		// Either the transaction or an earlier fencing write whose reply was lost took effect.
		w.rowVersion = rows[0].Version
		if binary.BigEndian.Uint64(rows[0].Value) != w.pendingSeq {
			return false, nil
		}
		w.committedSeq = w.pendingSeq
		return true, nil
	}
	versions, err := w.table.Commit(ctx, Txn{
		Conds:  []Cond{{Key: w.key, Version: w.rowVersion}},
		Writes: []Write{{Key: w.key, Value: binary.BigEndian.AppendUint64(nil, w.committedSeq)}},
	})
	if err != nil {
		return false, err
	}
	w.rowVersion = versions[0]
	return false, nil
}

// writtenVersions reads the row versions of a transaction that took effect although its reply was lost.
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
			return nil, errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "transaction took effect, but its row versions are not known")
		case <-time.After(resolveRetryDelay):
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
