package faultmatrix

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// event is something at which a fault can begin: a message, a store operation or
// a mark set by the scenario.
type event struct {
	mark string
	msg  *message
	op   *storeOp
}

func (e event) isCall(t wire.Type) bool  { return e.msg != nil && e.msg.typ == t }
func (e event) isReply(t wire.Type) bool { return e.msg != nil && e.msg.call == t }

// entryHost and vmHost name the processes that the fault strikes.
func (e event) entryHost() string {
	for _, h := range e.hosts() {
		if strings.HasPrefix(h, "e") {
			return h
		}
	}
	return "e0"
}

func (e event) vmHost() string {
	for _, h := range e.hosts() {
		if strings.HasPrefix(h, "vm") {
			return h
		}
	}
	return "vm1"
}

func (e event) hosts() []string {
	switch {
	case e.msg != nil:
		return []string{e.msg.from, e.msg.to}
	case e.op != nil:
		return []string{e.op.host}
	}
	return nil
}

// readRecords reads the task rows from the store.
func readRecords(c *cluster) map[string]task.Record {
	out := make(map[string]task.Record)
	rows, err := c.table.Scan(context.Background(), "task/", "", 1000)
	if err != nil {
		return out
	}
	for _, r := range rows {
		var rec task.Record
		if msgpack.Unmarshal(r.Value, &rec) == nil {
			out[rec.Spec.ID] = rec
		}
	}
	return out
}

// cell is one run: a fault that begins at a step.
type cell struct {
	step  step
	fault fault
	// reply applies the fault to the answer of the step's call.
	reply bool
}

func (c cell) name() string {
	n := c.step.name + "/" + c.fault.name
	if c.reply {
		n += " (answer)"
	}
	return strings.ReplaceAll(n, " ", "_")
}

// result is what a run showed.
type result struct {
	fired      bool
	violations []history.Violation
	log        []string
	events     []history.Event
}

// runCells executes one scenario with every given fault.
func runCells(ctx context.Context, cells ...cell) result {
	c := newCluster(ctx)
	s := newScenario(c)
	fired := make([]bool, len(cells))
	seen := newSeen()
	c.onEvent = func(e event) verdict {
		c.mu.Lock()
		first := seen.note(e)
		var due []cell
		for i, x := range cells {
			if !fired[i] && time.Since(c.start) >= x.step.from && x.matches(e, first) {
				fired[i] = true
				due = append(due, x)
			}
		}
		c.mu.Unlock()
		var v verdict
		for _, x := range due {
			c.logf("fault: %s", x.name())
			v = merge(v, x.fault.apply(c, s, e))
		}
		return v
	}
	for _, x := range cells {
		s.takeover = s.takeover || x.step.takeover
	}
	s.run()
	c.stop()
	events := c.rec.Events()
	for id, rec := range readRecords(c) {
		if task.Terminal(rec.State) {
			events = append(events, history.Event{At: settleBy, Kind: history.FinalStateRead, Task: id, Attempt: rec.Attempt, Outcome: rec.State})
		}
	}
	reachable := true
	for _, x := range cells {
		reachable = reachable && !x.fault.separates
	}
	violations := history.Check(events, history.Options{Finished: true, Unfinished: s.watchers, ResultsReachable: reachable})
	if len(s.accepted) != 10 {
		violations = append(violations, history.Violation{Invariant: history.NothingLost, Detail: fmt.Sprintf("%d of 10 tasks were accepted", len(s.accepted))})
	}
	all := true
	for _, f := range fired {
		all = all && f
	}
	return result{fired: all, violations: violations, log: c.lines(), events: events}
}

func merge(a, b verdict) verdict {
	return verdict{drop: a.drop || b.drop, duplicate: a.duplicate || b.duplicate, silence: a.silence || b.silence, delay: max(a.delay, b.delay)}
}

