package metrics

import "github.com/prometheus/client_golang/prometheus"

// Intake holds the metrics of the memory that requests take before they are stored.
type Intake struct {
	// Refusals counts refused bodies and closed connections by reason.
	Refusals *prometheus.CounterVec
}

// NewIntake returns metrics registered with reg, with a counter of zero for each reason. use returns the open connections and the
// bytes of their bodies and headers.
func NewIntake(reg prometheus.Registerer, reasons []string, use func() (connections int, bytes int64)) *Intake {
	m := &Intake{Refusals: counter("chicory_intake_refusals_total", "Bodies refused and connections closed for lack of memory or descriptors, by reason.", "reason")}
	for _, reason := range reasons {
		m.Refusals.WithLabelValues(reason)
	}
	connections := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_intake_connections", Help: "Open connections of requesters."},
		func() float64 { n, _ := use(); return float64(n) })
	bytes := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_intake_bytes", Help: "Memory reserved for bodies and large headers of requests, in bytes."},
		func() float64 { _, n := use(); return float64(n) })
	reg.MustRegister(m.Refusals, connections, bytes)
	return m
}

// Observe counts a refused body or a closed connection.
func (m *Intake) Observe(reason string) { m.Refusals.WithLabelValues(reason).Inc() }
