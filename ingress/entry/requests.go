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
	if len(e.table.ForService(name)) == 0 {
		return nil, errkind.New(errkind.NoUpstream, "no upstream of service %q", name)
	}
	s = &service{name: name, queue: route.NewQueue(queueLimit), budget: route.NewBudget(route.DefaultBudget()),
		outliers: route.NewOutliers(route.DefaultOutliers())}
	e.requests.services[name] = s
	return s, nil
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
