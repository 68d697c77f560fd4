package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// gangFixture runs a gang of two members with checkpoints, one on each of two executors.
type gangFixture struct {
	*fixture
	sub *submission.Submission
}

func newGangFixture(t *testing.T) *gangFixture {
	t.Helper()
	step := testStep(2)
	step.Gang, step.Checkpoints, step.Request.CPU = true, true, 3000
	g := &gangFixture{newFixture(t), testSubmission(step)}
	g.executor("e1", nil)
	g.executor("e2", nil)
	g.add(g.sub)
	g.place()
	return g
}

// place runs a scheduling pass from which the members' starts are expected.
func (g *gangFixture) place() {
	g.t.Helper()
	g.messages = nil
	g.now += 400 * time.Millisecond
	g.pass()
	assert.Equal(g.t, len(g.starts()), 2, "%v", g.starts())
}

func (g *gangFixture) member(index int) *taskEntry { return g.owner.jobs[testID].tasks[index] }

// run reports the member's run with the given checkpoint.
func (g *gangFixture) run(index int, checkpoint string) {
	m := g.member(index)
	g.executor(m.node.info.ID, []executor.Run{{Task: m.name(), Number: m.rec.Run, Checkpoint: checkpoint}})
}

// end reports the end of the member's run.
func (g *gangFixture) end(index int, cause executor.EndCause, checkpoint string) {
	m := g.member(index)
	g.executor(m.node.info.ID, nil, executor.End{Number: m.node.lastEnd + 1, Task: m.name(), Run: m.rec.Run, Cause: cause, Checkpoint: checkpoint})
}

// carried returns the checkpoints of the ordered starts by task.
func (g *gangFixture) carried() map[string]string {
	out := make(map[string]string)
	for _, m := range g.messages {
		for _, s := range m.Orders.Starts {
			out[s.Task] = s.Checkpoint
		}
	}
	return out
}

func (g *gangFixture) assertCarried(checkpoint string) {
	g.t.Helper()
	assert.DeepEqual(g.t, g.carried(), map[string]string{name(0, 0): checkpoint, name(0, 1): checkpoint})
	for i := range 2 {
		assert.Equal(g.t, g.member(i).rec.Checkpoint, checkpoint)
	}
}

// Guards against a gang whose members start from different checkpoints and so never work together.
func TestGangStartsFromOneCheckpoint(t *testing.T) {
	for test, report := range map[string]func(g *gangFixture){
		"the others have the one before": func(g *gangFixture) {
			g.run(0, "c1")
			g.run(1, "c1")
			g.end(0, executor.Stopped, "c2")
			g.end(1, executor.GangMemberEnded, "c1")
		},
		"the one before is reported by the member that ends first": func(g *gangFixture) {
			g.run(0, "c1")
			g.run(1, "c2")
			g.end(0, executor.GangMemberEnded, "c1")
			g.end(1, executor.Stopped, "c2")
		},
		"one member has none": func(g *gangFixture) {
			g.run(0, "")
			g.run(1, "c2")
			g.end(1, executor.Stopped, "c2")
			g.end(0, executor.GangMemberEnded, "")
		},
	} {
		t.Run(test, func(t *testing.T) {
			g := newGangFixture(t)
			g.assertCarried("")
			report(g)
			g.place()
			g.assertCarried("c2")
		})
	}
}

// Guards against a new owner that continues a gang from other checkpoints than the records name.
func TestNewOwnerStartsGangFromOneCheckpoint(t *testing.T) {
	g := newGangFixture(t)
	g.run(0, "c1")
	g.run(1, "c1")
	g.end(0, executor.Stopped, "c2")
	g.end(1, executor.GangMemberEnded, "c1")
	b, err := g.owner.Prepare()
	assert.NilError(t, err)
	g.commit(b)
	g.owner = g.newOwner(testEpoch + 1)
	g.add(g.sub)
	g.executor("e1", nil)
	g.executor("e2", nil)
	g.place()
	g.assertCarried("c2")
}

// Guards against starting a gang unequally from the records of builds that kept a checkpoint for each member.
func TestGangWithUnequalRecordsStartsFromOneCheckpoint(t *testing.T) {
	for _, checkpoints := range [][2]string{{"c1", "c2"}, {"", "c1"}} {
		g := newGangFixture(t)
		r := submission.Record{Tasks: []submission.TaskRecord{{Run: 3, Checkpoint: checkpoints[0]}, {Run: 3, Checkpoint: checkpoints[1]}}}
		encoded, err := r.Encode()
		assert.NilError(t, err)
		g.rows[ProgressKey(testID)] = encoded
		g.owner = g.newOwner(testEpoch + 1)
		g.add(g.sub)
		g.executor("e1", nil)
		g.executor("e2", nil)
		g.place()
		g.assertCarried("c1")
	}
}

// Guards against an end of an earlier run that changes the checkpoint of one member of the next.
func TestLateEndDoesNotChangeCheckpointOfGang(t *testing.T) {
	g := newGangFixture(t)
	g.run(0, "c1")
	g.run(1, "c1")
	old := g.member(1).node.info.ID
	g.end(0, executor.Stopped, "c2")
	g.owner.requeue(g.member(1), g.now)
	g.place()
	g.assertCarried("c2")
	g.executor(old, nil, executor.End{Number: 9, Task: name(0, 1), Run: 1, Cause: executor.GangMemberEnded, Checkpoint: "c1"})
	g.now += startRetryInterval + time.Millisecond
	g.pass()
	g.assertCarried("c2")
}

// Guards against a copy of a member's start that carries a checkpoint which the run has saved since the first.
func TestCopiesOfStartsOfGangCarryTheSameCheckpoint(t *testing.T) {
	g := newGangFixture(t)
	g.run(0, "c1")
	g.messages = nil
	g.now += startRetryInterval + time.Millisecond
	g.pass()
	assert.DeepEqual(t, g.carried(), map[string]string{name(0, 1): ""})
}
