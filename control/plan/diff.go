package plan

import (
	"fmt"
	"slices"
	"sort"
)

// Diff describes the changes from one document to another, one line for each
// customer, plan and evacuated zone: "+" added, "-" removed, "~" changed.
func Diff(from, to Document) []string {
	plans := diffLists(from.Plans, to.Plans, "customer", func(p CustomerPlan) string { return p.Customer },
		func(p CustomerPlan) string { return "plan " + p.Plan })
	limits := diffLists(from.Limits, to.Limits, "plan", func(l Limit) string { return l.Plan }, describe)
	zones := diffLists(from.EvacuatedZones, to.EvacuatedZones, "zone", func(z string) string { return z },
		func(string) string { return "under evacuation" })
	return slices.Concat(plans, limits, zones)
}

func describe(l Limit) string {
	return fmt.Sprintf("priority %d, %g requests/s, concurrency %d, cpu %d m, memory %d MiB, accelerators %d, weight %g",
		l.Priority, l.RequestsPerSecond, l.Concurrency, l.CPUMilli, l.MemoryMiB, l.Accelerators, l.ShareWeight)
}

func diffLists[T comparable](from, to []T, noun string, name, text func(T) string) []string {
	old, current := make(map[string]T), make(map[string]T)
	for _, x := range from {
		old[name(x)] = x
	}
	for _, x := range to {
		current[name(x)] = x
	}
	var out []string
	for n, x := range current {
		was, ok := old[n]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ %s %s: %s", noun, n, text(x)))
		case was != x:
			out = append(out, fmt.Sprintf("~ %s %s: %s (was %s)", noun, n, text(x), text(was)))
		}
	}
	for n, x := range old {
		if _, ok := current[n]; !ok {
			out = append(out, fmt.Sprintf("- %s %s: %s", noun, n, text(x)))
		}
	}
	sort.Strings(out)
	return out
}

// SameLists reports whether both documents hold the same lists, regardless of order.
func SameLists(a, b Document) bool {
	return len(a.Plans) == len(b.Plans) && len(a.Limits) == len(b.Limits) && len(a.EvacuatedZones) == len(b.EvacuatedZones) && len(Diff(a, b)) == 0
}

// Clone returns a copy that shares no memory with d.
func (d Document) Clone() Document {
	d.Plans, d.Limits, d.EvacuatedZones = slices.Clone(d.Plans), slices.Clone(d.Limits), slices.Clone(d.EvacuatedZones)
	return d
}
