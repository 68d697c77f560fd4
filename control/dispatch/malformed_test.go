package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// A report or an order result with a value that this version does not define used to end the owner's process.
func TestUndefinedValuesFromAgentsDoNotEndTheOwner(t *testing.T) {
	f := newFixture(t)
	f.executor("i-1", nil)
	f.add(testSubmission(testStep(2)))
	f.pass()
	assert.Equal(t, len(f.starts()), 2)
	f.answerStart("i-1", name(0, 0), 1, executor.Outcome(200), executor.Reason(200))
	f.executor("i-1", nil, executor.End{Number: 1, Task: name(0, 1), Run: 1, Cause: executor.EndCause(200)},
		executor.End{Number: 2, Task: "unknown", Run: 1, Cause: executor.EndCause(201)})
	f.owner.ApplyReport(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent", FullSnapshot: true, Running: []executor.Run{{}}}, f.now)
	f.pass()
}
