package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

// submitOne submits a task that fits every VM and returns the outcome.
func (w *fuzzCluster) submitOne(id string) error {
	outcome := make(chan error, 1)
	w.do(func() {
		spec := task.Spec{ID: id, Customer: "c", JobClass: "j", Declared: fuzzSize, Duration: time.Hour}
		w.owner.Submit([]task.Spec{spec}, 1, func(_ string, err error) { outcome <- err })
	})
	time.Sleep(time.Second)
	return <-outcome
}

func (w *fuzzCluster) runningOn(id string) int {
	n := 0
	w.locked(func() {
		for _, a := range w.agents {
			if _, ok := a.running[id]; ok {
				n++
			}
		}
	})
	return n
}

// Guards against a task start that needs more writes than its budget of 2, and against a start before
// the submission is durable.
func TestSubmissionIsWrittenWithItsAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newFuzzCluster(t, ctx)
		defer w.cancel()
		before := w.table.Counts().Commits
		assert.NilError(t, w.submitOne("t"))
		assert.Equal(t, w.runningOn("t"), 1)
		assert.Equal(t, w.table.Counts().Commits-before, int64(1))
	})
}

// Guards against running a task twice when another shard has accepted it under the same id. The repeated
// submission must be answered, but nothing started.
func TestSubmissionAcceptedElsewhereIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newFuzzCluster(t, ctx)
		defer w.cancel()
		assert.NilError(t, w.submitOne("t"))
		rows, err := w.table.Get(ctx, TaskKeyPrefix("s")+"t")
		assert.NilError(t, err)
		_, err = w.table.Commit(ctx, store.Txn{Writes: []store.Write{
			{Key: TaskIDPrefix + "u", Value: []byte("other")}, {Key: TaskKeyPrefix("other") + "u", Value: withID(t, rows[0].Value, "u")},
		}})
		assert.NilError(t, err)
		assert.NilError(t, w.submitOne("u"))
		assert.Equal(t, w.runningOn("u"), 0)
	})
}

// withID returns the encoded record with another task id.
func withID(t *testing.T, value []byte, id string) []byte {
	rec, err := decodeRecord(value)
	assert.NilError(t, err)
	rec.Spec.ID = id
	out, err := encodeRecord(rec)
	assert.NilError(t, err)
	return out
}

// Guards against showing a final state before it is durable: the client would act on a result that a
// crash of the owner can still revert.
func TestFinalStateIsShownOnlyWhenDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := newFuzzCluster(t, ctx)
		defer w.cancel()
		assert.NilError(t, w.submitOne("t"))
		state := func() string {
			var r *wire.LookupReply
			assert.NilError(t, w.owner.Do(ctx, func() { r, _ = w.owner.Select(&wire.Lookup{IDs: []string{"t"}, Limit: 1}) }))
			return r.Records[0].State
		}
		w.table.SetFaults(standin.Faults{Down: true})
		for _, a := range w.agents {
			if attempt, ok := a.running["t"]; ok {
				ev := &wire.TaskEvent{VM: a.id, ID: "t", Attempt: attempt, Event: wire.TaskSucceeded}
				assert.NilError(t, w.owner.Do(ctx, func() { w.owner.TaskEvent(ctx, ev, func(error) {}) }))
			}
		}
		time.Sleep(time.Second)
		assert.Equal(t, state(), task.Running)
		w.table.SetFaults(standin.Faults{})
		time.Sleep(3 * time.Second)
		assert.Equal(t, state(), task.Succeeded)
	})
}
