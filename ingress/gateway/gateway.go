// Package gateway serves the requests of the platform's requesters at an entry: it
// makes submissions and cancellations durable and returns their state.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/ingress/unsettled"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// ownerTimeout bounds a state query to the owner, after which the store is read.
	ownerTimeout = 400 * time.Millisecond
	// countsMaxAge is the maximum age of a queue count that is returned.
	countsMaxAge = 5 * time.Second
	// maxCachedStates bounds the cache of final states.
	maxCachedStates = 20_000
	// retryAfter is the delay after which a rejected requester may retry, unless the error has its own.
	retryAfter = time.Second
)

// Gateway implements platform.SubmissionService.
type Gateway struct {
	store store.Table
	clock clock.Clock
	log   zerolog.Logger
	// owner is the connection from the owner.
	owner    *member.OwnerLink
	manifest func() *manifest.Manifest
	// manifestAge returns the time since the manifest was last known to be the newest.
	manifestAge    func() time.Duration
	maxManifestAge time.Duration
	observe        func(method string, status int, took time.Duration, err error)
	// observeForward records the outcome of a write through the owner.
	observeForward func(err error)
	maxRowBytes    int
	breaker        breaker
	admission      Admission
	forwardEarly   bool
	owning         func() bool
	writeLatency   latency
	// tombstones limits the tombstones that this entry writes.
	tombstones *rate.Limiter
	// tombstoneRetention is the delay after which a submission that was cancelled before it was stored may be submitted again.
	tombstoneRetention time.Duration

	mu          sync.Mutex
	finalStates map[string]submission.State
	// unsettled are the submissions of which an attempt through this entry has taken effect or may.
	unsettled *unsettled.IDs
}

// Config configures a Gateway.
type Config struct {
	Store    store.Table
	Clock    clock.Clock
	Log      zerolog.Logger
	Owner    *member.OwnerLink
	Manifest func() *manifest.Manifest
	// ManifestAge returns the time since Manifest was last known to return the newest one.
	ManifestAge func() time.Duration
	// MaxManifestAge is how long after its confirmation a manifest has to be in force.
	MaxManifestAge time.Duration
	// MaxRowBytes is the size of the largest value that the store accepts, 0 for no limit.
	MaxRowBytes int
	// TombstoneRetention is how long the owner keeps a tombstone at least.
	TombstoneRetention time.Duration
	// StoreLastResponse returns the clock's time of the store's last response, 0 before the first.
	StoreLastResponse func() time.Duration
	// Observe records each response in the metrics.
	Observe func(method string, status int, took time.Duration, err error)
	// ObserveForward records the outcome of each write through the owner in the metrics.
	ObserveForward func(err error)
	// ForwardEarly sends a write through the owner too while the store has not answered the direct one. Without it the
	// owner gets writes only after the direct one has failed.
	ForwardEarly bool
	// Owning reports whether this process is the owner, which then makes no early writes through itself. Nil stands for never.
	Owning func() bool
	// Admission decides which submissions are refused on arrival, nil for none.
	Admission Admission
}

// Admission refuses submissions that cannot be completed while they are useful.
type Admission interface {
	// Admit returns an error for a submission that is refused. The error may have a method RetryAfter.
	Admit(ctx context.Context, s *submission.Submission) error
	// Settled is called with the outcome of storing a submission that was admitted.
	Settled(id string, err error)
}

// New returns a gateway.
func New(c Config) *Gateway {
	if c.Owning == nil {
		c.Owning = func() bool { return false }
	}
	return &Gateway{store: c.Store, clock: c.Clock, log: c.Log, owner: c.Owner, manifest: c.Manifest, manifestAge: c.ManifestAge, maxManifestAge: c.MaxManifestAge,
		observe: c.Observe, observeForward: c.ObserveForward, maxRowBytes: c.MaxRowBytes,
		admission: c.Admission, forwardEarly: c.ForwardEarly, owning: c.Owning, breaker: breaker{clock: c.Clock, lastResponse: c.StoreLastResponse},
		tombstones: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst), tombstoneRetention: c.TombstoneRetention, unsettled: unsettled.New(), finalStates: make(map[string]submission.State)}
}

// Manifest returns the current manifest, nil before the first is received.
func (g *Gateway) Manifest() *manifest.Manifest { return g.manifest() }

