package overload

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
)

const (
	// readTimeout bounds the read of the row of a submission that is to be refused.
	readTimeout = 300 * time.Millisecond
	// readShare is the part of the time for an answer that the read may take: the write that follows a failed one needs the rest.
	readShare = 3
)

// Gate refuses submissions of requesters. It implements gateway.Admission.
type Gate struct {
	Controller *Controller
	Store      store.Table
	Clock      clock.Clock
	Log        zerolog.Logger
	// Observe records each refusal in the metrics.
	Observe func(queue, size, reason string)
}

// declined is the error of a refused submission.
type declined struct {
	error
	retryAfter time.Duration
}

// Unwrap returns the error with the kind.
func (d *declined) Unwrap() error { return d.error }

// RetryAfter returns when the caller should return.
func (d *declined) RetryAfter() time.Duration { return d.retryAfter }

// Admit returns an error when the submission is refused. Nothing of it is stored then. Otherwise Settled has to be called.
func (g *Gate) Admit(ctx context.Context, s *submission.Submission) error {
	r := RequestOf(s)
	d := g.Controller.Admit(&r, g.Clock.Now())
	if d.OK() {
		return nil
	}
	if !g.absent(ctx, s.ID) {
		g.Controller.AdmitAccepted(&r, g.Clock.Now())
		return nil
	}
	size := strconv.Itoa(d.Class)
	g.Observe(s.Queue, size, string(d.Reason))
	events.SubmissionDeclined.Log(g.Log).Str("id", s.ID).Str("queue", s.Queue).Str("size", size).Str("reason", string(d.Reason)).Dur("delay", d.Delay).
		Dur("least", d.Least).Dur("objective", r.Objective).Dur("retry_after", d.RetryAfter).Send()
	return &declined{errkind.New(errkind.CapacityExceeded, "%s: new work of the queue begins in %s or later; nothing was stored", d.Reason, d.Least.Round(time.Millisecond)), d.RetryAfter}
}

// Settled records the outcome of storing an admitted submission.
func (g *Gate) Settled(id string, err error) {
	unknown := err != nil && errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun
	g.Controller.Settle(id, unknown, g.Clock.Now())
}

// absent reports whether it is certain that the store has no submission with the id.
func (g *Gate) absent(ctx context.Context, id string) bool {
	limit := readTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/readShare)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rows, err := g.Store.Get(ctx, dispatch.WorkKey(id))
	return err == nil && len(rows) == 0
}
