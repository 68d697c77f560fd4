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

// newWorth returns the command that shows where days on the users' platform lose worth.
func newWorth() *cobra.Command {
	var dir, why string
	cmd := &cobra.Command{
		Use:     "worth",
		Short:   "Show from the journal of the users' bench where days lose worth, the worst first",
		Example: "  chicory-bench worth --why 'score after the change'",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			days, err := journal.Read(dir, why)
			if err != nil {
				return errkind.Wrap(errkind.InvalidArgument, err, "worth")
			}
			if len(days) == 0 {
				return errkind.New(errkind.NotFound, "no day in %s was played for that reason", dir)
			}
			return writeWorth(cmd.OutOrStdout(), days)
		},
	}
	cmd.Flags().StringVar(&dir, "journal", "journal", "directory of the journal")
	cmd.Flags().StringVar(&why, "why", "", "only runs with this reason")
	return cmd
}

// writeWorth prints a row a day: its worth against the mark of a full score, each
// part that the worth is made of, the class and the zone that are served worst, and
// the price that takes most off.
func writeWorth(w io.Writer, days []journal.Day) error {
	slices.SortStableFunc(days, func(a, b journal.Day) int { return cmp.Compare(margin(&a), margin(&b)) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SITE\tDAY\tWORTH\tONE\tPARTS\tWORST CLASS\tWORST ZONE\tLARGEST PRICE\tBROKEN")
	for i := range days {
		d := &days[i]
		one := "-"
		if d.TargetValue != nil {
			one = fmt.Sprintf("%.3f", *d.TargetValue)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\t%s\t%s\t%s\t%s\t%v\n", d.Site, d.Name, d.NetValue, one, parts(d), lowest(d.ByClass), lowest(d.ByZone), price(d), d.RuleViolations)
	}
	return errkind.Wrap(errkind.Internal, t.Flush(), "write the table")
}

// margin returns how far the worth lies above the mark of a full score.
func margin(d *journal.Day) float64 {
	if d.TargetValue == nil {
		return d.NetValue
	}
	return d.NetValue - *d.TargetValue
}

func parts(d *journal.Day) string {
	text := ""
	for _, p := range d.Components {
		text += fmt.Sprintf("%s %.2f x %.2f; ", p.Name, p.Value, p.Amount)
	}
	return text
}

func lowest(shares []*float64) string {
	at, share := journal.LowestShare(shares)
	if at < 0 {
		return "-"
	}
	return fmt.Sprintf("%d: %.2f", at, share)
}

func price(d *journal.Day) string {
	p, ok := d.LargestCost()
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%s %.3f", p.Name, p.Value)
}
