package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// minPassInterval is the time between two scheduling passes.
const minPassInterval = 20 * time.Millisecond

func acceptAll(store.Write) bool { return false }

// refusingStore selects the writes that the store refuses for good.
type refusingStore func(w store.Write) bool

func (refuses refusingStore) any(b *Batch) bool {
	for _, w := range b.Writes() {
		if refuses(w) {
			return true
		}
	}
	return false
}

// passes runs scheduling passes, each with one commit, for a time in which all attempts to write a refused record and its final
// state are over.
func (f *fixture) passes(refuses refusingStore) {
	f.t.Helper()
	for end := f.now + (2*maxRefusals+1)*refusalRetryInterval; f.now < end; f.now += minPassInterval {
		f.owner.Tick(f.now)
		f.commitUnless(refuses)
	}
}

func (f *fixture) commitUnless(refuses refusingStore) {
	f.t.Helper()
	b, err := f.owner.Prepare()
	assert.NilError(f.t, err)
	if refuses.any(b) {
		assert.NilError(f.t, f.owner.Refused(b, errkind.New(errkind.InvalidArgument, "refused")))
		return
	}
	f.commit(b)
}

// refuseRecordOf refuses the record of a submission, and its final state too if that is set.
func refuseRecordOf(id string, finalStateToo bool) refusingStore {
	return func(w store.Write) bool {
		if w.Key != ProgressKey(id) || w.Delete {
			return false
		}
		r, err := submission.DecodeRecord(w.Value, 0)
		return finalStateToo || err != nil || !r.State.Final()
	}
}

// addMany adds submissions of one task.
func (f *fixture) addMany(n int) {
	for i := range n {
		s := testSubmission(testStep(1))
		s.ID = fmt.Sprintf("%016x", i+1)
		f.add(s)
	}
}

func (f *fixture) assertState(id string, want submission.State) {
	f.t.Helper()
	state, known := f.owner.State(id)
	assert.Assert(f.t, known)
	assert.Equal(f.t, state.String(), want.String())
}

// Guards against one record that the store refuses for good, which stops the commits of all other submissions.
func TestRefusedRecordStopsNoOtherSubmission(t *testing.T) {
	for _, finalStateToo := range []bool{false, true} {
		f := newFixture(t)
		f.largeExecutor("e1", nil)
		const others = 40
		f.addMany(others)
		s := testSubmission(testStep(2))
		f.add(s)
		f.passes(refuseRecordOf(testID, finalStateToo))
		assert.Equal(t, len(f.starts()), others)
		f.assertState(testID, submission.Failed)
		assert.Equal(t, f.owner.Counters().RefusedWrites > 0, true)
		assert.Assert(t, !f.owner.Dirty())

		f.owner = f.newOwner(testEpoch + 1)
		f.add(s)
		f.messages = nil
		f.largeExecutor("e1", nil)
		f.passes(refuseRecordOf(testID, finalStateToo))
		f.assertState(testID, submission.Failed)
		assert.Equal(t, len(f.starts()), 0)
	}
}

// Guards against a refused part of a large record whose other parts start.
func TestSubmissionWithRefusedPartStartsNoMore(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	s := testSubmission(testStep(3 * partTasks))
	f.add(s)
	f.passes(func(w store.Write) bool { return w.Key == ProgressKey(testID)+"/2" })
	f.assertState(testID, submission.Failed)
	f.messages = nil
	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	f.largeExecutor("e1", nil)
	f.passes(acceptAll)
	f.assertState(testID, submission.Failed)
	assert.Equal(t, len(f.starts()), 0)
}

// Guards against runs that go on after the record of their submission was refused, and against ends of them that the executor
// forgets before the store has the final state: a new owner would take such a run for lost and start it again.
func TestRunsOfRefusedRecordAreStopped(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.add(testSubmission(testStep(2)))
	f.pass()
	refuses := refuseRecordOf(testID, false)
	running := []executor.Run{{Task: name(0, 1), Number: 1}}
	f.largeExecutor("e1", running, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Done})
	for end := f.now + (maxRefusals+1)*refusalRetryInterval; f.now < end; f.now += minPassInterval {
		f.owner.Tick(f.now)
		f.commitUnless(refuses)
		r, err := submission.DecodeRecord(f.rows[ProgressKey(testID)], 0)
		stored := err == nil && r.State == submission.Failed
		assert.Assert(t, stored || f.lastSeen("e1") == 0, "an end is acknowledged before the final state is stored")
	}
	assert.Equal(t, f.lastSeen("e1"), int64(1))
	assert.DeepEqual(t, f.stops(), []string{name(0, 1) + "#1@e1"})
	f.assertState(testID, submission.Failed)
}

