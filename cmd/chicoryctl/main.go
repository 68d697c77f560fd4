// Command chicoryctl is the operators' command line.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicoryctl"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicoryctl.New()) }
