package chicoryctl

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newTaskWait(o *options) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "wait ID...",
		Short: "Wait until tasks are in a final state; fails unless all have succeeded",
		Long: "Wait until every named task has reached a final state. The exit code is 0 when all have succeeded, otherwise that of\n" +
			"cancelled, infeasible (rejected) or upstream_failed (failed), or deadline_exceeded when the wait times out.",
		Example: "  chicoryctl task wait route-plan-001 --wait 10m",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			list, err := c.awaitTasks(cmd, args, wait)
			if err != nil {
				return err
			}
			if err := o.print(cmd, list, taskRows(list)); err != nil {
				return err
			}
			return finalStateError(list)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", time.Hour, "maximum time to wait")
	return cmd
}

func (c *client) awaitTasks(cmd *cobra.Command, ids []string, wait time.Duration) ([]entry.TaskView, error) {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	last := -1
	for {
		list, err := c.tasks(ctx, selector{}, ids, len(ids))
		if err == nil && len(list) < len(ids) {
			return nil, errkind.New(errkind.NotFound, "only %d of %d tasks exist", len(list), len(ids))
		}
		final := 0
		for _, v := range list {
			if task.Terminal(v.State) {
				final++
			}
		}
		switch {
		case cmd.Context().Err() != nil:
			return nil, errkind.New(errkind.Cancelled, "interrupted; the tasks continue to run")
		case ctx.Err() != nil:
			return nil, errkind.New(errkind.DeadlineExceeded, "%d of %d tasks are in a final state after %v", final, len(ids), wait)
		case err != nil && !errkind.Of(err).Attributes().Retryable:
			return nil, err
		case err == nil && final == len(ids):
			return list, nil
		}
		if final != last {
			progressf(cmd, "%d of %d tasks are in a final state", final, len(ids))
			last = final
		}
		sleep(ctx, pollInterval)
	}
}

// finalStateError returns an error for the first task that ended in another state than succeeded.
func finalStateError(list []entry.TaskView) error {
	kinds := map[string]errkind.Kind{task.Cancelled: errkind.Cancelled, task.Rejected: errkind.Infeasible, task.Failed: errkind.UpstreamFailed}
	for _, v := range list {
		if k, ok := kinds[v.State]; ok {
			return errkind.New(k, "task %s is %s: %s", v.Spec.ID, v.State, v.Detail)
		}
	}
	return nil
}
