package daemon

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/command/run"
)

func newValidateCommand(spec Spec) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "validate",
		Short:   "Check the settings and report every problem with file, line, field and allowed range",
		Example: "  " + spec.Name + " validate --settings deploy/" + spec.Name[len("chicory-"):] + ".yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := spec.NewSettings()
			err := settings.Load(s, file, cmd.Flags())
			if err == nil {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
				return err
			}
			for _, p := range problemLines(err) {
				_, _ = fmt.Fprintln(cmd.ErrOrStderr(), p)
			}
			return run.Reported(err)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "YAML settings file")
	settings.AddFlags(cmd.Flags(), spec.NewSettings())
	return cmd
}
