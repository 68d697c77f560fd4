package chicoryctl

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newTaskList(o *options) *cobra.Command {
	var s selector
	var limit int
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List tasks",
		Example: "  chicoryctl task list --customer belfry-kiosk --state pending",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			list, err := c.tasks(cmd.Context(), s, nil, limit)
			if err != nil {
				return err
			}
			return o.print(cmd, append([]entry.TaskView{}, list...), taskRows(list))
		},
	}
	s.addFlags(cmd)
	cmd.Flags().IntVar(&limit, "limit", entry.MaxList, "maximum number of tasks")
	return cmd
}
