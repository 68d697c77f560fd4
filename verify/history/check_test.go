package history

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/task"
)

const second = time.Second

var (
	small = task.Resources{CPU: 1000, Memory: 1024}
	large = task.Resources{CPU: 4000, Memory: 4096}
)

// validHistory is a history without violations: a task is evicted and resumed, a request is
// answered, a configuration is accepted and an upstream drains.
func validHistory() []Event {
	return []Event{
		{At: 0, Kind: UpstreamStarted, VM: "a", Incarnation: 1},
		{At: 0, Kind: ConfigAccepted, Generation: 1},
		{At: 1 * second, Kind: ConfigInForce, Process: "e0", Generation: 1},
		{At: 1 * second, Kind: TaskAccepted, Task: "t"},
		{At: 2 * second, Kind: Commitment, VM: "a", Reserved: small, Capacity: large},
		{At: 2 * second, Kind: TaskRunStart, Task: "t", Attempt: 1, VM: "a", Reserved: small, Capacity: large},
		{At: 3 * second, Kind: TaskSuspended, Task: "t", Attempt: 1, VM: "a"},
		{At: 4 * second, Kind: TaskResumed, Task: "t", Attempt: 1, VM: "a", Reserved: small},
		{At: 5 * second, Kind: TaskCheckpoint, Task: "t", Attempt: 1, VM: "a", Progress: 2 * second},
		{At: 5 * second, Kind: TaskRunEnd, Task: "t", Attempt: 1, VM: "a", Reserved: small, Capacity: large},
		{At: 5 * second, Kind: TaskEvicted, Task: "t", Attempt: 1, VM: "a", Progress: 2 * second},
		{At: 6 * second, Kind: TaskRunStart, Task: "t", Attempt: 2, VM: "b", Progress: 2 * second, Reserved: small, Capacity: large},
		{At: 7 * second, Kind: TaskRunEnd, Task: "t", Attempt: 2, VM: "b", Reserved: small, Capacity: large, Outcome: task.Succeeded},
		{At: 7 * second, Kind: TaskCompleted, Task: "t", Attempt: 2, Outcome: task.Succeeded},
		{At: 8 * second, Kind: FinalStateRead, Task: "t", Attempt: 2, Outcome: task.Succeeded},
		{At: 8 * second, Kind: RequestSent, Request: "r", Payload: "p"},
		{At: 8 * second, Kind: RequestAdmitted, Request: "r", Process: "e0", Generation: 1},
		{At: 8 * second, Kind: RequestExecuted, Request: "r", VM: "a", Incarnation: 1},
		{At: 8 * second, Kind: RequestAnswered, Request: "r", Outcome: "answer", Payload: "p"},
		{At: 9 * second, Kind: DrainBegan, VM: "a", Incarnation: 1},
	}
}

// Guards against false positives: a history without violations must give no report.
func TestCheckAcceptsValidHistory(t *testing.T) {
	got := Check(validHistory(), Options{Finished: true, Processes: []string{"e0"}})
	assert.Equal(t, len(got), 0, "%v", got)
}

