package wire

// LastDispatchType is the highest type of the messages between the owner and its members that this build decodes. A
// member states it in its row: a member of an earlier build closes the connection when it gets a type that it lacks.
const LastDispatchType = TypeBacklog

// Backlog reports the queues with a considerable backlog to the entries. A queue that is not in it has none, or its backlog
// is not known.
type Backlog struct {
	Epoch uint64
	// Entries is the number of entries that get the message.
	Entries int
	Queues  []QueueBacklog
}

// QueueBacklog is the estimate for the part of a queue that uses reserved or idle processors; see package
// control/backlog, which also defines the ranges of the lists.
type QueueBacklog struct {
	Queue      string
	BestEffort bool
	// FreeCPU is the largest task that could begin at once, CPU the capacity that the queue can get, both in thousandths of a
	// processor.
	FreeCPU, CPU int64
	// DelayMS is the expected delay until a new submission can begin, LeastMS its lower bound, by size class. LateMS is how
	// long late work takes, by its slack. All are in milliseconds.
	DelayMS, LeastMS, LateMS []int64
}

// Type implements Message.
func (*Backlog) Type() Type { return TypeBacklog }
