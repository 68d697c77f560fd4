package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/wire"
)

const testCancel = 3 * time.Second

// newCancelFixture returns a fixture whose runs begin only by recent knowledge of the cancellations.
func newCancelFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.owner.bounds.Cancel = testCancel
	return f
}

// An owner that the store served again used to place tasks before its feed had told it of the cancellations of that time.
func TestNothingStartsWhileCancellationsAreUnknown(t *testing.T) {
	f := newCancelFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "a new owner placed a task before it knew the cancellations")
	f.owner.SetCancellationsAsOf(f.now)
	f.now += testCancel
	f.executor("e1", nil)
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "an owner placed a task by cancellations that it knew too long ago")
	f.owner.Cancel(testID, f.now)
	f.owner.SetCancellationsAsOf(f.now)
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "a cancelled task was started")
}

// The cancellations get too old between a decision and the answer to its commit. The order must wait until they are known again, and
// must not leave if the submission is among them.
func TestOrderWaitsForCancellationsAfterSlowCommit(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		f := newCancelFixture(t)
		f.owner.SetCancellationsAsOf(f.now)
		f.executor("e1", nil)
		f.add(testSubmission(testStep(1)))
		f.owner.Tick(f.now)
		b, err := f.owner.Prepare()
		assert.NilError(t, err)
		f.now += testCancel
		f.commit(b)
		assert.Equal(t, len(f.starts()), 0)
		if cancelled {
			f.owner.Cancel(testID, f.now)
		}
		f.owner.SetCancellationsAsOf(f.now)
		f.executor("e1", nil)
		f.pass()
		assert.Equal(t, len(f.starts()) > 0, !cancelled)
	}
}

// An order without an answer is repeated only while the cancellations are known, since its first copy may never have arrived.
func TestOrderIsNotRepeatedWhileCancellationsAreUnknown(t *testing.T) {
	f := newCancelFixture(t)
	f.owner.SetCancellationsAsOf(f.now)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
	f.now += startRetryInterval + time.Second
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
	f.owner.SetCancellationsAsOf(f.now)
	f.pass()
	assert.Equal(t, len(f.starts()), 2)
}

// A task whose run was lost must not start elsewhere by old knowledge.
func TestLostRunIsNotRestartedWhileCancellationsAreUnknown(t *testing.T) {
	f := newCancelFixture(t)
	f.owner.SetCancellationsAsOf(f.now)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	f.now += testCancel
	f.executor("e2", nil)
	f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: testInfo("e1", f.now), ExecutorEnded: true}, f.now)
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
}

// However late an order is executed, the run must not begin after the bound of a cancellation that the owner did not know of yet:
// the order's deadline follows from the input that was known the longest ago.
func TestStartCarriesEarliestDeadline(t *testing.T) {
	deadline := func(cancellationsAge, evacuationsAge time.Duration) int64 {
		f := newZoneFixture(t)
		f.owner.bounds.Cancel = testCancel
		f.know()
		f.owner.SetCancellationsAsOf(f.now)
		asked := f.now
		f.now += max(cancellationsAge, evacuationsAge)
		if evacuationsAge == 0 {
			f.know()
		}
		if cancellationsAge == 0 {
			f.owner.SetCancellationsAsOf(f.now)
		}
		f.executor("e1", nil)
		f.add(testSubmission(testStep(1)))
		f.pass()
		assert.Equal(t, len(f.starts()), 1)
		return f.messages[len(f.messages)-1].Orders.Starts[0].Deadline - asked.Milliseconds()
	}
	byCancellation, byEvacuation := deadline(time.Second, 0), deadline(0, 3*time.Second)
	assert.Assert(t, byCancellation <= (testCancel-startMargin).Milliseconds(), "%d ms", byCancellation)
	assert.Assert(t, byCancellation > (testCancel-startMargin-100*time.Millisecond).Milliseconds(), "%d ms", byCancellation)
	assert.Assert(t, byEvacuation <= (testEvacuation-startMargin).Milliseconds(), "%d ms", byEvacuation)
}
