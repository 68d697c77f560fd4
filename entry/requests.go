package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// Limits and timing of requests.
const (
	maxRequestBody  = 1 << 20
	defaultDeadline = 2 * time.Second
	maxDeadline     = 30 * time.Second
	receiptTimeout  = time.Second
	resolvePause    = 50 * time.Millisecond
	maxAttempts     = 4
)

// Headers of the request API.
const (
	HeaderCustomer   = "X-Customer"
	HeaderDeadline   = "X-Deadline"
	HeaderIdempotent = "X-Idempotent"
	HeaderName       = "X-Request-Name"
	HeaderKind       = "X-Error-Kind"
	HeaderExecution  = "X-Execution"
)

// call is one caller's request with its state across attempts.
type call struct {
	service  string
	req      wire.Request
	deadline time.Time
	excluded map[string]bool
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	if err := e.beginRequest(); err != nil {
		e.metrics.Refuse(err)
		writeError(w, err)
		return
	}
	defer e.active.Done()
	c, err := e.newCall(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, c.deadline)
	defer cancel()
	resp, err := e.run(ctx, c)
	if err != nil {
		e.metrics.Requests.WithLabelValues(c.service, errkind.Of(err).Answer().Execution.String()).Inc()
		e.metrics.Refuse(err)
		writeError(w, err)
		return
	}
	e.metrics.Requests.WithLabelValues(c.service, "answer").Inc()
	w.Header().Set("Content-Type", resp.ContentType)
	w.WriteHeader(int(resp.Status))
	_, _ = w.Write(resp.Body)
}

func (e *Entry) beginRequest() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return errkind.New(errkind.Draining, "entry %s is stopping", e.cfg.ID)
	}
	if err := e.follower.Admit(); err != nil {
		return err
	}
	e.active.Add(1)
	return nil
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		return nil, errkind.Wrap(errkind.TooLarge, err, "request body")
	}
	timeout := defaultDeadline
	if s := r.Header.Get(HeaderDeadline); s != "" {
		timeout, err = time.ParseDuration(s)
		if err != nil || timeout <= 0 || timeout > maxDeadline {
			return nil, errkind.New(errkind.InvalidArgument, "%s must be a duration up to %v", HeaderDeadline, maxDeadline)
		}
	}
	customer := r.Header.Get(HeaderCustomer)
	doc := e.config()
	if _, ok := doc.LimitOf(customer); !ok && doc.Generation > 0 {
		return nil, errkind.New(errkind.PermissionDenied, "customer %q has no plan", customer)
	}
	return &call{
		service: r.PathValue("service"), deadline: time.Now().Add(timeout), excluded: make(map[string]bool),
		req: wire.Request{
			ConfigGen: doc.Generation, Customer: customer, Method: r.Method, Path: "/" + r.PathValue("path"),
			Name: r.Header.Get(HeaderName), ContentType: r.Header.Get("Content-Type"),
			Idempotent: r.Method == http.MethodGet || r.Header.Get(HeaderIdempotent) == "true", Body: body,
		},
	}, nil
}

// run attempts the request on upstreams until it has a final outcome.
func (e *Entry) run(ctx context.Context, c *call) (*wire.Response, error) {
	var last error = errkind.New(errkind.NoUpstream, "no upstream of service %q", c.service)
	for range maxAttempts {
		u, ok := e.table.Pick(c.service, c.excluded)
		if !ok {
			return nil, last
		}
		resp, err := e.attempt(ctx, c, u)
		free := -1
		if resp != nil {
			free = int(resp.FreeSlots)
		}
		e.table.Done(u.VM, free)
		if err == nil {
			return resp, nil
		}
		last = err
		if errkind.Of(err).Answer().Execution != errkind.ExecutionNotRun && !c.req.Idempotent {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		c.excluded[u.VM] = true
		e.metrics.Retry(err)
	}
	return nil, last
}

// attempt sends the request to one upstream. The error's kind tells whether it ran.
func (e *Entry) attempt(ctx context.Context, c *call, u wire.Upstream) (*wire.Response, error) {
	conn, err := e.pool.get(ctx, u.DataAddr)
	if err != nil {
		return nil, err
	}
	req := c.req
	req.ID = wire.RequestID{Entry: e.cfg.Incarnation, Seq: e.seq.Add(1)}
	req.Incarnation = u.Incarnation
	req.DeadlineMS = uint32(max(time.Until(c.deadline).Milliseconds(), 0))
	receipt := conn.expect(req.ID)
	defer conn.forget(req.ID)
	type result struct {
		m   wire.Message
		err error
	}
	ch := make(chan result, 1)
	go func() {
		m, err := conn.peer.Call(ctx, &req)
		ch <- result{m, err}
	}()
	timer := time.NewTimer(receiptTimeout)
	defer timer.Stop()
	for {
		select {
		case r := <-ch:
			if r.err != nil {
				return e.resolve(ctx, req, u, r.err)
			}
			resp, ok := r.m.(*wire.Response)
			if !ok {
				return nil, errkind.New(errkind.Internal, "unexpected reply type %d", r.m.Type())
			}
			return checkResponse(resp)
		case <-receipt:
			receipt = nil
			timer.Stop()
		case <-timer.C:
			e.pool.discard(u.DataAddr, conn)
		}
	}
}

// resolve asks the agent on a new connection what became of the request.
func (e *Entry) resolve(ctx context.Context, req wire.Request, u wire.Upstream, cause error) (*wire.Response, error) {
	if errkind.Of(cause) == errkind.NotReady || errkind.Of(cause) == errkind.TooLarge {
		return nil, cause
	}
	for ctx.Err() == nil {
		resp, err := e.askOutcome(ctx, req, u)
		if err == nil && resp.Outcome != wire.OutcomeRunning {
			return checkResponse(resp)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resolvePause):
		}
	}
	return nil, errkind.Wrap(errkind.OutcomeUnknown, cause, "the outcome was not known at the deadline")
}

func (e *Entry) askOutcome(ctx context.Context, req wire.Request, u wire.Upstream) (*wire.Response, error) {
	conn, err := e.pool.get(ctx, u.DataAddr)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	m, err := conn.peer.Call(callCtx, &wire.Resolve{ID: req.ID, Incarnation: req.Incarnation})
	if err != nil {
		e.pool.discard(u.DataAddr, conn)
		return nil, err
	}
	resp, ok := m.(*wire.Response)
	if !ok {
		return nil, errkind.New(errkind.Internal, "unexpected reply type %d", m.Type())
	}
	return resp, nil
}

// checkResponse turns an agent's response into an answer or an error of its kind.
func checkResponse(r *wire.Response) (*wire.Response, error) {
	switch r.Outcome {
	case wire.OutcomeAnswer:
		if xxhash.Sum64(r.Body) != r.Checksum {
			return r, errkind.New(errkind.OutcomeUnknown, "the answer's checksum does not match")
		}
		return r, nil
	case wire.OutcomeNotRun:
		return r, errkind.New(r.Kind, "refused by the upstream's agent: %s", r.Detail)
	case wire.OutcomeFailed:
		return r, errkind.New(errkind.UpstreamFailed, "%s", r.Detail)
	}
	return r, errkind.New(errkind.OutcomeUnknown, "%s", r.Detail)
}
