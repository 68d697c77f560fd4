package chicoryctl

import (
	"strings"

	"github.com/spf13/cobra"
)

func newTaskDescribe(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "describe ID",
		Short:   "Show the record of a task",
		Example: "  chicoryctl task describe route-plan-001",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			v, err := c.task(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.print(cmd, v, func(t table) {
				t.row("id", v.Spec.ID)
				t.row("customer", v.Spec.Customer)
				t.row("job class", v.Spec.JobClass)
				t.row("class", v.Spec.Class)
				t.row("state", v.State)
				t.row("reason", reason(v))
				t.row("detail", v.Detail)
				t.row("VM", v.VM)
				t.row("attempt", v.Attempt)
				t.row("evictions", v.Evictions)
				t.row("failed on", strings.Join(v.FailedVMs, ", "))
				t.row("declared", v.Spec.Declared.CPU, "cpu_milli,", v.Spec.Declared.Memory, "MiB,", v.Spec.Declared.Accelerators, "accelerators")
				t.row("reserved", v.Reserved.CPU, "cpu_milli,", v.Reserved.Memory, "MiB,", v.Reserved.Accelerators, "accelerators")
				t.row("progress at checkpoint", v.Progress, "of", v.Spec.Duration)
				t.row("submitted", age(v.SubmittedUnixMilli), "ago")
			})
		},
	}
}
