package chicorybench

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/delays"
)

// newDelays returns the command that breaks down the time of submissions.
func newDelays() *cobra.Command {
	return &cobra.Command{
		Use:     "delays LOG",
		Short:   "Break down the time of each queue's submissions from the owner's log",
		Example: "  chicory-bench delays front.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return errkind.Wrap(errkind.NotFound, err, "delays")
			}
			defer func() { _ = f.Close() }()
			queues, err := delays.Read(f)
			if err != nil {
				return err
			}
			return writeDelays(cmd.OutOrStdout(), queues)
		},
	}
}

// writeDelays prints one row per queue, in seconds summed over the last task of each step.
func writeDelays(w io.Writer, queues []delays.Queue) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "QUEUE\tENDED\tWAITING\tSTARTING\tWORKING\tPACED\tAGAIN\tREPEATED")
	for _, q := range queues {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\n",
			q.Name, q.Submissions, q.Waiting, q.Starting, q.Working, q.Throttled, q.Rescheduling, q.UnfinishedRuns)
	}
	return errkind.Wrap(errkind.Internal, t.Flush(), "write the table")
}
