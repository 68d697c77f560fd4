package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a start that waits for a lost connection and is sent when it is back, after the lease has expired
// and the task was started elsewhere.
func TestWaitingStartIsDroppedWhenLeaseExpires(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.owner.AgentDisconnected("agent-e1")
	f.commit(b)
	assert.Equal(t, len(f.starts()), 0)

	for range 30 {
		f.now += 200 * time.Millisecond
		f.executor("e2", nil)
		f.pass()
	}
	started := f.starts()
	assert.Assert(t, len(started) > 0 && started[0] == name(0, 0)+"#2@e2", "%v", started)

	f.executor("e1", nil)
	f.pass()
	assert.Assert(t, !slices.Contains(f.starts(), name(0, 0)+"#1@e1"), "%v", f.starts())
}

// A start that waited for a lost connection used to be sent together with its stop, and could begin after its submission
// had been cancelled.
func TestWaitingStartIsDroppedWhenItsRunIsStopped(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.add(testSubmission(testStep(1)))
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.owner.AgentDisconnected("agent-e1")
	f.commit(b)
	assert.Equal(t, len(f.starts()), 0)
	f.owner.Cancel(testID, f.now)
	f.now += time.Second
	f.executor("e1", nil)
	f.pass()
	assert.DeepEqual(t, f.stops(), []string{name(0, 0) + "#1@e1"})
	assert.Equal(t, len(f.starts()), 0, "%v", f.starts())
}
