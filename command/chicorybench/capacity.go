package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/capacity"
)

func newCapacity() *cobra.Command {
	return newBenchCommand("capacity", "Measure how resource usage grows from 150 to 600 agents", capacity.Run)
}
