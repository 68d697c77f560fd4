// Package store defines the interfaces of the platform's transactional table
// service and object store as the project uses them, and helpers that make
// writes recognisable when their answer was lost.
package store

import "context"

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

// Objects is the object store.
type Objects interface {
	// Put stores data under key. It fails with errkind.AlreadyExists when the key exists.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object or errkind.NotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes the object. Deleting an absent object is not an error.
	Delete(ctx context.Context, key string) error
}
