package chicorybench

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/bench"
)

// maxResultBytes limits the size of a result file.
const maxResultBytes = 64 << 20

func newReport() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:     "report FILE...",
		Short:   "Write recorded JSON results of other benchmarks as one HTML page with plots",
		Example: "  chicory-bench policy --json > policy.json\n  chicory-bench report policy.json --output report.html",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var results []*bench.Result
			for _, file := range files {
				r, err := readResult(file)
				if err != nil {
					return err
				}
				results = append(results, r)
			}
			var page bytes.Buffer
			if err := bench.WriteReport(&page, results); err != nil {
				return errkind.Wrap(errkind.Internal, err, "report")
			}
			if output == "-" {
				_, err := page.WriteTo(cmd.OutOrStdout())
				return err
			}
			return errkind.Wrap(errkind.InvalidArgument, os.WriteFile(output, page.Bytes(), 0o644), "--output")
		},
	}
	cmd.Flags().StringVar(&output, "output", "-", "HTML file, - for standard output")
	return cmd
}

func readResult(file string) (*bench.Result, error) {
	st, err := os.Stat(file)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotFound, err, "result")
	}
	if st.Size() > maxResultBytes {
		return nil, errkind.New(errkind.TooLarge, "%s has %d bytes, the limit is %d", file, st.Size(), maxResultBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "result")
	}
	var r bench.Result
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil || r.Bench == "" {
		return nil, errkind.New(errkind.InvalidArgument, "%s is not a chicory-bench result: %v", file, err)
	}
	return &r, nil
}
