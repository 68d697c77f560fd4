package chicoryctl

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
)

func newEvents(o *options) *cobra.Command {
	var follow bool
	cmd := &cobra.Command{
		Use:     "events",
		Short:   "Print the latest log events of the entry, one JSON object per line",
		Example: "  chicoryctl events --follow",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			after := uint64(0)
			for {
				var lines []events.Line
				path := fmt.Sprintf("/v1/events?after=%d&wait=%t", after, follow)
				err := c.call(cmd.Context(), http.MethodGet, path, nil, &lines)
				switch {
				case follow && cmd.Context().Err() != nil:
					return nil
				case err != nil && !(follow && errkind.Of(err).Attributes().Retryable):
					return err
				case err != nil:
					sleep(cmd.Context(), pollInterval)
				}
				for _, l := range lines {
					if _, err := fmt.Fprintln(cmd.OutOrStdout(), string(l.Line)); err != nil {
						return err
					}
					after = l.Seq
				}
				if !follow {
					return nil
				}
			}
		},
	}
	cmd.Flags().BoolVar(&follow, "follow", false, "wait for further events")
	return cmd
}
