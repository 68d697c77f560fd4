package chicoryctl

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newExplainTask(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "task ID",
		Short:   "Explain why a task waits, or was rejected, parked, moved or evicted",
		Example: "  chicoryctl explain task route-plan-001",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			var x entry.TaskExplanation
			if err := c.call(cmd.Context(), http.MethodGet, "/v1/tasks/"+url.PathEscape(args[0])+"/explain", nil, &x); err != nil {
				return err
			}
			return o.print(cmd, x, func(t table) {
				for _, line := range explainTask(x) {
					t.row(line)
				}
			})
		},
	}
}

// explainTask returns the explanation as sentences.
func explainTask(x entry.TaskExplanation) []string {
	v := x.Task
	lines := []string{fmt.Sprintf("Task %s is %s (attempt %d).", v.Spec.ID, v.State, v.Attempt)}
	switch {
	case v.State == task.Pending:
		lines = append(lines, explainPending(x)...)
	case v.VM != "":
		lines = append(lines, fmt.Sprintf("It has %d cpu_milli, %d MiB and %d accelerators reserved on VM %s.", v.Reserved.CPU, v.Reserved.Memory, v.Reserved.Accelerators, v.VM))
	}
	if v.Reason != errkind.None {
		lines = append(lines, strings.TrimSuffix(fmt.Sprintf("Reason of its latest end or return to the queue: %s. %s", v.Reason, v.Detail), " "))
	}
	if v.Evictions > 0 {
		lines = append(lines, fmt.Sprintf("It was evicted %d times and resumes from %v of %v.", v.Evictions, v.Progress, v.Spec.Duration))
	}
	if len(v.FailedVMs) > 0 {
		lines = append(lines, fmt.Sprintf("It failed on %d VMs: %s. It is parked after 3.", len(v.FailedVMs), strings.Join(v.FailedVMs, ", ")))
	}
	if restarts := int(v.Attempt) - 1 - int(v.Evictions) - len(v.FailedVMs); restarts > 0 {
		lines = append(lines, fmt.Sprintf("It was restarted %d more times after a VM was lost or rejected it.", restarts))
	}
	return lines
}

func explainPending(x entry.TaskExplanation) []string {
	lines := []string{fmt.Sprintf("%d tasks of its shard were accepted earlier and are still pending.", x.Ahead)}
	if x.Task.Waiting != "" {
		lines = append(lines, fmt.Sprintf("The latest placement attempt ended with %s.", x.Task.Waiting))
	}
	for _, r := range x.Reasons {
		lines = append(lines, fmt.Sprintf("%d of %d VMs %s (%s).", r.Count, x.VMs, reasonPhrase(r.Reason), r.Reason))
	}
	for _, r := range x.Refusals {
		lines = append(lines, fmt.Sprintf("It was skipped in %d scheduling passes: %s.", r.Count, r.Reason))
	}
	return lines
}
