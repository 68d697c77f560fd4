// Command standins-2 runs the cases of the second review that are scripts: it starts the project's own programs as processes on
// loopback addresses, with stand-ins of the platform, of executors and of requesters, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// trial is one run of a case.
type trial struct {
	*fleet
	client *client
	// trouble is false if the case runs without the disruption.
	trouble bool
}

var cases = map[string]func(t *trial) (breaks []string, err error){
	"flapping-executor":    flappingExecutor,
	"many-tasks":           manyTasks,
	"late-start":           lateStart,
	"owners-lost":          ownersLost,
	"stalled-owner":        stalledOwner,
	"cancelled-behind-cut": cancelledBehindCut,
	"late-acceptance":      lateAcceptance,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case is named %s\n", name)
		return cannotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.stop()
	t := &trial{fleet: f, client: &client{f}, trouble: os.Getenv("TROUBLE") != "0"}
	breaks, err := run(t)
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	for _, b := range breaks {
		rec.log("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaks) > 0 {
		return broken
	}
	rec.log("held")
	fmt.Println("held")
	return held
}
