package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
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

// Guards against members that wait for one whose start was refused until they end alone.
func TestMembersOfGangAreStoppedWhenOneIsRefused(t *testing.T) {
	g := newGangFixture(t)
	refused, other := g.member(0), g.member(1)
	g.run(1, "")
	at := other.node.info.ID
	g.messages = nil
	g.answerStart(refused.node.info.ID, refused.name(), 1, executor.Rejected, executor.ReasonCapacity)
	g.pass()
	assert.DeepEqual(t, g.stops(), []string{other.name() + "#1@" + at})
	assert.Equal(t, len(g.starts()), 0, "a member is started beside one of the run before")

	g.end(1, executor.Stopped, "")
	g.place()
	assert.Equal(t, g.member(0).rec.Run, g.member(1).rec.Run)
	assert.Equal(t, g.member(0).rec.Run, uint32(2))
}

// Guards against members that are ordered although the start of another one has been taken back before its commit.
func TestMembersOfGangAreNotOrderedWhenOneIsLost(t *testing.T) {
	f := newFixture(t)
	step := testStep(2)
	step.Gang, step.Request.CPU = true, 3000
	f.executor("e1", nil)
	f.executor("e2", nil)
	f.add(testSubmission(step))
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: testInfo("e1", f.now), ExecutorEnded: true}, f.now)
	f.commit(b)
	assert.Equal(t, len(f.starts()), 0, "%v", f.starts())
}
