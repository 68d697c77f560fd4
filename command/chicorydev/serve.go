package chicorydev

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

// stopTimeout limits the time of a graceful shutdown.
const stopTimeout = 20 * time.Second

func newServe() *cobra.Command {
	var deployment, logLevel, api string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Keep an example deployment running and print its addresses",
		Long:  "Keep an example deployment running until SIGINT or SIGTERM, then drain its upstreams and stop gracefully.",
		Example: "  chicory-dev serve --deployment belfry-lane\n" +
			"  chicory-dev serve --api 127.0.0.1:7401",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := devenv.Load(deployment)
			if err != nil {
				return err
			}
			log, err := newLogger(logLevel)
			if err != nil {
				return errkind.Wrap(errkind.InvalidArgument, err, "--log-level")
			}
			ring := events.NewRing()
			log = log.Output(zerolog.MultiLevelWriter(cmd.ErrOrStderr(), ring))
			ctx := context.WithoutCancel(cmd.Context())
			env, err := devenv.Start(ctx, devenv.Config{Deployment: d, Log: log, CheckpointInterval: 5 * time.Second, API: api, Events: ring})
			if err != nil {
				return err
			}
			if err := printAddresses(cmd.OutOrStdout(), env); err != nil {
				env.Stop()
				return err
			}
			<-cmd.Context().Done()
			stop, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			env.Drain(stop)
			return nil
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", "belfry-lane", "example deployment: belfry-lane or laternenwerk")
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "minimum log level")
	cmd.Flags().StringVar(&api, "api", "127.0.0.1:7401", "address of the first entry's API")
	return cmd
}

func printAddresses(w io.Writer, env *devenv.Env) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "PROCESS\tZONE\tAPI\tSTATUS PAGE, METRICS, PROFILES")
	for _, en := range env.Entries {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", en.ID, en.Zone, en.URL, en.Operators)
	}
	for _, a := range env.Agents {
		_, _ = fmt.Fprintf(t, "%s\t%s\t-\t-\n", a.VM, a.Zone)
	}
	return t.Flush()
}
