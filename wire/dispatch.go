package wire

import (
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Messages between the owner of a deployment's submissions and its members: the
// agents that run beside the executors, and the entries.
const (
	// TypeLead starts a range of Type values that is separate from the operator's messages.
	TypeLead Type = iota + 128
	TypeReport
	TypeOrders
	TypeOrderResults
	TypeStateQuery
	TypeStateReply
	TypeQueueCounts
	TypeCreateRow
	TypeBacklog
)

// Lead announces the current owner to a member. A member replies with Ack when the
// epoch is the highest it has seen, and with errkind.StaleEpoch otherwise.
type Lead struct {
	Epoch uint64
	Owner string
	// CommitAgeMS is the time since the owner sent its last successful commit, in milliseconds.
	CommitAgeMS int64
}

// Report describes the state of one executor to the owner.
type Report struct {
	// Epoch is the epoch under which the snapshot was read from the executor, 0 when there is none.
	Epoch uint64
	// Agent is the name of the reporting VM.
	Agent string
	Info  executor.Info
	// ExecutorEnded is set when this incarnation of the executor has ended and none of its runs is alive.
	ExecutorEnded bool
	// FullSnapshot is set when every run of the executor is in Running, and every end that is not
	// acknowledged is in Ended. A report of a snapshot without it has further ends to come.
	FullSnapshot bool
	Running      []executor.Run
	Ended        []executor.End
}

// StartOrder instructs an executor to start a run.
type StartOrder struct {
	Task          string
	Run           uint32
	Specification string
	Checkpoint    string
	Ticket        string
	// Deadline is the latest time at which the run may begin, in milliseconds on the executor's
	// clock, 0 for the end of the lease.
	Deadline int64
}

// StopOrder instructs an executor to stop a run.
type StopOrder struct {
	Task string
	Run  uint32
}

// Orders carries the pending orders for one executor incarnation to its agent.
type Orders struct {
	Epoch     uint64
	Executor  string
	StartedAt int64
	// LeaseEnd is the latest lease expiry that the agent may set, in milliseconds on the executor's clock.
	LeaseEnd int64
	// LastSeen is the highest number of a run end that the owner has stored durably.
	LastSeen  int64
	Starts    []StartOrder
	Stops     []StopOrder
	Throttles []ThrottleOrder
}

// ThrottleOrder limits a run to a percentage of full speed.
type ThrottleOrder struct {
	Task    string
	Run     uint32
	Percent int
}

// OrderResult is the result of an order. It is final unless Provisional.
type OrderResult struct {
	Task string
	Run  uint32
	// Stop distinguishes the result of a StopOrder from that of a StartOrder.
	Stop    bool
	Outcome executor.Outcome
	Reason  executor.Reason
}

// ProvisionalRefusal returns the result of a StartOrder that was refused without effect, while further
// copies of the order could still be carried out. The final result follows. It has the form of a stop
// that was refused, which builds without provisional results ignore.
func ProvisionalRefusal(task string, run uint32, outcome executor.Outcome, reason executor.Reason) OrderResult {
	return OrderResult{Task: task, Run: run, Stop: true, Outcome: outcome, Reason: reason}
}

// Provisional reports whether the result is a ProvisionalRefusal. Stops are repeated until they are
// executed, so the result of a StopOrder is always OK.
func (r OrderResult) Provisional() bool { return r.Stop && r.Outcome != executor.OK }

// OrderResults carries the order results of one executor incarnation.
type OrderResults struct {
	Epoch     uint64
	Executor  string
	StartedAt int64
	Results   []OrderResult
}

// StateQuery asks the owner for the state of a submission.
type StateQuery struct{ ID string }

// StateReply is the reply to StateQuery.
type StateReply struct {
	Known bool
	State uint8
}

// QueueCounts reports the number of submissions per queue that have not started to the entries.
type QueueCounts struct {
	Epoch  uint64
	Counts map[string]int
}

// CreateRow asks the owner to create a row of the work table in the store, for an entry that the
// store does not serve. The reply is Ack once the row is durable, errkind.Conflict when it exists,
// and otherwise an error whose kind tells whether the row may have been written.
type CreateRow struct {
	Key   string
	Value []byte
}

// Type implements Message.
func (*CreateRow) Type() Type { return TypeCreateRow }

// Type implements Message.
func (*Lead) Type() Type { return TypeLead }

// Type implements Message.
func (*Report) Type() Type { return TypeReport }

// Type implements Message.
func (*Orders) Type() Type { return TypeOrders }

// Type implements Message.
func (*OrderResults) Type() Type { return TypeOrderResults }

// Type implements Message.
func (*StateQuery) Type() Type { return TypeStateQuery }

// Type implements Message.
func (*StateReply) Type() Type { return TypeStateReply }

// Type implements Message.
func (*QueueCounts) Type() Type { return TypeQueueCounts }

func newDispatchMessage(t Type) Message {
	switch t {
	case TypeLead:
		return new(Lead)
	case TypeReport:
		return new(Report)
	case TypeOrders:
		return new(Orders)
	case TypeOrderResults:
		return new(OrderResults)
	case TypeStateQuery:
		return new(StateQuery)
	case TypeStateReply:
		return new(StateReply)
	case TypeQueueCounts:
		return new(QueueCounts)
	case TypeCreateRow:
		return new(CreateRow)
	case TypeBacklog:
		return new(Backlog)
	}
	return nil
}
