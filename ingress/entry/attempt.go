package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of one attempt.
const (
	// receiptTimeout is how long the receipt of a frame may be outstanding before the
	// connection counts as silent.
	receiptTimeout = time.Second
	// minReceiptTimeout is the lower bound of the receipt timeout for requests with a
	// short deadline. It covers several round trips between availability zones.
	minReceiptTimeout = 50 * time.Millisecond
	// probeInterval is how long a connection with a request in flight may be idle before
	// it is probed.
	probeInterval = 250 * time.Millisecond
	// resolveRetryInterval is the interval between attempts to reach the agent for a Resolve.
	resolveRetryInterval = 50 * time.Millisecond
	// maxRefusedDials is how many refused connections in a row count as proof that the
	// agent's process has ended. A restarted agent does not know its earlier requests.
	maxRefusedDials = 3
	// resolveGrace is how long the entry keeps resolving a request after its deadline.
	resolveGrace = 250 * time.Millisecond
	// notRunValidity is the age of a request up to which the agent's not-run response is
	// accepted. The agent retains results for a minute; an entry that was suspended for
	// longer could otherwise mistake an expired result for a request that was not run.
	notRunValidity = 45 * time.Second
)

// errSuperseded is the cancellation cause of the slower of two hedged attempts.
var errSuperseded = errors.New("the other hedged attempt finished first")

// outcome is the result of an attempt.
type outcome struct {
	resp *wire.Response
	err  error
}

// attemptHedged attempts a request on an upstream. An idempotent request is also sent to a
// second upstream when the first is slower than usual and the retry budget allows it.
func (e *Entry) attemptHedged(ctx context.Context, c *call, u wire.Upstream) (*wire.Response, error) {
	if !c.req.Idempotent {
		o := e.attempt(ctx, c, u)
		c.recordFailure(u, o.err)
		return o.resp, o.err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errSuperseded)
	results := make(chan hedgedOutcome, 2)
	start := func(u wire.Upstream) {
		go func() { results <- hedgedOutcome{e.attempt(ctx, c, u), u} }()
	}
	start(u)
	timer := time.NewTimer(c.service.hedge.Delay())
	defer timer.Stop()
	running := 1
	for {
		select {
		case r := <-results:
			c.recordFailure(r.upstream, r.err)
			running--
			if r.err == nil || running == 0 {
				return r.resp, r.err
			}
		case <-timer.C:
			if second, ok := e.hedge(c, u); ok {
				running++
				start(second)
			}
		}
	}
}

type hedgedOutcome struct {
	outcome
	upstream wire.Upstream
}

// hedge chooses the upstream of a second attempt. It never waits for a slot and yields free
// slots to queued requests.
func (e *Entry) hedge(c *call, first wire.Upstream) (wire.Upstream, bool) {
	if c.service.queue.Len() > 0 || !c.service.budget.Take() {
		return wire.Upstream{}, false
	}
	out := c.service.outliers
	u, _, v := e.table.Pick(c.service.name, func(u *wire.Upstream) bool {
		return u.VM == first.VM || c.excluded[u.VM] || out.Ejected(route.KeyOf(u))
	})
	if v != route.Picked {
		c.service.budget.Refund()
		return wire.Upstream{}, false
	}
	e.requests.metrics.Hedges.Inc()
	return u, true
}

// recordFailure records the failure of an attempt and excludes its upstream from later attempts.
// An upstream without free slots may be tried again.
func (c *call) recordFailure(u wire.Upstream, err error) {
	kind := errkind.Of(err)
	if kind.Attributes().Execution != errkind.ExecutionNotRun && err != nil {
		c.mayHaveRun = err
	}
	if err == nil || kind == errkind.SlotsFull || kind == errkind.ConfigStale {
		return
	}
	if c.excluded == nil {
		c.excluded = make(map[string]bool)
	}
	c.excluded[u.VM] = true
}

// attempt sends the request to one upstream, whose in-flight count pick has already
// incremented. The error's kind shows whether the request ran.
func (e *Entry) attempt(ctx context.Context, c *call, u wire.Upstream) outcome {
	start := time.Now()
	resp, err := e.send(ctx, c, &u)
	if err == nil {
		c.service.hedge.Observe(time.Since(start))
	}
	if context.Cause(ctx) == errSuperseded {
		// A superseded attempt is no evidence of the upstream's health.
		e.table.Done(&u, -1)
		c.service.queue.Wake(1)
	} else {
		e.finishAttempt(c, &u, resp, err)
	}
	return outcome{resp, err}
}

func (e *Entry) send(ctx context.Context, c *call, u *wire.Upstream) (*wire.Response, error) {
	conn, err := e.pool.get(ctx, u.DataAddr)
	if err != nil {
		return nil, err
	}
	a := &attempt{entry: e, conn: conn, upstream: u, req: c.req, deadline: c.deadline, sentAt: e.cfg.Clock.Now()}
	a.req.Incarnation = u.Incarnation
	remaining := time.Until(c.deadline)
	a.req.DeadlineMS = uint32(max(remaining.Milliseconds(), 0))
	a.receiptTimeout = min(receiptTimeout, max(minReceiptTimeout, remaining/3))
	a.req.ID = wire.RequestID{Entry: e.cfg.Incarnation, Seq: e.seq.Add(1)}
	call, err := conn.peer.Start(&a.req)
	if err != nil {
		return nil, err
	}
	defer call.Abandon()
	return a.await(ctx, call)
}

