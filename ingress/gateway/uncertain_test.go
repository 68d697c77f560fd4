package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// scriptedTable answers commits with errors of the given kinds, in order.
type scriptedTable struct {
	store.Table
	kinds []errkind.Kind
}

func (s *scriptedTable) Commit(context.Context, store.Txn) ([]uint64, error) {
	kind := s.kinds[0]
	s.kinds = s.kinds[1:]
	return nil, errkind.New(kind, "scripted")
}

// A submission whose first write may take effect used to be called rejected when the store refused the second one for
// any reason but being unavailable.
func TestRefusalAfterUncertainWriteIsNotARejection(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.PermissionDenied, errkind.NotFound, errkind.TooLarge, errkind.InvalidArgument} {
		g := newGateway(newTable(), noResponse)
		g.store = &scriptedTable{kinds: []errkind.Kind{errkind.StoreAmbiguous, kind}}
		err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
		assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%s: %v", kind, err)
	}
}

// refusingAdmission refuses all submissions.
type refusingAdmission struct{}

func (refusingAdmission) Admit(context.Context, *submission.Submission) error {
	return errkind.New(errkind.QueueFull, "overload")
}
func (refusingAdmission) Settled(string, error) {}

// A submission whose first attempt had no answer used to be told at the next one that it never runs, by a store that was down or by
// overload, and the first attempt took effect later.
func TestLaterAttemptIsNotRefusedWhileAnEarlierOneMayTakeEffect(t *testing.T) {
	for name, refuse := range map[string]func(g *Gateway, table *standin.Table){
		"store down": func(_ *Gateway, table *standin.Table) { table.SetFaults(standin.Faults{Down: true}) },
		"overload":   func(g *Gateway, _ *standin.Table) { g.admission = refusingAdmission{} },
	} {
		synctest.Test(t, func(t *testing.T) {
			table := newTable()
			g := virtualGateway(table)
			submitWithoutAnswer(t, table, g)
			refuse(g, table)
			err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
			assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%s: %v", name, err)
			other := testSubmission()
			other.ID = "00000000000000b9"
			err = g.Submit(t.Context(), &manifest.Route{Name: "q"}, other)
			assert.Equal(t, errkind.Of(err).Attributes().Execution, errkind.ExecutionNotRun, "%s: %v", name, err)
			table.SetFaults(standin.Faults{})
			time.Sleep(2 * lateCommit)
			work, _ := storedRows(t, table, testID)
			assert.Assert(t, work != nil)
		})
	}
}

// A copy of a submission that arrives after its acknowledgement used to be told that it never runs while the store was down.
func TestCopyOfAcceptedSubmissionIsNotRefused(t *testing.T) {
	table := newTable()
	g := newGateway(table, noResponse)
	assert.NilError(t, g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission()))
	table.SetFaults(standin.Faults{Down: true})
	err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
	assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%v", err)
}
