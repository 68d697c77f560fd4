// Command chicory-dev runs a whole deployment in one process.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicorydev"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicorydev.New()) }
