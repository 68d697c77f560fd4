package chicoryctl

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/wire"
)

func newTaskCancel(o *options) *cobra.Command {
	var s selector
	cmd := &cobra.Command{
		Use:   "cancel [ID...]",
		Short: "Cancel tasks by id, or by customer, job class and state",
		Long: "Cancel tasks by id or by selector. A selector matches every task that is not in a final state, in batches of at most 10000.\n" +
			"Cancelling a cancelled task succeeds; a task in another final state is left as it is.",
		Example: "  chicoryctl task cancel route-plan-001\n  chicoryctl task cancel --customer partner-hotel --job-class route-plan --state pending",
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) == 0) == s.empty() {
				return errkind.New(errkind.InvalidArgument, "give either task ids or a selector; nothing was cancelled")
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			results, err := c.cancel(cmd, args, s)
			if err != nil {
				return err
			}
			if err := o.print(cmd, results, resultRows(results, "cancelled")); err != nil {
				return err
			}
			notef(cmd, "%d tasks", len(results))
			return resultError(results, "cancelled")
		},
	}
	s.addFlags(cmd)
	return cmd
}

// cancel sends the ids in batches, or repeats the selector until it matches less than a full batch.
func (c *client) cancel(cmd *cobra.Command, ids []string, s selector) ([]wire.TaskResult, error) {
	results := []wire.TaskResult{}
	for {
		q := entry.CancelRequest{Customer: s.customer, JobClass: s.jobClass, State: s.state}
		n := min(len(ids), entry.MaxCancel)
		q.IDs, ids = ids[:n], ids[n:]
		var batch []wire.TaskResult
		if err := c.call(cmd.Context(), http.MethodPost, "/v1/tasks/cancel", q, &batch); err != nil {
			return nil, errkind.Wrap(errkind.Of(err), err, "results for %d tasks before the failure", len(results))
		}
		results = append(results, batch...)
		progressf(cmd, "results for %d tasks received", len(results))
		more := len(ids) > 0 || (n == 0 && len(batch) == entry.MaxCancel && resultError(batch, "cancelled") == nil)
		if !more {
			return results, nil
		}
	}
}
