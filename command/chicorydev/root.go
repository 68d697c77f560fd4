// Package chicorydev implements the chicory-dev command, which runs a whole deployment in
// one process for evaluation and development.
package chicorydev

import (
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "chicory-dev",
		Short:         "Run a whole deployment in one process",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDemo(), newServe(), newPlatform(), newDocs(), newCertificates())
	return root
}

func newLogger(level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger(), nil
}
