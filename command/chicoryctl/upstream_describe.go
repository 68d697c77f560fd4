package chicoryctl

import "github.com/spf13/cobra"

func newUpstreamDescribe(o *options) *cobra.Command {
	return &cobra.Command{
		Use:               "describe VM",
		Short:             "Show the status of an upstream's VM as reported by its shard's owner",
		Example:           "  chicoryctl upstream describe vm-00",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: o.completeUpstreams,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			v, err := c.vm(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.print(cmd, v, func(t table) {
				t.row("VM", v.VM)
				t.row("zone, rack", v.Zone+", "+v.Rack)
				t.row("service", v.Service)
				t.row("connected", v.Connected)
				t.row("draining", v.Draining)
				t.row("quarantined", v.Quarantined)
				t.row("tasks", v.Tasks)
				t.row("slots in use", percent(v.Load))
				t.row("p99 / target", v.Tail)
				t.row("processors reserved", v.Reserved.CPU, "of", v.Capacity.CPU)
				t.row("memory reserved (MiB)", v.Reserved.Memory, "of", v.Capacity.Memory)
				t.row("accelerators reserved", v.Reserved.Accelerators, "of", v.Capacity.Accelerators)
				t.row("configuration", v.ConfigGen)
			})
		},
	}
}
