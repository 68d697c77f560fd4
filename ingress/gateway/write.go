package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/worktable"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// writeRetryInterval is the delay before the first retry of a failed write. It doubles with each retry up to
	// maxWriteRetryInterval, so that a store that fails fast gets few calls for each request.
	writeRetryInterval    = 50 * time.Millisecond
	maxWriteRetryInterval = 150 * time.Millisecond
	// answerPercent is the part of the requester's time within which a request is answered that cannot be carried out. It
	// is below a quarter by the time to send the response.
	answerPercent = 22
	// maxAnswerTime bounds that time for requesters that wait for long.
	maxAnswerTime = 700 * time.Millisecond
	// defaultRequestTime is the time of a requester that names no deadline, defaultAnswerTime the part for its answer.
	defaultRequestTime = 3 * time.Second
	defaultAnswerTime  = defaultRequestTime * answerPercent / 100
	// minAnswerTime leaves a healthy store time to answer, however short the requester's deadline is.
	minAnswerTime = 50 * time.Millisecond
	// minAttemptTime is the least time for an attempt after the first. One that is cut off by the end of
	// the budget leaves the outcome of the write unknown.
	minAttemptTime = 100 * time.Millisecond
	// minAttemptDivisor bounds that time to a part of a short budget, so that such a write has further attempts too.
	minAttemptDivisor = 4
	// maxForwardDivisor bounds the delay of the write through the owner to a part of the time left, so that most of it remains.
	maxForwardDivisor = 3
	// forwardTimeout bounds a write through the owner.
	forwardTimeout = 500 * time.Millisecond
	// settleTime is how long a write waits, after its time has ended, for calls that are being cancelled. They tell
	// whether anything was sent.
	settleTime = 20 * time.Millisecond
	// maxOwnerSilence is the age of the owner's last message from which nothing is sent to it, and that of its last commit
	// from which no writes are: two heartbeat intervals and a margin. A write to an owner that is cut off has an unknown outcome.
	maxOwnerSilence = 1600 * time.Millisecond
)

// errAnswered is the cause of the end of the attempts of a write that has an answer.
var errAnswered = errors.New("another attempt of the write was faster")

// limitAnswerTime bounds ctx by the time within which a request is answered.
func limitAnswerTime(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := defaultAnswerTime
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(time.Until(deadline)*answerPercent/100, maxAnswerTime)
	}
	return context.WithTimeout(ctx, max(limit, minAnswerTime))
}

// timeLeft returns the time until the deadline of a context that has one.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// unknownOutcome returns the error of a write of which an attempt may take effect. err is nil if no attempt has ended.
func unknownOutcome(err error) error {
	if err == nil {
		return errkind.New(errkind.StoreAmbiguous, "no attempt has ended; the outcome of the write is unknown")
	}
	return errkind.Wrap(errkind.StoreAmbiguous, err, "the outcome of the write is unknown")
}

// createOnce creates a row, with retries. It succeeds too when the row exists: an earlier request with
// the same id has created it. Other errors are those of create.
func (g *Gateway) createOnce(ctx context.Context, key string, value []byte) error {
	err := g.create(ctx, key, value)
	if errkind.Of(err) == errkind.Conflict {
		return nil
	}
	return err
}

// create creates a row, with retries. It returns errkind.Conflict or errkind.Tombstoned when the key is taken, as
// worktable.Create does, possibly by an attempt of its own. It returns errkind.StoreUnavailable only when no attempt can have
// taken effect. The context is bounded by limitAnswerTime.
func (g *Gateway) create(ctx context.Context, key string, value []byte) error {
	// The context of the attempts ends with the write, which cancels the attempts that are no longer needed.
	ctx, cancelAttempts := context.WithCancelCause(ctx)
	defer cancelAttempts(errAnswered)
	w := &rowWrite{g: g, key: key, value: value, results: make(chan attemptResult, pathCount), failing: g.breaker.open(),
		leastAttempt: min(minAttemptTime, timeLeft(ctx)/minAttemptDivisor), retryDelay: writeRetryInterval, timer: stoppedTimer()}
	defer w.timer.Stop()
	return w.run(ctx)
}

// stoppedTimer returns a timer that does not fire before it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(0)
	t.Stop()
	return t
}

// path is a way to the store.
type path int

const (
	// direct is this process's own call to the store.
	direct path = iota
	// viaOwner is a call to the owner of the work, which writes to the store.
	viaOwner
	// pathCount is the number of paths.
	pathCount
)

