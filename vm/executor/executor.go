// Package executor defines the data and calls that are exchanged with the executors that run
// tasks, independent of the protocol.
package executor

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// MinClockRate is the slowest rate of an executor's clock, which may run 2% slow. It is never fast.
const MinClockRate = 0.98

// MaxExecutionDelay is how long after it was sent a call without an answer may be executed. The platform names no bound
// but seconds.
const MaxExecutionDelay = 12 * time.Second

const (
	// incarnationBits are the low bits of a fencing token, for the incarnation. They wrap after 35 years.
	incarnationBits = 37
	// incarnationResolution is the time by which the starts of two incarnations differ at least for the later one to get a higher token.
	incarnationResolution = 8 * time.Millisecond
)

// IncarnationNumber returns the number of an incarnation that started at the given Unix millisecond, for FencingToken.
func IncarnationNumber(startedAt int64) uint64 {
	return uint64(startedAt/incarnationResolution.Milliseconds()) & (1<<incarnationBits - 1)
}

// FencingToken returns the token of the calls of an owner with the given epoch for an incarnation with the given number. It rises with the
// epoch and, within one, with each incarnation under an ID: an incarnation that was called once executes no call any more that was
// meant for an earlier one.
func FencingToken(epoch, incarnation uint64) uint64 {
	return epoch<<incarnationBits | incarnation
}

// Info is what an executor reports about itself.
type Info struct {
	submission.Incarnation
	Service  string
	Address  string
	Zone     string
	Capacity task.Resources
	// Kind is the executor's type, Rack the rack it is in.
	Kind, Rack string
	Draining   bool
	// DrainRemaining is the minimum time left while draining.
	DrainRemaining time.Duration
	// Sequence increases with each heartbeat of one incarnation.
	Sequence int64
	// Clock is the executor's own monotonic clock in milliseconds.
	Clock int64
}

// Run is one run of a task on an executor.
type Run struct {
	Task       string
	Number     uint32
	Checkpoint string
	// ProgressPercent is the progress of the run; a long-running task that is up reports 100.
	ProgressPercent int
	// Load is the tail latency of a latency-critical task in milliseconds, otherwise the
	// processors in use in thousandths. It covers the last half second.
	Load int
}

// EndCause is how a run ended.
type EndCause uint8

// End causes.
const (
	// Done: the run has completed.
	Done EndCause = iota
	// Failed: the run failed because of the task or the executor.
	Failed
	// Stopped: the control plane stopped the run.
	Stopped
	// LeaseExpired: the lease expired.
	LeaseExpired
	// GangMemberEnded: another member of the gang has ended.
	GangMemberEnded
	// GangIncomplete: the other members of the gang did not start in time.
	GangIncomplete
)

// String returns the name of the cause in logs.
func (c EndCause) String() string {
	return nameOf(c, "done", "failed", "stopped", "lapsed", "broken", "alone")
}

// End is the end of a run. Numbers start at 1 in each incarnation of the executor.
type End struct {
	Number     int64
	Task       string
	Run        uint32
	Cause      EndCause
	Checkpoint string
}

// Start is the order to start a run.
type Start struct {
	Task          string
	Run           uint32
	Specification string
	Checkpoint    string
	// Token is the fencing token, see FencingToken.
	Token uint64
	// Deadline renews the lease of all runs until then, in milliseconds on the executor's clock.
	Deadline int64
	// Ticket is the permission issued by the advice service, empty where none is required.
	Ticket string
}

// Outcome is what is known of an order after the call.
type Outcome uint8

// Outcomes.
const (
	// OK: the order was executed, now or by an earlier call.
	OK Outcome = iota
	// Rejected: the executor rejected the order for the given Reason.
	Rejected
	// Unavailable: the executor did not execute the order and may accept it later.
	Unavailable
	// Unknown: the order may have been executed, or may be executed later.
	Unknown
	// OtherIncarnation: another incarnation answers at the address.
	OtherIncarnation
	// NoListener: nothing listens at the address; the executor has ended.
	NoListener
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return nameOf(o, "ok", "rejected", "unavailable", "unknown", "other_incarnation", "no_listener")
}

// Reason is why an executor rejected an order.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	// ReasonStaleEpoch: the executor has seen a higher fencing token.
	ReasonStaleEpoch
	// ReasonStaleRun: this run or a higher one has ended or was stopped here.
	ReasonStaleRun
	// ReasonDeadlinePassed: the deadline of the order has passed.
	ReasonDeadlinePassed
	// ReasonCapacity: the task does not fit.
	ReasonCapacity
	// ReasonTicket: the ticket is missing or no longer valid.
	ReasonTicket
	// ReasonInvalid: the executor cannot interpret the order.
	ReasonInvalid
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return nameOf(r, "none", "epoch", "old_run", "late", "room", "ticket", "invalid")
}

// nameOf returns the name of a value. Values arrive in messages, so they may be undefined here.
func nameOf[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "undefined_" + strconv.Itoa(int(v))
}

// Answer is the reply to an order.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Clock is the executor's clock in milliseconds, 0 when unknown.
	Clock int64
}

// Snapshot is the state of an executor's runs at one moment.
type Snapshot struct {
	Answer
	StartedAt int64
	// Running lists all runs.
	Running []Run
	// Ended lists the ends that are not acknowledged, in the order of their numbers.
	Ended []End
	// MoreEnds is set when further ends may follow those in Ended. A run that is in neither list may
	// then have ended, and its end is listed once earlier ones are acknowledged.
	MoreEnds bool
}

// Shows reports whether the snapshot contains a run or its end.
func (s *Snapshot) Shows(name string, run uint32) bool {
	return slices.ContainsFunc(s.Running, func(r Run) bool { return r.Task == name && r.Number == run }) ||
		slices.ContainsFunc(s.Ended, func(e End) bool { return e.Task == name && e.Run == run })
}

// PollRequest requests a snapshot and renews the lease of all runs.
type PollRequest struct {
	// Token is the fencing token, see FencingToken.
	Token uint64
	// Deadline is in milliseconds on the executor's clock, 0 to leave the lease unchanged.
	Deadline int64
	// LastSeen acknowledges the ends up to this number; the executor may discard them.
	LastSeen int64
	// Wait is how long the executor delays its reply while there is no end to report.
	Wait time.Duration
}

// Client calls the executors on the same VM.
type Client interface {
	Start(ctx context.Context, to Info, s Start) Answer
	Stop(ctx context.Context, to Info, taskName string, run uint32, token uint64) Answer
	Throttle(ctx context.Context, to Info, taskName string, run uint32, token uint64, percent int) Answer
	Poll(ctx context.Context, to Info, h PollRequest) Snapshot
}
