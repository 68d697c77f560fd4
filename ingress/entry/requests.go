package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// Limits and timing of requests.
const (
	maxRequestBody  = 1 << 20
	defaultDeadline = 2 * time.Second
	maxDeadline     = 30 * time.Second
	maxAttempts     = 4
	// maxRefusals bounds the attempts that were refused by a full or draining upstream.
	maxRefusals = 32
	// maxQueued bounds the queued requests of one service.
	maxQueued = 256
	// configWaitTimeout is how long a request waits for a configuration that an agent already
	// has; this entry reads it at its next poll.
	configWaitTimeout = time.Second
	// responseWriteTimeout bounds how long a caller may take to read its response.
	responseWriteTimeout = 10 * time.Second
)

// Headers of the request API.
const (
	HeaderCustomer    = "X-Customer"
	HeaderDeadline    = "X-Deadline"
	HeaderIdempotent  = "X-Idempotent"
	HeaderRequestName = "X-Request-Name"
	HeaderKind        = "X-Error-Kind"
	HeaderExecution   = "X-Execution"
)

// labelUnknownService is the metric label of all services without an upstream, so that
// callers cannot create label values.
const labelUnknownService = "unknown"

// requests is the state of an entry's request path.
type requests struct {
	limiter route.Limiter
	metrics *metrics.Requests
	plans   atomic.Pointer[planIndex]

	mu       sync.Mutex
	services map[string]*service
}

// service is the state that all requests of one service share.
type service struct {
	name     string
	queue    *route.Queue
	budget   *route.Budget
	outliers *route.Outliers
	hedge    route.HedgeDelay
}

func newRequests(m *metrics.Entry) *requests {
	return &requests{metrics: metrics.NewRequests(m.Registry), services: make(map[string]*service)}
}

// service returns the state of a service that has or had an upstream.
func (e *Entry) service(name string) (*service, error) {
	e.requests.mu.Lock()
	defer e.requests.mu.Unlock()
	s, ok := e.requests.services[name]
	if ok {
		return s, nil
	}
	if len(e.table.ForService(name)) == 0 {
		return nil, errkind.New(errkind.NoUpstream, "no upstream of service %q", name)
	}
	s = &service{name: name, queue: route.NewQueue(maxQueued), budget: route.NewBudget(route.DefaultBudget()),
		outliers: route.NewOutliers(route.DefaultOutliers())}
	e.requests.services[name] = s
	return s, nil
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	if err := e.beginRequest(); err != nil {
		e.writeRequestError(w, labelUnknownService, false, err)
		return
	}
	defer e.active.Done()
	c, err := e.newCall(w, r)
	if err != nil {
		e.writeRequestError(w, labelUnknownService, false, err)
		return
	}
	release, err := e.limit(c)
	if err != nil {
		e.writeRequestError(w, c.service.name, c.req.Idempotent, err)
		return
	}
	e.cfg.Recorder.Record(history.Event{Kind: history.RequestAdmitted, Request: c.req.Name, Process: e.cfg.ID, Generation: c.req.ConfigGen})
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	resp, err := e.run(ctx, c)
	cancel()
	if err != nil && c.mayHaveRun != nil {
		// A later refusal does not prove that an earlier attempt was not run.
		err = c.mayHaveRun
	}
	release()
	if err != nil {
		e.writeRequestError(w, c.service.name, c.req.Idempotent, err)
		return
	}
	e.metrics.Requests.WithLabelValues(c.service.name, "answer").Inc()
	if resp.ContentType != "" {
		w.Header().Set("Content-Type", resp.ContentType)
	}
	e.writeResponse(w, int(resp.Status), resp.Body, r.Method == http.MethodHead)
}

// writeResponse flushes the whole response to the connection before it returns, so that a
// graceful shutdown, which waits for the request, cannot truncate the response.
func (e *Entry) writeResponse(w http.ResponseWriter, status int, body []byte, head bool) {
	if !head {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if e.isShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{})
}

// writeRequestError writes the error response of a service request.
func (e *Entry) writeRequestError(w http.ResponseWriter, service string, idempotent bool, err error) {
	kind := errkind.Of(err)
	a := kind.Attributes()
	e.metrics.Requests.WithLabelValues(service, a.Execution.String()).Inc()
	e.metrics.CountRefusal(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderKind, a.Name)
	h.Set(HeaderExecution, a.Execution.String())
	if a.Retryable || idempotent && a.Execution == errkind.ExecutionUnknown {
		h.Set("Retry-After", "1")
	}
	body, _ := json.Marshal(ErrorBody{Kind: a.Name, Execution: a.Execution.String(), Message: err.Error()})
	e.writeResponse(w, a.HTTPStatus, append(body, '\n'), false)
}

func (e *Entry) beginRequest() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return errkind.New(errkind.Draining, "entry %s is shutting down", e.cfg.ID)
	}
	if err := e.follower.Admit(); err != nil {
		return err
	}
	e.active.Add(1)
	return nil
}

func (e *Entry) isShuttingDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shuttingDown
}

// handleAgentNotification handles the messages that an agent sends unasked to every connected
// entry.
func (e *Entry) handleAgentNotification(m wire.Message) {
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
