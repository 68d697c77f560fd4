package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamStart(o *options) *cobra.Command {
	return o.drainingCommand("start", "Return a stopped or drained upstream to service", false)
}

// drainingCommand returns a command that starts or ends the drain of an upstream.
func (o *options) drainingCommand(verb, short string, draining bool) *cobra.Command {
	return &cobra.Command{
		Use:               verb + " VM",
		Short:             short,
		Example:           "  chicoryctl upstream " + verb + " vm-00",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: o.completeUpstreams,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			u, err := c.setDraining(cmd.Context(), args[0], draining)
			if err != nil {
				return err
			}
			return o.print(cmd, u, upstreamRows(u))
		},
	}
}
