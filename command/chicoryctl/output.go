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

// Output formats. All are plain text without colours, also on a terminal.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// table writes tab-separated rows that are aligned in columns.
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

// print writes v in the selected output format; rows writes the table.
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

// progressf writes a line to standard error if that is a terminal.
func progressf(cmd *cobra.Command, format string, args ...any) {
	if f, ok := cmd.ErrOrStderr().(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		_, _ = fmt.Fprintf(f, format+"\n", args...)
	}
}

// notef writes a line to standard error.
func notef(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}

// readInput reads up to 64 MiB from a file, or from standard input for "-".
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
	data, err := io.ReadAll(io.LimitReader(in, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		return nil, errkind.New(errkind.TooLarge, "%s exceeds %d bytes; nothing was done", file, maxResponseBytes)
	}
	return data, errkind.Wrap(errkind.InvalidArgument, err, "-f")
}
