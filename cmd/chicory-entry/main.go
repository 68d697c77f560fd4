// Command chicory-entry runs the entry process.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicoryentry"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicoryentry.New()) }
