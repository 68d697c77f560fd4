// Command chicory-bench runs the benchmarks.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicorybench"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicorybench.New()) }
