package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Deployment holds the metrics of a process that runs on the platform.
type Deployment struct {
	Registry *prometheus.Registry
	// Responses counts responses to requesters by method and status.
	Responses *prometheus.CounterVec
	// Duration is the time from a request's arrival to its response, by method.
	Duration *prometheus.HistogramVec
	// Refusals counts rejected requests by error kind.
	Refusals *prometheus.CounterVec
	// Declined counts the submissions that were refused on arrival by queue, size class and reason.
	Declined *prometheus.CounterVec
	// Forwards counts the writes through the owner by error kind.
	Forwards *prometheus.CounterVec
	// Connections counts the refused connections of the listeners that serve the platform.
	Connections *Connections
	// Orders counts the replies of executors by order, outcome and reason.
	Orders *prometheus.CounterVec
	// Owning is 1 while this process is the owner of the work.
	Owning prometheus.GaugeFunc
	// ManifestVersion is the manifest version in force.
	ManifestVersion prometheus.GaugeFunc
	// ManifestAge is the time since the manifest was last known to be the newest, in seconds.
	ManifestAge prometheus.GaugeFunc
	// EvacuatedZones is the number of availability zones under evacuation.
	EvacuatedZones prometheus.GaugeFunc
	// OwnerSilence is the time since the last message from the owner, in seconds.
	OwnerSilence prometheus.GaugeFunc
}

// DeploymentSources are the functions that are read when the metrics are gathered.
type DeploymentSources struct {
	Owning          func() bool
	ManifestVersion func() int64
	ManifestAge     func() time.Duration
	EvacuatedZones  func() int
	OwnerSilence    func() time.Duration
	// OwnerCounters returns the totals over all of this process's terms as owner.
	OwnerCounters func() dispatch.Counters
}

