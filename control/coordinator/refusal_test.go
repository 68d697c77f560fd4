package coordinator

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// Guards against a record that the store refuses for good, which ends one term of ownership after the other while no other
// submission makes progress.
func TestRefusedRecordDoesNotEndTheOwnership(t *testing.T) {
	const refused, other = "00000000000000d1", "00000000000000d2"
	table := newTable()
	table.SetFaults(standin.Faults{Refuse: func(key string) bool { return key == dispatch.ProgressKey(refused) }})
	startEntry(t, table, "entry-1")
	startAgent(t, table, "agent-1")
	submit(t, table, refused)
	submit(t, table, other)
	eventually(t, "the other submission completes", func() bool { return completed(table, other) })
	row, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, row.Epoch, uint64(1))
}

// Guards against a reason of a refusal that ends the ownership, and against one that may pass and fails a submission.
func TestRefusalsForGood(t *testing.T) {
	for kind, forGood := range map[errkind.Kind]bool{errkind.InvalidArgument: true, errkind.TooLarge: true, errkind.PermissionDenied: true, errkind.NotFound: true,
		errkind.StoreUnavailable: false, errkind.StoreAmbiguous: false, errkind.Conflict: false, errkind.NotOwner: false, errkind.Internal: false} {
		assert.Equal(t, refusedForGood(errkind.New(kind, "refused")), forGood, kind.String())
	}
}

// lostReplyTable applies the first commit without a reply and refuses the second one.
type lostReplyTable struct {
	store.Table
	commits int
}

func (s *lostReplyTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	s.commits++
	switch s.commits {
	case 1:
		if _, err := s.Table.Commit(ctx, txn); err != nil {
			return nil, err
		}
		return nil, errkind.New(errkind.StoreAmbiguous, "no reply")
	case 2:
		return nil, errkind.New(errkind.InvalidArgument, "refused")
	}
	return s.Table.Commit(ctx, txn)
}

// Guards against a commit that is taken for done since the row of the owner holds an earlier one, which was refused only
// after an attempt without a reply had taken effect.
func TestCommitAfterRefusalIsNotTakenForDone(t *testing.T) {
	table := newTable()
	c := committer{table: &lostReplyTable{Table: table}, row: ownerRow{OwnerRecord: OwnerRecord{Epoch: 1, Owner: "entry-1", Incarnation: 7}}, onRetry: func(error) {}}
	err := c.commit(t.Context(), []store.Write{{Key: "progress/first", Value: []byte("1")}}, nil, func() {})
	assert.Equal(t, errkind.Of(err), errkind.InvalidArgument)
	assert.NilError(t, c.commit(t.Context(), []store.Write{{Key: "progress/second", Value: []byte("2")}}, nil, func() {}))
	rows, err := table.Get(t.Context(), "progress/second")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.NilError(t, c.commit(t.Context(), nil, nil, func() {}))
}
