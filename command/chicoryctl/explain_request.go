package chicoryctl

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newExplainRequest(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "request NAME",
		Short: "Show the recent outcomes of a request by its X-Request-Name",
		Long: "Show the outcomes of a request by the name in its X-Request-Name header, with the counts for each reason.\n" +
			"Each entry keeps its latest 4096 outcomes in memory.",
		Example: "  chicoryctl explain request seat-hold-17",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			var x entry.RequestExplanation
			if err := c.call(cmd.Context(), http.MethodGet, "/v1/requests/"+url.PathEscape(args[0])+"/explain", nil, &x); err != nil {
				return err
			}
			return o.print(cmd, x, func(t table) {
				t.row("ENTRY", "SERVICE", "CUSTOMER", "OUTCOME", "EXECUTION", "STATUS", "MS", "AGE MS")
				for _, q := range x.Outcomes {
					t.row(q.Entry, q.Service, q.Customer, outcome(q.Kind), q.Kind.Attributes().Execution, q.Status, q.DurationMS, q.AgeMS)
				}
				for _, r := range x.Reasons {
					t.row(fmt.Sprintf("%d times: %s", r.Count, strings.Replace(r.Reason, errkind.None.String(), "answered", 1)))
				}
				for _, m := range x.Missing {
					t.row("no answer from " + m)
				}
			})
		},
	}
}

func outcome(k errkind.Kind) string {
	if k == errkind.None {
		return "answered"
	}
	return k.String()
}
