// Command chicory-bench measures the system.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicorybench"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicorybench.New()) }