// NewDeployment returns registered metrics.
func NewDeployment(s DeploymentSources) *Deployment {
	m := &Deployment{
		Registry:    prometheus.NewRegistry(),
		Connections: newConnections(),
		Responses:   counter("chicory_requester_answers_total", "Responses to requesters.", "method", "status"),
		Refusals:    counter("chicory_refusals_total", "Rejected work by error kind.", "kind"),
		Declined:    counter("chicory_declined_submissions_total", "Submissions that were refused on arrival since they could not have been completed while useful.", "queue", "size", "reason"),
		Forwards:    counter("chicory_forwarded_writes_total", "Writes through the owner of the work, while the store did not serve this process or was late with its answer, by error kind. Those that the store's answer has overtaken are not counted.", "kind"),
		Orders:      counter("chicory_executor_orders_total", "Replies of executors to orders.", "order", "outcome", "reason"),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chicory_requester_duration_seconds", Help: "Time from the arrival of a request to its response.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2, 5},
		}, []string{"method"}),
		Owning: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_owning", Help: "1 while this process is the owner of the work."},
			func() float64 {
				if s.Owning() {
					return 1
				}
				return 0
			}),
		ManifestVersion: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_manifest_version", Help: "Version of the manifest in force."},
			func() float64 { return float64(s.ManifestVersion()) }),
		ManifestAge: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_manifest_age_seconds", Help: "Time since the manifest was last known to be the newest."},
			func() float64 { return s.ManifestAge().Seconds() }),
		EvacuatedZones: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_evacuated_zones", Help: "Number of availability zones under evacuation, as far as this process knows."},
			func() float64 { return float64(s.EvacuatedZones()) }),
		OwnerSilence: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_owner_silence_seconds", Help: "Time since the last message from the owner of the work."},
			func() float64 { return s.OwnerSilence().Seconds() }),
	}
	for _, c := range []struct {
		name, help string
		value      func(dispatch.Counters) uint64
	}{
		{"chicory_owner_starts_total", "Starts ordered by this process as owner.", func(c dispatch.Counters) uint64 { return c.Starts }},
		{"chicory_owner_ends_total", "Recorded ends of runs.", func(c dispatch.Counters) uint64 { return c.Ends }},
		{"chicory_owner_failed_runs_total", "Runs that failed.", func(c dispatch.Counters) uint64 { return c.Failures }},
		{"chicory_owner_lost_runs_total", "Runs lost because their executor ended or its lease expired.", func(c dispatch.Counters) uint64 { return c.Lost }},
		{"chicory_owner_withdrawn_starts_total", "Starts that were taken back because their zone was evacuated.", func(c dispatch.Counters) uint64 { return c.Withdrawn }},
		{"chicory_owner_zone_waits_total", "Steps that waited because only evacuated zones could run them.", func(c dispatch.Counters) uint64 { return c.ZoneWaits }},
		{"chicory_owner_given_up_tasks_total", "Tasks that were given up since they crash their executors.", func(c dispatch.Counters) uint64 { return c.GivenUp }},
		{"chicory_owner_resent_starts_total", "Copies of starts that were sent after the first.", func(c dispatch.Counters) uint64 { return c.Resent }},
		{"chicory_owner_refused_writes_total", "Changes that the store has refused for good, such as a record that is too large. The submission of a refused record has failed.", func(c dispatch.Counters) uint64 { return c.RefusedWrites }},
		{"chicory_owner_planned_moves_total", "Latency-critical tasks that the pool plan has moved to another executor.", func(c dispatch.Counters) uint64 { return c.PlannedMoves }},
		{"chicory_owner_relocated_runs_total", "Best-effort runs that have left an executor with a latency-critical task over its target.", func(c dispatch.Counters) uint64 { return c.Relocated }},
		{"chicory_owner_place_waits_total", "Waits of tasks and gangs for their preferred rack.", func(c dispatch.Counters) uint64 { return c.PlaceWaits }},
		{"chicory_owner_place_waits_local_total", "Waits for a rack that ended with a start there.", func(c dispatch.Counters) uint64 { return c.PlaceWaitsLocal }},
		{"chicory_owner_place_waits_remote_total", "Waits for a rack that ended with a start elsewhere.", func(c dispatch.Counters) uint64 { return c.PlaceWaitsRemote }},
		{"chicory_owner_remote_starts_total", "Runs that started away from their data, or in a gang that is split over racks.", func(c dispatch.Counters) uint64 { return c.RemoteStarts }},
		{"chicory_owner_late_passes_total", "Scheduling passes that began more than a second after the one before.", func(c dispatch.Counters) uint64 { return c.LatePasses }},
		{"chicory_owner_hand_overs_total", "Hand-overs of the ownership to a more capable entry.", func(c dispatch.Counters) uint64 { return c.HandOvers }},
		{"chicory_owner_refused_starts_total", "Starts that were rejected.", func(c dispatch.Counters) uint64 { return c.Rejected }},
	} {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help},
			func() float64 { return float64(c.value(s.OwnerCounters())) }))
	}
	m.Registry.MustRegister(m.Responses, m.Refusals, m.Declined, m.Forwards, m.Connections.Refused, m.Orders, m.Duration, m.Owning, m.ManifestVersion, m.ManifestAge, m.EvacuatedZones, m.OwnerSilence)
	return m
}

// ObserveResponse records a response to a requester.
func (m *Deployment) ObserveResponse(method string, status int, took time.Duration, err error) {
	m.Responses.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.Duration.WithLabelValues(method).Observe(took.Seconds())
	if err != nil {
		m.Refusals.WithLabelValues(errkind.Of(err).String()).Inc()
	}
}

// ObserveDeclined records a submission that was refused on arrival.
func (m *Deployment) ObserveDeclined(queue, size, reason string) {
	m.Declined.WithLabelValues(queue, size, reason).Inc()
}

// ObserveForward records the outcome of a write through the owner.
func (m *Deployment) ObserveForward(err error) {
	m.Forwards.WithLabelValues(errkind.Of(err).String()).Inc()
}

// ObserveOrder records an executor's reply to an order.
func (m *Deployment) ObserveOrder(order string, a executor.Answer) {
	m.Orders.WithLabelValues(order, a.Outcome.String(), a.Reason.String()).Inc()
}
