package standin

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/state/store"
)

// The first write to an empty table after a read of it used to have the version of that read, so that a follower missed it.
func TestFirstWriteAfterReadOfEmptyTableIsAChange(t *testing.T) {
	table := NewTable(100, 100)
	read, err := table.List(t.Context(), "t", "")
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "t/a"}}})
	assert.NilError(t, err)
	page, err := table.Changes(t.Context(), "t", read.Version, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Changes), 1)
}
