package chicoryctl

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show entries, shards and owners, the configuration in force, the store and VMs that need attention",
		Example: "  chicoryctl status -o yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			s, err := c.status(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd, s, func(t table) { statusRows(t, s) })
		},
	}
}

func lag(have, want uint64) any {
	if have >= want {
		return "-"
	}
	return want - have
}

func statusRows(t table, s entry.SystemStatus) {
	t.row("# configuration generation", s.Generation)
	t.row("ENTRY", "ZONE", "READY", "GENERATION", "LAGS", "STORE")
	for _, e := range s.Entries {
		store := "answers"
		if !e.StoreReachable {
			store = "does not answer"
		}
		t.row(e.Entry, e.Zone, e.Ready, e.ConfigGen, lag(e.ConfigGen, s.Generation), store)
	}
	t.row()
	t.row("SHARD", "OWNER", "EPOCH", "VMS", "TASKS")
	for _, sh := range s.Shards {
		tasks := 0
		for _, q := range sh.Queues {
			for _, n := range q.States {
				tasks += n
			}
		}
		t.row(sh.Shard, sh.Owner, sh.Epoch, len(sh.VMs), tasks)
	}
	attentionRows(t, s)
	for _, m := range s.Missing {
		t.row("no answer from " + m)
	}
}

// attentionRows lists the VMs that are disconnected, draining, quarantined or behind the configuration in force.
func attentionRows(t table, s entry.SystemStatus) {
	header := false
	for _, sh := range s.Shards {
		for _, v := range sh.VMs {
			if v.Connected && !v.Draining && !v.Quarantined && v.ConfigGen >= s.Generation {
				continue
			}
			if !header {
				t.row()
				t.row("VM", "CONNECTED", "DRAINING", "QUARANTINED", "GENERATION", "LAGS")
				header = true
			}
			t.row(v.VM, v.Connected, v.Draining, v.Quarantined, v.ConfigGen, lag(v.ConfigGen, s.Generation))
		}
	}
}