type attemptResult struct {
	path path
	err  error
}

// rowWrite creates one row. It has at most one attempt in progress on each path. All attempts carry the condition that the
// row does not exist, so that they are one write.
type rowWrite struct {
	g     *Gateway
	key   string
	value []byte
	// results has room for one result of each path, so that no attempt waits for a reader.
	results chan attemptResult
	// inProgress holds the attempts without a result, by path.
	inProgress [pathCount]bool
	// failing is set if the store was known not to serve this process when the write began.
	failing bool
	// uncertain is set once an attempt has ended that may take effect.
	uncertain bool
	// refusal is an error of the store that no further attempt changes.
	refusal error
	// lastErr is the error of the last attempt that ended.
	lastErr error
	// leastAttempt is the least time for an attempt after the first.
	leastAttempt time.Duration
	retryDelay   time.Duration
	// timer runs until the next attempt.
	timer *time.Timer
}

// run makes attempts until one succeeds, none can succeed any more, or ctx ends.
func (w *rowWrite) run(ctx context.Context) error {
	w.begin(ctx)
	for {
		select {
		case <-ctx.Done():
			return w.settle()
		case <-w.timer.C:
			w.timerFired(ctx)
		case r := <-w.results:
			if done, err := w.apply(ctx, r); done {
				return err
			}
		}
	}
}

func (w *rowWrite) busy() bool { return w.inProgress[direct] || w.inProgress[viaOwner] }

// begin starts a first attempt, or the next one after all have failed.
func (w *rowWrite) begin(ctx context.Context) {
	if w.g.breaker.open() {
		w.start(ctx, viaOwner)
		return
	}
	w.start(ctx, direct)
	switch {
	case !w.g.forwardEarly || w.g.owning():
		// A process that is the owner would only repeat its own call.
	case w.g.breaker.suspect():
		w.start(ctx, viaOwner)
	default:
		w.timer.Reset(min(w.g.writeLatency.forwardDelay(), timeLeft(ctx)/maxForwardDivisor))
	}
}

// timerFired makes the attempt that is due: through the owner while the direct one has no answer, else the next direct one.
func (w *rowWrite) timerFired(ctx context.Context) {
	if !w.inProgress[direct] {
		w.begin(ctx)
		return
	}
	w.g.breaker.recordUnanswered()
	w.forwardIfTimeAllows(ctx)
}

// forwardIfTimeAllows starts an attempt through the owner unless it would be cut off.
func (w *rowWrite) forwardIfTimeAllows(ctx context.Context) {
	if timeLeft(ctx) >= w.leastAttempt {
		w.start(ctx, viaOwner)
	}
}

// start starts an attempt unless one is in progress on the path.
func (w *rowWrite) start(ctx context.Context, p path) {
	if w.inProgress[p] {
		return
	}
	w.inProgress[p] = true
	go func() {
		if p == direct {
			w.results <- attemptResult{p, w.g.commit(ctx, w.key, w.value)}
			return
		}
		w.results <- attemptResult{p, w.g.forward(ctx, w.key, w.value)}
	}()
}

// apply takes in the result of an attempt. It reports whether the write has ended.
func (w *rowWrite) apply(ctx context.Context, r attemptResult) (bool, error) {
	w.record(r)
	if settled(r.err) {
		return true, r.err
	}
	ended := false
	if r.path == direct {
		ended = w.directFailed(ctx)
	} else {
		ended = w.viaOwnerFailed(ctx)
	}
	if ended {
		return true, w.failure()
	}
	return false, nil
}

// settled reports whether the key is taken after an attempt with this error, so that no other attempt can take effect any more.
func settled(err error) bool {
	switch errkind.Of(err) {
	case errkind.None, errkind.Conflict, errkind.Tombstoned:
		return true
	}
	return false
}

// directFailed continues after a failed direct attempt: with the attempt in progress through the owner, else with a new one, else
// with a retry. It reports whether the write has failed.
func (w *rowWrite) directFailed(ctx context.Context) bool {
	if w.busy() {
		return false
	}
	if w.refusal != nil {
		return true
	}
	w.forwardIfTimeAllows(ctx)
	return !w.busy() && !w.scheduleRetry(ctx)
}

