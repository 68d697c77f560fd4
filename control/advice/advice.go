// Package advice caches the permissions issued by the advice service, which alone knows the
// executors that may run a step of some queues.
package advice

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
)

// MaxExecutors is the largest number of executors in one request.
const MaxExecutors = 100

// Permission allows an executor to run the tasks of a step.
type Permission struct {
	Executor, Ticket string
}

// Response is the response to a request for advice.
type Response struct {
	Allowed  []Permission
	Validity time.Duration
}

// Client calls the service. Errors of kind errkind.RateLimited mean that too many requests are
// pending.
type Client interface {
	Advise(ctx context.Context, step string, executors []string) (Response, error)
}

const (
	// validityMargin is subtracted from a ticket's validity to cover its transmission to the
	// executor.
	validityMargin = 500 * time.Millisecond
	// refusalTTL is the time after which executors that were not permitted are included in a
	// request again. Permissions do not change, but executors do.
	refusalTTL = 10 * time.Second
)

// permission is a ticket with its expiry, or a refusal.
type permission struct {
	ticket     string
	validUntil time.Duration
	refused    bool
}

// Table holds the permissions by step and executor incarnation. It is not safe for concurrent use.
type Table struct {
	steps map[string]map[submission.Incarnation]permission
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{steps: make(map[string]map[submission.Incarnation]permission)}
}

// Ticket returns the ticket of a step on an executor, if it is valid.
func (t *Table) Ticket(step string, at submission.Incarnation, now time.Duration) (string, bool) {
	p, ok := t.steps[step][at]
	if !ok || p.refused || now >= p.validUntil {
		return "", false
	}
	return p.ticket, true
}

// Missing returns the executors for which a step has no valid response.
func (t *Table) Missing(step string, executors []submission.Incarnation, now time.Duration) []submission.Incarnation {
	var missing []submission.Incarnation
	for _, e := range executors {
		if p, ok := t.steps[step][e]; !ok || now >= p.validUntil {
			missing = append(missing, e)
		}
	}
	return missing
}

// Record stores the response to a request that was sent at the given time.
func (t *Table) Record(step string, requested []submission.Incarnation, r Response, at time.Duration) {
	s := t.steps[step]
	if s == nil {
		s = make(map[submission.Incarnation]permission)
		t.steps[step] = s
	}
	for _, e := range requested {
		s[e] = permission{validUntil: at + refusalTTL, refused: true}
		for _, p := range r.Allowed {
			if p.Executor == e.ID {
				s[e] = permission{ticket: p.Ticket, validUntil: at + max(0, r.Validity-validityMargin)}
			}
		}
	}
}

// Invalidate deletes a ticket that the executor has rejected.
func (t *Table) Invalidate(step string, at submission.Incarnation) { delete(t.steps[step], at) }

// RemoveStep deletes the permissions of a step that needs no more advice.
func (t *Table) RemoveStep(step string) { delete(t.steps, step) }
