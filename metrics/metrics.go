// Package metrics defines the Prometheus metrics of entries and agents.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/errkind"
)

// Entry holds the metrics of an entry.
type Entry struct {
	Registry *prometheus.Registry
	// Requests counts final answers by service and outcome.
	Requests *prometheus.CounterVec
	// Refusals counts refused work by error kind.
	Refusals *prometheus.CounterVec
	// Retries counts repeated attempts by the error kind of the attempt before.
	Retries *prometheus.CounterVec
	// Evictions counts evicted tasks by cause.
	Evictions *prometheus.CounterVec
}

// NewEntry returns registered metrics with a zero value for every error kind.
func NewEntry() *Entry {
	m := &Entry{
		Registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_requests_total", Help: "Final answers to requests.",
		}, []string{"service", "outcome"}),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_refusals_total", Help: "Refused work by error kind.",
		}, []string{"kind"}),
		Retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_retries_total", Help: "Repeated attempts by the error kind of the previous attempt.",
		}, []string{"kind"}),
		Evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_evictions_total", Help: "Evicted tasks by cause.",
		}, []string{"cause"}),
	}
	m.Registry.MustRegister(m.Requests, m.Refusals, m.Retries, m.Evictions)
	for _, k := range errkind.All() {
		m.Refusals.WithLabelValues(k.String())
		m.Retries.WithLabelValues(k.String())
	}
	return m
}

// Refuse counts err as a refusal when it proves that the work did not run.
func (m *Entry) Refuse(err error) {
	k := errkind.Of(err)
	if k != errkind.None && k.Answer().Execution == errkind.ExecutionNotRun {
		m.Refusals.WithLabelValues(k.String()).Inc()
	}
}

// Retry counts an attempt that follows a failure with err.
func (m *Entry) Retry(err error) { m.Retries.WithLabelValues(errkind.Of(err).String()).Inc() }
