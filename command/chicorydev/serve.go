package chicorydev

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/devenv"
	"github.com/chicorystand/chicorystand/errkind"
)

func newServe() *cobra.Command {
	var deployment, logLevel string
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Keep an example deployment running and print its addresses",
		Example: "  chicory-dev serve --deployment belfry-lane",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := devenv.Load(deployment)
			if err != nil {
				return err
			}
			log, err := logger(logLevel)
			if err != nil {
				return errkind.Wrap(errkind.InvalidArgument, err, "--log-level")
			}
			env, err := devenv.Start(cmd.Context(), devenv.Config{Deployment: d, Log: log, CheckpointInterval: 5 * time.Second})
			if err != nil {
				return err
			}
			for _, en := range env.Entries {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s  %s  %s\n", en.ID, en.Zone, en.URL)
			}
			<-cmd.Context().Done()
			env.Stop()
			return nil
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", "belfry-lane", "example deployment: belfry-lane or laternenwerk")
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "lowest log level")
	return cmd
}
