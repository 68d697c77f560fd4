// Command chicory-agent runs the agent process.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicoryagent"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicoryagent.New()) }
