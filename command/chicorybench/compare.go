package chicorybench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/platform/journal"
	"github.com/chicorystand/chicorystand/verify/bench/compare"
)

// newCompare returns the command that compares two sets of runs of the users' bench.
func newCompare() *cobra.Command {
	var dir, base, trial, output string
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Compare from the journal of the users' bench two sets of runs of the same days and seeds",
		Long: "Compare two sets of runs of the same days and seeds, each given by the reason of its journal entries.\n" +
			"A difference whose interval (95%) includes 0 is no difference. Runs of one build under two reasons show the noise.",
		Example: "  chicory-bench compare --base 'plays before' --trial 'plays after'",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			before, err := readResults(cmd.ErrOrStderr(), dir, base)
			if err != nil {
				return err
			}
			after, err := readResults(cmd.ErrOrStderr(), dir, trial)
			if err != nil {
				return err
			}
			differences := compare.Paired(before, after)
			if output == "json" {
				return errkind.Wrap(errkind.Internal, json.NewEncoder(cmd.OutOrStdout()).Encode(differences), "write differences")
			}
			return writeDifferences(cmd.OutOrStdout(), differences)
		},
	}
	cmd.Flags().StringVar(&dir, "journal", "journal", "directory of the journal")
	cmd.Flags().StringVar(&base, "base", "", "reason of the runs to compare with")
	cmd.Flags().StringVar(&trial, "trial", "", "reason of the runs to judge")
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	return cmd
}

// readResults returns the runs with a reason, and reports those that broke a rule.
func readResults(warnings io.Writer, dir, reason string) ([]compare.Result, error) {
	days, err := journal.Read(dir, reason)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "compare")
	}
	if reason == "" || len(days) == 0 {
		return nil, errkind.New(errkind.NotFound, "no day in %s was run with the reason %q", dir, reason)
	}
	results := make([]compare.Result, len(days))
	for i := range days {
		d := &days[i]
		if len(d.RuleViolations) > 0 {
			_, _ = fmt.Fprintf(warnings, "%s, %s with seed %d broke rules: %v\n", d.Site, d.Name, d.Seed, d.RuleViolations)
		}
		results[i] = compare.Result{Run: compare.Run{Site: d.Site, Day: d.Name, Seed: d.Seed}, Figures: figures(d)}
	}
	return results, nil
}

// figures returns the net value of a day, the share of each class, and its costs.
func figures(d *journal.Day) map[string]float64 {
	f := map[string]float64{"worth": d.NetValue}
	for i, share := range d.ByClass {
		if share != nil {
			f[fmt.Sprintf("class %d", i)] = *share
		}
	}
	for _, c := range d.Costs {
		if c.Value != 0 {
			f["cost: "+c.Name] = c.Value
		}
	}
	return f
}

func writeDifferences(w io.Writer, differences []compare.Difference) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SITE\tFIGURE\tPAIRS\tBASE\tTRIAL\tDIFFERENCE\t95%\tSIGNIFICANT")
	for i := range differences {
		d := &differences[i]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%v\n", d.Site, d.Figure, d.Pairs, d.Base, d.Trial, d.Mean, d.Margin, d.Significant())
	}
	return errkind.Wrap(errkind.Internal, t.Flush(), "write the table")
}
