package chicoryctl

import (
	"context"
	"net/http"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/strictyaml"
	"github.com/chicorystand/chicorystand/control/plan"
)

// listChange is a change of one list that was read from a file.
type listChange struct {
	// baseGeneration is the generation that the change was made against.
	baseGeneration uint64
	current        plan.Document
	next           plan.Document
}

// readChange reads the file and the configuration in force. The change is based on the
// generation that the file names, or else on the one in force.
func (c *client) readChange(ctx context.Context, cmd *cobra.Command, k listKind, file string) (listChange, error) {
	data, err := readInput(cmd, file)
	if err != nil {
		return listChange{}, err
	}
	doc, hasGeneration, err := parseList(file, data, k)
	if err != nil {
		return listChange{}, err
	}
	current, err := c.config(ctx)
	if err != nil {
		return listChange{}, err
	}
	ch := listChange{baseGeneration: current.Generation, current: current, next: k.merge(current.Clone(), doc)}
	if hasGeneration {
		ch.baseGeneration = doc.Generation
	}
	ch.next.Generation = ch.baseGeneration
	if err := ch.next.Validate(); err != nil {
		return ch, errkind.New(errkind.InvalidArgument, "%s: %s; nothing was changed", file, strings.TrimPrefix(err.Error(), errkind.InvalidArgument.String()+": "))
	}
	return ch, nil
}

// parseList decodes one list, rejecting unknown fields, and reports whether it names a generation.
func parseList(file string, data []byte, k listKind) (plan.Document, bool, error) {
	var doc plan.Document
	if err := strictyaml.Decode(file, data, &doc); err != nil {
		return doc, false, err
	}
	other := doc
	other.Generation = 0
	if filtered := k.filter(other); len(filtered.Plans) != len(doc.Plans) || len(filtered.Limits) != len(doc.Limits) {
		return doc, false, errkind.New(errkind.InvalidArgument, "%s: contains another list than %ss; nothing was changed", file, k.noun)
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return doc, false, errkind.Wrap(errkind.InvalidArgument, err, "%s", file)
	}
	path, err := yaml.PathString("$.generation")
	if err != nil {
		return doc, false, errkind.Wrap(errkind.Internal, err, "path")
	}
	_, err = path.FilterFile(tree)
	return doc, err == nil, nil
}

func newListApply(o *options, k listKind) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Replace the list; fails with conflict unless its base is the generation in force",
		Long: "Replace the list. The change is based on the generation that the file names, or else on the generation in force.\n" +
			"The command waits until the change is accepted. It is idempotent: it may be repeated after a lost response.",
		Example: "  chicoryctl " + k.noun + " apply -f " + k.noun + "s.yaml",
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
			if plan.SameLists(ch.current, ch.next) {
				notef(cmd, "generation %d already contains this list; nothing was changed", ch.current.Generation)
				return o.print(cmd, k.view(ch.current), func(t table) { t.row("generation", ch.current.Generation) })
			}
			var accepted plan.Document
			if err := c.call(cmd.Context(), http.MethodPut, "/v1/config", ch.next, &accepted); err != nil {
				return err
			}
			return o.print(cmd, k.view(accepted), func(t table) {
				t.row("accepted generation", accepted.Generation)
				for _, line := range plan.Diff(ch.current, accepted) {
					t.row(line)
				}
			})
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "YAML file, - for standard input")
	return cmd
}