func (x cell) matches(e event, s seenBefore) bool {
	if x.reply {
		return x.step.reply != 0 && e.isReply(x.step.reply) && x.step.replyOf(s)
	}
	return x.step.match(e, s)
}

// dump writes the trace of a failed run when FAULT_TRACE names a directory.
func (r result) dump(name string) {
	dir := os.Getenv("FAULT_TRACE")
	if dir == "" {
		return
	}
	var b strings.Builder
	for _, v := range r.violations {
		fmt.Fprintf(&b, "VIOLATION %v: %s: %s\n", v.At, v.Invariant, v.Detail)
	}
	for _, e := range r.events {
		fmt.Fprintf(&b, "%9.3f kind %d task %s/%d vm %s/%d progress %v request %s outcome %s process %s gen %d\n",
			e.At.Seconds(), e.Kind, e.Task, e.Attempt, e.VM, e.Incarnation, e.Progress, e.Request, e.Outcome, e.Process, e.Generation)
	}
	b.WriteString(strings.Join(r.log, "\n"))
	_ = os.WriteFile(dir+"/"+strings.ReplaceAll(name, "/", "+")+".txt", []byte(b.String()), 0o600)
}

// run executes cells in a bubble of virtual time.
func run(t *testing.T, cells ...cell) result {
	var r result
	synctest.Test(t, func(t *testing.T) { r = runCells(context.Background(), cells...) })
	return r
}

// Guards against a fault in the harness: without any fault the scenario must
// reach every step and keep every invariant.
func TestScenarioWithoutFault(t *testing.T) {
	var cells []cell
	for _, s := range steps {
		cells = append(cells, cell{step: s, fault: fault{name: "none", apply: func(*cluster, *scenario, event) verdict { return verdict{} }}})
	}
	start := time.Now()
	r := run(t, cells...)
	t.Logf("%v, %d history events, %d log lines", time.Since(start), len(r.events), len(r.log))
	r.dump("none")
	for _, s := range cells {
		if !containsLine(r.log, s.name()) {
			t.Errorf("step %q was not reached", s.step.name)
		}
	}
	for _, v := range r.violations {
		t.Errorf("%s: %s", v.Invariant, v.Detail)
	}
}

func containsLine(log []string, part string) bool {
	for _, l := range log {
		if strings.HasSuffix(l, "fault: "+part) {
			return true
		}
	}
	return false
}

var (
	update = flag.Bool("update", false, "write docs/fault-matrix.md from the run")
	pairs  = flag.Bool("pairs", false, "run every pair of faults")
)

// allCells lists the single-fault cells that are possible.
func allCells() []cell {
	var out []cell
	for _, s := range steps {
		for _, f := range faults {
			if impossible(s, f) != "" {
				continue
			}
			out = append(out, cell{step: s, fault: f})
			if (f.message || f.death) && s.reply != 0 {
				out = append(out, cell{step: s, fault: f, reply: true})
			}
		}
	}
	return out
}

// impossible returns why a fault cannot strike at a step.
func impossible(s step, f fault) string {
	if f.message && s.local != "" {
		return s.local
	}
	return ""
}

// Guards against every single fault at every step: each run must keep every
// invariant. The page must show the result of the run.
func TestSingleFaults(t *testing.T) {
	cells := allCells()
	p := &page{results: make(map[string]string)}
	t.Cleanup(func() { p.finish(t, len(cells)) })
	for _, x := range cells {
		t.Run(x.name(), func(t *testing.T) {
			t.Parallel()
			defer func() { p.note(x, t.Failed()) }()
			verify(t, x.name(), run(t, x))
		})
	}
}

func verify(t *testing.T, name string, r result) {
	t.Helper()
	if !r.fired {
		t.Errorf("the fault did not strike: the step was not reached")
	}
	for _, v := range r.violations {
		t.Errorf("%v %s: %s", v.At, v.Invariant, v.Detail)
	}
	if t.Failed() {
		r.dump(name)
	}
}
