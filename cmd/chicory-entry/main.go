// Command chicory-entry runs an entry, which serves callers and operators.
package main

import (
	"github.com/chicorystand/chicorystand/command/chicoryentry"
	"github.com/chicorystand/chicorystand/command/run"
)

func main() { run.Main(chicoryentry.New()) }
