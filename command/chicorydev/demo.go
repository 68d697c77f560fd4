package chicorydev

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/demo"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

func newDemo() *cobra.Command {
	var deployment, logLevel string
	var asJSON, kill bool
	cfg := demo.Config{}
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run requests and tasks on an example deployment and check the invariants",
		Example: "  chicory-dev demo --deployment laternenwerk --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := devenv.Load(deployment)
			if err != nil {
				return err
			}
			if cfg.Log, err = newLogger(logLevel); err != nil {
				return errkind.Wrap(errkind.InvalidArgument, err, "--log-level")
			}
			cfg.Deployment, cfg.Kill = d, kill
			if isTerminal(os.Stderr) {
				cfg.Progress = os.Stderr
			}
			rep, err := demo.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if err := printReport(cmd, rep, asJSON); err != nil {
				return err
			}
			if !rep.OK() {
				return errkind.New(errkind.Internal, "an invariant was violated or tasks or requests are missing")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&deployment, "deployment", "belfry-lane", "example deployment: belfry-lane or laternenwerk")
	f.StringVar(&logLevel, "log-level", "error", "minimum log level")
	f.BoolVar(&asJSON, "json", false, "print the report as JSON")
	f.BoolVar(&kill, "kill", false, "kill the VM and the entry instead of stopping them gracefully; takes up to 90 s")
	f.DurationVar(&cfg.Duration, "duration", 12*time.Second, "how long requests are sent")
	f.IntVar(&cfg.RequestsPerSecond, "rps", 400, "requests per second")
	f.IntVar(&cfg.BatchTasks, "tasks", 80, "number of finite batch tasks")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the random number generator")
	return cmd
}

func printReport(cmd *cobra.Command, rep *demo.Report, asJSON bool) error {
	if !asJSON {
		return rep.Print(cmd.OutOrStdout())
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

func isTerminal(f *os.File) bool {
	st, err := f.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}
