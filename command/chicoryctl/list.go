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
	// merge returns current with the list of this kind taken from file.
	merge func(current, file plan.Document) plan.Document
	// only returns d with the list of this kind alone.
	only func(d plan.Document) plan.Document
	rows func(t table, d plan.Document)
}

var planList = listKind{
	noun: "plan", short: "Customers' plans",
	merge: func(current, file plan.Document) plan.Document { current.Plans = file.Plans; return current },
	only:  func(d plan.Document) plan.Document { d.Limits = nil; return d },
	rows: func(t table, d plan.Document) {
		t.row("CUSTOMER", "PLAN")
		for _, p := range d.Plans {
			t.row(p.Customer, p.Plan)
		}
	},
}

var limitList = listKind{
	noun: "limit", short: "What each plan may use",
	merge: func(current, file plan.Document) plan.Document { current.Limits = file.Limits; return current },
	only:  func(d plan.Document) plan.Document { d.Plans = nil; return d },
	rows: func(t table, d plan.Document) {
		t.row("PLAN", "PRIORITY", "REQUESTS/S", "CONCURRENCY", "CPU", "MEMORY MIB", "ACCELERATORS", "WEIGHT")
		for _, l := range d.Limits {
			t.row(l.Plan, l.Priority, l.RequestsPerSecond, l.Concurrency, l.CPUMilli, l.MemoryMiB, l.Accelerators, l.ShareWeight)
		}
	},
}

// listView is the output form of one list with its generation.
type listView struct {
	Generation uint64              `json:"generation"`
	Plans      []plan.CustomerPlan `json:"plans,omitempty"`
	Limits     []plan.Limit        `json:"limits,omitempty"`
}

func (k listKind) view(d plan.Document) listView {
	d = k.only(d)
	return listView{Generation: d.Generation, Plans: d.Plans, Limits: d.Limits}
}

func newList(o *options, k listKind) *cobra.Command {
	return newNoun(k.noun, k.short, newListGet(o, k), newListApply(o, k), newListDiff(o, k), newListHistory(o, k))
}

func (c *client) config(ctx context.Context) (plan.Document, error) {
	var d plan.Document
	err := c.call(ctx, http.MethodGet, "/v1/config", nil, &d)
	return d, err
}
