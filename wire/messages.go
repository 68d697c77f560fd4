package wire

import (
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
)

// Type identifies a message on the wire. Values must not be reordered.
type Type uint8

// Message types.
const (
	TypeError Type = iota + 1
	TypeAck
	TypeLocate
	TypeLocateReply
	TypeAnnounce
	TypeAnnounceReply
	TypeHeartbeat
	TypeGrant
	TypeStartTask
	TypeStopTask
	TypeTaskEvent
	TypeRequest
	// TypeReceipt is the type of receipt frames, which are recognized by their flag and have no body.
	TypeReceipt
	TypeResponse
	TypeResolve
	TypeDigest
	TypePullMembers
	TypeMembers
	TypeExtendLease
	TypeExtendLeaseReply
	TypeConfigPush
	TypeSubmit
	TypeSubmitReply
	TypeCancel
	TypeLookup
	TypeLookupReply
	TypeDrain
	TypeHello
	TypeResizeTask
)

func newMessage(t Type) Message {
	switch t {
	case TypeError:
		return new(Error)
	case TypeAck:
		return new(Ack)
	case TypeLocate:
		return new(Locate)
	case TypeLocateReply:
		return new(LocateReply)
	case TypeAnnounce:
		return new(Announce)
	case TypeAnnounceReply:
		return new(AnnounceReply)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeGrant:
		return new(Grant)
	case TypeStartTask:
		return new(StartTask)
	case TypeStopTask:
		return new(StopTask)
	case TypeTaskEvent:
		return new(TaskEvent)
	case TypeRequest:
		return new(Request)
	case TypeResponse:
		return new(Response)
	case TypeResolve:
		return new(Resolve)
	case TypeDigest:
		return new(Digest)
	case TypePullMembers:
		return new(PullMembers)
	case TypeMembers:
		return new(Members)
	case TypeExtendLease:
		return new(ExtendLease)
	case TypeExtendLeaseReply:
		return new(ExtendLeaseReply)
	case TypeConfigPush:
		return new(ConfigPush)
	case TypeSubmit:
		return new(Submit)
	case TypeSubmitReply:
		return new(SubmitReply)
	case TypeCancel:
		return new(Cancel)
	case TypeLookup:
		return new(Lookup)
	case TypeLookupReply:
		return new(LookupReply)
	case TypeDrain:
		return new(Drain)
	case TypeHello:
		return new(Hello)
	case TypeResizeTask:
		return new(ResizeTask)
	}
	if m := newDispatchMessage(t); m != nil {
		return m
	}
	return newOperatorMessage(t)
}

// Error is an error reply.
type Error struct {
	Kind errkind.Kind
	Msg  string
}

// Ack is an empty successful reply.
type Ack struct {
}

// Locate asks an entry which entry owns the shard of a VM.
type Locate struct {
	Zone string
	VM   string
	// ConfigGen is the configuration generation that the agent applies.
	ConfigGen uint64
}

// LocateReply carries the owner's address. Addr is empty when no owner is known.
type LocateReply struct {
	Shard string
	Epoch uint64
	Addr  string
	// ConfigGen and Limits are the current configuration, set when the agent's is older.
	ConfigGen uint64
	Limits    []plan.Limit
}

// TaskStatus is the state of an attempt on a VM.
type TaskStatus struct {
	ID      string
	Attempt uint32
	// State is task.Running or task.Suspended, or task.Succeeded or task.Failed for
	// an attempt whose result has not been acknowledged yet.
	State      string
	Reserved   task.Resources
	Checkpoint string
	ProgressMS int64
}

// Announce registers an agent with the shard owner and lists all its reservations and attempts.
type Announce struct {
	VM          string
	Incarnation uint64
	Zone        string
	Rack        string
	Capacity    task.Resources
	// Service is the service of the upstream on the same VM; empty when there is none.
	Service         string
	ServiceReserved task.Resources
	Slots           uint16
	Conns           uint16
	DataAddr        string
	Draining        bool
	Tasks           []TaskStatus
}