// Guards against a contention model that the store refuses, with everything that is committed beside it.
func TestRefusedContentionModelStopsNothing(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	refusals := 0
	refuses := func(w store.Write) bool {
		if w.Key == ContentionModelKey {
			refusals++
		}
		return w.Key == ContentionModelKey
	}
	for i := range 6 {
		s := testSubmission(testStep(1))
		s.ID = fmt.Sprintf("%016x", i+1)
		f.add(s)
		f.now += modelWriteInterval
		f.largeExecutor("e1", nil)
		f.passes(refuses)
		f.assertState(s.ID, submission.Queued)
		assert.Assert(t, f.owner.jobs[s.ID].tasks[0].firstOrderedAt != 0, "submission %d is not started", i)
	}
	assert.Assert(t, refusals <= 3, "the model is tried %d times", refusals)
}

// Guards against submissions that fail since the store refuses every commit, also one without any change.
func TestStoreThatRefusesEveryCommitFailsNoSubmission(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.owner.Tick(f.now)
	refused := errkind.New(errkind.PermissionDenied, "refused")
	var err error
	for n := 0; err == nil; n++ {
		assert.Assert(t, n < 10)
		b, prepareErr := f.owner.Prepare()
		assert.NilError(t, prepareErr)
		err = f.owner.Refused(b, refused)
	}
	assert.Equal(t, errkind.Of(err), errkind.PermissionDenied)
	f.assertState(testID, submission.Queued)
}

// Guards against a refused submission that is kept for ever, or whose rows are.
func TestRefusedSubmissionIsRemovedAfterItsRetention(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.rows[WorkKey(testID)] = nil
	f.add(testSubmission(testStep(3 * partTasks)))
	f.passes(func(w store.Write) bool { return w.Key == ProgressKey(testID)+"/1" && !w.Delete })
	f.now += testBounds().Retention + time.Second
	f.passes(acceptAll)
	for key := range f.rows {
		assert.Assert(t, key == ContentionModelKey, "row %s is left", key)
	}
}

// Guards against a submission that fails since the store has refused its record once, for a moment.
func TestRecordThatIsRefusedForAMomentIsWrittenLater(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.add(testSubmission(testStep(2)))
	refusals := 0
	f.passes(func(w store.Write) bool {
		if w.Key == ProgressKey(testID) {
			refusals++
		}
		return refusals > 0 && refusals < maxRefusals && w.Key == ProgressKey(testID)
	})
	assert.Equal(t, len(f.starts()), 2)
	f.assertState(testID, submission.Queued)
	assert.Equal(t, f.owner.Counters().RefusedWrites, uint64(0))
}

// Guards against later parts of a record that are written while the first one is refused: a new owner takes the submission
// for one that has not started, and starts its tasks a second time.
func TestNoPartIsWrittenWhileTheFirstOneIsRefused(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	f.add(testSubmission(testStep(3 * partTasks)))
	for end := f.now + 2*refusalRetryInterval; f.now < end; f.now += minPassInterval {
		f.owner.Tick(f.now)
		f.commitUnless(func(w store.Write) bool { return w.Key == ProgressKey(testID) })
		assert.Equal(t, len(f.starts()), 0)
		assert.Equal(t, len(f.rows), 0)
	}
	f.now += refusalRetryInterval
	f.pass()
	f.pass()
	assert.Equal(t, len(f.starts()), 3*partTasks)
}

// Guards against many refused records, of which one is due at any time, that leave no commit for other submissions.
func TestManyRefusedRecordsLeaveCommitsForOthers(t *testing.T) {
	f := newFixture(t)
	f.largeExecutor("e1", nil)
	const refused = 60
	f.addMany(refused)
	refuses := func(w store.Write) bool { return w.Key != ProgressKey(testID) && w.Key != ContentionModelKey }
	for range 5 * refused {
		f.owner.Tick(f.now)
		f.commitUnless(refuses)
	}
	f.now += refusalRetryInterval
	f.add(testSubmission(testStep(1)))
	for range 6 {
		f.owner.Tick(f.now)
		f.commitUnless(refuses)
	}
	assert.Equal(t, len(f.starts()), 1)
}