// Guards against missed violations: each case appends events that violate one
// invariant, and exactly that invariant must be reported.
func TestCheckReportsEachInvariant(t *testing.T) {
	at := 20 * second
	for _, tc := range []struct {
		name string
		want Invariant
		add  []Event
	}{
		{"commitment beyond capacity", NoOvercommit, []Event{{Kind: Commitment, VM: "a", Reserved: large.Add(small), Capacity: large}}},
		{"attempts beyond capacity", NoOvercommit, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c", Reserved: large, Capacity: large},
			{Kind: TaskRunStart, Task: "v", Attempt: 1, VM: "c", Reserved: small, Capacity: large}}},
		{"two VMs", NoDoubleRun, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "d"}}},
		{"two attempts on one VM", NoDoubleRun, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "c"}}},
		{"resumed while its successor runs", NoDoubleRun, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskSuspended, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "d"}, {Kind: TaskResumed, Task: "u", Attempt: 1, VM: "c"}}},
		{"attempt started twice", ResumeOnce, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "d"}}},
		{"older attempt after a newer one", ResumeOnce, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 2, VM: "c"},
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "d"}}},
		{"resumed without a stored checkpoint", ResumeOnce, []Event{{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c", Progress: second}}},
		{"resumed before the eviction's checkpoint", ResumeOnce, []Event{
			{Kind: TaskCheckpoint, Task: "u", Attempt: 1, Progress: second}, {Kind: TaskEvicted, Task: "u", Attempt: 1, Progress: second},
			{Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "c"}}},
		{"checkpoint by an older attempt", ResumeOnce, []Event{
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "d"}, {Kind: TaskCheckpoint, Task: "u", Attempt: 1, Progress: second}}},
		{"response to another request", OwnAnswer, []Event{
			{Kind: RequestSent, Request: "q", Payload: "mine"}, {Kind: RequestExecuted, Request: "q", VM: "b"},
			{Kind: RequestAnswered, Request: "q", Outcome: "answer", Payload: "theirs"}}},
		{"answered twice", OwnAnswer, []Event{{Kind: RequestAnswered, Request: "r", Outcome: "answer", Payload: "p"}}},
		{"response without execution", OwnAnswer, []Event{
			{Kind: RequestSent, Request: "q", Payload: "p"}, {Kind: RequestAnswered, Request: "q", Outcome: "answer", Payload: "p"}}},
		{"not run after it ran", NotRunIsTrue, []Event{{Kind: RequestSent, Request: "q"},
			{Kind: RequestExecuted, Request: "q", VM: "b"}, {Kind: RequestAnswered, Request: "q", Outcome: "not_run"}}},
		{"ran after not run", NotRunIsTrue, []Event{{Kind: RequestSent, Request: "q"},
			{Kind: RequestAnswered, Request: "q", Outcome: "not_run"}, {Kind: RequestExecuted, Request: "q", VM: "b"}}},
		{"ran twice", AtMostOnce, []Event{{Kind: RequestExecuted, Request: "r", VM: "b"}}},
		{"request after drain", NoWorkAfterDrain, []Event{{Kind: RequestSent, Request: "q", Payload: "p"},
			{Kind: RequestExecuted, Request: "q", VM: "a", Incarnation: 1}, {Kind: RequestAnswered, Request: "q", Outcome: "answer", Payload: "p"}}},
		{"task after drain", NoWorkAfterDrain, []Event{{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "a"}}},
		{"request interrupted", GracefulStop, []Event{{Kind: RequestInterrupted, Process: "a"}}},
		{"generation not in force", ConfigInForceFast, []Event{{Kind: ConfigAccepted, Generation: 2}}},
		{"older generation admitted", ConfigInForceFast, []Event{{Kind: RequestAdmitted, Request: "r", Process: "e0", Generation: 0}}},
		{"generation reverted", ConfigNoRevert, []Event{{Kind: ConfigInForce, Process: "e0", Generation: 0}}},
		{"change lost", ConfigNoRevert, []Event{{Kind: ConfigAccepted, Generation: 1}, {Kind: ConfigInForce, Process: "e0", Generation: 1}}},
		{"task without terminal state", NothingLost, []Event{{Kind: TaskAccepted, Task: "u"}}},
		{"two terminal states", NothingLost, []Event{{Kind: TaskTerminal, Task: "t", Attempt: 2, Outcome: task.Cancelled}}},
		{"store has another terminal state", NothingLost, []Event{{Kind: FinalStateRead, Task: "t", Attempt: 2, Outcome: task.Cancelled}}},
		{"started after its terminal state", NothingLost, []Event{{Kind: TaskRunStart, Task: "t", Attempt: 3, VM: "c", Progress: 2 * second},
			{Kind: TaskRunEnd, Task: "t", Attempt: 3, VM: "c"}}},
		{"finished work runs again", NothingLost, []Event{{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskRunEnd, Task: "u", Attempt: 1, VM: "c", Outcome: task.Succeeded},
			{Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 2, VM: "c"}}},
		{"still running after its terminal state", NothingLost, []Event{{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskTerminal, Task: "u", Attempt: 1, Outcome: task.Cancelled}}},
		{"runs again after its success was confirmed", NothingLost, []Event{{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskRunEnd, Task: "u", Attempt: 1, VM: "c", Outcome: task.Succeeded}, {Kind: TaskEndConfirmed, Task: "u", Attempt: 1},
			{Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 2, VM: "c"}}},
		{"starts before its dependency", StepOrder, []Event{{Kind: TaskAccepted, Task: "u", DependsOn: []string{"v"}},
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 1, VM: "c", Outcome: task.Succeeded},
			{Kind: TaskCompleted, Task: "u"}}},
		{"starts after its last failure", FailureBudget, []Event{{Kind: TaskAccepted, Task: "u", MaxFailures: 1},
			{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"}, {Kind: TaskRunEnd, Task: "u", Attempt: 1, VM: "c", Outcome: task.Failed},
			{Kind: TaskEndConfirmed, Task: "u", Attempt: 1}, {Kind: TaskRunStart, Task: "u", Attempt: 2, VM: "c"},
			{Kind: TaskRunEnd, Task: "u", Attempt: 2, VM: "c"}, {Kind: TaskTerminal, Task: "u", Outcome: task.Failed}}},
		{"still running after its cancellation", CancelHolds, []Event{{Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "c"},
			{Kind: TaskCancelled, Task: "u"}}},
		{"recorded as succeeded without a successful attempt", NothingLost, []Event{{Kind: FinalStateRead, Task: "u", Outcome: task.Succeeded}}},
		{"request without response", NothingLost, []Event{{Kind: RequestSent, Request: "q"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			events := validHistory()
			for _, e := range tc.add {
				e.At = at
				events = append(events, e)
			}
			got := Check(events, Options{Finished: true, ResultsReachable: true, Processes: []string{"e0"}})
			assert.Assert(t, len(got) > 0, "nothing was reported")
			for _, v := range got {
				assert.Equal(t, v.Invariant, tc.want, v.Detail)
			}
		})
	}
}

// Guards against a drain that stays in effect after its upstream has restarted.
func TestRestartedUpstreamMayWork(t *testing.T) {
	events := append(validHistory(), Event{At: 20 * second, Kind: UpstreamStarted, VM: "a", Incarnation: 2},
		Event{At: 30 * second, Kind: TaskRunStart, Task: "u", Attempt: 1, VM: "a"})
	got := Check(events, Options{Finished: true, Processes: []string{"e0"}})
	assert.Equal(t, len(got), 0, "%v", got)
}
