package wire

import (
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Types of the messages behind the operators' API, in a separate range of Type values.
const (
	TypeExplain Type = 200 + iota
	TypeExplainReply
	TypeShardStatus
	TypeShardStatusReply
	TypeEntryStatus
	TypeEntryStatusReply
	TypeExplainRequest
	TypeExplainRequestReply
	TypeAgentStatus
	TypeAgentStatusReply
)

func newOperatorMessage(t Type) Message {
	switch t {
	case TypeExplain:
		return new(Explain)
	case TypeExplainReply:
		return new(ExplainReply)
	case TypeShardStatus:
		return new(ShardStatus)
	case TypeShardStatusReply:
		return new(ShardStatusReply)
	case TypeEntryStatus:
		return new(EntryStatus)
	case TypeEntryStatusReply:
		return new(EntryStatusReply)
	case TypeExplainRequest:
		return new(ExplainRequest)
	case TypeExplainRequestReply:
		return new(ExplainRequestReply)
	case TypeAgentStatus:
		return new(AgentStatus)
	case TypeAgentStatusReply:
		return new(AgentStatusReply)
	}
	return nil
}

// ReasonCount is the number of VMs or placement attempts with one rejection reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Explain asks the owner why a task is in its current state.
type Explain struct {
	Shard    string
	Customer string
	ID       string
}

// ExplainReply carries the task record and, for a pending task, the number of VMs that
// can't currently take it for each reason.
type ExplainReply struct {
	Record  task.Record
	Waiting errkind.Kind
	VMs     int
	Reasons []ReasonCount
	// Refusals counts the scheduling passes in which the task was not placed, by reason.
	Refusals []ReasonCount
	// Ahead is the number of pending tasks of the shard that were accepted earlier.
	Ahead int
}

// ShardStatus requests the VMs and queues of a shard from its owner.
type ShardStatus struct {
	Shard string
}

// VMStatus is the state of a VM as recorded by its shard owner.
type VMStatus struct {
	VM          string         `json:"vm"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Service     string         `json:"service"`
	Capacity    task.Resources `json:"capacity"`
	Reserved    task.Resources `json:"reserved"`
	Used        task.Resources `json:"used"`
	Load        float64        `json:"load"`
	Tail        float64        `json:"tail"`
	Tasks       int            `json:"tasks"`
	Connected   bool           `json:"connected"`
	Draining    bool           `json:"draining"`
	Quarantined bool           `json:"quarantined"`
	ConfigGen   uint64         `json:"config_generation"`
	// Evacuated is set while the VM's zone is under evacuation.
	Evacuated bool `json:"evacuated"`
}

// QueueStatus counts the tasks of a customer by state.
type QueueStatus struct {
	Customer string         `json:"customer"`
	States   map[string]int `json:"states"`
	Used     task.Resources `json:"used"`
}

// ShardStatusReply is the reply to ShardStatus.
type ShardStatusReply struct {
	Shard  string        `json:"shard"`
	Owner  string        `json:"owner"`
	Epoch  uint64        `json:"epoch"`
	VMs    []VMStatus    `json:"vms"`
	Queues []QueueStatus `json:"queues"`
}

// EntryStatus requests the state of the entry that receives it.
type EntryStatus struct{}

// ServiceLatency summarizes the latency of a service at one entry over the last minute.
type ServiceLatency struct {
	Service  string  `json:"service"`
	Requests int64   `json:"requests"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	P999MS   float64 `json:"p99_9_ms"`
}

// EntryStatusReply is the state of an entry.
type EntryStatusReply struct {
	Entry          string `json:"entry"`
	Zone           string `json:"zone"`
	Ready          bool   `json:"ready"`
	ConfigGen      uint64 `json:"config_generation"`
	ConfigAgeMS    int64  `json:"config_age_ms"`
	StoreReachable bool   `json:"store_reachable"`
	// StoreResponseAgeMS is the time since the store's last response, negative before the first.
	StoreResponseAgeMS int64            `json:"store_answered_ms"`
	Services           []ServiceLatency `json:"services"`
}

// ExplainRequest asks an entry for the recent outcomes of the request with a given name.
type ExplainRequest struct {
	Customer string
	Name     string
}

// RequestOutcome is the final outcome of a request.
type RequestOutcome struct {
	Name       string       `json:"name"`
	Entry      string       `json:"entry"`
	Service    string       `json:"service"`
	Customer   string       `json:"customer"`
	Kind       errkind.Kind `json:"kind"`
	Status     int          `json:"status"`
	DurationMS int64        `json:"duration_ms"`
	AgeMS      int64        `json:"age_ms"`
}

// ExplainRequestReply is the reply to ExplainRequest.
type ExplainRequestReply struct {
	Outcomes []RequestOutcome
}

// AgentStatus requests the state of the agent that receives it.
type AgentStatus struct{}

// AgentStatusReply is the state of an agent at the time of the reply.
type AgentStatusReply struct {
	VM        string `json:"vm"`
	Draining  bool   `json:"draining"`
	Slots     int    `json:"slots"`
	InUse     int    `json:"slots_in_use"`
	Tasks     int    `json:"tasks"`
	ConfigGen uint64 `json:"config_generation"`
}

// Type implements Message.
func (*AgentStatus) Type() Type { return TypeAgentStatus }

// Type implements Message.
func (*AgentStatusReply) Type() Type { return TypeAgentStatusReply }

// Type implements Message.
func (*Explain) Type() Type { return TypeExplain }

// Type implements Message.
func (*ExplainReply) Type() Type { return TypeExplainReply }

// Type implements Message.
func (*ShardStatus) Type() Type { return TypeShardStatus }

// Type implements Message.
func (*ShardStatusReply) Type() Type { return TypeShardStatusReply }

// Type implements Message.
func (*EntryStatus) Type() Type { return TypeEntryStatus }

// Type implements Message.
func (*EntryStatusReply) Type() Type { return TypeEntryStatusReply }

// Type implements Message.
func (*ExplainRequest) Type() Type { return TypeExplainRequest }

// Type implements Message.
func (*ExplainRequestReply) Type() Type { return TypeExplainRequestReply }
