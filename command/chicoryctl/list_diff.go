package chicoryctl

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/control/plan"
)

// diffView is the JSON and YAML form of a diff.
type diffView struct {
	BasedOn uint64   `json:"based_on"`
	InForce uint64   `json:"in_force"`
	Changes []string `json:"changes"`
}

func newListDiff(o *options, k listKind) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "diff -f FILE",
		Short:   "Show what apply would change",
		Example: "  chicoryctl " + k.noun + " diff -f " + k.noun + "s.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			ch, err := c.readChange(cmd.Context(), cmd, k, file)
			if err != nil {
				return err
			}
			v := diffView{BasedOn: ch.baseGeneration, InForce: ch.current.Generation, Changes: append([]string{}, plan.Diff(ch.current, ch.next)...)}
			if v.BasedOn != v.InForce {
				notef(cmd, "the file is based on generation %d, generation %d is in force; apply would fail", v.BasedOn, v.InForce)
			}
			return o.print(cmd, v, func(t table) {
				for _, line := range v.Changes {
					t.row(line)
				}
			})
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "YAML file, - for standard input")
	return cmd
}
