package coordinator

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// refusingTable refuses one commit that contains more than the owner row, when refuse is set.
type refusingTable struct {
	store.Follower
	refuse atomic.Bool
}

func (s *refusingTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if len(txn.Writes) > 1 && s.refuse.CompareAndSwap(true, false) {
		return nil, errkind.New(errkind.TooLarge, "refused")
	}
	return s.Follower.Commit(ctx, txn)
}

// An owner whose commit the store had refused used to load the tables anew and go on under the same epoch, so that
// executors still accepted the orders of before, which the tables do not know.
func TestTermAfterRefusedCommitHasItsOwnEpoch(t *testing.T) {
	table := newTable()
	refusing := &refusingTable{Follower: table}
	entry := startEntryWithStore(t, table, "entry-1", refusing)
	startAgent(t, table, "agent-1")
	eventually(t, "entry owns", entry.candidate.Owning)
	submit(t, table, "00000000000000b1")
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000b1") })
	first, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	refusing.refuse.Store(true)
	submit(t, table, "00000000000000b2")
	eventually(t, "commit refused", func() bool { return !refusing.refuse.Load() })
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000b2") })
	second, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Assert(t, second.Epoch > first.Epoch, "the next term has the epoch %d of the one that ended", second.Epoch)
}
