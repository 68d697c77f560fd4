// Command chicoryctl is the command-line client for operators.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicoryctl"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicoryctl.New()) }
