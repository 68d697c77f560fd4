// Package metrics defines the Prometheus metrics of entries and agents.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Entry holds the metrics of an entry.
type Entry struct {
	Registry *prometheus.Registry
	// Requests counts final responses by service and outcome.
	Requests *prometheus.CounterVec
	// Duration is the time from a request's arrival to its final response, by service and customer.
	Duration *prometheus.HistogramVec
	// Errors counts requests without a response from the upstream, by service and customer.
	Errors *prometheus.CounterVec
	// Refusals counts rejected work by error kind.
	Refusals *prometheus.CounterVec
	// Retries counts retries by the error kind of the previous attempt.
	Retries *prometheus.CounterVec
	// Evictions counts evicted tasks by cause.
	Evictions *prometheus.CounterVec
	// APIErrors counts API operations that were rejected or failed, by error kind.
	APIErrors *prometheus.CounterVec
	// Capacity, Reserved and Used are sums over the VMs of the entry's shards.
	Capacity, Reserved, Used *prometheus.GaugeVec
	// Tasks counts the tasks of the entry's shards by state.
	Tasks *prometheus.GaugeVec
	// ConfigGeneration is the configuration generation in force.
	ConfigGeneration prometheus.Gauge
	// EvacuatedZones is the number of availability zones under evacuation.
	EvacuatedZones prometheus.Gauge
	// ConfigAge is the time since the configuration was last confirmed by the store, in seconds.
	ConfigAge prometheus.GaugeFunc
	// LeaseAge is the time since the last successful renewal of a shard lease, in seconds.
	LeaseAge prometheus.GaugeFunc

	Connections *Connections
	Store       *Store

	configReadAt, leaseRenewedAt timestamp
}

// NewEntry returns registered metrics, with counters at zero for every error kind.
func NewEntry() *Entry {
	m := &Entry{
		Registry:         prometheus.NewRegistry(),
		Requests:         counter("chicory_requests_total", "Final responses to requests.", "service", "outcome"),
		Errors:           counter("chicory_request_errors_total", "Requests without a response from the upstream.", "service", "customer"),
		Refusals:         counter("chicory_refusals_total", "Rejected work by error kind.", "kind"),
		Retries:          counter("chicory_retries_total", "Retries by the error kind of the previous attempt.", "kind"),
		Evictions:        counter("chicory_evictions_total", "Evicted tasks by cause.", "cause"),
		APIErrors:        counter("chicory_api_errors_total", "API operations that were rejected or failed, by error kind.", "kind"),
		Capacity:         gauge("chicory_vm_capacity", "Capacity of the VMs of this entry's shards: thousandths of a processor, MiB, devices.", "resource"),
		Reserved:         gauge("chicory_vm_reserved", "Reservations on the VMs of this entry's shards, in the unit of chicory_vm_capacity.", "resource"),
		Used:             gauge("chicory_vm_used", "Measured use on the VMs of this entry's shards, in the unit of chicory_vm_capacity.", "resource"),
		Tasks:            gauge("chicory_tasks", "Tasks of this entry's shards by state.", "state"),
		EvacuatedZones:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "chicory_evacuated_zones", Help: "Number of availability zones under evacuation."}),
		ConfigGeneration: prometheus.NewGauge(prometheus.GaugeOpts{Name: "chicory_config_generation", Help: "Configuration generation in force."}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chicory_request_duration_seconds", Help: "Time from the arrival of a request to its final response.",
			Buckets: []float64{.002, .005, .01, .02, .03, .05, .075, .1, .15, .25, .5, 1, 2, 5, 30},
		}, []string{"service", "customer"}),
		Connections: newConnections(), Store: newStore(),
	}
	m.ConfigAge = m.configReadAt.gauge("chicory_config_age_seconds", "Time since the table service last confirmed the configuration; -1 before the first.")
	m.LeaseAge = m.leaseRenewedAt.gauge("chicory_lease_age_seconds", "Time since the last successful write of a shard lease; -1 before the first.")
	m.Registry.MustRegister(m.Requests, m.Duration, m.Errors, m.Refusals, m.Retries, m.Evictions, m.APIErrors, m.Capacity, m.Reserved, m.Used,
		m.Tasks, m.ConfigGeneration, m.EvacuatedZones, m.ConfigAge, m.LeaseAge, m.Connections.Refused, m.Store.Latency, m.Store.Errors)
	for _, k := range errkind.All() {
		m.Refusals.WithLabelValues(k.String())
		m.Retries.WithLabelValues(k.String())
		m.APIErrors.WithLabelValues(k.String())
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

// CountRefusal counts err as rejected work if its kind guarantees that the work did not run.
func (m *Entry) CountRefusal(err error) {
	k := errkind.Of(err)
	if k != errkind.None && k.Attributes().Execution == errkind.ExecutionNotRun {
		m.Refusals.WithLabelValues(k.String()).Inc()
	}
}

// CountRetry counts a retry after an attempt that failed with err.
func (m *Entry) CountRetry(err error) { m.Retries.WithLabelValues(errkind.Of(err).String()).Inc() }

// timestamp is a point in time whose age is exported as a gauge.
type timestamp struct {
	mu sync.Mutex
	at time.Time
}

func (s *timestamp) set() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = time.Now()
}

