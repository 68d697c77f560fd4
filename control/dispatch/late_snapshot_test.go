package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// A snapshot that was on its way for seconds, since the owner, the agent or the link had stood still, used to be compared
// with the one before it as if it were current: runs that were at work counted as stuck and as slow, and were stopped.
func TestLateSnapshotDoesNotShowRunAsStuckOrSlow(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	f.executor("e2", nil)
	s := testSubmission(testStep(1))
	s.Steps[0].Estimate = 20 * time.Second
	f.add(s)
	f.pass()
	at := f.messages[len(f.messages)-1].Orders.Executor
	for _, m := range f.messages {
		if len(m.Orders.Starts) > 0 {
			at = m.Orders.Executor
		}
	}
	f.answerStart(at, name(0, 0), 1, executor.OK, executor.ReasonNone)
	report := func(readAt time.Duration, percent int) {
		f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-" + at, Info: testInfo(at, readAt), FullSnapshot: true,
			Running: []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: percent}}}, f.now)
	}
	begin := f.now
	for i := range 6 {
		f.now = begin + time.Duration(i+1)*400*time.Millisecond
		report(f.now, 2*(i+1))
	}
	f.pass()
	read := f.now
	f.now += 2300 * time.Millisecond
	report(read+100*time.Millisecond, 12)
	report(read+2300*time.Millisecond, 23)
	f.pass()
	assert.Equal(t, len(f.stops()), 0, "%v", f.stops())
	for _, n := range f.owner.executors {
		if n.info.ID == at {
			assert.Assert(t, n.speed.Slowdown(f.now) < 1.05, "slowdown %.2f", n.speed.Slowdown(f.now))
		}
	}
}
