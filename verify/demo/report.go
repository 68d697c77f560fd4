package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/chicorystand/chicorystand/verify/history"
)

// Report is the result of a demo.
type Report struct {
	Deployment string `json:"deployment"`
	Service    string `json:"service"`
	// Latencies are in milliseconds.
	P50       float64           `json:"p50_ms"`
	P99       float64           `json:"p99_ms"`
	P999      float64           `json:"p99_9_ms"`
	Requests  map[string]int    `json:"requests"`
	Tasks     TaskCounts        `json:"tasks"`
	Evictions float64           `json:"evictions"`
	Refusals  map[string]uint64 `json:"refusals"`
	Retries   map[string]uint64 `json:"retries"`
	// Violations lists every invariant with its number of violations.
	Violations []InvariantResult `json:"invariants"`
}

// TaskCounts counts the demo's tasks: Succeeded only finite ones, Accepted also watchers.
type TaskCounts struct {
	Accepted  int `json:"accepted"`
	Succeeded int `json:"succeeded"`
	Watchers  int `json:"watchers"`
}

// InvariantResult is the number of violations of one invariant.
type InvariantResult struct {
	Invariant  history.Invariant `json:"invariant"`
	Violations int               `json:"violations"`
	First      string            `json:"first,omitempty"`
}

// OK reports whether no invariant was violated, every finite task succeeded and requests were answered.
func (r *Report) OK() bool {
	for _, v := range r.Violations {
		if v.Violations > 0 {
			return false
		}
	}
	return r.Tasks.Succeeded == r.Tasks.Accepted-r.Tasks.Watchers && r.Requests["answer"] > 0
}

func (r *runner) report() *Report {
	events := r.env.Recorder.Events()
	rep := &Report{Deployment: r.cfg.Deployment.Name, Service: r.cfg.Deployment.Service.Name, Requests: r.outcomes,
		P50: r.quantile(50), P99: r.quantile(99), P999: r.quantile(99.9),
		Refusals: make(map[string]uint64), Retries: make(map[string]uint64)}
	rep.Tasks = TaskCounts{Accepted: len(r.accepted), Watchers: len(r.watchers)}
	for _, e := range events {
		if e.Kind == history.TaskCompleted {
			rep.Tasks.Succeeded++
		}
	}
	r.addCounters(rep)
	rep.Violations = summarize(history.Check(events, history.Options{Finished: true, Unfinished: r.watchers, Processes: r.survivors()}))
	return rep
}

// survivors returns the processes that are not stopped during the demo. Every accepted
// configuration must be in force in them.
func (r *runner) survivors() []string {
	var out []string
	for _, en := range r.env.Entries[:len(r.env.Entries)-1] {
		out = append(out, en.ID)
	}
	for _, a := range r.env.Agents[:len(r.env.Agents)-1] {
		out = append(out, a.VM)
	}
	return out
}

func (r *runner) quantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// addCounters sums the counters of all entries into the report.
func (r *runner) addCounters(rep *Report) {
	for _, en := range r.env.Entries {
		families, err := en.Process.Metrics().Registry.Gather()
		if err != nil {
			continue
		}
		for _, f := range families {
			for _, m := range f.Metric {
				rep.addMetric(f.GetName(), m)
			}
		}
	}
}

func (rep *Report) addMetric(name string, m *dto.Metric) {
	v := m.GetCounter().GetValue()
	if v == 0 || len(m.Label) == 0 {
		return
	}
	switch name {
	case "chicory_refusals_total":
		rep.Refusals[m.Label[0].GetValue()] += uint64(v)
	case "chicory_retries_total":
		rep.Retries[m.Label[0].GetValue()] += uint64(v)
	case "chicory_evictions_total":
		rep.Evictions += v
	}
}

func summarize(violations []history.Violation) []InvariantResult {
	var out []InvariantResult
	for _, inv := range history.Invariants() {
		res := InvariantResult{Invariant: inv}
		for _, v := range violations {
			if v.Invariant != inv {
				continue
			}
			if res.Violations == 0 {
				res.First = v.Detail
			}
			res.Violations++
		}
		out = append(out, res)
	}
	return out
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("deployment\t%s", r.Deployment)
	line("service %s\tp50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", r.Service, r.P50, r.P99, r.P999)
	line("requests\t%d answered, %d not run, %d unknown", r.Requests["answer"], r.Requests["not_run"], r.Requests["unknown"])
	line("batch tasks\t%d of %d succeeded, %d watchers running", r.Tasks.Succeeded, r.Tasks.Accepted-r.Tasks.Watchers, r.Tasks.Watchers)
	line("evictions\t%.0f", r.Evictions)
	for k, n := range r.Refusals {
		line("refused\t%d %s", n, k)
	}
	for k, n := range r.Retries {
		line("retried\t%d %s", n, k)
	}
	for _, v := range r.Violations {
		line("%s\t%d violations %s", v.Invariant, v.Violations, v.First)
	}
	return t.Flush()
}
