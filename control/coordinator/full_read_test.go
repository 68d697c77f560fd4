package coordinator

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/store"
)

// A full read of the table of submissions that began before the rows of an ended one were deleted used to bring it back
// without its record, and its tasks ran again.
func TestRemovedSubmissionDoesNotComeBackWithAFullRead(t *testing.T) {
	const ended, unknown = "00000000000000c1", "00000000000000c2"
	c := new(clock.Fake)
	c.Advance(time.Hour)
	o := newOwner(Config{Store: newTable(), Clock: c, Log: zerolog.Nop(), Bounds: dispatch.Bounds{Retention: time.Minute},
		Manifest: func() *manifest.Manifest { return nil }}, ownerRow{OwnerRecord: OwnerRecord{Epoch: 1}}, 0)
	o.done = t.Context().Done()
	row := func(id string, version uint64) store.Row {
		s := &submission.Submission{ID: id, Queue: "q", Service: "pool", Steps: []submission.Step{{Count: 1, Request: task.Resources{CPU: 500}}}}
		value, err := s.Encode()
		assert.NilError(t, err)
		return store.Row{Key: dispatch.WorkKey(id), Value: value, Version: version}
	}
	o.applyTables(storedTables{work: []store.Row{row(ended, 5)}, version: 6})
	sink := follow.Sinks{newWorkSink(o, 6)}
	commit := func() {
		o.dispatcher.Tick(c.Now())
		b, err := o.dispatcher.Prepare()
		assert.NilError(t, err)
		o.dispatcher.Committed(b, c.Now(), c.Now())
	}
	assert.Assert(t, o.dispatcher.Cancel(ended, c.Now()))
	commit()
	c.Advance(2 * time.Minute)
	o.dispatcher.Tick(c.Now())
	_, known := o.dispatcher.State(ended)
	assert.Assert(t, !known, "the submission is not removed yet")
	sink.Table([]store.Row{row(ended, 5), row(unknown, 8)}, 9)
	o.drainInbox()
	_, known = o.dispatcher.State(ended)
	assert.Assert(t, !known, "the submission that has ended is back")
	_, known = o.dispatcher.State(unknown)
	assert.Assert(t, known, "a submission that was not delivered before is missing")
}
