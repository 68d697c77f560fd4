package entry

import (
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/wire"
)

// Bounds of what an entry remembers about requests.
const (
	// outcomesKept is the number of outcomes kept for explanations.
	outcomesKept = 4096
	// maxServices and maxCustomers bound the values of metric labels.
	maxServices  = 64
	maxCustomers = 256
	labelOther   = "other"
	tailWindows  = 6
	tailWindow   = 10 * time.Second
	maxLatencyUS = int64(time.Minute / time.Microsecond)
)

// outcomes keeps recent outcomes of requests and the latency of each service.
// Names of services and customers are bounded. It is safe for concurrent use.
type outcomes struct {
	mu        sync.Mutex
	ring      []keptOutcome
	next      int
	services  map[string]*hdrhistogram.WindowedHistogram
	customers map[string]bool
	rotated   time.Time
}

type keptOutcome struct {
	wire.RequestOutcome
	at time.Time
}

func newOutcomes() *outcomes {
	return &outcomes{services: make(map[string]*hdrhistogram.WindowedHistogram), customers: make(map[string]bool), rotated: time.Now()}
}

// add records an outcome and returns the label values of its service and customer.
func (o *outcomes) add(out wire.RequestOutcome, knownService, knownCustomer bool, d time.Duration) (string, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.rotate(now)
	kept := keptOutcome{out, now}
	if len(o.ring) < outcomesKept {
		o.ring = append(o.ring, kept)
	} else {
		o.ring[o.next] = kept
	}
	o.next = (o.next + 1) % outcomesKept
	service, customer := labelOther, labelOther
	h, ok := o.services[out.Service]
	if !ok && knownService && len(o.services) < maxServices {
		h, ok = hdrhistogram.NewWindowed(tailWindows, 1, maxLatencyUS, 2), true
		o.services[out.Service] = h
	}
	if ok {
		service = out.Service
		if out.Kind == errkind.None {
			_ = h.Current.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
		}
	}
	if o.customers[out.Customer] || (knownCustomer && len(o.customers) < maxCustomers) {
		o.customers[out.Customer] = true
		customer = out.Customer
	}
	return service, customer
}

func (o *outcomes) rotate(now time.Time) {
	for i := 0; now.Sub(o.rotated) >= tailWindow && i < tailWindows; i++ {
		o.rotated = o.rotated.Add(tailWindow)
		for _, h := range o.services {
			h.Rotate()
		}
	}
	if now.Sub(o.rotated) >= tailWindow {
		o.rotated = now
	}
}

// named returns the recent outcomes of a request, the latest last.
func (o *outcomes) named(customer, name string) []wire.RequestOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []keptOutcome
	for _, k := range o.ring {
		if k.Name == name && (customer == "" || k.Customer == customer) {
			k.AgeMS = time.Since(k.at).Milliseconds()
			found = append(found, k)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].at.Before(found[j].at) })
	out := make([]wire.RequestOutcome, len(found))
	for i, k := range found {
		out[i] = k.RequestOutcome
	}
	return out
}

// tails returns the latency of each service over the last minute.
func (o *outcomes) tails() []wire.ServiceLatency {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(time.Now())
	var out []wire.ServiceLatency
	for name, w := range o.services {
		h := w.Merge()
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out = append(out, wire.ServiceLatency{Service: name, Requests: h.TotalCount(), P50MS: ms(50), P99MS: ms(99), P999MS: ms(99.9)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

const servicePrefix = "/v1/services/"

// observe bounds the headers, measures requests to services and counts errors of the API.
func (e *Entry) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		if n := headerBytes(r); n > maxHeaderBytes {
			writeError(sw, errkind.New(errkind.TooLarge, "headers of %d bytes, at most %d; nothing was done", n, maxHeaderBytes))
		} else {
			next.ServeHTTP(sw, r)
		}
		kind := errkind.None
		if name := sw.Header().Get(HeaderKind); name != "" {
			kind = errkind.Parse(name)
		}
		if rest, ok := strings.CutPrefix(r.URL.Path, servicePrefix); ok {
			service, _, _ := strings.Cut(rest, "/")
			e.observeRequest(r, service, kind, sw.status, time.Since(start))
		} else if kind != errkind.None && r.URL.Path != "/readyz" {
			e.metrics.APIErrors.WithLabelValues(kind.String()).Inc()
		}
	})
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// maxKeptName bounds a request name that is kept for explanations.
const maxKeptName = 128

func (e *Entry) observeRequest(r *http.Request, service string, kind errkind.Kind, status int, d time.Duration) {
	customer := r.Header.Get(HeaderCustomer)
	_, knownCustomer := e.config().LimitOf(customer)
	knownService := kind == errkind.None
	name := r.Header.Get(HeaderName)
	out := wire.RequestOutcome{Name: name[:min(len(name), maxKeptName)], Entry: e.cfg.ID, Service: service[:min(len(service), maxKeptName)],
		Customer: customer[:min(len(customer), maxKeptName)], Kind: kind, Status: status, DurationMS: d.Milliseconds()}
	s, c := e.outcomes.add(out, knownService, knownCustomer, d)
	e.metrics.Duration.WithLabelValues(s, c).Observe(d.Seconds())
	if kind == errkind.None {
		return
	}
	e.metrics.Errors.WithLabelValues(s, c).Inc()
	event := events.RequestRefused
	switch kind.Attributes().Execution {
	case errkind.ExecutionUnknown:
		event = events.RequestUnknown
	case errkind.ExecutionRun:
		event = events.RequestFailed
	}
	event.Log(e.cfg.Log).Str("service", s).Str("customer", c).Str("kind", kind.String()).Dur("duration", d).Send()
}
