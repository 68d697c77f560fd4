package coordinator

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/store"
)

// refusingTable refuses the next commits from the first one on that writes a record.
type refusingTable struct {
	store.Follower
	// refusals is the number of commits that are still to be refused.
	refusals atomic.Int32
	begun    atomic.Bool
}

func (s *refusingTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	for _, w := range txn.Writes {
		if s.refusals.Load() > 0 && strings.HasPrefix(w.Key, dispatch.ProgressTable+"/") {
			s.begun.Store(true)
		}
	}
	if s.begun.Load() && s.refusals.Add(-1) >= 0 {
		return nil, errkind.New(errkind.TooLarge, "refused")
	}
	return s.Follower.Commit(ctx, txn)
}

// Guards against a submission that is lost, or a term that ends, since the store has refused a commit once.
func TestCommitThatIsRefusedOnceIsRepeated(t *testing.T) {
	table := newTable()
	refusing := &refusingTable{Follower: table}
	refusing.refusals.Store(1)
	entry := startEntryWithStore(t, table, "entry-1", refusing)
	startAgent(t, table, "agent-1")
	eventually(t, "entry owns", entry.candidate.Owning)
	submit(t, table, "00000000000000b1")
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000b1") })
	assert.Assert(t, refusing.begun.Load())
	row, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, row.Epoch, uint64(1))
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
	// The term ends when the store refuses the commit without the record as well.
	refusing.refusals.Store(2)
	submit(t, table, "00000000000000b2")
	eventually(t, "both commits refused", func() bool { return refusing.refusals.Load() <= 0 })
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000b2") })
	second, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Assert(t, second.Epoch > first.Epoch, "the next term has the epoch %d of the one that ended", second.Epoch)
}
