package chicorybench

import (
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/verify/bench/control"
)

func newControl() *cobra.Command {
	return newBenchCommand("control", "Measure the control traffic of each daemon", control.Run)
}
