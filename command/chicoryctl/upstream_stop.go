package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamStop(o *options) *cobra.Command {
	return &cobra.Command{
		Use:               "stop VM",
		Short:             "Begin to drain an upstream and return at once",
		Example:           "  chicoryctl upstream stop vm-00",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: o.completeUpstreams,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			u, err := c.setDraining(cmd.Context(), args[0], true)
			if err != nil {
				return err
			}
			return o.print(cmd, u, upstreamRows(u))
		},
	}
}
