package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
)

const (
	sigTerm = syscall.SIGTERM
	sigCont = syscall.SIGCONT
)

// faultKind is a kind of fault that a run can inject.
type faultKind struct {
	name string
	// weight is the relative probability of the kind.
	weight int
	inject func(c *cluster, f *fault)
}

// fault is one fault of a run.
type fault struct {
	at, duration time.Duration
	kind         *faultKind
	// target selects a process, an executor or a link; intensity is from 1 to 5.
	target, intensity int
}

func (f *fault) String() string {
	return fmt.Sprintf("%v for %v: %s (target %d, intensity %d)", f.at, f.duration, f.kind.name, f.target, f.intensity)
}

var faultKinds = []faultKind{
	{"a process is killed", 3, func(c *cluster, f *fault) { c.restartTarget(f, syscall.SIGKILL) }},
	{"a process is stopped", 2, func(c *cluster, f *fault) { c.restartTarget(f, syscall.SIGTERM) }},
	{"a process is frozen", 3, (*cluster).freeze},
	{"a process gets a series of SIGHUPs", 1, (*cluster).sendHangups},
	{"all processes are killed", 1, (*cluster).restartAll},
	{"links of a process are slow", 2, func(c *cluster, f *fault) {
		c.degradeLinks(f, linkFault{delay: time.Duration(f.intensity) * 100 * time.Millisecond})
	}},
	{"links of a process drop all data", 2, func(c *cluster, f *fault) { c.degradeLinks(f, linkFault{dropForward: true, dropBack: true}) }},
	{"links of a process drop one direction", 2, func(c *cluster, f *fault) {
		c.degradeLinks(f, linkFault{dropBack: f.intensity%2 == 0, dropForward: f.intensity%2 == 1})
	}},
	{"one link of a process drops all data", 3, (*cluster).silenceLink},
	{"connections of a process are reset", 2, (*cluster).resetLinks},
	{"open connections of all processes go silent", 2, (*cluster).silenceOpenConns},
	{"the store is down", 2, func(c *cluster, f *fault) { c.injectStoreFault(f, standin.Faults{Down: true}) }},
	{"the store is slow", 1, func(c *cluster, f *fault) {
		c.injectStoreFault(f, standin.Faults{Latency: time.Duration(f.intensity) * 60 * time.Millisecond})
	}},
	{"the store loses responses", 2, func(c *cluster, f *fault) { c.injectStoreFault(f, standin.Faults{LoseResponses: 3 * f.intensity}) }},
	{"the store delays writes", 1, func(c *cluster, f *fault) {
		c.injectStoreFault(f, standin.Faults{DelayCommits: 3 * f.intensity, CommitDelay: time.Duration(f.intensity) * time.Second})
	}},
	{"the store drops its history", 1, func(c *cluster, _ *fault) { c.table.Compact() }},
	{"an operator evacuates a zone", 2, func(c *cluster, f *fault) { c.evacuate(f, zoneName(f.target)) }},
	{"an operator evacuates all zones", 1, func(c *cluster, f *fault) { c.evacuate(f, zoneName(0), zoneName(1)) }},
	{"an executor crashes", 2, func(c *cluster, f *fault) { c.replaceExecutor(f, false, false) }},
	{"an executor restarts with the same id", 1, func(c *cluster, f *fault) { c.replaceExecutor(f, true, false) }},
	{"an executor drains and is replaced", 1, func(c *cluster, f *fault) { c.replaceExecutor(f, false, true) }},
	{"an executor is unresponsive", 1, func(c *cluster, f *fault) { c.injectExecutorFault(f, standin.ExecutorFaults{Unresponsive: true}) }},
	{"an executor is unavailable for all orders", 1, func(c *cluster, f *fault) { c.injectExecutorFault(f, standin.ExecutorFaults{Unavailable: true}) }},
	{"an executor fails every run that it starts", 1, func(c *cluster, f *fault) { c.injectExecutorFault(f, standin.ExecutorFaults{FailRuns: true}) }},
	{"orders are executed and the responses lost", 2, func(c *cluster, f *fault) {
		c.injectExecutorFault(f, standin.ExecutorFaults{LoseResponses: f.intensity})
	}},
	{"orders are executed after a delay", 2, func(c *cluster, f *fault) {
		c.injectExecutorFault(f, standin.ExecutorFaults{DelayOrders: f.intensity, OrderDelay: time.Duration(f.intensity) * 2 * time.Second})
	}},
	{"an executor restarts with the same id behind a cut", 3, func(c *cluster, f *fault) { c.restartBehindCut(f, c.targetExecutor(f)) }},
	{"an executor restarts repeatedly with the same id behind cuts", 2, (*cluster).restartRepeatedlyBehindCuts},
	{"the executors of a zone restart with the same ids behind a cut", 2, (*cluster).restartZoneBehindCut},
	{"an executor restarts with the same id and is cut off soon after", 2, (*cluster).restartBeforeCut},
}

