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

// Limits of the request history of an entry.
const (
	// maxOutcomes is the number of outcomes that are retained for explanations.
	maxOutcomes = 4096
	// maxServices and maxCustomers bound the cardinality of metric labels.
	maxServices    = 64
	maxCustomers   = 256
	labelOther     = "other"
	latencyWindows = 6
	latencyWindow  = 10 * time.Second
	maxLatencyUS   = int64(time.Minute / time.Microsecond)
)

// outcomes stores recent request outcomes and the latency of each service, for a bounded
// number of services and customers. It is safe for concurrent use.
type outcomes struct {
	mu           sync.Mutex
	ring         []recordedOutcome
	next         int
	services     map[string]*hdrhistogram.WindowedHistogram
	customers    map[string]bool
	lastRotation time.Time
}

type recordedOutcome struct {
	wire.RequestOutcome
	at time.Time
}

func newOutcomes() *outcomes {
	return &outcomes{services: make(map[string]*hdrhistogram.WindowedHistogram), customers: make(map[string]bool), lastRotation: time.Now()}
}

// add records an outcome and returns the label values of its service and customer.
func (o *outcomes) add(out wire.RequestOutcome, knownService, knownCustomer bool, d time.Duration) (string, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.rotate(now)
	recorded := recordedOutcome{out, now}
	if len(o.ring) < maxOutcomes {
		o.ring = append(o.ring, recorded)
	} else {
		o.ring[o.next] = recorded
	}
	o.next = (o.next + 1) % maxOutcomes
	service, customer := labelOther, labelOther
	h, ok := o.services[out.Service]
	if !ok && knownService && len(o.services) < maxServices {
		h, ok = hdrhistogram.NewWindowed(latencyWindows, 1, maxLatencyUS, 2), true
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
	for i := 0; now.Sub(o.lastRotation) >= latencyWindow && i < latencyWindows; i++ {
		o.lastRotation = o.lastRotation.Add(latencyWindow)
		for _, h := range o.services {
			h.Rotate()
		}
	}
	if now.Sub(o.lastRotation) >= latencyWindow {
		o.lastRotation = now
	}
}

// find returns the recent outcomes of a request, oldest first.
func (o *outcomes) find(customer, name string) []wire.RequestOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []recordedOutcome
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

// latencies returns the latency quantiles of each service over the last minute.
func (o *outcomes) latencies() []wire.ServiceLatency {
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

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

const servicePrefix = "/v1/services/"

// observe is middleware that limits the headers, measures service requests and counts API errors.
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

// maxRecordedName bounds the length of request, service and customer names in outcomes.
const maxRecordedName = 128

func (e *Entry) observeRequest(r *http.Request, service string, kind errkind.Kind, status int, d time.Duration) {
	customer := r.Header.Get(HeaderCustomer)
	_, knownCustomer := e.config().LimitOf(customer)
	knownService := kind == errkind.None
	name := r.Header.Get(HeaderRequestName)
	out := wire.RequestOutcome{Name: name[:min(len(name), maxRecordedName)], Entry: e.cfg.ID, Service: service[:min(len(service), maxRecordedName)],
		Customer: customer[:min(len(customer), maxRecordedName)], Kind: kind, Status: status, DurationMS: d.Milliseconds()}
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
