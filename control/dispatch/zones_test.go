package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

const testEvacuation = 5 * time.Second

// zoneFixture is a fixture whose zones can be evacuated.
type zoneFixture struct{ *fixture }

func newZoneFixture(t *testing.T) zoneFixture {
	t.Helper()
	f := zoneFixture{newFixture(t)}
	f.owner = f.newZoneOwner(testEpoch)
	return f
}

func (f zoneFixture) newZoneOwner(epoch uint64) *Owner {
	o := f.newOwner(epoch)
	o.bounds.Evacuation = testEvacuation
	return o
}

// know tells the owner which zones are evacuated now.
func (f zoneFixture) know(zones ...string) {
	known := make(evacuation.Zones)
	for i, z := range zones {
		known[z] = uint64(i + 1)
	}
	f.owner.SetEvacuations(evacuation.State{Zones: known, AsOf: f.now})
}

// executorIn reports an executor of a zone with its running and ended runs.
func (f zoneFixture) executorIn(id, zone string, running []executor.Run, ended ...executor.End) {
	info := testInfo(id, f.now)
	info.Zone = zone
	f.owner.ApplyReport(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-" + id, Info: info, FullSnapshot: true,
		Running: running, Ended: ended}, f.now)
}

// startedOn returns the executors of all ordered starts.
func (f zoneFixture) startedOn() []string {
	var out []string
	for _, s := range f.starts() {
		_, id, _ := strings.Cut(s, "@")
		out = append(out, id)
	}
	return out
}

// Work placed in an evacuated zone is lost when the zone loses power. Nothing may start there: no
// first run, no run that failed or was lost elsewhere, and none for which another run would have
// to make room.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	f := newZoneFixture(t)
	f.know("z1")
	f.executorIn("e1", "z1", nil)
	f.executorIn("e2", "z2", nil)
	f.add(testSubmission(testStep(2)))
	f.pass()
	assert.DeepEqual(t, f.startedOn(), []string{"e2", "e2"})
	f.executorIn("e2", "z2", []executor.Run{{Task: name(0, 0), Number: 1}}, executor.End{Number: 1, Task: name(0, 1), Run: 1, Cause: executor.Failed})
	f.pass()
	assert.DeepEqual(t, f.startedOn(), []string{"e2", "e2", "e2"})
}

// All zones are evacuated: accepted work waits, is not dropped, and goes on when one is back.
func TestWorkWaitsWhileAllZonesAreEvacuated(t *testing.T) {
	f := newZoneFixture(t)
	f.know("z1", "z2")
	f.executorIn("e1", "z1", nil)
	f.executorIn("e2", "z2", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 0)
	state, known := f.owner.State(testID)
	assert.Assert(t, known)
	assert.Equal(t, state, submission.Queued)
	assert.Equal(t, f.owner.Counters().ZoneWaits, uint64(1))
	f.now += time.Second
	f.know("z1")
	f.pass()
	assert.DeepEqual(t, f.startedOn(), []string{"e2"})
}

// A step that waits for an executor that is merely full, or that has not reported to a new owner
// yet, must not be reported as waiting for a zone.
func TestZoneWaitIsReportedOnlyWhenNoOtherZoneFits(t *testing.T) {
	f := newZoneFixture(t)
	f.know("z1")
	f.executorIn("e1", "z1", nil)
	f.executorIn("e2", "z2", nil)
	f.add(testSubmission(testStep(5)))
	f.pass()
	assert.Equal(t, len(f.starts()), 4)
	assert.Equal(t, f.owner.Counters().ZoneWaits, uint64(0))
	big := testSubmission(testStep(1))
	big.ID, big.Steps[0].Label = batchID, "r9"
	f.add(big)
	info := testInfo("e9", f.now)
	info.Zone, info.Rack = "z1", "r9"
	f.owner.ApplyReport(&wire.Report{Epoch: f.owner.Epoch(), Agent: "agent-e9", Info: info, FullSnapshot: true}, f.now)
	f.pass()
	assert.Equal(t, f.owner.Counters().ZoneWaits, uint64(1))
}

// An evacuation arrives between a decision and its order, while the record is being committed. The
// start must be withdrawn and its task placed elsewhere.
func TestStartDecidedBeforeEvacuationIsWithdrawn(t *testing.T) {
	f := newZoneFixture(t)
	f.know()
	f.executorIn("e1", "z1", nil)
	f.add(testSubmission(testStep(1)))
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.know("z1")
	f.commit(b)
	assert.Equal(t, len(f.starts()), 0, "an order left for an evacuated zone")
	f.executorIn("e2", "z2", nil)
	f.pass()
	f.now += settleTime
	f.know("z1")
	f.executorIn("e1", "z1", nil)
	f.owner.ApplyOrderResults(&wire.OrderResults{Epoch: testEpoch, Executor: "e1", StartedAt: 1,
		Results: []wire.OrderResult{{Task: name(0, 0), Run: 1, Stop: true}}}, f.now)
	f.now += testBounds().StopTimeout + settleTime
	f.know("z1")
	f.executorIn("e1", "z1", nil)
	f.executorIn("e2", "z2", nil)
	f.pass()
	assert.DeepEqual(t, f.starts(), []string{name(0, 0) + "#2@e2"})
}

