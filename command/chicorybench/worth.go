package chicorybench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/platform/journal"
)

// newWorth returns the command that shows which benchmark days on the users' platform lose
// the most value, and why.
func newWorth() *cobra.Command {
	var dir, reason string
	cmd := &cobra.Command{
		Use:     "worth",
		Short:   "Show from the journal of the users' bench which days lose value and why, worst first",
		Example: "  chicory-bench worth --why 'score after the change'",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			days, err := journal.Read(dir, reason)
			if err != nil {
				return errkind.Wrap(errkind.InvalidArgument, err, "worth")
			}
			if len(days) == 0 {
				return errkind.New(errkind.NotFound, "no day in %s was run with that reason", dir)
			}
			return writeWorth(cmd.OutOrStdout(), days)
		},
	}
	cmd.Flags().StringVar(&dir, "journal", "journal", "directory of the journal")
	cmd.Flags().StringVar(&reason, "why", "", "only runs with this reason")
	return cmd
}

// writeWorth prints one row per day: its net value and the target value of a full score, the
// components of the value, the job class and zone with the lowest share, and the largest cost.
func writeWorth(w io.Writer, days []journal.Day) error {
	slices.SortStableFunc(days, func(a, b journal.Day) int { return cmp.Compare(margin(&a), margin(&b)) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SITE\tDAY\tWORTH\tONE\tPARTS\tWORST CLASS\tWORST ZONE\tLARGEST PRICE\tBROKEN")
	for i := range days {
		d := &days[i]
		target := "-"
		if d.TargetValue != nil {
			target = fmt.Sprintf("%.3f", *d.TargetValue)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\t%s\t%s\t%s\t%s\t%v\n", d.Site, d.Name, d.NetValue, target, componentsText(d), lowestShareText(d.ByClass), lowestShareText(d.ByZone), largestCostText(d), d.RuleViolations)
	}
	return errkind.Wrap(errkind.Internal, t.Flush(), "write the table")
}

// margin returns the difference between a day's net value and the target value of a full score.
func margin(d *journal.Day) float64 {
	if d.TargetValue == nil {
		return d.NetValue
	}
	return d.NetValue - *d.TargetValue
}

func componentsText(d *journal.Day) string {
	text := ""
	for _, p := range d.Components {
		text += fmt.Sprintf("%s %.2f x %.2f; ", p.Name, p.Value, p.Amount)
	}
	return text
}

func lowestShareText(shares []*float64) string {
	at, share := journal.LowestShare(shares)
	if at < 0 {
		return "-"
	}
	return fmt.Sprintf("%d: %.2f", at, share)
}

func largestCostText(d *journal.Day) string {
	p, ok := d.LargestCost()
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%s %.3f", p.Name, p.Value)
}
