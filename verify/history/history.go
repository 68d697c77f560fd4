// Package history records the events of a test run and checks them against the
// invariants of the system.
package history

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// Kind is the type of a recorded event.
type Kind uint8

// Kinds of events.
const (
	// TaskAccepted: a submission was acknowledged to the client.
	TaskAccepted Kind = iota
	// TaskRunStart and TaskRunEnd: an attempt starts and stops executing on a VM.
	// Outcome of TaskRunEnd is task.Succeeded or task.Failed if the attempt exited on its own.
	TaskRunStart
	TaskRunEnd
	// TaskSuspended and TaskResumed: an attempt is suspended, and resumed on the same VM.
	TaskSuspended
	TaskResumed
	// TaskCompleted: the owner durably recorded the success of a task.
	TaskCompleted
	// TaskTerminal: the owner durably recorded another terminal state.
	TaskTerminal
	// Commitment: the sum of reservations on a VM changed.
	Commitment
	// RequestSent: a caller sent a request.
	RequestSent
	// RequestExecuted: an upstream executed a request.
	RequestExecuted
	// RequestAnswered: a caller received its final response.
	RequestAnswered
	// DrainBegan: an upstream began to drain.
	DrainBegan
	// ConfigAccepted and ConfigInForce: a configuration generation was accepted, and
	// was put in force by a process.
	ConfigAccepted
	ConfigInForce
	// RequestInterrupted: a planned shutdown terminated a request in progress.
	RequestInterrupted
	// TaskCheckpoint: the worker stored the state of an attempt.
	TaskCheckpoint
	// TaskEvicted: the owner durably recorded the eviction of an attempt; the task resumes
	// from Progress.
	TaskEvicted
	// UpstreamStarted: an agent process started; this ends an earlier drain of its VM.
	UpstreamStarted
	// FinalStateRead: a new owner read the final state of a task, given in Outcome, from
	// the store. The previous owner may have stopped before it recorded the event of that state.
	FinalStateRead
	// RequestAdmitted: a process admitted a request under a configuration generation.
	RequestAdmitted
	// TaskEndConfirmed: the system has confirmed to the executor that the end of an
	// attempt is durable, and the executor has dropped the attempt. An end that is
	// confirmed only after the lease has expired is not recorded.
	TaskEndConfirmed
	// TaskCancelled: the cancellation of a task was acknowledged to the client.
	TaskCancelled
	// ZoneEvacuated: the evacuation of a zone was acknowledged to the operator.
	ZoneEvacuated
	// ZoneRestored: the operator is about to withdraw the evacuation of a zone.
	ZoneRestored
)

// Event is one recorded event. Unused fields are zero.
type Event struct {
	At   time.Duration
	Kind Kind
	// Task, Attempt, VM, Incarnation identify task executions and upstreams.
	Task        string
	Attempt     uint32
	VM          string
	Incarnation uint64
	// Zone is the availability zone of the VM, or that of the operator's request.
	Zone string
	// EarlierCall is set at TaskRunStart if an executor has executed late what an earlier incarnation was sent.
	EarlierCall bool
	// Progress is the work done at TaskRunStart (resumed from) and TaskRunEnd.
	Progress time.Duration
	// Reserved and Capacity belong to Commitment.
	Reserved task.Resources
	Capacity task.Resources
	// Request identifies a caller's request; Payload is the expected payload of the response.
	Request    string
	Payload    string
	Idempotent bool
	// Outcome is "answer", "not_run" or "unknown" for RequestAnswered.
	Outcome string
	// Process and Generation belong to configuration events.
	Process    string
	Generation uint64
	// DependsOn and MaxFailures belong to TaskAccepted: the tasks that must succeed
	// first, and the number of confirmed failures after which the task fails for good,
	// 0 for no limit.
	DependsOn   []string
	MaxFailures int
}

// Recorder collects events. A nil Recorder drops them. It is safe for concurrent use.
type Recorder struct {
	now    func() time.Duration
	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a recorder that timestamps events with now.
func NewRecorder(now func() time.Duration) *Recorder { return &Recorder{now: now} }

// Record appends an event and sets its timestamp.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.now()
	r.events = append(r.events, e)
}

// Events returns a copy of all events in recording order.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
