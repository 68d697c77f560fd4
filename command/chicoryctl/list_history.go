package chicoryctl

import (
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newListHistory(o *options, k listKind) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "Print the latest accepted changes and the generation that each was based on",
		Example: "  chicoryctl " + k.noun + " history",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			var changes []entry.ConfigChange
			if err := c.call(cmd.Context(), http.MethodGet, "/v1/config/history", nil, &changes); err != nil {
				return err
			}
			return o.print(cmd, changes, func(t table) {
				t.row("GENERATION", "BASED ON", "BY", "TIME", "CHANGES")
				for _, ch := range changes {
					t.row(ch.Generation, ch.BasedOn, ch.By, time.UnixMilli(ch.UnixMilli).UTC().Format(time.RFC3339), strings.Join(ch.Changes, "; "))
				}
			})
		},
	}
}
