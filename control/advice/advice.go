// Package advice keeps the permissions of the advice service, which alone knows
// the executors that may run a step of some queues.
package advice

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
)

// MaxExecutors is the largest number of executors in one question.
const MaxExecutors = 100

// Permission lets an executor run the tasks of a step.
type Permission struct {
	Executor, Ticket string
}

// Response is the answer to a question.
type Response struct {
	Allowed  []Permission
	Validity time.Duration
}

// Client asks the service. Errors of kind errkind.RateLimited mean that too many
// questions wait.
type Client interface {
	Advise(ctx context.Context, step string, executors []string) (Response, error)
}

const (
	// validityMargin is kept free of a ticket's validity for the way to the executor.
	validityMargin = 500 * time.Millisecond
	// refusalTTL is the time after which executors that were not allowed are asked for again.
	// What is allowed does not change, but executors do.
	refusalTTL = 10 * time.Second
)

// permission is a ticket with its end, or a refusal.
type permission struct {
	ticket  string
	validUntil   time.Duration
	refused bool
}

// Table holds the permissions by step and lifetime of an executor. It is not safe
// for concurrent use.
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

// Missing returns those of the executors for which a step has no valid answer.
func (t *Table) Missing(step string, executors []submission.Incarnation, now time.Duration) []submission.Incarnation {
	var unknown []submission.Incarnation
	for _, e := range executors {
		if p, ok := t.steps[step][e]; !ok || now >= p.validUntil {
			unknown = append(unknown, e)
		}
	}
	return unknown
}

// Record takes in the answer to a question that was asked at the given time.
func (t *Table) Record(step string, asked []submission.Incarnation, a Response, at time.Duration) {
	s := t.steps[step]
	if s == nil {
		s = make(map[submission.Incarnation]permission)
		t.steps[step] = s
	}
	for _, e := range asked {
		s[e] = permission{validUntil: at + refusalTTL, refused: true}
		for _, p := range a.Allowed {
			if p.Executor == e.ID {
				s[e] = permission{ticket: p.Ticket, validUntil: at + max(0, a.Validity-validityMargin)}
			}
		}
	}
}

// Invalidate forgets a ticket that the executor has refused.
func (t *Table) Invalidate(step string, at submission.Incarnation) { delete(t.steps[step], at) }

// RemoveStep drops a step that needs no more answers.
func (t *Table) RemoveStep(step string) { delete(t.steps, step) }
