package chicoryctl

import "github.com/spf13/cobra"

func newExplain(o *options) *cobra.Command {
	return newNoun("explain", "Say why a task or a request waits, was refused, moved or evicted", newExplainTask(o), newExplainRequest(o))
}

// sentences explain why a VM does not take a task, by the reasons of scheduler/tables.
var sentences = map[string]string{
	"no_vm":        "are not connected",
	"draining":     "are draining",
	"zone":         "are in another availability zone",
	"cpu":          "have too few free processors",
	"memory":       "have too little free memory",
	"accelerators": "have too few free accelerators",
	"rack":         "are in a rack that already holds enough tasks of the job",
	"quota":        "are closed to it by the customer's quota",
	"quarantine":   "are quarantined",
	"held":         "keep their free room for another task",
	"interference": "would harm their service",
}

func sentence(reason string) string {
	if s, ok := sentences[reason]; ok {
		return s
	}
	return "refuse it"
}
