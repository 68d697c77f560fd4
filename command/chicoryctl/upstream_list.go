package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the upstreams that are cluster members",
		Example: "  chicoryctl upstream list -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			list, err := c.upstreams(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd, list, upstreamRows(list...))
		},
	}
}
