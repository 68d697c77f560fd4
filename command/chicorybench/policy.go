package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/policy"
)

func newPolicy() *cobra.Command {
	return newBenchCommand("policy", "Measure service tail latency, batch throughput and evictions against first-fit", policy.Run)
}
