package chicoryctl

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/strictyaml"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/wire"
)

func newTaskSubmit(o *options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "submit -f FILE",
		Short: "Submit tasks; a repeated submission with the same ids changes nothing",
		Long: "Submit the tasks of a YAML list with the fields id, customer, job_class, class (batch or latency_critical),\n" +
			"resources (cpu_milli, memory_mib, accelerators), zone, duration, deadline and urgent.",
		Example: "  chicoryctl task submit -f tasks.yaml\n" +
			"  echo '[{id: t1, customer: belfry-kiosk, job_class: route-plan, duration: 5s, resources: {cpu_milli: 1000, memory_mib: 512}}]' | chicoryctl task submit -f -",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			specs, err := readSpecs(cmd, file)
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			results := []wire.TaskResult{}
			for start := 0; start < len(specs); start += entry.MaxSubmit {
				var batchResults []wire.TaskResult
				batch := specs[start:min(start+entry.MaxSubmit, len(specs))]
				if err := c.call(cmd.Context(), http.MethodPost, "/v1/tasks", batch, &batchResults); err != nil {
					return errkind.Wrap(errkind.Of(err), err, "results for %d of %d tasks before the failure", len(results), len(specs))
				}
				results = append(results, batchResults...)
				progressf(cmd, "results for %d of %d tasks received", len(results), len(specs))
			}
			if err := o.print(cmd, results, resultRows(results, "accepted")); err != nil {
				return err
			}
			return resultError(results, "accepted")
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "YAML or JSON file, - for standard input")
	return cmd
}

func readSpecs(cmd *cobra.Command, file string) ([]task.Spec, error) {
	data, err := readInput(cmd, file)
	if err != nil {
		return nil, err
	}
	var specs []task.Spec
	if err := strictyaml.Decode(file, data, &specs); err != nil {
		return nil, err
	}
	if len(specs) == 0 {
		return nil, errkind.New(errkind.InvalidArgument, "%s contains no task; nothing was submitted", file)
	}
	return specs, nil
}
