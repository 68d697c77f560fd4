package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/store"
)

func newStore() *cobra.Command {
	return benchCommand("store", "Measure the store operations for each task start", store.Run)
}
