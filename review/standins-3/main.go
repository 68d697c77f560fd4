// Command standins-3 plays the scripted cases of this review: it starts the project's own programs as separate processes
// on loopback addresses, with stand-ins of the platform's store, executors and requesters, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario plays a case. It returns how the rule was broken, nil if it held.
type scenario func(c *cluster, trouble bool) (broken []string, err error)

type scenarioSetup struct {
	entries, executors int
	tasks              func(task string) workload
	play               scenario
}

var scenarios = map[string]scenarioSetup{
	"crashes": crashesSetup,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder of the project's programs")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	flag.Parse()
	setup, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return notRun
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if *keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	c, err := startCluster(*bin, dir, record, setup.entries, setup.executors, setup.tasks)
	defer c.stop()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		c.stop()
		os.Exit(notRun)
	}()
	if err != nil {
		c.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	broken, err := setup.play(c, *trouble)
	if err != nil {
		c.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, b := range broken {
		c.note("broken: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return ruleBroken
	}
	c.note("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