// A start that was ordered and not answered is called back, and never sent again: the agent may
// have been out of reach and would execute it seconds after the evacuation.
func TestUnansweredStartInEvacuatedZoneIsCalledBack(t *testing.T) {
	f := newZoneFixture(t)
	f.know()
	f.executorIn("e1", "z1", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
	for range 4 {
		f.now += startRetryInterval
		f.know("z1")
		f.executorIn("e1", "z1", nil)
		f.pass()
	}
	assert.Equal(t, len(f.starts()), 1)
	assert.Assert(t, len(f.stops()) > 0)
	assert.Equal(t, f.owner.Counters().Withdrawn, uint64(1))
}

// The members of a gang start together or not at all: one of them in an evacuated zone withdraws
// the others.
func TestEvacuationWithdrawsWholeGang(t *testing.T) {
	f := newZoneFixture(t)
	f.know()
	f.executorIn("e1", "z1", nil)
	f.executorIn("e2", "z2", nil)
	step := testStep(2)
	step.Gang, step.MaxPerExecutor = true, 1
	f.add(testSubmission(step))
	f.pass()
	assert.Equal(t, len(f.starts()), 2)
	f.now += 100 * time.Millisecond
	f.know("z1")
	f.pass()
	assert.Equal(t, len(f.stops()), 2)
}

// An owner that has just started, or was suspended or cut off from the store, does not know which
// zones are evacuated now. Until it does, it must not start anything anywhere.
func TestNothingStartsWhileEvacuationsAreUnknown(t *testing.T) {
	f := newZoneFixture(t)
	f.executorIn("e1", "z1", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "a new owner placed a task before it had read the evacuations")
	f.know()
	f.now += testEvacuation
	f.executorIn("e1", "z1", nil)
	f.pass()
	assert.Equal(t, len(f.starts()), 0, "an owner placed a task by evacuations that it knew too long ago")
	f.know()
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
}

// The evacuations get too old between a decision and the answer to its commit, for example while
// the store is slow. The order must wait until they are known again.
func TestOrderWaitsForEvacuationsAfterSlowCommit(t *testing.T) {
	f := newZoneFixture(t)
	f.know()
	f.executorIn("e1", "z1", nil)
	f.add(testSubmission(testStep(1)))
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.now += testEvacuation
	f.commit(b)
	assert.Equal(t, len(f.starts()), 0)
	f.know()
	f.executorIn("e1", "z1", nil)
	f.pass()
	assert.Equal(t, len(f.starts()), 1)
}

// However late an order is executed, the run must not begin after the bound of an evacuation that
// the owner did not know of yet. The deadline holds on an executor's clock that is 2% slow.
func TestStartCarriesDeadlineOnExecutorsClock(t *testing.T) {
	f := newZoneFixture(t)
	f.know()
	f.executorIn("e1", "z1", nil)
	known := f.now
	f.now += 800 * time.Millisecond
	f.add(testSubmission(testStep(1)))
	f.pass()
	var start wire.StartOrder
	for _, m := range f.messages {
		for _, s := range m.Orders.Starts {
			start = s
		}
	}
	// The executor's clock read `known` at the time `known` and may have lost 2% since.
	latest := time.Duration(start.Deadline)*time.Millisecond - known
	assert.Assert(t, time.Duration(float64(latest)/executor.MinClockRate) <= testEvacuation, "a run may begin %v after the evacuation", latest)
	assert.Assert(t, latest > testEvacuation-time.Second, "only %v are left for a start", latest)
}

// Withdrawn and set again within a second: the zone stays closed, and no start that was decided in
// between is left over.
func TestEvacuationSetAgainWithinASecond(t *testing.T) {
	f := newZoneFixture(t)
	f.know("z1")
	f.executorIn("e1", "z1", nil)
	f.add(testSubmission(testStep(1)))
	f.pass()
	f.now += 300 * time.Millisecond
	f.know()
	f.owner.Tick(f.now)
	b, err := f.owner.Prepare()
	assert.NilError(t, err)
	f.now += 300 * time.Millisecond
	f.know("z1")
	f.owner.Tick(f.now)
	f.commit(b)
	f.pass()
	assert.Equal(t, len(f.starts()), 0)
}

// An executor that joins an evacuated zone, or is replaced there, gets nothing either.
func TestExecutorsThatJoinEvacuatedZoneStayEmpty(t *testing.T) {
	f := newZoneFixture(t)
	f.know("z1")
	f.add(testSubmission(testStep(1)))
	f.executorIn("e1", "z1", nil)
	f.pass()
	info := testInfo("e1", f.now)
	info.Zone, info.StartedAt = "z1", 2
	f.owner.ApplyReport(&wire.Report{Epoch: testEpoch, Agent: "agent-e1", Info: info, FullSnapshot: true}, f.now)
	f.pass()
	assert.Equal(t, len(f.starts()), 0)
}