// AnnounceReply accepts an agent into a shard.
type AnnounceReply struct {
	Shard string
	Epoch uint64
	// Stop lists announced attempts that the owner's records have superseded. The agent
	// stops them before it applies a grant, since the tasks may already run elsewhere.
	Stop []AttemptRef
}

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	ID      string
	Attempt uint32
}

// Usage is the measured resource usage of one task; Heartbeat.LagMS is its age.
type Usage struct {
	ID     string
	CPU    uint32
	MemMiB uint32
	// SpeedLimitPermille is the speed limit of the task when the usage was reported, in
	// thousandths of full speed.
	SpeedLimitPermille uint16
}

// Heartbeat reports the agent's state and requests a new grant from the owner.
type Heartbeat struct {
	Seq       uint32
	ConfigGen uint64
	// TailPermille is the service's p99 latency in thousandths of its target.
	TailPermille uint16
	// LoadPermille is the share of slots in use, in thousandths.
	LoadPermille uint16
	LagMS        uint16
	Usage        []Usage
}

// Grant allows the agent to run batch tasks for TTLMS from the time it sent heartbeat Seq.
type Grant struct {
	Seq       uint32
	Epoch     uint64
	TTLMS     uint32
	ConfigGen uint64
	// Interference lists the job classes whose learned effect on the VM's service has changed.
	Interference []ClassInterference
}

// StartTask starts one attempt. The reply is Ack or Error.
type StartTask struct {
	Epoch      uint64
	ID         string
	Customer   string
	JobClass   string
	Class      task.Class
	Attempt    uint32
	Reserved   task.Resources
	DurationMS int64
	ProgressMS int64
	Checkpoint string
	// InterferencePPM is the learned effect of the job class on the VM's service; see ClassInterference.
	InterferencePPM uint32
	// Declared is the resource request that the customer declared.
	Declared task.Resources
}

// PartsPerMillion scales ClassInterference.InterferencePPM and StartTask.InterferencePPM.
const PartsPerMillion = 1e6

// ClassInterference is the learned relative slowdown of the VM's service for each
// processor that tasks of the job class use, in millionths.
type ClassInterference struct {
	JobClass        string
	InterferencePPM uint32
}

// ResizeTask changes the reservation of a running attempt. The reply is Ack, or
// Error when the attempt is not running or the VM lacks the capacity.
type ResizeTask struct {
	Epoch    uint64
	ID       string
	Attempt  uint32
	Reserved task.Resources
}

// StopMode selects what happens to a stopped attempt.
type StopMode uint8

// Stop modes.
const (
	StopCancel StopMode = iota
	StopEvict
)

// StopTask stops one attempt. The reply is Ack when the attempt is no longer running.
type StopTask struct {
	Epoch   uint64
	ID      string
	Attempt uint32
	Mode    StopMode
}

// Events of TaskEvent.
const (
	TaskSucceeded    = "succeeded"
	TaskFailed       = "failed"
	TaskCheckpointed = "checkpoint"
	TaskStopped      = "stopped"
)

// TaskEvent reports a state change of an attempt. The agent resends it until it is acknowledged.
type TaskEvent struct {
	VM         string
	ID         string
	Attempt    uint32
	Event      string
	Checkpoint string
	ProgressMS int64
	Reason     errkind.Kind
	Detail     string
}

// RequestID identifies a request attempt across connections.
type RequestID struct {
	Entry uint64
	Seq   uint64
}

// Hello identifies a data connection and is its first frame. Conn is unique among
// the connections of one entry incarnation and is never reused.
type Hello struct {
	Entry uint64
	Conn  uint64
}

