package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamStop(o *options) *cobra.Command {
	return o.drainingCommand("stop", "Start draining an upstream and return immediately", true)
}
