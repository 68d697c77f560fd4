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

// event is a point at which a fault can be injected: a message, a store operation or a marker set by the scenario.
type event struct {
	marker string
	msg    *message
	op     *storeOp
}

func (e event) isCall(t wire.Type) bool  { return e.msg != nil && e.msg.typ == t }
func (e event) isReply(t wire.Type) bool { return e.msg != nil && e.msg.replyTo == t }

// entryHost returns the entry that the fault affects, e0 when the event involves none.
func (e event) entryHost() string {
	for _, h := range e.hosts() {
		if strings.HasPrefix(h, "e") {
			return h
		}
	}
	return "e0"
}

// vmHost returns the VM that the fault affects, vm1 when the event involves none.
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

// cell is one run of the matrix: a fault injected at a step.
type cell struct {
	step  step
	fault fault
	// onReply injects the fault at the reply to the step's call instead of the call.
	onReply bool
}

func (c cell) name() string {
	n := c.step.name + "/" + c.fault.name
	if c.onReply {
		n += " (answer)"
	}
	return strings.ReplaceAll(n, " ", "_")
}

// result is the outcome of a run; injected is true when all its faults were injected.
type result struct {
	injected   bool
	violations []history.Violation
	log        []string
	events     []history.Event
}

// runCells runs the scenario once and injects the faults of all given cells.
func runCells(ctx context.Context, cells ...cell) result {
	c := newCluster(ctx)
	s := newScenario(c)
	injected := make([]bool, len(cells))
	seen := newObservations()
	c.onEvent = func(e event) impairment {
		c.mu.Lock()
		first := seen.observe(e)
		var triggered []cell
		for i, x := range cells {
			if !injected[i] && time.Since(c.start) >= x.step.notBefore && x.matches(e, first) {
				injected[i] = true
				triggered = append(triggered, x)
			}
		}
		c.mu.Unlock()
		var v impairment
		for _, x := range triggered {
			c.logf("fault: %s", x.name())
			v = mergeImpairments(v, x.fault.apply(c, s, e))
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
			events = append(events, history.Event{At: settleDeadline, Kind: history.FinalStateRead, Task: id, Attempt: rec.Attempt, Outcome: rec.State})
		}
	}
	reachable := true
	for _, x := range cells {
		reachable = reachable && !x.fault.vmUnreachable
	}
	violations := history.Check(events, history.Options{Finished: true, Unfinished: s.longRunning, ResultsReachable: reachable})
	if len(s.accepted) != 10 {
		violations = append(violations, history.Violation{Invariant: history.NothingLost, Detail: fmt.Sprintf("%d of 10 tasks were accepted", len(s.accepted))})
	}
	all := true
	for _, f := range injected {
		all = all && f
	}
	return result{injected: all, violations: violations, log: c.logLines(), events: events}
}

func mergeImpairments(a, b impairment) impairment {
	return impairment{drop: a.drop || b.drop, duplicate: a.duplicate || b.duplicate, silence: a.silence || b.silence, delay: max(a.delay, b.delay)}
}

func (x cell) matches(e event, s observations) bool {
	if x.onReply {
		return x.step.replyTo != 0 && e.isReply(x.step.replyTo) && x.step.matchesReply(s)
	}
	return x.step.match(e, s)
}

// writeTrace writes the trace of a run when FAULT_TRACE names a directory.
func (r result) writeTrace(name string) {
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

// run runs the cells in a synctest bubble, in virtual time.
func run(t *testing.T, cells ...cell) result {
	var r result
	synctest.Test(t, func(t *testing.T) { r = runCells(context.Background(), cells...) })
	return r
}

// Guards against a faulty test harness: without any fault the scenario must reach every step and violate no invariant.
func TestScenarioWithoutFault(t *testing.T) {
	var cells []cell
	for _, s := range steps {
		cells = append(cells, cell{step: s, fault: fault{name: "none", apply: func(*cluster, *scenario, event) impairment { return impairment{} }}})
	}
	start := time.Now()
	r := run(t, cells...)
	t.Logf("%v, %d history events, %d log lines", time.Since(start), len(r.events), len(r.log))
	r.writeTrace("none")
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

// possibleCells returns all cells whose fault can occur at their step.
func possibleCells() []cell {
	var out []cell
	for _, s := range steps {
		for _, f := range faults {
			if impossibleReason(s, f) != "" {
				continue
			}
			out = append(out, cell{step: s, fault: f})
			if (f.onMessage || f.onCrash) && s.replyTo != 0 {
				out = append(out, cell{step: s, fault: f, onReply: true})
			}
		}
	}
	return out
}

// impossibleReason returns why a fault cannot occur at a step, or an empty string when it can.
func impossibleReason(s step, f fault) string {
	if f.onMessage && s.noMessageReason != "" {
		return s.noMessageReason
	}
	return ""
}

// Guards against invariant violations caused by a single fault at any step, and against an outdated
// docs/fault-matrix.md.
func TestSingleFaults(t *testing.T) {
	cells := possibleCells()
	p := &page{results: make(map[string]string)}
	t.Cleanup(func() { p.writeOrCompare(t, len(cells)) })
	for _, x := range cells {
		t.Run(x.name(), func(t *testing.T) {
			t.Parallel()
			defer func() { p.record(x, t.Failed()) }()
			checkResult(t, x.name(), run(t, x))
		})
	}
}

func checkResult(t *testing.T, name string, r result) {
	t.Helper()
	if !r.injected {
		t.Errorf("fault not injected: the step was not reached")
	}
	for _, v := range r.violations {
		t.Errorf("%v %s: %s", v.At, v.Invariant, v.Detail)
	}
	if t.Failed() {
		r.writeTrace(name)
	}
}
