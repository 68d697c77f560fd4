// Package chicorybench implements the chicory-bench command: load generators and
// experiments, with one subcommand per benchmark.
package chicorybench

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/bench"
)

// runFunc runs a benchmark with a seed of its random number generator.
type runFunc func(ctx context.Context, seed uint64) (*bench.Result, error)

// subcommands lists the constructors of all benchmark commands.
var subcommands = []func() *cobra.Command{
	newCapacity,
	newConfig,
	newControl,
	newDecide,
	newDelays,
	newPolicy,
	newRecover,
	newReport,
	newRoute,
	newSoak,
	newStore,
	newWorth,
	newCompare,
}

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "chicory-bench",
		Short:         "Measure the system and compare it with a naive baseline",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, c := range subcommands {
		root.AddCommand(c())
	}
	return root
}

// newBenchCommand returns a command with the flags that all benchmarks share.
// The caller may add further flags to it.
func newBenchCommand(use, short string, run runFunc) *cobra.Command {
	var asJSON, check bool
	var seed uint64
	cmd := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  chicory-bench " + use + " --check --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			res, err := run(cmd.Context(), seed)
			if err != nil {
				return err
			}
			write := res.WriteText
			if asJSON {
				write = res.WriteJSON
			}
			if err := write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if missed := res.Missed(); check && len(missed) > 0 {
				names := make([]string, len(missed))
				for i, c := range missed {
					names[i] = c.Name
				}
				return errkind.New(errkind.Internal, "bounds missed: %s", strings.Join(names, ", "))
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	cmd.Flags().BoolVar(&check, "check", false, "exit with code 1 when a bound is missed")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random number generator")
	return cmd
}
