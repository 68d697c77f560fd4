package entry

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/identity"
)

// Limits of the HTTP API.
const (
	// maxHeaderBytes is the limit of a request's headers. Larger ones get an error response
	// and are counted in the metrics.
	maxHeaderBytes = 16 << 10
	// maxHeaderRead is the size at which net/http stops reading headers.
	maxHeaderRead = 256 << 10
	// maxAPIBody is the largest request body of an operator's call, in bytes.
	maxAPIBody    = 4 << 20
	headerTimeout = 5 * time.Second
	// readTimeout bounds the reading of a request with its body. There is no write timeout
	// here, as requests have their own deadlines.
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// newServer returns the server for callers and operators.
func (e *Entry) newServer() *http.Server {
	return &http.Server{Handler: e.observe(e.handler()), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderRead}
}

// limitConns limits the connections of a plain listener. An identity.Listener has its own
// limit, and net/http must see its TLS connections unwrapped.
func limitConns(l net.Listener) net.Listener {
	if _, ok := l.(*identity.Listener); ok {
		return l
	}
	return &boundedListener{Listener: l}
}

// handler routes the HTTP API.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/services/{service}/{path...}", e.authorize(requestRoles, e.serveRequest))
	mux.HandleFunc("POST /v1/tasks", e.authorize(submitRoles, e.submitTasks))
	mux.HandleFunc("GET /v1/tasks", e.authorize(ownDataRoles, e.listTasks))
	mux.HandleFunc("GET /v1/tasks/{id}/explain", e.authorize(ownDataRoles, e.explainTask))
	mux.HandleFunc("POST /v1/tasks/cancel", e.authorize(submitRoles, e.cancelTasks))
	mux.HandleFunc("GET /v1/requests/{name}/explain", e.authorize(ownDataRoles, e.explainRequest))
	mux.HandleFunc("GET /v1/config", e.authorize(readRoles, e.getConfig))
	mux.HandleFunc("PUT /v1/config", e.authorize(administerRoles, e.putConfig))
	mux.HandleFunc("GET /v1/config/status", e.authorize(readRoles, e.configStatus))
	mux.HandleFunc("GET /v1/config/history", e.authorize(readRoles, e.getConfigHistory))
	mux.HandleFunc("GET /v1/upstreams", e.authorize(readRoles, e.listUpstreams))
	mux.HandleFunc("GET /v1/upstreams/{vm}", e.authorize(readRoles, e.getUpstream))
	mux.HandleFunc("POST /v1/upstreams/{vm}/drain", e.authorize(operateRoles, e.drainUpstream))
	mux.HandleFunc("GET /v1/zones", e.authorize(readRoles, e.listZones))
	mux.HandleFunc("POST /v1/zones/{zone}/evacuate", e.authorize(operateRoles, e.changeZone(true)))
	mux.HandleFunc("POST /v1/zones/{zone}/restore", e.authorize(operateRoles, e.changeZone(false)))
	mux.HandleFunc("GET /v1/status", e.authorize(readRoles, e.getStatus))
	mux.HandleFunc("GET /v1/events", e.authorize(readRoles, e.getEvents))
	mux.HandleFunc("GET /livez", livez)
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.Handle("GET /metrics", e.authorize(readRoles, e.serveMetrics))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errkind.New(errkind.NotFound, "no operation %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// OperatorHandler serves the operators' listener: health, metrics, profiles and the status page.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", livez)
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.Handle("GET /metrics", e.authorize(readRoles, e.serveMetrics))
	mux.HandleFunc("GET /{$}", e.authorize(readRoles, e.statusPage))
	RegisterPprof(mux, func(h http.HandlerFunc) http.HandlerFunc { return e.authorize(operateRoles, h) })
	return mux
}

// RegisterPprof adds the handlers of net/http/pprof, each wrapped by guard.
func RegisterPprof(mux *http.ServeMux, guard func(http.HandlerFunc) http.HandlerFunc) {
	mux.HandleFunc("/debug/pprof/", guard(pprof.Index))
	mux.HandleFunc("/debug/pprof/cmdline", guard(pprof.Cmdline))
	mux.HandleFunc("/debug/pprof/profile", guard(pprof.Profile))
	mux.HandleFunc("/debug/pprof/symbol", guard(pprof.Symbol))
	mux.HandleFunc("/debug/pprof/trace", guard(pprof.Trace))
}

func livez(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (e *Entry) serveMetrics(w http.ResponseWriter, r *http.Request) {
	e.refreshGauges(r.Context())
	promhttp.HandlerFor(e.metrics.Registry, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}

// readyz fails from the beginning of a shutdown, while the process is not ready, and while
// no configuration is in force.
func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ready := e.ready
	e.mu.Unlock()
	switch {
	case !ready:
		writeError(w, errkind.New(errkind.NotReady, "entry %s is starting or shutting down", e.cfg.ID))
	case e.follower.Admit() != nil:
		writeError(w, errkind.New(errkind.NotReady, "the configuration in force cannot be confirmed"))
	case e.config().Generation == 0:
		writeError(w, errkind.New(errkind.NotReady, "no configuration is in force; an operator must apply plans and limits"))
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
	Message   string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	a := kind.Attributes()
	w.Header().Set(HeaderKind, a.Name)
	w.Header().Set(HeaderExecution, a.Execution.String())
	if a.Retryable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, a.HTTPStatus, ErrorBody{Kind: a.Name, Execution: a.Execution.String(), Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// bodyError distinguishes an oversized body from one that could not be read or decoded.
func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.New(errkind.TooLarge, "the body exceeds %d bytes", large.Limit)
	}
	return errkind.Wrap(errkind.InvalidArgument, err, "request body")
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAPIBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return bodyError(err)
	}
	return nil
}
