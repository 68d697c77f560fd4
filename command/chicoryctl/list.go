package chicoryctl

import (
	"context"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/control/plan"
)

// listKind is one of the two lists of the configuration.
type listKind struct {
	noun, short string
	// merge returns current with its list of this kind replaced by that of file.
	merge func(current, file plan.Document) plan.Document
	// filter returns d without the list of the other kind.
	filter func(d plan.Document) plan.Document
	rows   func(t table, d plan.Document)
}

var planList = listKind{
	noun: "plan", short: "Customers' plans",
	merge:  func(current, file plan.Document) plan.Document { current.Plans = file.Plans; return current },
	filter: func(d plan.Document) plan.Document { d.Limits = nil; return d },
	rows: func(t table, d plan.Document) {
		t.row("CUSTOMER", "PLAN")
		for _, p := range d.Plans {
			t.row(p.Customer, p.Plan)
		}
	},
}

var limitList = listKind{
	noun: "limit", short: "Quotas and priorities of each plan",
	merge:  func(current, file plan.Document) plan.Document { current.Limits = file.Limits; return current },
	filter: func(d plan.Document) plan.Document { d.Plans = nil; return d },
	rows: func(t table, d plan.Document) {
		t.row("PLAN", "PRIORITY", "REQUESTS/S", "CONCURRENCY", "CPU", "MEMORY MIB", "ACCELERATORS", "WEIGHT")
		for _, l := range d.Limits {
			t.row(l.Plan, l.Priority, l.RequestsPerSecond, l.Concurrency, l.CPUMilli, l.MemoryMiB, l.Accelerators, l.ShareWeight)
		}
	},
}

// listView is the JSON and YAML form of one list with its generation.
type listView struct {
	Generation uint64              `json:"generation"`
	Plans      []plan.CustomerPlan `json:"plans,omitempty"`
	Limits     []plan.Limit        `json:"limits,omitempty"`
}

func (k listKind) view(d plan.Document) listView {
	d = k.filter(d)
	return listView{Generation: d.Generation, Plans: d.Plans, Limits: d.Limits}
}

func newList(o *options, k listKind) *cobra.Command {
	return newCommandGroup(k.noun, k.short, newListGet(o, k), newListApply(o, k), newListDiff(o, k), newListHistory(o, k))
}

func (c *client) config(ctx context.Context) (plan.Document, error) {
	var d plan.Document
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &d)
	return d, err
}
