package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
)

// A new owner that found some members of a gang without a run used to start these alone beside the others.
func TestNewOwnerStartsGangOnlyWhenAllMembersAreIdle(t *testing.T) {
	f := newFixture(t)
	step := testStep(2)
	step.Gang, step.Request.CPU = true, 3000
	s := testSubmission(step)
	f.executor("i-1", nil)
	f.executor("i-2", nil)
	f.add(s)
	f.pass()
	assert.Equal(t, len(f.starts()), 2)
	f.executor("i-1", []executor.Run{{Task: name(0, 0), Number: 1}})
	f.executor("i-2", []executor.Run{{Task: name(0, 1), Number: 1}})
	first := f.starts()[0]
	at, member := "i-1", name(0, 0)
	if first != name(0, 0)+"#1@i-1" {
		f.executor("i-1", []executor.Run{{Task: name(0, 1), Number: 1}})
		f.executor("i-2", []executor.Run{{Task: name(0, 0), Number: 1}})
		at = "i-2"
	}
	f.executor(at, nil, executor.End{Number: 1, Task: member, Run: 1, Cause: executor.Failed})
	f.pass()
	assert.Equal(t, len(f.starts()), 2, "members are started while others have a run")
	f.owner = f.newOwner(testEpoch + 1)
	f.messages = nil
	f.add(s)
	f.executor(at, nil, executor.End{Number: 1, Task: member, Run: 1, Cause: executor.Failed})
	f.now += 100 * time.Millisecond
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "%v", f.starts())
	f.executor("i-1", nil)
	f.executor("i-2", nil)
	f.now += 100 * time.Millisecond
	f.pass()
	assert.Equal(t, len(f.starts()), 2, "the gang is not started although all members are idle")
}
