package daemon

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/command/run"
)

func newRunCommand(spec Spec) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the process until SIGTERM; SIGHUP reloads the certificates and the log settings",
		Example: "  " + spec.Name + " run --settings deploy/" + spec.Name[len("chicory-"):] + ".yaml\n" +
			"  " + spec.Name + " run --settings FILE --log.level=debug",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (any, error) {
				s := spec.NewSettings()
				return s, settings.Load(s, file, cmd.Flags())
			}
			s, err := load()
			if err != nil {
				events.SettingsInvalid.Log(newLogger(events.NewRing())).Strs("problems", problemLines(err)).Send()
				return run.Reported(err)
			}
			return start(cmd.Context(), spec, s, load)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "YAML settings file")
	settings.AddFlags(cmd.Flags(), spec.NewSettings())
	return cmd
}