// CheckManifestAge returns an error while a newer manifest may have to be in force. A queue that this
// manifest lacks may then exist, so that the requester is told to retry.
func (g *Gateway) CheckManifestAge() error {
	if age := g.manifestAge(); age > g.maxManifestAge {
		return errkind.New(errkind.NotReady, "the manifest was last known to be the newest %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// Submit makes a submission durable. A repeated submission succeeds without effect. It returns errkind.Tombstoned for one that
// was cancelled before it was stored.
func (g *Gateway) Submit(ctx context.Context, r *manifest.Route, s *submission.Submission) error {
	ctx, cancel := limitAnswerTime(ctx)
	defer cancel()
	s.Queue, s.Service, s.Priority, s.MaxAttempts = r.Name, r.Service, r.Priority, r.MaxAttempts
	s.Stretch, s.TargetLatency, s.Accepted = r.Stretch, r.TargetLatency, time.Now().UnixMilli()
	value, err := s.Encode()
	if err != nil {
		return err
	}
	if g.maxRowBytes > 0 && len(value) > g.maxRowBytes {
		return errkind.New(errkind.TooLarge, "the submission takes %d bytes in the store, which accepts at most %d; nothing was stored", len(value), g.maxRowBytes)
	}
	g.beginAttempt(s.ID)
	err = g.admitAndCreate(ctx, s, value)
	return g.endAttempt(s.ID, err)
}

func (g *Gateway) admitAndCreate(ctx context.Context, s *submission.Submission, value []byte) error {
	if g.admission == nil {
		return g.createOnce(ctx, dispatch.WorkKey(s.ID), value)
	}
	if err := g.admission.Admit(ctx, s); err != nil {
		return err
	}
	err := g.createOnce(ctx, dispatch.WorkKey(s.ID), value)
	g.admission.Settled(s.ID, err)
	return err
}

func (g *Gateway) beginAttempt(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsettled.Begin(id)
}

// endAttempt records the end of an attempt to store a submission, and returns its outcome. An attempt that had no effect does not tell
// that the submission never runs if another one through this entry has taken effect or may. A tombstone does.
func (g *Gateway) endAttempt(id string, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	refused := errkind.Of(err).Attributes().Execution == errkind.ExecutionNotRun
	g.unsettled.End(id, !refused, now)
	if refused && errkind.Of(err) != errkind.Tombstoned && g.unsettled.Contains(id, now) {
		return unknownOutcome(err)
	}
	return err
}

// State returns the state of a submission, or errkind.NotFound when it does not exist.
func (g *Gateway) State(ctx context.Context, _ *manifest.Route, id string) (submission.State, error) {
	if state, ok := g.cachedState(id); ok {
		return state, nil
	}
	ctx, cancel := limitAnswerTime(ctx)
	defer cancel()
	state, known := g.queryOwner(ctx, id)
	if !known {
		var err error
		if state, err = g.readState(ctx, id); err != nil {
			return 0, err
		}
	}
	if state.Final() {
		g.cacheState(id, state)
	}
	return state, nil
}

func (g *Gateway) queryOwner(ctx context.Context, id string) (submission.State, bool) {
	p := g.ownerPeer()
	if p == nil {
		return 0, false
	}
	limit := ownerTimeout
	if _, ok := ctx.Deadline(); ok {
		// The read from the store that follows a failed query needs the rest.
		limit = min(limit, timeLeft(ctx)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	msg, err := p.Call(ctx, &wire.StateQuery{ID: id})
	if err != nil {
		return 0, false
	}
	r, ok := msg.(*wire.StateReply)
	if !ok || !r.Known || r.State > uint8(submission.Cancelled) {
		return 0, false
	}
	return submission.State(r.State), true
}

// readState reads the state from the store, which serves submissions that the owner
// has not loaded yet and queries while there is no owner.
func (g *Gateway) readState(ctx context.Context, id string) (submission.State, error) {
	rows, err := g.store.Get(ctx, dispatch.ProgressKey(id))
	if err != nil {
		return 0, err
	}
	if len(rows) > 0 {
		state, err := submission.DecodeState(rows[0].Value)
		if err != nil || state.Final() {
			return state, err
		}
		return submission.Running, nil
	}
	rows, err = g.store.Get(ctx, dispatch.WorkKey(id))
	if err != nil {
		return 0, err
	}
	if len(rows) == 0 || submission.IsTombstone(rows[0].Value) {
		return 0, unknownSubmission(id)
	}
	return submission.Queued, nil
}

func (g *Gateway) cachedState(id string) (submission.State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.finalStates[id]
	return s, ok
}

func (g *Gateway) cacheState(id string, s submission.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.finalStates) >= maxCachedStates {
		clear(g.finalStates)
	}
	g.finalStates[id] = s
}

// Pending returns the count of pending submissions that the owner last sent.
func (g *Gateway) Pending(_ context.Context, r *manifest.Route) (int, error) {
	counts, age := g.owner.QueueCounts()
	if age > countsMaxAge {
		return 0, errkind.New(errkind.NotReady, "the last queue count from the owner is %s old", age.Round(time.Millisecond))
	}
	return counts[r.Name], nil
}

// RetryAfter implements platform.SubmissionService.
func (g *Gateway) RetryAfter(err error) time.Duration {
	var own interface{ RetryAfter() time.Duration }
	if errors.As(err, &own) {
		return own.RetryAfter()
	}
	if errkind.Of(err) == errkind.Tombstoned {
		return max(retryAfter, g.tombstoneRetention)
	}
	return retryAfter
}

// ObserveResponse implements platform.SubmissionService.
func (g *Gateway) ObserveResponse(r *manifest.Route, method, id string, status int, took time.Duration, err error) {
	g.observe(method, status, took, err)
	queue, version := "", int64(0)
	if r != nil {
		queue = r.Name
	}
	if m := g.manifest(); m != nil {
		version = m.Version
	}
	event := events.RequestAnswered
	if method == http.MethodGet && err == nil {
		event = events.StateAsked
	}
	event.Log(g.log).Str("id", id).Str("method", method).Str("queue", queue).Int("status", status).
		Dur("took", took).Int64("manifest", version).Dur("manifest_age", g.manifestAge()).AnErr("error", err).Send()
}
