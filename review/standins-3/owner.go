package main

import (
	"context"
	"errors"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// owner returns the position of the entry that last wrote to the store under a condition: the one that the row owner/work names.
func (w *world) owner(ctx context.Context) (int, error) {
	rows, err := w.table.Get(ctx, "owner/work")
	if err != nil || len(rows) == 0 {
		return 0, errors.Join(err, errors.New("no entry schedules"))
	}
	var row struct {
		Owner string `msgpack:"o"`
	}
	if err := msgpack.Unmarshal(rows[0].Value, &row); err != nil {
		return 0, err
	}
	i := slices.IndexFunc(w.entries, func(p *process) bool { return p.name == row.Owner })
	if i < 0 {
		return 0, errors.New("the scheduling entry is not known")
	}
	return i, nil
}
