package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/recovery"
)

func newRecover() *cobra.Command {
	return newBenchCommand("recover", "Measure recovery from failures of entries, racks and the store", recovery.Run)
}