// attempt is one request frame whose response is awaited.
type attempt struct {
	entry          *Entry
	conn           *dataConn
	upstream       *wire.Upstream
	req            wire.Request
	deadline       time.Time
	receiptTimeout time.Duration
	// sentAt is on the entry's clock, which also advances while the VM is suspended.
	sentAt time.Duration
	probed bool
}

// await waits for the response on the connection of the request. When the connection fails
// or is silent, or the deadline passes, it also resolves the request on another connection;
// the first result of either kind is returned.
func (a *attempt) await(ctx context.Context, call *wire.Pending) (*wire.Response, error) {
	timer := time.NewTimer(a.receiptTimeout)
	defer timer.Stop()
	replies, ctxDone := call.Result(), ctx.Done()
	var resolved chan outcome
	var grace <-chan time.Time
	resolve := func() {
		if resolved == nil {
			resolved = make(chan outcome, 1)
			go func() { resolved <- a.resolve(ctx) }()
		}
	}
	for {
		select {
		case r := <-replies:
			if r.Err == nil {
				return a.check(r.Msg)
			}
			replies = nil
			resolve()
		case o := <-resolved:
			return o.resp, o.err
		case <-timer.C:
			if resolved == nil && a.silent(call) {
				resolve()
			}
			timer.Reset(a.checkInterval())
		case <-ctxDone:
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil, errkind.New(errkind.OutcomeUnknown, "the caller cancelled the request")
			}
			ctxDone, grace = nil, time.After(resolveGrace)
			resolve()
		case <-grace:
			return nil, errkind.New(errkind.OutcomeUnknown, "the outcome was still unknown at the deadline")
		}
	}
}

func (a *attempt) checkInterval() time.Duration {
	if a.probed {
		return receiptTimeout
	}
	return probeInterval
}

// silent reports whether the connection of the request counts as silent, and removes it if
// so. A connection that has been idle since the receipt is probed first.
func (a *attempt) silent(call *wire.Pending) bool {
	idle := a.conn.peer.Idle() >= probeInterval
	switch {
	case call.Received() && !idle:
		a.probed = false
		return false
	case call.Received() && !a.probed:
		// Only the receipt of the probe matters; the response to the request arrives separately.
		a.probed = true
		if probe, err := a.conn.peer.Start(a.resolveRequest()); err == nil {
			time.AfterFunc(receiptTimeout, probe.Abandon)
		}
		return false
	}
	if a.entry.pool.remove(a.upstream.DataAddr, a.conn) {
		a.entry.requests.metrics.SilentConns.Inc()
	}
	return true
}

func (a *attempt) resolveRequest() *wire.Resolve {
	return &wire.Resolve{ID: a.req.ID, Incarnation: a.req.Incarnation, Conn: a.conn.seq}
}

// resolve queries the agent on another connection for the outcome of the request, until it
// is known or the deadline and resolveGrace have passed.
func (a *attempt) resolve(ctx context.Context) outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.deadline.Add(resolveGrace))
	defer cancel()
	for refused := 0; ctx.Err() == nil && refused < maxRefusedDials; {
		resp, err := a.queryOutcome(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		} else {
			refused = 0
		}
		if err == nil && resp.Outcome != wire.OutcomeRunning {
			resp, err = a.check(resp)
			a.entry.requests.metrics.Resolves.WithLabelValues(errkind.Of(err).Attributes().Execution.String()).Inc()
			return outcome{resp, err}
		}
		if err != nil {
			sleep(ctx, resolveRetryInterval)
		}
	}
	a.entry.requests.metrics.Resolves.WithLabelValues(errkind.ExecutionUnknown.String()).Inc()
	return outcome{nil, errkind.New(errkind.OutcomeUnknown, "the agent could not be reached to resolve the outcome")}
}

func (a *attempt) queryOutcome(ctx context.Context) (*wire.Response, error) {
	conn, err := a.entry.pool.get(ctx, a.upstream.DataAddr)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	m, err := conn.peer.Call(callCtx, a.resolveRequest())
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			a.entry.pool.remove(a.upstream.DataAddr, conn)
		}
		return nil, err
	}
	resp, ok := m.(*wire.Response)
	if !ok {
		return nil, errkind.New(errkind.Internal, "unexpected reply type %d", m.Type())
	}
	return resp, nil
}

// check maps an agent's response to the upstream's response or an error of its kind. It
// rejects a response to another request.
func (a *attempt) check(m wire.Message) (*wire.Response, error) {
	r, ok := m.(*wire.Response)
	if !ok || r.ID != a.req.ID {
		return nil, errkind.New(errkind.OutcomeUnknown, "the reply does not match the request")
	}
	switch r.Outcome {
	case wire.OutcomeAnswered:
		if xxhash.Sum64(r.Body) != r.Checksum || r.Status < 200 || r.Status > 999 {
			return r, errkind.New(errkind.OutcomeUnknown, "the response has a wrong checksum or an invalid status")
		}
		return r, nil
	case wire.OutcomeNotRun:
		if a.entry.cfg.Clock.Now()-a.sentAt > notRunValidity || r.Kind.Attributes().Execution != errkind.ExecutionNotRun {
			return r, errkind.New(errkind.OutcomeUnknown, "the agent's not-run response is too old or of a kind that proves nothing")
		}
		return r, errkind.New(r.Kind, "refused by the upstream's agent: %s", r.Detail)
	case wire.OutcomeFailed:
		return r, errkind.New(errkind.UpstreamFailed, "%s", r.Detail)
	}
	return r, errkind.New(errkind.OutcomeUnknown, "%s", r.Detail)
}
