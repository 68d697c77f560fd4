package chicoryctl

import "github.com/spf13/cobra"

func newListGet(o *options, k listKind) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the list in force with its generation",
		Example: "  chicoryctl " + k.noun + " get -o yaml > " + k.noun + "s.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			d, err := c.config(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd, k.view(d), func(t table) {
				t.row("# generation", d.Generation)
				k.rows(t, d)
			})
		},
	}
}