// viaOwnerFailed continues after a failed attempt through the owner: with a retry, while a direct attempt in progress goes on. It
// reports whether the write has failed.
func (w *rowWrite) viaOwnerFailed(ctx context.Context) bool {
	if w.busy() {
		w.scheduleRetry(ctx)
		return false
	}
	if w.refusal != nil || w.failing && !w.uncertain {
		return true
	}
	return !w.scheduleRetry(ctx)
}

// record updates the state by the result of an attempt.
func (w *rowWrite) record(r attemptResult) {
	w.inProgress[r.path] = false
	w.lastErr = r.err
	kind := errkind.Of(r.err)
	switch {
	case settled(r.err):
	case r.path == viaOwner:
		w.uncertain = w.uncertain || kind.Attributes().Execution != errkind.ExecutionNotRun
	case kind == errkind.StoreAmbiguous:
		w.uncertain = true
	case kind != errkind.StoreUnavailable:
		w.refusal = r.err
	}
}

// scheduleRetry sets the timer for the next attempt, at the latest when there is just enough time for it. It returns false
// when there is not. A write with an unknown outcome is tried until its time ends, since a success makes it known.
func (w *rowWrite) scheduleRetry(ctx context.Context) bool {
	delay := w.retryDelay
	if !w.uncertain {
		delay = min(delay, timeLeft(ctx)-w.leastAttempt)
	}
	if delay <= 0 {
		return false
	}
	w.timer.Reset(delay)
	w.retryDelay = min(2*w.retryDelay, maxWriteRetryInterval)
	return true
}

// settle returns the outcome of a write whose time has ended. An attempt that does not end in settleTime may take effect.
func (w *rowWrite) settle() error {
	timeout := time.After(settleTime)
	for w.busy() {
		select {
		case r := <-w.results:
			w.record(r)
			if settled(r.err) {
				return r.err
			}
		case <-timeout:
			w.uncertain, w.inProgress = true, [pathCount]bool{}
		}
	}
	return w.failure()
}

// failure returns the error of a write without an attempt in progress.
func (w *rowWrite) failure() error {
	switch {
	case w.uncertain:
		return unknownOutcome(w.lastErr)
	case w.refusal != nil:
		return w.refusal
	case w.lastErr == nil:
		return errkind.New(errkind.StoreUnavailable, "the request has ended; nothing was written")
	}
	return errkind.Wrap(errkind.StoreUnavailable, w.lastErr, "nothing was written")
}

// commit writes the row to the store.
func (g *Gateway) commit(ctx context.Context, key string, value []byte) error {
	startedAt := g.clock.Now()
	err := worktable.Create(ctx, g.store, key, value)
	failed := errkind.Of(err) == errkind.StoreAmbiguous || errkind.Of(err) == errkind.StoreUnavailable
	took := g.clock.Now() - startedAt
	switch {
	case !failed:
		g.breaker.record(false, startedAt)
		g.writeLatency.observe(took)
	case ctx.Err() == context.Canceled:
		g.recordCancelled(context.Cause(ctx), startedAt, took)
	default:
		g.breaker.record(true, startedAt)
	}
	return err
}

// recordCancelled records a write that was cancelled without an answer. The end of the request says nothing about the store. A
// faster answer of the owner counts as a failure of the store only while the store has answered nothing to this process
// since a write went without a timely answer; otherwise the store may just be slower than the owner.
func (g *Gateway) recordCancelled(cause error, startedAt, took time.Duration) {
	g.writeLatency.observeAtLeast(took)
	if errors.Is(cause, errAnswered) && g.breaker.suspect() {
		g.breaker.record(true, startedAt)
	}
}

// ownerPeer returns the connection from the owner, nil when there is none or the owner is silent.
func (g *Gateway) ownerPeer() *wire.Peer {
	if g.owner.SinceLastMessage() > maxOwnerSilence {
		return nil
	}
	return g.owner.Peer()
}

// writingOwner returns the connection from an owner that the store serves, nil when there is none.
func (g *Gateway) writingOwner() *wire.Peer {
	if g.owner.Staleness() > maxOwnerSilence {
		return nil
	}
	return g.owner.Peer()
}

// forward writes the row through the owner of the work.
func (g *Gateway) forward(ctx context.Context, key string, value []byte) error {
	p := g.writingOwner()
	if p == nil {
		return errkind.New(errkind.NotReady, "no owner is connected that the store serves; nothing was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err := p.Call(ctx, &wire.CreateRow{Key: key, Value: value})
	if ctx.Err() == context.Canceled {
		return err // the direct write was faster, or the request has ended
	}
	g.observeForward(err)
	return err
}
