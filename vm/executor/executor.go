// Package executor defines what the system knows of and says to the executors
// that run tasks, independent of the protocol that carries it.
package executor

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// Info is what an executor says about itself.
type Info struct {
	submission.Incarnation
	Service  string
	Address  string
	Zone     string
	Capacity task.Resources
	// Kind is the executor's type, Rack its rack.
	Kind, Rack string
	Draining   bool
	// DrainRemaining is the least time left while draining.
	DrainRemaining time.Duration
	// Sequence increases with each heartbeat of one lifetime.
	Sequence int64
	// Clock is the executor's own steady clock in milliseconds.
	Clock int64
}

// Run is a task that runs on an executor.
type Run struct {
	Task       string
	Number     uint32
	Checkpoint string
	// ProgressPercent is the progress of the work; for long-running tasks 100 means at work.
	ProgressPercent int
	// Load is the tail latency in milliseconds of a task that serves, otherwise
	// the processors in use in thousandths. It covers the last half second.
	Load int
}

// EndCause is how a run ended.
type EndCause uint8

// End causes.
const (
	// Done: the work is finished.
	Done EndCause = iota
	// Failed: the run failed by the task's or the executor's fault.
	Failed
	// Stopped: the system asked for the end.
	Stopped
	// Lapsed: the lease expired.
	LeaseExpired
	// Broken: another member of the gang ended.
	GangMemberEnded
	// Alone: the other members of the gang did not start in time.
	GangIncomplete
)

// String returns the name of the cause in logs.
func (c EndCause) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[c]
}

// End is the end of a run. Numbers start at 1 in each lifetime of the executor.
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
	Epoch         uint64
	// Deadline extends the lease of all runs, in milliseconds on the executor's clock.
	Deadline int64
	// Ticket is the permission of the advice service, empty where none is needed.
	Ticket string
}

// Outcome is what is known of an order after a call.
type Outcome uint8

// Outcomes.
const (
	// OK: the order was carried out, now or by an earlier call.
	OK Outcome = iota
	// Rejected: the executor refused the order for a reason.
	Rejected
	// Unavailable: the executor did nothing and may accept the order later.
	Unavailable
	// Unknown: the order may have been carried out, or may be later.
	Unknown
	// OtherIncarnation: another lifetime answers at the address.
	OtherIncarnation
	// NoListener: nothing listens at the address, the executor has ended.
	NoListener
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "rejected", "unavailable", "unknown", "other_incarnation", "no_listener"}[o]
}

// Reason is why an executor rejected an order.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	// ReasonEpoch: the executor has seen a higher epoch.
	ReasonStaleEpoch
	// ReasonOldRun: this run or a higher one has ended or was stopped here.
	ReasonStaleRun
	// ReasonLate: the deadline of the order has passed.
	ReasonDeadlinePassed
	// ReasonRoom: the task does not fit.
	ReasonCapacity
	// ReasonTicket: the ticket is missing or no longer valid.
	ReasonTicket
	// ReasonInvalid: the executor does not understand the order.
	ReasonInvalid
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "epoch", "old_run", "late", "room", "ticket", "invalid"}[r]
}

// Answer is the answer to an order.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Clock is the executor's clock in milliseconds, 0 when it is not known.
	Clock int64
}

// Snapshot is the executor's list of runs at one moment.
type Snapshot struct {
	Answer
	StartedAt    int64
	Running []Run
	Ended   []End
}

// PollRequest asks for a snapshot and extends the lease of all runs.
type PollRequest struct {
	Epoch uint64
	// Deadline is in milliseconds on the executor's clock, 0 to leave the lease as it is.
	Deadline int64
	// LastSeen lets the executor forget the ends up to this number.
	LastSeen int64
	// Wait is how long the answer waits for an end.
	Wait time.Duration
}

// Client calls the executor on the own VM.
type Client interface {
	Start(ctx context.Context, to Info, s Start) Answer
	Stop(ctx context.Context, to Info, taskName string, run uint32, epoch uint64) Answer
	Throttle(ctx context.Context, to Info, taskName string, run uint32, epoch uint64, percent int) Answer
	Poll(ctx context.Context, to Info, h PollRequest) Snapshot
}
