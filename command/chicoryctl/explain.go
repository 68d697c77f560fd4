package chicoryctl

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/errkind"
)

func newExplain(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "explain", Short: "Say why a task or a request waits, was refused, moved or evicted"}
	cmd.AddCommand(newExplainTask(o), newExplainRequest(o))
	return cmd
}

// sentences explain kinds as reasons of waiting and refusal.
var sentences = map[errkind.Kind]string{
	errkind.NotReady:           "are not connected",
	errkind.Draining:           "are draining",
	errkind.Infeasible:         "cannot run it because of its zone or size",
	errkind.CapacityExceeded:   "have too little free capacity",
	errkind.QuotaExceeded:      "are closed to it by the customer's quota",
	errkind.RateLimited:        "were refused by the plan's requests per second",
	errkind.ConcurrencyLimited: "were refused by the plan's concurrency",
	errkind.UpstreamFailed:     "failed",
}

func sentence(k errkind.Kind) string {
	if s, ok := sentences[k]; ok {
		return s
	}
	return "gave " + k.String()
}
