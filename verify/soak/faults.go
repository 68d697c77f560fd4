package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/chicorystand/chicorystand/verify/standin"
)

const (
	sigTerm = syscall.SIGTERM
	sigCont = syscall.SIGCONT
)

// kind is a kind of fault.
type kind struct {
	name string
	// weight is how often the kind is drawn.
	weight int
	inject func(c *cluster, f *fault)
}

// fault is one fault of a run.
type fault struct {
	at, lasts time.Duration
	kind      *kind
	// target picks a process, an executor or a link; amount is how strong the fault is, from 1 to 5.
	target, amount int
}

func (f *fault) String() string {
	return fmt.Sprintf("%v for %v: %s (target %d, amount %d)", f.at, f.lasts, f.kind.name, f.target, f.amount)
}

var kinds = []kind{
	{"a process is killed", 3, func(c *cluster, f *fault) { c.restart(f, syscall.SIGKILL) }},
	{"a process is stopped", 2, func(c *cluster, f *fault) { c.restart(f, syscall.SIGTERM) }},
	{"a process is frozen", 3, (*cluster).freeze},
	{"a process gets SIGHUP in series", 1, (*cluster).hangUp},
	{"all processes are killed", 1, (*cluster).killAll},
	{"links of a process are slow", 2, func(c *cluster, f *fault) { c.link(f, mode{delay: time.Duration(f.amount) * 100 * time.Millisecond}) }},
	{"links of a process are silent", 2, func(c *cluster, f *fault) { c.link(f, mode{dropForward: true, dropBack: true}) }},
	{"links of a process carry one way", 2, func(c *cluster, f *fault) { c.link(f, mode{dropBack: f.amount%2 == 0, dropForward: f.amount%2 == 1}) }},
	{"one link of a process is silent", 3, (*cluster).oneLink},
	{"connections of a process are reset", 2, (*cluster).reset},
	{"the store is down", 2, func(c *cluster, f *fault) { c.storeFault(f, standin.Faults{Down: true}) }},
	{"the store is slow", 1, func(c *cluster, f *fault) {
		c.storeFault(f, standin.Faults{Latency: time.Duration(f.amount) * 60 * time.Millisecond})
	}},
	{"the store loses answers", 2, func(c *cluster, f *fault) { c.storeFault(f, standin.Faults{LoseAnswers: 3 * f.amount}) }},
	{"the store carries out writes late", 1, func(c *cluster, f *fault) {
		c.storeFault(f, standin.Faults{DelayCommits: 3 * f.amount, CommitDelay: time.Duration(f.amount) * time.Second})
	}},
	{"the store drops its history", 1, func(c *cluster, _ *fault) { c.table.Compact() }},
	{"an executor crashes", 2, func(c *cluster, f *fault) { c.replace(f, false, false) }},
	{"an executor starts again under its id", 1, func(c *cluster, f *fault) { c.replace(f, true, false) }},
	{"an executor drains and is replaced", 1, func(c *cluster, f *fault) { c.replace(f, false, true) }},
	{"an executor answers nothing", 1, func(c *cluster, f *fault) { c.executorFault(f, standin.ExecutorFaults{Mute: true}) }},
	{"an executor refuses all orders", 1, func(c *cluster, f *fault) { c.executorFault(f, standin.ExecutorFaults{Unavailable: true}) }},
	{"an executor fails all that it starts", 1, func(c *cluster, f *fault) { c.executorFault(f, standin.ExecutorFaults{FailRuns: true}) }},
	{"orders are carried out and not answered", 2, func(c *cluster, f *fault) { c.executorFault(f, standin.ExecutorFaults{LoseAnswers: f.amount}) }},
	{"orders are carried out late", 2, func(c *cluster, f *fault) {
		c.executorFault(f, standin.ExecutorFaults{DelayOrders: f.amount, OrderDelay: time.Duration(f.amount) * 2 * time.Second})
	}},
}

// drawFaults returns the faults of a run. They come in series and overlap.
func drawFaults(r *rand.Rand, d time.Duration) []fault {
	total := 0
	for i := range kinds {
		total += kinds[i].weight
	}
	const leastGap, mostGap, leastLength, mostLength = 200, 3000, 200, 6000
	var out []fault
	for at := time.Second; at < d; at += time.Duration(leastGap+r.IntN(mostGap-leastGap)) * time.Millisecond {
		pick, i := r.IntN(total), 0
		for pick >= kinds[i].weight {
			pick -= kinds[i].weight
			i++
		}
		out = append(out, fault{at: at, lasts: time.Duration(leastLength+r.IntN(mostLength-leastLength)) * time.Millisecond, kind: &kinds[i],
			target: r.IntN(1 << 16), amount: 1 + r.IntN(5)})
	}
	return out
}

// node returns the process that a fault strikes.
func (c *cluster) node(f *fault) *node {
	all := c.nodes()
	return all[f.target%len(all)]
}

func (c *cluster) restart(f *fault, s syscall.Signal) { c.restartNode(c.node(f), s, f.lasts/4) }

func (c *cluster) restartNode(n *node, s syscall.Signal, pause time.Duration) {
	if !n.take() {
		return
	}
	defer n.release()
	if err := n.restart(s, gracePeriod, pause); err != nil {
		c.fail("%v", err)
	}
}

func (c *cluster) killAll(f *fault) {
	for _, n := range c.nodes() {
		go c.restartNode(n, syscall.SIGKILL, f.lasts/4)
	}
	time.Sleep(f.lasts / 4)
}

func (c *cluster) freeze(f *fault) {
	n := c.node(f)
	if !n.take() {
		return
	}
	defer n.release()
	n.signal(syscall.SIGSTOP)
	time.Sleep(f.lasts)
	n.signal(sigCont)
}

func (c *cluster) hangUp(f *fault) {
	n := c.node(f)
	if !n.take() {
		return
	}
	defer n.release()
	for range f.amount {
		n.signal(syscall.SIGHUP)
		time.Sleep(f.lasts / 5)
	}
}

func (c *cluster) link(f *fault, m mode) {
	links := c.node(f).links()
	for _, p := range links {
		p.set(m)
	}
	time.Sleep(f.lasts)
	for _, p := range links {
		p.set(mode{})
	}
}

func (c *cluster) oneLink(f *fault) {
	links := c.node(f).links()
	p := links[(f.target>>8)%len(links)]
	p.set(mode{dropForward: true, dropBack: true})
	time.Sleep(f.lasts)
	p.set(mode{})
}

func (c *cluster) reset(f *fault) {
	for range f.amount {
		for _, p := range c.node(f).links() {
			p.reset()
		}
		time.Sleep(f.lasts / 5)
	}
}

func (c *cluster) storeFault(f *fault, s standin.Faults) {
	c.table.SetFaults(s)
	time.Sleep(f.lasts)
	c.table.SetFaults(standin.Faults{})
}

func (c *cluster) executorFault(f *fault, s standin.ExecutorFaults) {
	e := c.executors[f.target%len(c.executors)]
	e.SetFaults(s)
	time.Sleep(f.lasts)
	e.SetFaults(standin.ExecutorFaults{})
}

// replace ends a lifetime of an executor and begins the next.
func (c *cluster) replace(f *fault, sameID, drain bool) {
	e := c.executors[f.target%len(c.executors)]
	if drain {
		e.Drain()
		time.Sleep(f.lasts)
	}
	e.Crash()
	time.Sleep(f.lasts / 4)
	e.Boot(sameID)
}
