package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Deployment holds the metrics of the processes of a deployment on the platform.
type Deployment struct {
	Registry *prometheus.Registry
	// Answers counts answers to requesters by method and status.
	Answers *prometheus.CounterVec
	// Duration is the time to the answer by method.
	Duration *prometheus.HistogramVec
	// Refusals counts refused requests by error kind.
	Refusals *prometheus.CounterVec
	// Orders counts the answers of executors by order, outcome and reason.
	Orders *prometheus.CounterVec
	// Owning is 1 while this process owns the work.
	Owning prometheus.GaugeFunc
	// ManifestVersion is the version in force.
	ManifestVersion prometheus.GaugeFunc
	// OwnerSilence is how long the owner was not heard, in seconds.
	OwnerSilence prometheus.GaugeFunc
}

// DeploymentSources are read when the metrics are fetched.
type DeploymentSources struct {
	Owning          func() bool
	ManifestVersion func() int64
	OwnerSilence    func() time.Duration
	// Owned returns the totals of this process's periods of ownership.
	Owned func() dispatch.Counters
}

// NewDeployment returns registered metrics.
func NewDeployment(s DeploymentSources) *Deployment {
	m := &Deployment{
		Registry: prometheus.NewRegistry(),
		Answers:  counter("chicory_requester_answers_total", "Answers to requesters.", "method", "status"),
		Refusals: counter("chicory_refusals_total", "Refused work by error kind.", "kind"),
		Orders:   counter("chicory_executor_orders_total", "Answers of executors to orders.", "order", "outcome", "reason"),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chicory_requester_duration_seconds", Help: "Time from the arrival of a request to its answer.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2, 5},
		}, []string{"method"}),
		Owning: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_owning", Help: "1 while this process owns the work."},
			func() float64 {
				if s.Owning() {
					return 1
				}
				return 0
			}),
		ManifestVersion: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_manifest_version", Help: "Version of the manifest in force."},
			func() float64 { return float64(s.ManifestVersion()) }),
		OwnerSilence: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_owner_silence_seconds", Help: "Time since the owner of the work was heard."},
			func() float64 { return s.OwnerSilence().Seconds() }),
	}
	for _, c := range []struct {
		name, help string
		value      func(dispatch.Counters) uint64
	}{
		{"chicory_owner_starts_total", "Starts ordered by this process as the owner.", func(c dispatch.Counters) uint64 { return c.Starts }},
		{"chicory_owner_ends_total", "Ends of runs recorded.", func(c dispatch.Counters) uint64 { return c.Ends }},
		{"chicory_owner_failed_runs_total", "Runs that ended as failed.", func(c dispatch.Counters) uint64 { return c.Failures }},
		{"chicory_owner_lost_runs_total", "Runs that were lost with their executor or its lease.", func(c dispatch.Counters) uint64 { return c.Lost }},
		{"chicory_owner_refused_starts_total", "Starts that were refused.", func(c dispatch.Counters) uint64 { return c.Rejected }},
	} {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help},
			func() float64 { return float64(c.value(s.Owned())) }))
	}
	m.Registry.MustRegister(m.Answers, m.Refusals, m.Orders, m.Duration, m.Owning, m.ManifestVersion, m.OwnerSilence)
	return m
}

// ObserveAnswer takes in an answer to a requester.
func (m *Deployment) ObserveAnswer(method string, status int, took time.Duration, err error) {
	m.Answers.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.Duration.WithLabelValues(method).Observe(took.Seconds())
	if err != nil {
		m.Refusals.WithLabelValues(errkind.Of(err).String()).Inc()
	}
}

// ObserveOrder takes in an answer of an executor.
func (m *Deployment) ObserveOrder(order string, a executor.Answer) {
	m.Orders.WithLabelValues(order, a.Outcome.String(), a.Reason.String()).Inc()
}
