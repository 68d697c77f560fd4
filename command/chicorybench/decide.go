package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/decide"
)

func newDecide() *cobra.Command {
	return newBenchCommand("decide", "Measure the cost of scheduling decisions and the start latency of urgent work", decide.Run)
}
