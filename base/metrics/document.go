package metrics

import (
	"fmt"
	"io"
	"regexp"
	"sort"

	"github.com/prometheus/client_golang/prometheus"
)

var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "((?:[^"\\]|\\.)*)"(?:, unit: "[^"]*")?, constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}`)

// WriteDocument writes the list of all metrics as Markdown.
func WriteDocument(w io.Writer) error {
	if _, err := fmt.Fprint(w, "# Metrics\n\nGenerated from package `metrics` by `go run ./cmd/chicory-dev docs`. Do not edit.\n\n"+
		"The labels `service` and `customer` hold the names of known services and of customers with a plan, at most 64 services\n"+
		"and 256 customers per entry; every other value is `other`.\n"); err != nil {
		return err
	}
	entry := NewEntry().Registry
	NewRequests(entry)
	for _, p := range []struct {
		name string
		reg  *prometheus.Registry
	}{{"chicory-entry", entry}, {"chicory-agent", NewAgent(func() AgentState { return AgentState{} }).Registry}} {
		if _, err := fmt.Fprintf(w, "\n## %s\n\n| Metric | Labels | Meaning |\n| --- | --- | --- |\n", p.name); err != nil {
			return err
		}
		for _, line := range describe(p.reg) {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return err
			}
		}
	}
	return nil
}

func describe(reg *prometheus.Registry) []string {
	ch := make(chan *prometheus.Desc, 100)
	go func() { reg.Describe(ch); close(ch) }()
	var out []string
	for d := range ch {
		if m := descPattern.FindStringSubmatch(d.String()); m != nil {
			out = append(out, fmt.Sprintf("| `%s` | %s | %s |", m[1], m[3], m[2]))
		}
	}
	sort.Strings(out)
	return out
}
