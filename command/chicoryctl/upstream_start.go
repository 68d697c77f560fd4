package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamStart(o *options) *cobra.Command {
	return &cobra.Command{
		Use:               "start VM",
		Short:             "Give new work to an upstream again that was stopped or drained",
		Example:           "  chicoryctl upstream start vm-00",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: o.completeUpstreams,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			u, err := c.setDraining(cmd.Context(), args[0], false)
			if err != nil {
				return err
			}
			return o.print(cmd, u, upstreamRows(u))
		},
	}
}
