package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamStop(o *options) *cobra.Command {
	return o.drainingCommand("stop", "Begin to drain an upstream and return at once", true)
}
