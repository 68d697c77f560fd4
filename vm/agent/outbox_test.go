package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/worker"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against events of one attempt that are reordered, dropped before they are acknowledged, or
// reported twice.
func TestOutboxKeepsOrderUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent, acked []string
		up := false
		o := newOutbox(func(_ context.Context, ev *wire.TaskEvent) error {
			time.Sleep(time.Second)
			if !up {
				return errkind.New(errkind.OutcomeUnknown, "lost")
			}
			sent = append(sent, ev.Event+ev.Checkpoint)
			return nil
		}, func(ev *wire.TaskEvent) { acked = append(acked, ev.Event+ev.Checkpoint) })
		post := func(event, ref string) {
			o.post(t.Context(), &wire.TaskEvent{ID: "t", Attempt: 1, Event: event, Checkpoint: ref})
		}
		post(wire.TaskCheckpointed, "1")
		post(wire.TaskCheckpointed, "2")
		post(wire.TaskCheckpointed, "3")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		up = true
		post(wire.TaskSucceeded, "")
		post(wire.TaskSucceeded, "")
		assert.Assert(t, o.endEvent("t", 1) != nil)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, sent, []string{wire.TaskSucceeded})
		assert.DeepEqual(t, acked, sent)
		assert.Assert(t, o.empty())
	})
}

// Guards against heartbeats that report unchanged usage and exceed the control traffic budget, and
// against a change that is never reported.
func TestUsageFilterReportsChangesOnly(t *testing.T) {
	var f usageFilter
	use := func(cpu int64) []worker.Usage { return []worker.Usage{{ID: "t", Use: task.Resources{CPU: cpu}}} }
	assert.Equal(t, len(f.changed(use(100), nil, 0)), 1)
	assert.Equal(t, len(f.changed(use(200), nil, 8*time.Second)), 0, "within the interval of the last report")
	assert.Equal(t, len(f.changed(use(200), nil, 16*time.Second)), 1)
	assert.Equal(t, len(f.changed(use(215), nil, 40*time.Second)), 0, "a change of 7.5%")
	assert.Equal(t, len(f.changed(use(230), nil, 60*time.Second)), 1, "small changes accumulate")
	assert.Equal(t, f.changed(use(230), map[string]float64{use(230)[0].ID: 0.5}, 80*time.Second)[0].SpeedLimitPermille, uint16(500), "the speed limit changed")
	f.reset()
	assert.Equal(t, len(f.changed(use(230), nil, 81*time.Second)), 1, "a new owner has no report yet")
}
