package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// A cancellation whose submission was read later used to be dropped, and the tasks ran.
func TestCancellationBeforeItsSubmission(t *testing.T) {
	f := newFixture(t)
	f.executor("a", nil)
	assert.Assert(t, !f.owner.Cancel(testID, f.now))
	f.add(testSubmission(submission.Step{Count: 1, Request: task.Resources{CPU: 500}}))
	f.pass()
	state, known := f.owner.State(testID)
	assert.Assert(t, known)
	assert.Equal(t, state, submission.Cancelled)
	assert.Equal(t, len(f.starts()), 0)
}

// Tombstones and cancellations of submissions that do not exist must stay for the retention time, during which a late write may
// come, and must not stay for good.
func TestTombstonesAreRemovedAfterRetention(t *testing.T) {
	f := newFixture(t)
	const cancelled = "00000000000000f2"
	rows := []string{WorkKey(testID), CancelKey(cancelled)}
	for _, key := range rows {
		f.rows[key] = nil
	}
	f.owner.AddTombstone(testID, f.now)
	f.owner.Cancel(cancelled, f.now)
	f.now += testBounds().Retention - time.Second
	f.owner.AddTombstone(testID, f.now)
	f.pass()
	for _, key := range rows {
		_, stored := f.rows[key]
		assert.Assert(t, stored, "%s is removed before its retention time is over", key)
	}
	f.now += time.Second
	f.pass()
	for _, key := range rows {
		_, stored := f.rows[key]
		assert.Assert(t, !stored, "%s is left", key)
	}
}

// A submission that was stored after its tombstone was removed must not lose its row to the removal.
func TestSubmissionAfterTombstoneIsKept(t *testing.T) {
	f := newFixture(t)
	f.owner.AddTombstone(testID, f.now)
	f.rows[WorkKey(testID)] = nil
	f.add(testSubmission(submission.Step{Count: 1, Request: task.Resources{CPU: 500}}))
	f.now += 2 * testBounds().Retention
	f.pass()
	_, stored := f.rows[WorkKey(testID)]
	assert.Assert(t, stored)
	state, _ := f.owner.State(testID)
	assert.Assert(t, state != submission.Cancelled)
}
