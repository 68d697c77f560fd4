// Command chicory-agent runs the agent of a VM.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicoryagent"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicoryagent.New()) }
