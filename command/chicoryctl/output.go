package chicoryctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Output forms. The forms are plain text without colours on every device.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// table writes rows of a table.
type table struct{ w *tabwriter.Writer }

func (t table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = io.WriteString(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, c)
	}
	_, _ = io.WriteString(t.w, "\n")
}

// print writes v in the selected form; rows fills the table.
func (o *options) print(cmd *cobra.Command, v any, rows func(table)) error {
	out := cmd.OutOrStdout()
	if o.output == outputTable {
		t := table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
		rows(t)
		return t.w.Flush()
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode")
	}
	if o.output == outputYAML {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return errkind.Wrap(errkind.Internal, err, "encode")
		}
	} else {
		data = append(data, '\n')
	}
	_, err = out.Write(data)
	return err
}

// progress writes a line to the standard error output when it is a terminal.
func progress(cmd *cobra.Command, format string, args ...any) {
	if f, ok := cmd.ErrOrStderr().(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		_, _ = fmt.Fprintf(f, format+"\n", args...)
	}
}

// note writes a line to the standard error output.
func note(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}

// readInput reads a file, or the standard input for "-", up to 64 MiB.
func readInput(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "" {
		return nil, errkind.New(errkind.InvalidArgument, "-f FILE is required; nothing was done")
	}
	in := cmd.InOrStdin()
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidArgument, err, "-f")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		return nil, errkind.New(errkind.TooLarge, "%s exceeds %d bytes; nothing was done", file, maxAnswer)
	}
	return data, errkind.Wrap(errkind.InvalidArgument, err, "-f")
}
