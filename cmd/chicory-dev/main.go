// Command chicory-dev runs a complete deployment in one process for development.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicorydev"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicorydev.New()) }