// age returns the time since the timestamp was set, or -1 s if it never was.
func (s *timestamp) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at.IsZero() {
		return -time.Second
	}
	return time.Since(s.at)
}

func (s *timestamp) gauge(name, help string) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return s.age().Seconds() })
}

// Connections counts refused connections by listener and reason.
type Connections struct{ Refused *prometheus.CounterVec }

func newConnections() *Connections {
	return &Connections{counter("chicory_connections_refused_total", "Refused connections by listener and reason.", "listener", "reason")}
}

// Agent holds the metrics of an agent.
type Agent struct {
	Registry    *prometheus.Registry
	Connections *Connections
}

// AgentState holds the values of an agent's gauges.
type AgentState struct {
	// CPU is in thousandths of a processor, Memory in MiB.
	CapacityCPU, CapacityMemory, ReservedCPU, ReservedMemory int64
	FreeSlots, Slots                                         int
	Generation                                               uint64
	Draining                                                 bool
}

// NewAgent returns registered metrics that read state when they are gathered.
func NewAgent(state func() AgentState) *Agent {
	m := &Agent{Registry: prometheus.NewRegistry(), Connections: newConnections()}
	g := func(name, help string, f func(AgentState) float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return f(state()) }))
	}
	g("chicory_agent_capacity_cpu_milli", "Processors of the VM, in thousandths.", func(s AgentState) float64 { return float64(s.CapacityCPU) })
	g("chicory_agent_capacity_memory_bytes", "Memory of the VM.", func(s AgentState) float64 { return float64(s.CapacityMemory << 20) })
	g("chicory_agent_reserved_cpu_milli", "Reserved processors, in thousandths.", func(s AgentState) float64 { return float64(s.ReservedCPU) })
	g("chicory_agent_reserved_memory_bytes", "Reserved memory.", func(s AgentState) float64 { return float64(s.ReservedMemory << 20) })
	g("chicory_agent_slots", "Requests that the upstream runs at once.", func(s AgentState) float64 { return float64(s.Slots) })
	g("chicory_agent_free_slots", "Unused slots of the upstream.", func(s AgentState) float64 { return float64(s.FreeSlots) })
	g("chicory_agent_config_generation", "Lowest configuration generation that the agent accepts.", func(s AgentState) float64 { return float64(s.Generation) })
	g("chicory_agent_draining", "1 while the upstream is leaving.", func(s AgentState) float64 {
		if s.Draining {
			return 1
		}
		return 0
	})
	m.Registry.MustRegister(m.Connections.Refused)
	return m
}
