package gateway

import (
	"context"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
)

const (
	// cancelReadDivisor gives the read before a cancellation a part of the time left, after which the owner is asked. A store that takes
	// longer would not answer the write either.
	cancelReadDivisor = 2
	// tombstonesPerSecond and tombstoneBurst limit the tombstones of one entry. They bound the rows of callers that cancel ids
	// that nobody has submitted, as each row stays for a retention time.
	tombstonesPerSecond = 4
	tombstoneBurst      = 100
)

// unknownSubmission is the error of a request for a submission that does not exist.
func unknownSubmission(id string) error {
	return errkind.New(errkind.NotFound, "no submission has the id %s", id)
}

// Cancel makes a cancellation durable. It returns errkind.NotFound for a submission that does not exist, and that no write
// without an answer can bring into existence any more.
func (g *Gateway) Cancel(ctx context.Context, _ *manifest.Route, id string) error {
	ctx, cancel := limitAnswerTime(ctx)
	defer cancel()
	exists, err := g.exists(ctx, id)
	if err != nil {
		return err
	}
	if !exists {
		if err := g.writeTombstone(ctx, id); errkind.Of(err) != errkind.Conflict {
			return err
		}
		// A write of the submission has taken effect since.
	}
	return g.createOnce(ctx, dispatch.CancelKey(id), nil)
}

// exists reports whether a submission exists, by the store, or by the owner while the store does not answer. It returns
// errkind.NotFound for a submission with a tombstone.
func (g *Gateway) exists(ctx context.Context, id string) (bool, error) {
	readCtx, cancel := context.WithTimeout(ctx, timeLeft(ctx)/cancelReadDivisor)
	defer cancel()
	rows, err := g.store.Get(readCtx, dispatch.WorkKey(id))
	switch {
	case err != nil:
		if _, known := g.queryOwner(ctx, id); !known {
			return false, err
		}
		return true, nil
	case len(rows) == 0:
		return false, nil
	case submission.IsTombstone(rows[0].Value):
		return false, unknownSubmission(id)
	}
	return true, nil
}

// writeTombstone takes the key of a submission that does not exist, so that no write of it that has no answer yet can take
// effect later. It returns errkind.NotFound when the tombstone stands, and errkind.Conflict when the submission exists.
func (g *Gateway) writeTombstone(ctx context.Context, id string) error {
	if !g.tombstones.Allow() {
		return errkind.New(errkind.RateLimited, "too many unknown submissions are cancelled at this entry; nothing was written")
	}
	value, err := submission.EncodeTombstone()
	if err != nil {
		return err
	}
	err = g.create(ctx, dispatch.WorkKey(id), value)
	switch errkind.Of(err) {
	case errkind.None, errkind.Tombstoned:
		events.TombstoneWritten.Log(g.log).Str("id", id).Bool("found", err != nil).Send()
		return unknownSubmission(id)
	}
	return err
}
