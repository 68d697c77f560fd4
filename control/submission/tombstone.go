package submission

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// tombstoneMark tells a tombstone from a submission, which is encoded as a map.
const tombstoneMark = "tombstone"

// EncodeTombstone returns the value of a row that takes the key of a submission that must never be stored: one
// that was cancelled before its row was written. Builds without tombstones report such a row as invalid and skip it.
func EncodeTombstone() ([]byte, error) {
	b, err := msgpack.Marshal(tombstoneMark)
	return b, errkind.Wrap(errkind.Internal, err, "encode tombstone")
}

// IsTombstone reports whether the value of a submission's row is a tombstone.
func IsTombstone(value []byte) bool {
	tombstone, err := EncodeTombstone()
	return err == nil && bytes.Equal(value, tombstone)
}
