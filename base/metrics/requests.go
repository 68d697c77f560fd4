package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Requests holds the metrics of an entry's request path. Rejected requests and
// retries are counted in Entry.
type Requests struct {
	// Hedges counts hedged second attempts of slow idempotent requests.
	Hedges prometheus.Counter
	// Resolves counts requests whose execution was queried after a failure, by the result: not_run, run or unknown.
	Resolves *prometheus.CounterVec
	// SilentConns counts data connections replaced because a receipt was missing.
	SilentConns prometheus.Counter
	// Ejections counts upstreams that were ejected because they kept failing.
	Ejections prometheus.Counter
	// QueueWait is the time that requests wait for a slot, in seconds.
	QueueWait prometheus.Histogram
}

// NewRequests returns metrics registered with reg, with counters at zero for every label value.
func NewRequests(reg prometheus.Registerer) *Requests {
	m := &Requests{
		Hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_hedges_total", Help: "Hedged second attempts of slow idempotent requests."}),
		Resolves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_resolves_total", Help: "Requests whose execution was queried after a failure, by the result."}, []string{"execution"}),
		SilentConns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_silent_connections_total", Help: "Data connections replaced because a receipt was missing."}),
		Ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_ejections_total", Help: "Upstreams ejected because they kept failing."}),
		QueueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chicory_queue_wait_seconds", Help: "Time that requests waited for a slot.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}),
	}
	reg.MustRegister(m.Hedges, m.Resolves, m.SilentConns, m.Ejections, m.QueueWait)
	for _, e := range []errkind.Execution{errkind.ExecutionNotRun, errkind.ExecutionUnknown, errkind.ExecutionRun} {
		m.Resolves.WithLabelValues(e.String())
	}
	return m
}
