package overload

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/gateway"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/verify/standin"
)

const testID = "00000000000000c1"

// newEntry returns a gateway whose queue q has a backlog that no submission can wait for.
func newEntry(table *standin.Table) (*gateway.Gateway, *desk) {
	d, c := newDesk(time.Minute, time.Minute), clock.Boottime{}
	return gateway.New(gateway.Config{Store: table, Clock: c, Log: zerolog.Nop(), Owner: member.NewOwnerLink(c, zerolog.Nop()),
		Manifest: func() *manifest.Manifest { return nil }, ManifestAge: func() time.Duration { return 0 }, StoreLastResponse: c.Now,
		Observe: func(string, int, time.Duration, error) {}, ObserveForward: func(error) {},
		Admission: &Gate{Controller: d.Controller, Store: table, Clock: c, Log: zerolog.Nop(), Observe: func(string, string, string) {}}}), d
}

func submit(t *testing.T, g *gateway.Gateway) error {
	t.Helper()
	return g.Submit(t.Context(), &manifest.Route{Name: "q", Stretch: 1}, &submission.Submission{ID: testID,
		Steps: []submission.Step{{Count: 1, Request: task.Resources{CPU: 1000}, Estimate: time.Second}}})
}

func stored(t *testing.T, table *standin.Table) bool {
	t.Helper()
	rows, err := table.Get(t.Context(), dispatch.WorkKey(testID))
	assert.NilError(t, err)
	return len(rows) > 0
}

// Guards against an answer that does not say that nothing was stored, or that stores the submission all the same.
func TestRefusedSubmissionIsNotStored(t *testing.T) {
	table := standin.NewTable(1000, 1000)
	g, _ := newEntry(table)
	err := submit(t, g)
	assert.Equal(t, errkind.Of(err), errkind.CapacityExceeded)
	assert.Equal(t, errkind.Of(err).Attributes().Execution, errkind.ExecutionNotRun)
	assert.Assert(t, g.RetryAfter(err) > time.Second, "%s", g.RetryAfter(err))
	assert.Equal(t, g.RetryAfter(errkind.New(errkind.StoreUnavailable, "down")), time.Second)
	assert.Assert(t, !stored(t, table))
}

// Guards against refusing a submission that was accepted before: the answer was lost on the way to the caller, or the store's
// reply to this entry, or another entry has accepted it.
func TestAcceptedSubmissionIsNotRefused(t *testing.T) {
	table := standin.NewTable(1000, 1000)
	g, d := newEntry(table)
	estimate := d.message
	d.message = nil
	assert.NilError(t, submit(t, g))
	d.message = estimate
	assert.NilError(t, submit(t, g))
	other, _ := newEntry(table)
	assert.NilError(t, submit(t, other), "at another entry")
}

// Guards against answering 503 for an id whose first write takes effect later: the store's reply was lost, and the row is not
// there yet when the caller tries again.
func TestIDWithUnknownOutcomeIsNotRefused(t *testing.T) {
	table := standin.NewTable(1000, 1000)
	g, d := newEntry(table)
	estimate := d.message
	d.message = nil
	table.SetFaults(standin.Faults{DelayCommits: 1000, CommitDelay: time.Hour})
	err := submit(t, g)
	assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%v", err)
	d.message = estimate
	table.SetFaults(standin.Faults{})
	assert.NilError(t, submit(t, g))
	assert.Assert(t, stored(t, table))
}

// Guards against a refusal while the store can't say whether the submission was accepted: the request takes its usual way.
func TestFailedReadLetsTheRequestGoOn(t *testing.T) {
	table := standin.NewTable(1000, 1000)
	g, _ := newEntry(table)
	table.SetFaults(standin.Faults{Down: true})
	assert.Equal(t, errkind.Of(submit(t, g)), errkind.StoreUnavailable)
}
