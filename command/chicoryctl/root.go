// Package chicoryctl implements the operators' command line. Every mutating command is
// idempotent, so it may be repeated after a lost response.
package chicoryctl

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// New returns the root command.
func New() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "chicoryctl",
		Short: "Operate chicorystand: plans, limits, upstreams, zones and tasks",
		Long: "Operate chicorystand: plans, limits, upstreams, zones and tasks.\n\nThe server's address comes from --server, the environment variable " +
			envPrefix + "SERVER, or the file of --config (default $XDG_CONFIG_HOME/chicoryctl.yaml), in this order.\n" +
			"Each error kind has its own exit code; docs/errors.md lists them.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	o.addFlags(root)
	root.AddCommand(newList(o, planList), newList(o, limitList), newUpstream(o), newZone(o), newTask(o), newExplain(o), newStatus(o), newEvents(o))
	return root
}

// newCommandGroup returns a command that only groups subcommands (verbs). Without a verb it
// prints its help; an unknown verb is a usage error.
func newCommandGroup(name, short string, verbs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: name, Short: short, Example: verbs[0].Example,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return errkind.New(errkind.InvalidArgument, "%s has no verb %q", cmd.CommandPath(), args[0])
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(verbs...)
	return cmd
}
