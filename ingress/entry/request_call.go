package entry

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/wire"
)

// planIndex maps customers to their limits for one configuration generation.
type planIndex struct {
	generation uint64
	limits     map[string]plan.Limit
}

// call is the state of a caller's request across its attempts.
type call struct {
	service   *service
	req       wire.Request
	limit     plan.Limit
	startedAt time.Time
	// deadline is the time by which the caller expects a response.
	deadline time.Time
	// excluded is the set of VMs on which an attempt failed.
	excluded map[string]bool
	// mayHaveRun is the error of the last attempt that may have run the request.
	mayHaveRun error
	waiter     *route.Waiter
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
		service: s, startedAt: now, deadline: now.Add(timeout),
		req: wire.Request{
			Customer: r.Header.Get(HeaderCustomer), Method: r.Method, Path: requestPath(r),
			Name: r.Header.Get(HeaderRequestName), ContentType: r.Header.Get("Content-Type"),
			Idempotent: idempotent(r), Body: body, Checksum: xxhash.Sum64(body),
		},
	}, nil
}

// idempotent reports whether the request may run more than once. The caller's header takes
// precedence over the method's safety.
func idempotent(r *http.Request) bool {
	if h := r.Header.Get(HeaderIdempotent); h != "" {
		return h == "true"
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

// requestPath returns the path below the service and the query, escaped exactly as by the
// caller.
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

// readRequestBody reads the whole body before the deadline, so that a slow sender does not
// hold resources any longer.
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
	// An expired read deadline would cancel the request while it runs.
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// limit applies the limits of the customer's plan and returns the function that releases
// the request's share of them.
func (e *Entry) limit(c *call) (release func(), err error) {
	if err := e.applyPlan(c); err != nil {
		return nil, err
	}
	if c.req.ConfigGen == 0 {
		return func() {}, nil
	}
	return e.requests.limiter.Acquire(c.req.Customer, c.limit)
}

// applyPlan sets the limits and the generation of the configuration in force on the call.
// For a customer without a plan the error kind is errkind.PermissionDenied.
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
