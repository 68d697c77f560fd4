package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/store"
)

func newStore() *cobra.Command {
	return newBenchCommand("store", "Measure the store operations per task start", store.Run)
}
