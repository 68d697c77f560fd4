// Package store defines the interfaces to the platform's transactional table
// service and object store, and helpers that determine the outcome of a write
// whose reply was lost.
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxTxnRows is the largest number of rows a transaction may write.
const MaxTxnRows = 100

// Row is a versioned table row. Version starts at 1 and increases on every write.
type Row struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v"`
	Version uint64 `msgpack:"n"`
}

// Cond requires a row to have the given version at commit. Version 0 means the row is absent.
type Cond struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"n"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `msgpack:"k"`
	Value  []byte `msgpack:"v"`
	Delete bool   `msgpack:"d,omitempty"`
}

// Txn is applied atomically when every condition holds.
type Txn struct {
	Conds  []Cond  `msgpack:"c"`
	Writes []Write `msgpack:"w"`
}

// Table is the transactional table service.
//
// Errors have one of the kinds errkind.Conflict (a condition failed; nothing
// was written), errkind.StoreUnavailable (nothing was written),
// errkind.StoreAmbiguous (the transaction may have taken effect).
type Table interface {
	// Get returns the rows that exist among keys, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix and a key greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the new version of each written row (0 for a delete).
	Commit(ctx context.Context, txn Txn) ([]uint64, error)
}

// ConflictError is the cause of an errkind.Conflict of a store that tells the current rows.
type ConflictError struct {
	// Rows are those that exist among the rows in the conditions.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d rows in the conditions exist", len(e.Rows))
}

// Objects is the object store.
type Objects interface {
	// Put stores data under key. It fails with errkind.AlreadyExists when the key exists.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object or errkind.NotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes the object. Deleting an absent object is not an error.
	Delete(ctx context.Context, key string) error
}

// Change is the newest version of a row, or its deletion.
type Change struct {
	Row
	Deleted bool
}

// Page is a part of a table at one version of the store.
type Page struct {
	// Changes holds the rows, in key order for List and in order of change for Changes.
	Changes []Change
	// More is true when further rows follow the last one.
	More bool
	// Version is the version of the whole store that the page reflects.
	Version uint64
}

// Follower reads whole tables and follows their changes. A table is the part of
// a key before the first slash.
type Follower interface {
	Table
	// List returns rows of the table with a key greater than after, in key order.
	List(ctx context.Context, table, after string) (Page, error)
	// Changes waits at most wait for changes of the table after version. It fails
	// with errkind.NotFound when the store has compacted that history, or the changes exceed a
	// response; the table then has to be read again.
	Changes(ctx context.Context, table string, version uint64, wait time.Duration) (Page, error)
}

// ReadAll returns all rows of a table and the version to pass to Changes so that no change is missed.
func ReadAll(ctx context.Context, f Follower, table string) (rows []Row, version uint64, err error) {
	after := ""
	for {
		page, err := f.List(ctx, table, after)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		for _, c := range page.Changes {
			rows = append(rows, c.Row)
			after = c.Key
		}
		if !page.More || len(page.Changes) == 0 {
			return rows, version, nil
		}
	}
}
