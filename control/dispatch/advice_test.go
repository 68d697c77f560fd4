package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/vm/executor"
)

func advisedManifest() *manifest.Manifest {
	m := &manifest.Manifest{Version: 1, Routes: []manifest.Route{{Name: "q", Service: "pool", RequiresAdvice: true}}}
	m.BuildIndex()
	return m
}

// A start without a valid ticket is refused and priced; a step must wait for
// advice, run where it is allowed, and be asked for again when its ticket ends.
func TestAdvisedStepRunsOnlyWhereItIsAllowed(t *testing.T) {
	f := newFixture(t)
	f.owner.SetManifest(advisedManifest())
	f.executor("e1", nil)
	f.executor("e2", nil)
	f.add(testSubmission(testStep(1)))
	f.turn()
	assert.Equal(t, len(f.starts()), 0)
	q, ok := f.owner.NextQuestion(f.now)
	assert.Assert(t, ok)
	assert.Equal(t, q.Step, testID+".0.0")
	assert.Equal(t, len(q.Executors), 2)
	f.owner.Advised(q, advice.Response{Allowed: []advice.Permission{{Executor: "e2", Ticket: "t1"}}, Validity: 3 * time.Second}, f.now)
	_, ok = f.owner.NextQuestion(f.now)
	assert.Assert(t, !ok, "the step is asked for again though all executors are known")
	f.turn()
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#1@e2"})
	tickets := ""
	for _, m := range f.mails {
		for _, s := range m.Orders.Starts {
			tickets += s.Ticket
		}
	}
	assert.Equal(t, tickets, "t1")
	f.answer("e2", name(0, 0), 1, executor.Rejected, executor.ReasonTicket)
	f.turn()
	assert.Equal(t, len(f.starts()), 1)
	q, ok = f.owner.NextQuestion(f.now)
	assert.Assert(t, ok)
	assert.Equal(t, len(q.Executors), 1)
}
