package chicoryctl

import "github.com/spf13/cobra"

func newExplain(o *options) *cobra.Command {
	return newCommandGroup("explain", "Explain why a task or request waits, or was rejected, moved or evicted", newExplainTask(o), newExplainRequest(o))
}

// reasonPhrases describes VMs that cannot run a task, by the rejection reasons of scheduler/tables.
var reasonPhrases = map[string]string{
	"no_vm":        "are not connected",
	"draining":     "are draining",
	"zone":         "are in another availability zone",
	"cpu":          "have too few free processors",
	"memory":       "have too little free memory",
	"accelerators": "have too few free accelerators",
	"rack":         "are in a rack that already runs enough tasks of the job",
	"quota":        "are excluded by the customer's quota",
	"quarantine":   "are quarantined",
	"held":         "hold their free capacity for another task",
	"interference": "run a service that it would slow down",
}

func reasonPhrase(reason string) string {
	if s, ok := reasonPhrases[reason]; ok {
		return s
	}
	return "reject it"
}
