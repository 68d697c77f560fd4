package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Requests holds the metrics of an entry's request path. Refusals and retries by
// reason are counted in Entry.
type Requests struct {
	// Hedges counts second attempts of slow idempotent requests.
	Hedges prometheus.Counter
	// Resolves counts requests resolved after a failure, by what was learnt: not_run, run or unknown.
	Resolves *prometheus.CounterVec
	// SilentConns counts data connections replaced because a receipt was missing.
	SilentConns prometheus.Counter
	// Ejections counts upstreams taken out of use because they kept failing.
	Ejections prometheus.Counter
	// QueueWait is the time that requests waited for a slot, in seconds.
	QueueWait prometheus.Histogram
}

// NewRequests returns metrics registered with reg, with a zero value for every label.
func NewRequests(reg prometheus.Registerer) *Requests {
	m := &Requests{
		Hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_hedges_total", Help: "Second attempts of slow idempotent requests."}),
		Resolves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_resolves_total", Help: "Requests resolved after a failure, by what was learnt."}, []string{"execution"}),
		SilentConns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_silent_connections_total", Help: "Data connections replaced because a receipt was missing."}),
		Ejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_ejections_total", Help: "Upstreams taken out of use because they kept failing."}),
		QueueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chicory_queue_wait_seconds", Help: "Time that requests waited for a slot.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}),
	}
	reg.MustRegister(m.Hedges, m.Resolves, m.SilentConns, m.Ejections, m.QueueWait)
	for _, e := range []errkind.Execution{errkind.ExecutionNotRun, errkind.ExecutionUnknown, errkind.ExecutionRun} {
		m.Resolves.WithLabelValues(e.String())
	}
	return m
}
