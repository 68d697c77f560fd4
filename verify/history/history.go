// Package history records what happened during a run and checks the recorded
// events against the invariants of the system.
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
	// TaskRunStart and TaskRunEnd: an attempt begins and ceases to execute on a VM.
	// Outcome of TaskRunEnd is task.Succeeded or task.Failed when it ended by itself.
	TaskRunStart
	TaskRunEnd
	// TaskSuspended and TaskResumed: an attempt is frozen and continues in place.
	TaskSuspended
	TaskResumed
	// TaskCompleted: the owner recorded the success of a task durably.
	TaskCompleted
	// TaskTerminal: the owner recorded another terminal state durably.
	TaskTerminal
	// Commitment: the sum of reservations on a VM changed.
	Commitment
	// RequestSent: a caller sent a request.
	RequestSent
	// RequestExecuted: an upstream executed a request.
	RequestExecuted
	// RequestAnswered: a caller received its final answer.
	RequestAnswered
	// DrainBegan: an upstream began to leave.
	DrainBegan
	// ConfigAccepted and ConfigInForce: a generation was accepted, and put in force by a process.
	ConfigAccepted
	ConfigInForce
	// RequestCut: a planned stop ended a request in progress.
	RequestCut
	// TaskCheckpoint: the worker stored the state of an attempt.
	TaskCheckpoint
	// TaskEvicted: the owner recorded durably that an attempt was evicted; Progress
	// is where the task resumes.
	TaskEvicted
	// UpstreamStarted: an agent process began; it ends an earlier drain of its VM.
	UpstreamStarted
	// TaskFound: a new owner read the final state of a task, given in Outcome, from
	// the store. The previous owner may have ended before it recorded that state.
	TaskFound
	// RequestAdmitted: a process admitted a request under a configuration generation.
	RequestAdmitted
	// TaskEndNoted: the system has confirmed to the executor that the end of an
	// attempt is durable; the executor has forgotten it. An end that is confirmed only
	// after the lease has lapsed is not recorded.
	TaskEndNoted
	// TaskCancelled: the cancellation of a task was acknowledged to the client.
	TaskCancelled
)

// Event is one recorded fact. Unused fields are zero.
type Event struct {
	At   time.Duration
	Kind Kind
	// Task, Attempt, VM, Incarnation identify task executions and upstreams.
	Task        string
	Attempt     uint32
	VM          string
	Incarnation uint64
	// Progress is the work done at TaskRunStart (resumed from) and TaskRunEnd.
	Progress time.Duration
	// Reserved and Capacity belong to Commitment.
	Reserved task.Resources
	Capacity task.Resources
	// Request identifies a caller's request; Payload is what the answer must contain.
	Request    string
	Payload    string
	Idempotent bool
	// Outcome is "answer", "not_run" or "unknown" for RequestAnswered.
	Outcome string
	// Process and Generation belong to configuration events.
	Process    string
	Generation uint64
	// DependsOn and MaxFailures belong to TaskAccepted: the tasks that must succeed
	// first, and the number of noted failures that ends the task, 0 for no bound.
	DependsOn   []string
	MaxFailures int
}

// Recorder collects events. A nil Recorder drops them. It is safe for concurrent use.
type Recorder struct {
	now    func() time.Duration
	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a recorder that stamps events with now.
func NewRecorder(now func() time.Duration) *Recorder { return &Recorder{now: now} }

// Record appends an event and sets its time.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.now()
	r.events = append(r.events, e)
}

// Events returns a copy of all events in order.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
