// Command cases runs the cases of a review: it starts the real programs as separate processes on
// loopback addresses, beside stand-ins of the platform, and checks a rule of the platform.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit bounds a run with its shutdown.
	timeLimit = 110 * time.Second
)

// reviewCase is a case; run checks its rule with trouble or without.
type reviewCase struct {
	name string
	// rare is the number of executors that have a label of their own.
	rare int
	run  func(d *deployment, trouble bool) error
}

func main() { os.Exit(realMain()) }

func realMain() int {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "directory of the programs")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.String("keep", "", "directory for the settings and logs, a temporary one by default")
	flag.Parse()
	for _, c := range cases {
		if c.name == *name {
			return runCase(c, *bin, *out, *keep, *trouble)
		}
	}
	fmt.Fprintf(os.Stderr, "no case %q\n", *name)
	return exitNotRun
}

func runCase(c reviewCase, bin, out, keep string, trouble bool) int {
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := newDeployment(rec, dir, bin, c.rare)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return notRun(rec, err)
	}
	done := make(chan error, 1)
	go func() { done <- c.run(d, trouble) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(timeLimit - rec.elapsed() - gracePeriod):
		err = fmt.Errorf("the case did not end in time")
	}
	if err != nil {
		return notRun(rec, err)
	}
	return verdict(rec, trouble)
}

func notRun(rec *record, err error) int {
	rec.line("the case could not run: %v", err)
	fmt.Println("could not run:", err)
	return exitNotRun
}

func verdict(rec *record, trouble bool) int {
	rec.mu.Lock()
	broken := rec.broken
	rec.mu.Unlock()
	if len(broken) == 0 {
		rec.line("the rule held (trouble: %v)", trouble)
		fmt.Println("the rule held")
		return exitHeld
	}
	const shown = 5
	for _, b := range broken[:min(len(broken), shown)] {
		fmt.Println("rule broken:", b)
	}
	fmt.Printf("%d violations in all\n", len(broken))
	return exitBroken
}