// generateFaults returns the faults of a run in order of their start times. Faults may overlap.
func generateFaults(r *rand.Rand, d time.Duration) []fault {
	total := 0
	for i := range faultKinds {
		total += faultKinds[i].weight
	}
	const minGapMS, maxGapMS, minDurationMS, maxDurationMS = 200, 3000, 200, 6000
	var out []fault
	for at := time.Second; at < d; at += time.Duration(minGapMS+r.IntN(maxGapMS-minGapMS)) * time.Millisecond {
		pick, i := r.IntN(total), 0
		for pick >= faultKinds[i].weight {
			pick -= faultKinds[i].weight
			i++
		}
		out = append(out, fault{at: at, duration: time.Duration(minDurationMS+r.IntN(maxDurationMS-minDurationMS)) * time.Millisecond, kind: &faultKinds[i],
			target: r.IntN(1 << 16), intensity: 1 + r.IntN(5)})
	}
	return out
}

// targetNode returns the process that a fault affects.
func (c *cluster) targetNode(f *fault) *node {
	nodes := c.nodes()
	return nodes[f.target%len(nodes)]
}

func (c *cluster) restartTarget(f *fault, s syscall.Signal) {
	c.restartNode(c.targetNode(f), s, f.duration/4)
}

func (c *cluster) restartNode(n *node, s syscall.Signal, pause time.Duration) {
	if !n.tryReserve() {
		return
	}
	defer n.release()
	if err := n.restart(s, gracePeriod, pause); err != nil {
		c.fail("%v", err)
	}
}

func (c *cluster) restartAll(f *fault) {
	for _, n := range c.nodes() {
		go c.restartNode(n, syscall.SIGKILL, f.duration/4)
	}
	time.Sleep(f.duration / 4)
}

func (c *cluster) freeze(f *fault) {
	n := c.targetNode(f)
	if !n.tryReserve() {
		return
	}
	defer n.release()
	n.signal(syscall.SIGSTOP)
	time.Sleep(f.duration)
	n.signal(sigCont)
}

func (c *cluster) sendHangups(f *fault) {
	n := c.targetNode(f)
	if !n.tryReserve() {
		return
	}
	defer n.release()
	for range f.intensity {
		n.signal(syscall.SIGHUP)
		time.Sleep(f.duration / 5)
	}
}

func (c *cluster) degradeLinks(f *fault, lf linkFault) {
	links := c.targetNode(f).links()
	for _, p := range links {
		p.setFault(lf)
	}
	time.Sleep(f.duration)
	for _, p := range links {
		p.setFault(linkFault{})
	}
}

func (c *cluster) silenceLink(f *fault) {
	links := c.targetNode(f).links()
	p := links[(f.target>>8)%len(links)]
	p.setFault(linkFault{dropForward: true, dropBack: true})
	time.Sleep(f.duration)
	p.setFault(linkFault{})
}

func (c *cluster) resetLinks(f *fault) {
	for range f.intensity {
		for _, p := range c.targetNode(f).links() {
			p.resetConns()
		}
		time.Sleep(f.duration / 5)
	}
}

func (c *cluster) silenceOpenConns(*fault) {
	for _, n := range c.nodes() {
		for _, p := range n.links() {
			p.silenceOpenConns()
		}
	}
}

func (c *cluster) injectStoreFault(f *fault, s standin.Faults) {
	c.table.SetFaults(s)
	time.Sleep(f.duration)
	c.table.SetFaults(standin.Faults{})
}

// evacuate evacuates zones for the duration of a fault and the time in which runs may still start there.
func (c *cluster) evacuate(f *fault, zones ...string) {
	for _, z := range zones {
		c.table.Apply(store.Write{Key: platform.EvacuationKey(z), Value: []byte("{}")})
		c.recorder.Record(history.Event{Kind: history.ZoneEvacuated, Zone: z})
	}
	time.Sleep(f.duration + history.EvacuationBound)
	for _, z := range zones {
		c.recorder.Record(history.Event{Kind: history.ZoneRestored, Zone: z})
		c.table.Apply(store.Write{Key: platform.EvacuationKey(z), Delete: true})
	}
}

// targetExecutor returns the executor that a fault affects.
func (c *cluster) targetExecutor(f *fault) *standin.Executor {
	return c.executors[f.target%len(c.executors)]
}

