package store

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
)

// ambiguousRetryInterval is the pause between attempts to resolve a commit
// whose answer was lost.
const ambiguousRetryInterval = 100 * time.Millisecond

// Writer commits transactions one at a time and resolves ambiguous answers.
//
// Every transaction also writes the row writer/<id> with an increasing sequence
// number, conditional on the row's previous version. After a lost answer the
// row tells whether the transaction took effect.
type Writer struct {
	table Table
	key   string

	// lock holds a token while a commit is in progress. Unlike a mutex it is given
	// up when the caller's context ends.
	lock    chan struct{}
	seq     uint64
	version uint64
}

// NewWriter returns a writer whose id must be unique to the process incarnation.
func NewWriter(table Table, id string) *Writer {
	return &Writer{table: table, key: "writer/" + id, lock: make(chan struct{}, 1)}
}

// Commit applies txn. It returns errkind.StoreAmbiguous only when ctx ends
// before the outcome is known. The returned versions are those of txn.Writes,
// or nil when the answer was lost and the commit was recognised afterwards; the
// caller then re-reads the rows it needs.
func (w *Writer) Commit(ctx context.Context, txn Txn) ([]uint64, error) {
	select {
	case w.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "wait for an earlier commit")
	}
	defer func() { <-w.lock }()
	seq := w.seq + 1
	full := w.withToken(txn, seq)
	versions, err := w.table.Commit(ctx, full)
	switch errkind.Of(err) {
	case errkind.None:
		w.seq, w.version = seq, versions[len(versions)-1]
		return versions[:len(versions)-1], nil
	case errkind.StoreAmbiguous:
		return nil, w.resolve(ctx, seq)
	}
	return nil, err
}

func (w *Writer) withToken(txn Txn, seq uint64) Txn {
	value := binary.BigEndian.AppendUint64(nil, seq)
	conds := append(append([]Cond(nil), txn.Conds...), Cond{Key: w.key, Version: w.version})
	writes := append(append([]Write(nil), txn.Writes...), Write{Key: w.key, Value: value})
	return Txn{Conds: conds, Writes: writes}
}

// resolve reads the writer row until it is known whether sequence seq took effect.
// A transaction that has not taken effect by then could still do so later, so the
// row is rewritten first, which makes the condition of a delayed commit fail.
func (w *Writer) resolve(ctx context.Context, seq uint64) error {
	for {
		done, err := w.fence(ctx, seq)
		if err == nil {
			if done {
				return nil
			}
			return errkind.New(errkind.StoreUnavailable, "transaction did not take effect")
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "outcome of the transaction is not known")
		case <-time.After(ambiguousRetryInterval):
		}
	}
}

func (w *Writer) fence(ctx context.Context, seq uint64) (bool, error) {
	rows, err := w.table.Get(ctx, w.key)
	if err != nil {
		return false, err
	}
	if len(rows) == 1 && rows[0].Version != w.version {
		// Only this writer writes the row, so either the transaction or an
		// earlier fence whose answer was lost has taken effect.
		w.version = rows[0].Version
		if binary.BigEndian.Uint64(rows[0].Value) < seq {
			return false, nil
		}
		w.seq = seq
		return true, nil
	}
	value := binary.BigEndian.AppendUint64(nil, w.seq)
	versions, err := w.table.Commit(ctx, Txn{
		Conds:  []Cond{{Key: w.key, Version: w.version}},
		Writes: []Write{{Key: w.key, Value: value}},
	})
	if err != nil {
		return false, err
	}
	w.version = versions[0]
	return false, nil
}
