package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/config"
)

func newConfig() *cobra.Command {
	return newBenchCommand("config", "Measure how fast an accepted configuration takes effect", config.Run)
}
