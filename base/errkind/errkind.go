// Package errkind defines the project's closed list of error kinds and the
// attributes of each: HTTP status, process exit code, and what is known about the
// execution of the work the error refers to.
package errkind

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Kind classifies an error. The zero value means "no error".
type Kind uint8

// The closed list of kinds. Values are sent on the wire and must not be reordered.
const (
	None Kind = iota
	InvalidArgument
	NotFound
	AlreadyExists
	Conflict
	Unauthenticated
	PermissionDenied
	QuotaExceeded
	RateLimited
	ConcurrencyLimited
	QueueFull
	DeadlineExceeded
	NoUpstream
	SlotsFull
	Draining
	WrongIncarnation
	Tombstoned
	ConfigStale
	NotReady
	NotOwner
	StaleEpoch
	StaleAttempt
	StoreUnavailable
	StoreAmbiguous
	Infeasible
	CapacityExceeded
	TooLarge
	UpstreamFailed
	OutcomeUnknown
	Cancelled
	Internal
	numKinds
)

// Execution states what is known about the work an error refers to.
type Execution uint8

// Execution values.
const (
	// ExecutionNotRun means the work certainly did not run.
	ExecutionNotRun Execution = iota
	// ExecutionUnknown means the work may or may not have run.
	ExecutionUnknown
	// ExecutionRun means the work ran and failed.
	ExecutionRun
)

// String returns the wire and log form of the value.
func (e Execution) String() string {
	return [...]string{"not_run", "unknown", "run"}[e]
}

// Attributes are the fixed properties of a kind.
type Attributes struct {
	// Name is the stable identifier used in metrics labels, logs and JSON.
	Name string
	// HTTPStatus is the status code sent to callers and operators.
	HTTPStatus int
	// ExitCode is the exit code of command-line tools.
	ExitCode int
	// Execution is what the kind guarantees about the execution of the work.
	Execution Execution
	// Retryable states whether a later identical request can succeed.
	Retryable bool
}

var attributes = [numKinds]Attributes{
	None:               {"none", http.StatusOK, 0, ExecutionRun, false},
	InvalidArgument:    {"invalid_argument", http.StatusBadRequest, 2, ExecutionNotRun, false},
	NotFound:           {"not_found", http.StatusNotFound, 3, ExecutionNotRun, false},
	AlreadyExists:      {"already_exists", http.StatusConflict, 4, ExecutionNotRun, false},
	Conflict:           {"conflict", http.StatusConflict, 5, ExecutionNotRun, false},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, 6, ExecutionNotRun, false},
	PermissionDenied:   {"permission_denied", http.StatusForbidden, 7, ExecutionNotRun, false},
	QuotaExceeded:      {"quota_exceeded", http.StatusTooManyRequests, 8, ExecutionNotRun, true},
	RateLimited:        {"rate_limited", http.StatusTooManyRequests, 9, ExecutionNotRun, true},
	ConcurrencyLimited: {"concurrency_limited", http.StatusTooManyRequests, 10, ExecutionNotRun, true},
	QueueFull:          {"queue_full", http.StatusServiceUnavailable, 11, ExecutionNotRun, true},
	DeadlineExceeded:   {"deadline_exceeded", http.StatusGatewayTimeout, 12, ExecutionNotRun, true},
	NoUpstream:         {"no_upstream", http.StatusServiceUnavailable, 13, ExecutionNotRun, true},
	SlotsFull:          {"slots_full", http.StatusServiceUnavailable, 14, ExecutionNotRun, true},
	Draining:           {"draining", http.StatusServiceUnavailable, 15, ExecutionNotRun, true},
	WrongIncarnation:   {"wrong_incarnation", http.StatusServiceUnavailable, 16, ExecutionNotRun, true},
	Tombstoned:         {"tombstoned", http.StatusServiceUnavailable, 17, ExecutionNotRun, true},
	ConfigStale:        {"config_stale", http.StatusServiceUnavailable, 18, ExecutionNotRun, true},
	NotReady:           {"not_ready", http.StatusServiceUnavailable, 19, ExecutionNotRun, true},
	NotOwner:           {"not_owner", http.StatusServiceUnavailable, 20, ExecutionNotRun, true},
	StaleEpoch:         {"stale_epoch", http.StatusConflict, 21, ExecutionNotRun, false},
	StaleAttempt:       {"stale_attempt", http.StatusConflict, 22, ExecutionNotRun, false},
	StoreUnavailable:   {"store_unavailable", http.StatusServiceUnavailable, 23, ExecutionNotRun, true},
	StoreAmbiguous:     {"store_ambiguous", http.StatusServiceUnavailable, 24, ExecutionUnknown, true},
	Infeasible:         {"infeasible", http.StatusUnprocessableEntity, 25, ExecutionNotRun, false},
	CapacityExceeded:   {"capacity_exceeded", http.StatusServiceUnavailable, 26, ExecutionNotRun, true},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, 27, ExecutionNotRun, false},
	UpstreamFailed:     {"upstream_failed", http.StatusBadGateway, 28, ExecutionRun, true},
	OutcomeUnknown:     {"outcome_unknown", http.StatusBadGateway, 29, ExecutionUnknown, false},
	Cancelled:          {"cancelled", http.StatusConflict, 30, ExecutionNotRun, false},
	Internal:           {"internal", http.StatusInternalServerError, 31, ExecutionUnknown, false},
}

// All returns every kind except None, in numeric order.
func All() []Kind {
	kinds := make([]Kind, 0, numKinds-1)
	for k := None + 1; k < numKinds; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Attributes returns the attributes of k. Kinds outside the list have those of Internal.
func (k Kind) Attributes() Attributes {
	if k >= numKinds {
		return attributes[Internal]
	}
	return attributes[k]
}

// String returns the stable identifier of k.
func (k Kind) String() string { return k.Attributes().Name }

// Parse returns the kind with the given identifier, or Internal when there is none.
func Parse(name string) Kind {
	for k := None; k < numKinds; k++ {
		if attributes[k].Name == name {
			return k
		}
	}
	return Internal
}

// Error is an error with a kind.
type Error struct {
	Kind  Kind
	Msg   string
	cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Msg, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Msg)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Msg: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k caused by err, or nil when err is nil.
func Wrap(k Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, Msg: fmt.Sprintf(format, args...), cause: err}
}

// Of returns the kind of err: None for nil, Internal for errors without a kind.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
