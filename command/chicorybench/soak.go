package chicorybench

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/soak"
)

// newSoak returns the command that runs the fault-injection soak test. Unlike a benchmark it
// reports no figures and has no bounds: a run passes or lists failures.
func newSoak() *cobra.Command {
	cfg := soak.Config{}
	var count int
	cmd := &cobra.Command{
		Use:     "soak",
		Short:   "Run the real programs under random faults and check what clients and executors observe",
		Example: "  chicory-bench soak --bin target --seed 1 --count 50",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			failed := 0
			for range count {
				ok, err := runSoakSeed(cmd, cfg)
				if err != nil {
					return err
				}
				if !ok {
					failed++
				}
				cfg.Seed++
			}
			if failed > 0 {
				return errkind.New(errkind.Internal, "%d of %d seeds failed", failed, count)
			}
			return nil
		},
	}
	const defaultFaults = 20 * time.Second
	f := cmd.Flags()
	f.StringVar(&cfg.Binaries, "bin", "target", "directory of chicory-entry and chicory-agent")
	f.StringVar(&cfg.Dir, "dir", "", "directory for settings and logs, with a subdirectory per seed (default: a temporary one)")
	f.Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	f.IntVar(&count, "count", 1, "number of seeds")
	f.DurationVar(&cfg.FaultWindow, "time", defaultFaults, "time during which submissions arrive and faults are injected")
	f.IntVar(&cfg.Entries, "entries", 3, "number of entries")
	f.IntVar(&cfg.Executors, "executors", 4, "number of executors, each with an agent")
	f.IntVar(&cfg.MaxSubmissions, "submissions", 24, "maximum number of submissions")
	return cmd
}

// runSoakSeed runs one seed and reports whether it passed. The path of its logs is printed if it failed.
func runSoakSeed(cmd *cobra.Command, cfg soak.Config) (bool, error) {
	var err error
	if cfg.Dir == "" {
		if cfg.Dir, err = os.MkdirTemp("", "chicory-soak-"); err != nil {
			return false, errkind.Wrap(errkind.Internal, err, "soak")
		}
	}
	cfg.Dir = filepath.Join(cfg.Dir, "seed-"+strconv.FormatUint(cfg.Seed, 10))
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return false, errkind.Wrap(errkind.Internal, err, "soak")
	}
	report, err := soak.Run(cmd.Context(), cfg)
	if err != nil {
		return false, errkind.Wrap(errkind.Internal, err, "soak with seed %d", cfg.Seed)
	}
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "seed %d: %d submissions, %d runs, %d faults, shown %v, %d failures\n",
		cfg.Seed, report.Submissions, report.Runs, len(report.Faults), report.FinalStates, len(report.Failures))
	if len(report.Failures) == 0 {
		return true, nil
	}
	for _, f := range report.Failures {
		_, _ = fmt.Fprintf(out, "  failure: %s\n", f)
	}
	for _, f := range report.Faults {
		_, _ = fmt.Fprintf(out, "  fault: %s\n", f)
	}
	_, _ = fmt.Fprintf(out, "  logs: %s\n", cfg.Dir)
	return false, nil
}
