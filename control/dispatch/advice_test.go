package dispatch

import (
	"fmt"
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

// A start without a valid ticket is refused and charged. A step must wait for advice, run only
// where it is allowed, and request advice again when its ticket becomes invalid.
func TestAdvisedStepRunsOnlyOnAllowedExecutors(t *testing.T) {
	f := newFixture(t)
	f.owner.SetManifest(advisedManifest())
	f.executor("e1", nil)
	f.executor("e2", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 0)
	q, ok := f.owner.NextAdviceRequest(f.now)
	assert.Assert(t, ok)
	assert.Equal(t, q.Step, testID+".0.0")
	assert.Equal(t, len(q.Executors), 2)
	f.owner.ApplyAdvice(q, advice.Response{Allowed: []advice.Permission{{Executor: "e2", Ticket: "t1"}}, Validity: 3 * time.Second}, f.now)
	_, ok = f.owner.NextAdviceRequest(f.now)
	assert.Assert(t, !ok, "advice for the step is requested again though it is known for all executors")
	f.pass()
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#1@e2"})
	tickets := ""
	for _, m := range f.messages {
		for _, s := range m.Orders.Starts {
			tickets += s.Ticket
		}
	}
	assert.Equal(t, tickets, "t1")
	f.answerStart("e2", name(0, 0), 1, executor.Rejected, executor.ReasonTicket)
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
	q, ok = f.owner.NextAdviceRequest(f.now)
	assert.Assert(t, ok)
	assert.Equal(t, len(q.Executors), 1)
}

// Guards against executors beyond the length of a request that are never asked about.
func TestAdviceIsRequestedForAllExecutorsInTurn(t *testing.T) {
	const executors = advice.MaxExecutors + 50
	f := newFixture(t)
	f.owner.SetManifest(advisedManifest())
	for i := range executors {
		f.executor(fmt.Sprintf("e%03d", i), nil)
	}
	f.add(testSubmission(testStep(1)))
	f.pass()
	asked := make(map[string]bool)
	for range 2 {
		q, ok := f.owner.NextAdviceRequest(f.now)
		assert.Assert(t, ok)
		for _, e := range q.Executors {
			asked[e.ID] = true
		}
		f.owner.ApplyAdvice(q, advice.Response{Validity: 3 * time.Second}, f.now)
	}
	assert.Equal(t, len(asked), executors)
}
