package wire

import (
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Messages between the owner of a deployment's work and its members: the agents
// beside the executors, and the entries.
const (
	// TypeLead and the following are values of Type that are apart from the operator's messages.
	TypeLead Type = iota + 128
	TypeReport
	TypeOrders
	TypeOrderResults
	TypeStateQuery
	TypeStateReply
	TypeQueueCounts
)

// Lead tells a member who owns the work. A member answers with Ack when the
// epoch is the highest it has seen, and with errkind.StaleEpoch otherwise.
type Lead struct {
	Epoch uint64
	Owner string
	// CommitAgeMS is how long ago the owner's last successful commit was sent, in milliseconds.
	CommitAgeMS int64
}

// Report is what an agent knows of one executor.
type Report struct {
	// Epoch is the epoch under which the list was read from the executor, 0 when there is none.
	Epoch uint64
	// Agent is the name of the reporting VM.
	Agent string
	Info  executor.Info
	// ExecutorEnded tells that this lifetime of the executor has ended; nothing of it runs any more.
	ExecutorEnded bool
	// FullSnapshot tells that Running is the executor's complete list.
	FullSnapshot bool
	Running      []executor.Run
	Ended        []executor.End
}

// StartOrder is a run to start.
type StartOrder struct {
	Task          string
	Run           uint32
	Specification string
	Checkpoint    string
	Ticket        string
}

// StopOrder is a run to stop.
type StopOrder struct {
	Task string
	Run  uint32
}

// Orders tells an agent what its executor has to do.
type Orders struct {
	Epoch     uint64
	Executor  string
	StartedAt int64
	// LeaseEnd is how far the agent may extend the lease, in milliseconds on the executor's clock.
	LeaseEnd int64
	// LastSeen is the number of the last end that is durable.
	LastSeen  int64
	Starts    []StartOrder
	Stops     []StopOrder
	Throttles []ThrottleOrder
}

// ThrottleOrder lets a run work at a share of its speed.
type ThrottleOrder struct {
	Task    string
	Run     uint32
	Percent int
}

// OrderResult is the final answer to an order.
type OrderResult struct {
	Task string
	Run  uint32
	// Stop tells that the order was a stop.
	Stop    bool
	Outcome executor.Outcome
	Reason  executor.Reason
}

// OrderResults carries the answers of one executor.
type OrderResults struct {
	Epoch     uint64
	Executor  string
	StartedAt int64
	Results   []OrderResult
}

// StateQuery asks the owner for the state of a submission.
type StateQuery struct{ ID string }

// StateReply answers StateQuery.
type StateReply struct {
	Known bool
	State uint8
}

// QueueCounts tells entries how many submissions of each queue have not started.
type QueueCounts struct {
	Epoch  uint64
	Counts map[string]int
}

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
	}
	return nil
}
