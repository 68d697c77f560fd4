// Command standins-3 runs a case of the third review: it starts the project's programs as processes on loopback addresses, with
// stand-ins of the store, the executors and the requesters, and checks one rule by what requesters and executors have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
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
	exitHeld = iota
	exitBroken
	exitNotRun
)

// limit bounds the time of a case.
const limit = 110 * time.Second

// verdict is the result of a case: the first break of the rule, empty if it held.
type verdict string

func main() { os.Exit(run()) }

func run() int {
	bin := flag.String("bin", "target", "folder of the project's programs")
	out := flag.String("record", "record.txt", "the record of the case")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.String("keep", "", "folder for the settings and logs of the processes; empty for a temporary one")
	flag.Parse()
	scenario, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	// A case that is interrupted ends its processes, too.
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, limit)
	defer cancel()
	w, err := newWorld(rec, *bin, dir)
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	if err = w.start(ctx); err != nil {
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	v, err := scenario(ctx, w, *trouble)
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case v != "":
		rec.add("broken: %s", v)
		fmt.Println("broken:", v)
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}