func (c *cluster) injectExecutorFault(f *fault, s standin.ExecutorFaults) {
	remove := c.targetExecutor(f).AddFaults(s)
	time.Sleep(f.duration)
	remove()
}

// everyCall is the number of delayed orders of a fault that delays all of them.
const everyCall = math.MaxInt

// lateness returns the time from the unanswered calls of a fault to their execution, from 2 to 12 s. The platform's executors
// execute late calls within that range.
func (f *fault) lateness() time.Duration {
	const least, choices = 2, 11
	return time.Duration(least+(f.target>>8)%choices) * time.Second
}

// cutDuration returns how long a fault cuts an executor off. The owner takes a lease for expired within most of these cuts.
func (f *fault) cutDuration() time.Duration {
	const least = 3 * time.Second
	return least + f.duration
}

const (
	// sameIDRestartPause is the time from the crash of an executor to its next incarnation in faults that combine it with a cut.
	sameIDRestartPause = 200 * time.Millisecond
	// startCheckInterval is the interval at which a fault checks whether a start was called.
	startCheckInterval = 5 * time.Millisecond
)

// restartBehindCut leaves the starts of executors unanswered until one comes, and then all calls for a moment. Then it cuts the
// executors off and restarts them under their IDs behind the cut. The next incarnations execute the unanswered calls.
func (c *cluster) restartBehindCut(f *fault, executors ...*standin.Executor) {
	var lateStarts [standin.MaxCallFaults]standin.CallFault
	for i := range lateStarts {
		lateStarts[i] = standin.CallFault{Kind: standin.CallDelayed, Delay: f.lateness()}
	}
	answerStarts := addFaults(executors, standin.ExecutorFaults{Starts: lateStarts})
	awaitStart(executors, f.duration)
	answer := addFaults(executors, standin.ExecutorFaults{DelayOrders: everyCall, OrderDelay: f.lateness()})
	time.Sleep(f.duration / 20)
	reconnect := addFaults(executors, standin.ExecutorFaults{Unreachable: true})
	answerStarts()
	answer()
	end := time.Now().Add(f.cutDuration())
	for _, e := range executors {
		e.Crash()
	}
	time.Sleep(sameIDRestartPause)
	for _, e := range executors {
		e.Boot(true)
	}
	time.Sleep(time.Until(end))
	reconnect()
}

// addFaults adds faults to several executors until remove is called.
func addFaults(executors []*standin.Executor, s standin.ExecutorFaults) (remove func()) {
	var removes []func()
	for _, e := range executors {
		removes = append(removes, e.AddFaults(s))
	}
	return func() {
		for _, remove := range removes {
			remove()
		}
	}
}

// awaitStart waits until a start of one of the executors is called, for at most limit.
func awaitStart(executors []*standin.Executor, limit time.Duration) {
	calls := func() (sum int) {
		for _, e := range executors {
			sum += e.StartCalls()
		}
		return sum
	}
	before, end := calls(), time.Now().Add(limit)
	for calls() == before && time.Now().Before(end) {
		time.Sleep(startCheckInterval)
	}
}

// restartRepeatedlyBehindCuts restarts an executor two or three times. The calls that one incarnation left unanswered are executed
// beside the runs of the second one after it, which may be cut off too.
func (c *cluster) restartRepeatedlyBehindCuts(f *fault) {
	for range 2 + f.intensity/4 {
		c.restartBehindCut(f, c.targetExecutor(f))
		time.Sleep(f.duration / 2)
	}
}

// restartZoneBehindCut restarts every second executor, which are those of one zone.
func (c *cluster) restartZoneBehindCut(f *fault) {
	var zone []*standin.Executor
	for i := f.target % 2; i < len(c.executors); i += 2 {
		zone = append(zone, c.executors[i])
	}
	c.restartBehindCut(f, zone...)
}

// restartBeforeCut restarts an executor under its ID so quickly that calls for one incarnation are answered by the next one, and
// cuts it off up to 1 s later.
func (c *cluster) restartBeforeCut(f *fault) {
	e := c.targetExecutor(f)
	e.Crash()
	e.Boot(true)
	time.Sleep(time.Duration(f.intensity) * 200 * time.Millisecond)
	reconnect := e.AddFaults(standin.ExecutorFaults{Unreachable: true})
	time.Sleep(f.cutDuration())
	reconnect()
}

// replaceExecutor ends an executor's incarnation, after draining it if drain is true, and starts the next one.
func (c *cluster) replaceExecutor(f *fault, sameID, drain bool) {
	e := c.targetExecutor(f)
	if drain {
		e.Drain()
		time.Sleep(f.duration)
	}
	e.Crash()
	time.Sleep(f.duration / 4)
	e.Boot(sameID)
}
