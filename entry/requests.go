package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/history"
	"github.com/chicorystand/chicorystand/metrics"
	"github.com/chicorystand/chicorystand/plan"
	"github.com/chicorystand/chicorystand/route"
	"github.com/chicorystand/chicorystand/wire"
)

// Limits and timing of requests.
const (
	maxRequestBody  = 1 << 20
	defaultDeadline = 2 * time.Second
	maxDeadline     = 30 * time.Second
	maxAttempts     = 4
	// maxRefusals bounds the attempts that found the chosen upstream full or leaving.
	maxRefusals = 32
	// queueLimit bounds the requests of one service that wait for a slot.
	queueLimit = 256
	// configWait is how long a request waits for a configuration that an agent
	// already knows; this entry reads it at its next poll.
	configWait = time.Second
	// writeAnswerTimeout bounds how long a caller may take to read its answer.
	writeAnswerTimeout = 10 * time.Second
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

// unknownService is the metrics label of services that no upstream serves, so
// that callers cannot create labels.
const unknownService = "unknown"

// requests is the state of the request path of an entry.
type requests struct {
	limiter route.Limiter
	metrics *metrics.Requests
	plans   atomic.Pointer[planIndex]

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of one service across its requests.
type service struct {
	name     string
	queue    *route.Queue
	budget   *route.Budget
	outliers *route.Outliers
	hedge    route.HedgeDelay
}

// planIndex maps customers to limits for one generation of the configuration.
type planIndex struct {
	generation uint64
	limits     map[string]plan.Limit
}

func newRequests(m *metrics.Entry) *requests {
	return &requests{metrics: metrics.NewRequests(m.Registry), services: make(map[string]*service)}
}

// service returns the state of a service that some upstream serves or has served.
func (e *Entry) service(name string) (*service, error) {
	e.requests.mu.Lock()
	defer e.requests.mu.Unlock()
	s, ok := e.requests.services[name]
	if ok {
		return s, nil
	}
	if len(e.table.Service(name)) == 0 {
		return nil, errkind.New(errkind.NoUpstream, "no upstream of service %q", name)
	}
	s = &service{name: name, queue: route.NewQueue(queueLimit), budget: route.NewBudget(route.DefaultBudget()),
		outliers: route.NewOutliers(route.DefaultOutliers())}
	e.requests.services[name] = s
	return s, nil
}

// call is one caller's request with its state across attempts.
type call struct {
	service *service
	req     wire.Request
	limit   plan.Limit
	began   time.Time
	// deadline is when the caller expects an answer.
	deadline time.Time
	// excluded are the VMs on which an attempt failed.
	excluded map[string]bool
	// mayHaveRun is the failure of an attempt that does not prove that it was not run.
	mayHaveRun error
	waiter     *route.Waiter
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	if err := e.beginRequest(); err != nil {
		e.refuse(w, unknownService, false, err)
		return
	}
	defer e.active.Done()
	c, err := e.newCall(w, r)
	if err != nil {
		e.refuse(w, unknownService, false, err)
		return
	}
	release, err := e.limit(c)
	if err != nil {
		e.refuse(w, c.service.name, c.req.Idempotent, err)
		return
	}
	e.cfg.Recorder.Record(history.Event{Kind: history.RequestAdmitted, Request: c.req.Name, Process: e.cfg.ID, Generation: c.req.ConfigGen})
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	resp, err := e.run(ctx, c)
	cancel()
	if err != nil && c.mayHaveRun != nil {
		// A later refusal proves nothing about an earlier attempt.
		err = c.mayHaveRun
	}
	release()
	if err != nil {
		e.refuse(w, c.service.name, c.req.Idempotent, err)
		return
	}
	e.metrics.Requests.WithLabelValues(c.service.name, "answer").Inc()
	if resp.ContentType != "" {
		w.Header().Set("Content-Type", resp.ContentType)
	}
	e.write(w, int(resp.Status), resp.Body, r.Method == http.MethodHead)
}

// write writes the whole answer to the connection before it returns, so that a
// planned stop that waits for the request cannot cut the answer off.
func (e *Entry) write(w http.ResponseWriter, status int, body []byte, head bool) {
	if !head {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if e.stopping() {
		w.Header().Set("Connection", "close")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeAnswerTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}

// refuse writes the final answer of a request without a result.
func (e *Entry) refuse(w http.ResponseWriter, service string, idempotent bool, err error) {
	kind := errkind.Of(err)
	a := kind.Answer()
	e.metrics.Requests.WithLabelValues(service, a.Execution.String()).Inc()
	e.metrics.Refuse(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderKind, a.Name)
	h.Set(HeaderExecution, a.Execution.String())
	if a.Retryable || idempotent && a.Execution == errkind.ExecutionUnknown {
		h.Set("Retry-After", "1")
	}
	body, _ := json.Marshal(ErrorBody{Kind: a.Name, Execution: a.Execution.String(), Message: err.Error()})
	e.write(w, a.HTTPStatus, append(body, '\n'), false)
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

func (e *Entry) stopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	timeout := defaultDeadline
	if s := r.Header.Get(HeaderDeadline); s != "" {
		var err error
		timeout, err = time.ParseDuration(s)
		if err != nil || timeout <= 0 || timeout > maxDeadline {
			return nil, errkind.New(errkind.InvalidArgument, "%s must be a duration up to %v", HeaderDeadline, maxDeadline)
		}
	}
	now := time.Now()
	body, err := readRequestBody(w, r, now.Add(timeout))
	if err != nil {
		return nil, err
	}
	s, err := e.service(r.PathValue("service"))
	if err != nil {
		return nil, err
	}
	return &call{
		service: s, began: now, deadline: now.Add(timeout),
		req: wire.Request{
			Customer: r.Header.Get(HeaderCustomer), Method: r.Method, Path: requestPath(r),
			Name: r.Header.Get(HeaderName), ContentType: r.Header.Get("Content-Type"),
			Idempotent: idempotent(r), Body: body, Checksum: xxhash.Sum64(body),
		},
	}, nil
}

// idempotent reports whether the request may run more than once: what the caller
// says, or else whether its method is safe.
func idempotent(r *http.Request) bool {
	if h := r.Header.Get(HeaderIdempotent); h != "" {
		return h == "true"
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

// requestPath returns the path below the service and the query exactly as the
// caller escaped them.
func requestPath(r *http.Request) string {
	// "", "v1", "services", service, rest
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 5)
	path := "/"
	if len(parts) == 5 {
		path += parts[4]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// readRequestBody reads the whole body before the deadline, so that a slow sender
// holds no resources for longer.
func readRequestBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	rc := http.NewResponseController(w)
	if r.ContentLength == 0 {
		_ = rc.SetReadDeadline(time.Time{})
		return nil, nil
	}
	if r.ContentLength > maxRequestBody {
		return nil, errkind.New(errkind.TooLarge, "the request body exceeds %d bytes", maxRequestBody)
	}
	_ = rc.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, errkind.Wrap(errkind.TooLarge, err, "request body")
		}
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "request body")
	}
	// A read deadline would otherwise cancel the request while it runs.
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// limit applies the customer's plan in force and returns the function that ends
// the request's share of the limits.
func (e *Entry) limit(c *call) (release func(), err error) {
	if err := e.applyPlan(c); err != nil {
		return nil, err
	}
	if c.req.ConfigGen == 0 {
		return func() {}, nil
	}
	return e.requests.limiter.Acquire(c.req.Customer, c.limit)
}

// applyPlan sets the limit and generation of the configuration in force. The
// error kind is errkind.PermissionDenied for a customer without a plan.
func (e *Entry) applyPlan(c *call) error {
	doc := e.config()
	index := e.requests.plans.Load()
	if index == nil || index.generation != doc.Generation {
		index = newPlanIndex(doc)
		e.requests.plans.Store(index)
	}
	limit, ok := index.limits[c.req.Customer]
	if !ok && doc.Generation > 0 {
		return errkind.New(errkind.PermissionDenied, "customer %q has no plan", c.req.Customer)
	}
	c.limit, c.req.ConfigGen = limit, doc.Generation
	return nil
}

func newPlanIndex(doc plan.Document) *planIndex {
	plans := make(map[string]plan.Limit, len(doc.Limits))
	for _, l := range doc.Limits {
		plans[l.Plan] = l
	}
	index := &planIndex{generation: doc.Generation, limits: make(map[string]plan.Limit, len(doc.Plans))}
	for _, p := range doc.Plans {
		index.limits[p.Customer] = plans[p.Plan]
	}
	return index
}

// run attempts the request on upstreams until it has a final outcome.
func (e *Entry) run(ctx context.Context, c *call) (*wire.Response, error) {
	c.service.budget.Request()
	refusals, retries := 0, 0
	for {
		u, err := e.acquire(ctx, c)
		if err != nil {
			return nil, err
		}
		resp, err := e.attemptHedged(ctx, c, u)
		if err == nil {
			return resp, nil
		}
		pause := time.Duration(0)
		switch {
		case !retryable(c, err) || ctx.Err() != nil:
			return nil, err
		case errkind.Of(err) == errkind.ConfigStale:
			if !e.awaitGeneration(ctx, c.req.ConfigGen) {
				return nil, err
			}
			if err := e.applyPlan(c); err != nil {
				return nil, err
			}
		case refusedByGate(err):
			// The upstream is full or leaving; the attempt has cost it nothing.
			if refusals++; refusals >= maxRefusals {
				return nil, err
			}
		default:
			if retries++; retries >= maxAttempts || !c.service.budget.Take() {
				return nil, err
			}
			pause = route.Backoff(retries-1, rand.New(rand.NewPCG(rand.Uint64(), 0)))
			if time.Until(c.deadline) <= pause {
				return nil, err
			}
		}
		e.metrics.Retry(err)
		sleep(ctx, pause)
	}
}

// retryable reports whether another attempt is allowed: after proof that the
// request was not run, or for an idempotent request.
func retryable(c *call, err error) bool {
	switch kind := errkind.Of(err); kind {
	case errkind.NoUpstream, errkind.SlotsFull, errkind.Draining, errkind.WrongIncarnation, errkind.Tombstoned, errkind.NotReady, errkind.ConfigStale:
		return true
	case errkind.OutcomeUnknown, errkind.UpstreamFailed:
		return c.req.Idempotent
	}
	return false
}

// awaitGeneration waits until a configuration newer than generation is in force
// here. An agent that knows one has refused a request of this entry.
func (e *Entry) awaitGeneration(ctx context.Context, generation uint64) bool {
	for end := time.Now().Add(configWait); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, configWait/50) {
		if e.config().Generation > generation {
			return true
		}
	}
	return false
}

func refusedByGate(err error) bool {
	k := errkind.Of(err)
	return k == errkind.SlotsFull || k == errkind.Draining
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// acquire chooses an upstream with a free slot and counts a request on it. When
// all slots are used it waits in the service's queue.
func (e *Entry) acquire(ctx context.Context, c *call) (wire.Upstream, error) {
	q := c.service.queue
	woken := c.waiter != nil
	for {
		if woken || q.Len() == 0 {
			u, remaining, v := e.pick(c)
			switch v {
			case route.Picked:
				if remaining > 0 && q.Len() > 0 {
					q.Wake(1)
				}
				return u, nil
			case route.None:
				return u, errkind.New(errkind.NoUpstream, "no upstream of service %q can take the request", c.service.name)
			}
		}
		if c.waiter == nil {
			// Half of the time is left to run the request after the wait.
			c.waiter = q.Waiter(c.limit.Priority, time.Until(c.deadline)/2)
		}
		start := time.Now()
		err := q.Wait(ctx, c.waiter)
		e.requests.metrics.QueueWait.Observe(time.Since(start).Seconds())
		if err != nil {
			return wire.Upstream{}, err
		}
		if err := e.applyPlan(c); err != nil {
			q.Wake(1)
			return wire.Upstream{}, err
		}
		woken = true
	}
}

// pick prefers upstreams on which the request has not failed and that are not
// ejected, then ejected ones, and takes one on which it failed only when there is no other.
func (e *Entry) pick(c *call) (wire.Upstream, int, route.Verdict) {
	out := c.service.outliers
	u, n, v := e.table.Pick(c.service.name, func(u *wire.Upstream) bool { return c.excluded[u.VM] || out.Ejected(route.KeyOf(u)) })
	if v == route.None {
		u, n, v = e.table.Pick(c.service.name, func(u *wire.Upstream) bool { return c.excluded[u.VM] })
	}
	if v == route.None && c.excluded != nil {
		u, n, v = e.table.Pick(c.service.name, func(*wire.Upstream) bool { return false })
	}
	return u, n, v
}

// finish ends an attempt: it frees the slot, notes the upstream's health and lets
// a waiting request proceed.
func (e *Entry) finish(c *call, u *wire.Upstream, resp *wire.Response, err error) {
	free := -1
	if resp != nil {
		free = int(resp.FreeSlots)
	}
	e.table.Done(u, free)
	c.service.queue.Wake(1)
	key := route.KeyOf(u)
	switch errkind.Of(err) {
	case errkind.None:
		if resp.Status < http.StatusInternalServerError {
			c.service.outliers.Success(key)
			return
		}
	case errkind.Draining:
		e.table.SetDraining(key, true)
		return
	case errkind.OutcomeUnknown, errkind.UpstreamFailed, errkind.NoUpstream, errkind.NotReady, errkind.WrongIncarnation:
	default:
		return
	}
	if c.service.outliers.Failure(key, len(e.table.Service(c.service.name))) {
		e.requests.metrics.Ejections.Inc()
	}
}

// agentNotice handles what an agent tells every connected entry by itself.
func (e *Entry) agentNotice(m wire.Message) {
	drain, ok := m.(*wire.Drain)
	if !ok {
		return
	}
	for _, u := range e.table.Upstreams() {
		if u.VM == drain.VM {
			e.table.SetDraining(route.KeyOf(&u), !drain.Undo)
		}
	}
}
