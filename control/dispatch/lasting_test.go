package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
)

// Guards against starvation: a long-running task that lost its run waited behind all short tasks,
// for as long as those arrived, because by its objective it was past its hard deadline from the
// third second on.
func TestLostLongRunningTaskGoesBeforeShortOnes(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	longRunning := testStep(1)
	longRunning.LongRunning, longRunning.Request.CPU = true, 4000
	s := testSubmission(longRunning)
	s.TargetLatency = 2500 * time.Millisecond
	f.add(s)
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
	f.now += 20 * time.Second
	for i := range 8 {
		short := testStep(1)
		short.Estimate = time.Second
		other := testSubmission(short)
		other.ID, other.TargetLatency, other.Accepted = fmt.Sprintf("%016x", 0xb0+i), 10*time.Second, f.now.Milliseconds()
		f.add(other)
	}
	f.executor("e1", nil, executor.End{Number: 1, Task: name(0, 0), Run: 1, Cause: executor.Failed})
	f.pass()
	starts := f.starts()
	assert.Equal(t, len(starts), 2, "%v", starts)
	assert.Equal(t, starts[1], name(0, 0)+"#2@e1")
}
