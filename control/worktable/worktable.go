// Package worktable creates the rows of the work table: submissions, tombstones and cancellations. Entries write them, and the
// owner writes them for entries that the store does not serve.
package worktable

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
)

// Create creates a row unless the key is taken. Errors have the kinds of store.Table.Commit. Of these, errkind.Conflict
// tells that a submission or a cancellation has the key. errkind.Tombstoned tells that a tombstone has it: as long as
// it stands, no write of the key that has no answer yet can take effect.
func Create(ctx context.Context, t store.Table, key string, value []byte) error {
	_, err := t.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: key}}, Writes: []store.Write{{Key: key, Value: value}}})
	if errkind.Of(err) != errkind.Conflict {
		return err
	}
	current, readErr := currentValue(ctx, t, key, err)
	switch {
	case readErr != nil:
		// Whether an attempt to store the submission has taken effect is not known.
		return errkind.Wrap(errkind.StoreAmbiguous, readErr, "row %s exists and can't be read", key)
	case submission.IsTombstone(current):
		return errkind.New(errkind.Tombstoned, "row %s is a tombstone; nothing was written", key)
	}
	return err
}

// currentValue returns the value of a row that exists. The store may have told it with the conflict.
func currentValue(ctx context.Context, t store.Table, key string, conflict error) ([]byte, error) {
	var c *store.ConflictError
	if errors.As(conflict, &c) {
		for _, r := range c.Rows {
			// A value that could not be decoded is empty.
			if r.Key == key && len(r.Value) > 0 {
				return r.Value, nil
			}
		}
	}
	rows, err := t.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, errkind.New(errkind.NotFound, "the row was deleted meanwhile")
	}
	return rows[0].Value, nil
}
