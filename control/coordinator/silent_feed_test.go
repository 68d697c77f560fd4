package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// callTimeout is the time after which a call to the store without an answer fails.
const callTimeout = 1200 * time.Millisecond

// silentFeed is a store that answers everything but the calls for changes of the work table while silent is set.
type silentFeed struct {
	*standin.Table
	silent atomic.Bool
}

func (s *silentFeed) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Page, error) {
	page, err := s.Table.Changes(ctx, table, version, wait)
	if table == dispatch.WorkTable && s.silent.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return store.Page{}, errkind.New(errkind.StoreUnavailable, "no answer")
	}
	return page, err
}

// The owner's commits get through while its feed of the work table is silent. It used to start the tasks of submissions that had been
// cancelled meanwhile.
func TestCancelledTaskIsNotStartedBehindSilentFeed(t *testing.T) {
	const cancelled, next = "00000000000000a1", "00000000000000a2"
	table := &silentFeed{Table: newTable()}
	e := startEntryWithStore(t, table.Table, "a", table)
	submit(t, table.Table, cancelled)
	eventually(t, "an owner", e.candidate.Owning)
	// The submission waits for an executor.
	time.Sleep(500 * time.Millisecond)
	table.silent.Store(true)
	_, err := table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.CancelKey(cancelled)}}})
	assert.NilError(t, err)
	time.Sleep(testCancel)
	ex := startAgent(t, table.Table, "x")
	time.Sleep(time.Second)
	table.silent.Store(false)
	submit(t, table.Table, next)
	eventually(t, "the next submission completes", func() bool { return completed(table.Table, next) })
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for task := range ex.runs {
		assert.Assert(t, task[:len(cancelled)] != cancelled, "%s was started after its cancellation", task)
	}
}