// Request asks the agent to run a request on its upstream. The receiving peer
// sends a receipt at once; the reply is a Response.
type Request struct {
	ID          RequestID
	Incarnation uint64
	ConfigGen   uint64
	Customer    string
	// Name is the caller's name for the request, forwarded to the upstream.
	Name        string
	Method      string
	Path        string
	ContentType string
	Idempotent  bool
	// DeadlineMS is the time left until the deadline when the frame was written.
	DeadlineMS uint32
	Body       []byte
	// Checksum is the xxhash64 of Body.
	Checksum uint64
}

// Outcome of a request at the agent.
type Outcome uint8

// Outcomes.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun
	OutcomeRunning
	OutcomeFailed
	OutcomeUnknown
)

// Response is the agent's reply to a Request or Resolve.
type Response struct {
	ID          RequestID
	Incarnation uint64
	Outcome     Outcome
	Kind        errkind.Kind
	Detail      string
	Status      uint16
	ContentType string
	Body        []byte
	// Checksum is the xxhash64 of Body.
	Checksum  uint64
	FreeSlots uint16
}

// Resolve queries the outcome of a request whose response has not arrived. Conn is
// the connection on which the request was written. Before the agent replies with
// OutcomeNotRun, it closes that connection and rejects it for the rest of its
// incarnation, so that the request can't run later.
type Resolve struct {
	ID          RequestID
	Incarnation uint64
	Conn        uint64
}

// Upstream is one entry of the routing table.
type Upstream struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Slots       uint16 `json:"slots"`
	Conns       uint16 `json:"connections"`
	DataAddr    string `json:"data_address"`
	Draining    bool   `json:"draining"`
}

// ShardDigest identifies a version of a shard's membership list.
type ShardDigest struct {
	Shard   string
	Epoch   uint64
	Version uint64
}

// Digest is exchanged between entries to detect outdated configurations and membership lists.
type Digest struct {
	Entry     string
	ConfigGen uint64
	Shards    []ShardDigest
}

// PullMembers requests the membership list of a shard from its owner.
type PullMembers struct {
	Shard string
}

// Members is the membership list of a shard.
type Members struct {
	Digest    ShardDigest
	Upstreams []Upstream
}

// ExtendLease asks an entry not to take over the shards for TTLMS, which extends the
// sender's shard leases while the store is unavailable.
type ExtendLease struct {
	Entry  string
	Shards []string
	TTLMS  uint32
}

// ExtendLeaseReply grants or denies a lease extension.
type ExtendLeaseReply struct {
	Granted   bool
	ConfigGen uint64
}

// ConfigPush sends a configuration generation, its limits and the zones under evacuation to agents.
type ConfigPush struct {
	Generation     uint64
	Limits         []plan.Limit
	EvacuatedZones []string
}

// Submit forwards task submissions to the shard owner.
type Submit struct {
	Shard string
	Specs []task.Spec
}

// TaskResult is the result for one task of a batch operation.
type TaskResult struct {
	ID     string       `json:"id"`
	Kind   errkind.Kind `json:"kind"`
	Detail string       `json:"detail,omitempty"`
}

// SubmitReply is the reply to Submit and Cancel, with results in the order of the request.
type SubmitReply struct {
	Results []TaskResult
}

// Cancel cancels tasks by id.
type Cancel struct {
	Shard    string
	Customer string
	IDs      []string
}

// Lookup requests task records from the owner. Without ids it selects all tasks of
// the customer, up to Limit.
type Lookup struct {
	Shard    string
	Customer string
	IDs      []string
	Limit    uint16
	// JobClass and State filter the tasks when they are not empty.
	JobClass string
	State    string
	// After continues a listing: only ids greater than it are returned, in ascending order.
	After string
}

// LookupReply carries task records and the reasons why pending tasks have not been placed.
type LookupReply struct {
	Records []task.Record
	Waiting []TaskResult
}

// Drain notifies the owner that the agent is draining, or asks an agent to drain. Undo
// reverts an earlier Drain.
type Drain struct {
	VM   string
	Undo bool
}
