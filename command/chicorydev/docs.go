package chicorydev

import (
	"bytes"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/base/settings"
)

// documentGenerators maps the file names of generated documents to their generators.
var documentGenerators = map[string]func(io.Writer) error{
	"settings.md": settings.WriteDocument,
	"events.md":   events.WriteDocument,
	"metrics.md":  metrics.WriteDocument,
	"errors.md":   errkind.WriteDocument,
}

func newDocs() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:     "docs",
		Short:   "Generate the reference documents of settings, events, metrics and errors",
		Example: "  chicory-dev docs --dir docs",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for name, generate := range documentGenerators {
				var buf bytes.Buffer
				if err := generate(&buf); err != nil {
					return err
				}
				if err := os.WriteFile(filepath.Join(dir, name), buf.Bytes(), 0o644); err != nil {
					return errkind.Wrap(errkind.InvalidArgument, err, "--dir")
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "docs", "directory of the documents")
	return cmd
}
