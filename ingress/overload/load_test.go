package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/backlog"
	"github.com/chicorystand/chicorystand/control/ordering"
	"github.com/chicorystand/chicorystand/wire"
)

// job is a submission of tasks of one processor in a played load.
type job struct {
	order    ordering.PendingStep
	estimate time.Duration
	// actual are the run times of the tasks that have not begun. left counts those that have not ended.
	actual []time.Duration
	left   int
	useful bool
}

type run struct {
	job *job
	end time.Duration
}

// pool plays submissions on processors in the order of the owner.
type pool struct {
	now        time.Duration
	processors int
	waiting    []*job
	running    []run
	// stale keeps the estimate as it is.
	stale      bool
	estimate   *wire.Backlog
	estimateAt time.Duration
}

// copy returns an independent copy.
func (p *pool) copy() *pool {
	c := &pool{now: p.now, processors: p.processors}
	copies := make(map[*job]*job)
	copyOf := func(j *job) *job {
		if copies[j] == nil {
			d := *j
			copies[j] = &d
		}
		return copies[j]
	}
	for _, j := range p.waiting {
		c.waiting = append(c.waiting, copyOf(j))
	}
	for _, r := range p.running {
		c.running = append(c.running, run{copyOf(r.job), r.end})
	}
	return c
}

// advance plays until the given time, or until all work has ended if that is earlier.
func (p *pool) advance(to time.Duration) {
	for {
		p.place()
		next := to
		for _, r := range p.running {
			next = min(next, r.end)
		}
		if len(p.running) == 0 || next == to {
			p.now = to
			return
		}
		p.now = next
		p.running = slices.DeleteFunc(p.running, func(r run) bool {
			if r.end > next {
				return false
			}
			if r.job.left--; r.job.left == 0 {
				r.job.useful = next <= r.job.order.HardDeadline
			}
			return true
		})
	}
}

func (p *pool) place() {
	for len(p.waiting) > 0 && len(p.running) < p.processors {
		first := 0
		for i, j := range p.waiting {
			if ordering.Less(&j.order, &p.waiting[first].order, p.now) {
				first = i
			}
		}
		j := p.waiting[first]
		p.running = append(p.running, run{j, p.now + j.actual[0]})
		if j.actual = j.actual[1:]; len(j.actual) == 0 {
			p.waiting = slices.Delete(p.waiting, first, first+1)
		}
	}
}

// publish makes the estimate that the entries get.
func (p *pool) publish() {
	if p.stale || p.now-p.estimateAt < 700*time.Millisecond {
		return
	}
	node := backlog.Node{Service: "s", CPU: int64(p.processors) * 1000, Open: true}
	for _, r := range p.running {
		// The owner knows the progress of the run.
		left := time.Duration(float64(r.job.estimate) * min(1, float64(r.end-p.now)/float64(r.job.estimate)))
		node.Runs = append(node.Runs, backlog.Run{Priority: r.job.order.Priority, CPU: 1000, IdleCPU: 1000, Remaining: left, Accuracy: 1})
	}
	in := &backlog.Input{Now: p.now, Nodes: []backlog.Node{node},
		Queues: []backlog.Policy{{Queue: queueName(0), Service: "s", Accuracy: 1}, {Queue: queueName(1), Service: "s", Priority: 1, Accuracy: 1}}}
	for _, j := range p.waiting {
		in.Waiting = append(in.Waiting, backlog.Work{Service: "s", Order: j.order, Reserved: float64(len(j.actual)) * j.estimate.Seconds(), Duration: j.estimate, TaskCPU: 1000, Accuracy: 1})
	}
	p.estimate, p.estimateAt = &wire.Backlog{Entries: 1}, p.now
	for k, q := range backlog.Estimate(in) {
		p.estimate.Queues = append(p.estimate.Queues, message(k, &q))
	}
}

func queueName(priority int) string { return fmt.Sprint("q", priority) }

func message(k backlog.Key, q *backlog.Queue) wire.QueueBacklog {
	list := func(d []time.Duration) (out []int64) {
		for i := range d {
			out = append(out, d[i].Milliseconds())
		}
		return out
	}
	return wire.QueueBacklog{Queue: k.Queue, BestEffort: k.BestEffort, FreeCPU: q.FreeCPU, CPU: q.CPU, DelayMS: list(q.Delay[:]), LeastMS: list(q.Least[:]), LateMS: list(q.Late[:])}
}

// caller submits once, and again when it was told to.
type caller struct {
	id       string
	priority int
	at       time.Duration
	tasks    int
	estimate time.Duration
	attempts int
}

// play is a load on a pool behind an entry.
type play struct {
	*testing.T
	pool       *pool
	controller *Controller
	rand       *rand.Rand
	callers    []caller
	accepted   []*job
	refusals   []time.Duration
	givenUp    int
	// check is called for each refusal.
	check func(c *caller, j *job, d Decision)
}

func newPlay(t *testing.T, seed uint64, processors int) *play {
	t.Helper()
	p := &play{T: t, pool: &pool{now: time.Hour, processors: processors}, rand: rand.New(rand.NewPCG(seed, 2)), check: func(*caller, *job, Decision) {}}
	p.controller = NewController(func() (*wire.Backlog, time.Duration) { return p.pool.estimate, p.pool.now - p.pool.estimateAt }, seed)
	return p
}

// load adds callers that want a multiple of the processors for the duration from the given time on, half of them urgent.
func (p *play) load(from, duration time.Duration, share float64) {
	for at := from; ; {
		c := caller{id: fmt.Sprint(len(p.callers)), priority: p.rand.IntN(2), tasks: 1, estimate: time.Duration(500+p.rand.IntN(1500)) * time.Millisecond}
		if p.rand.IntN(10) == 0 {
			c.tasks = 8
		}
		at += time.Duration(p.rand.ExpFloat64() * float64(c.tasks) * float64(c.estimate) / (share * float64(p.pool.processors)))
		if at > from+duration {
			return
		}
		c.at = time.Hour + at
		p.callers = append(p.callers, c)
	}
}

// run plays all callers, who return up to four times.
func (p *play) run() {
	for len(p.callers) > 0 {
		next := slices.IndexFunc(p.callers, func(c caller) bool {
			return !slices.ContainsFunc(p.callers, func(d caller) bool { return d.at < c.at })
		})
		c := p.callers[next]
		p.callers = slices.Delete(p.callers, next, next+1)
		for p.pool.now < c.at {
			p.pool.advance(min(c.at, p.pool.now+100*time.Millisecond))
			p.pool.publish()
		}
		p.submit(c)
	}
	p.pool.advance(p.pool.now + time.Hour)
}

func (p *play) submit(c caller) {
	j := p.job(&c)
	r := Request{ID: c.id, Queue: queueName(c.priority), Work: j.order.Work, TaskCPU: 1000, Chain: c.estimate, Objective: objective(&c)}
	d := p.controller.Admit(&r, p.pool.now)
	if d.OK() {
		p.controller.Settle(c.id, false, p.pool.now)
		p.accepted = append(p.accepted, j)
		p.pool.waiting = append(p.pool.waiting, j)
		p.pool.place()
		return
	}
	p.check(&c, j, d)
	p.refusals = append(p.refusals, p.pool.now)
	if c.attempts++; c.attempts > 4 {
		p.givenUp++
		return
	}
	c.at = p.pool.now + d.RetryAfter + time.Duration(p.rand.IntN(100))*time.Millisecond
	p.callers = append(p.callers, c)
}

func objective(c *caller) time.Duration { return c.estimate + c.estimate/2 }

func (p *play) job(c *caller) *job {
	o := objective(c)
	j := &job{estimate: c.estimate, left: c.tasks, order: ordering.PendingStep{Priority: c.priority, SoftDeadline: p.pool.now + o, HardDeadline: p.pool.now + ordering.HardDeadlineFactor*o,
		RemainingPath: c.estimate, Work: float64(c.tasks) * c.estimate.Seconds(), Arrived: p.pool.now, ID: c.id}}
	for range c.tasks {
		j.actual = append(j.actual, time.Duration(float64(c.estimate)*(1-backlog.RelativeSpread+2*backlog.RelativeSpread*p.rand.Float64())))
	}
	return j
}

// useful reports whether a submission is served while useful if it joins the pool and nothing else arrives.
func useful(p *pool, j *job) bool {
	c, d := p.copy(), *j
	c.waiting = append(c.waiting, &d)
	c.advance(c.now + time.Hour)
	return d.useful
}

func share(jobs []*job) float64 {
	useful := 0
	for _, j := range jobs {
		if j.useful {
			useful++
		}
	}
	return float64(useful) / math.Max(1, float64(len(jobs)))
}

// Guards against refusing anyone who could have been served, with run times from 0.1 to 1.9 of the estimates: every tenth
// refused submission is played as if it had been admitted, and nothing had come after it. Guards against a burst in which those who
// are admitted are lost more often than without refusals, and in which nobody is refused although hundreds are lost.
func TestBurst(t *testing.T) {
	for _, c := range []struct {
		load     float64
		refusals int
	}{{2.8 * 0.7, 0}, {2.8 * 2, 100}} {
		t.Run(fmt.Sprintf("load %.2f", c.load), func(t *testing.T) {
			refusals, with, without := 0, 0.0, 0.0
			for seed := range uint64(2) {
				p := burst(t, seed, c.load, true)
				refusals, with = refusals+len(p.refusals), with+share(p.accepted)/2
				without += share(burst(t, seed, c.load, false).accepted) / 2
			}
			t.Logf("%d refusals; share of the admitted that is useful %.3f, without refusals %.3f", refusals, with, without)
			assert.Assert(t, with >= without)
			assert.Assert(t, refusals >= c.refusals, "%d refusals", refusals)
		})
	}
}

// burst plays 14 s of a load between two times of 0.7 of the processors.
func burst(t *testing.T, seed uint64, load float64, enabled bool) *play {
	t.Helper()
	p := newPlay(t, seed, 40)
	p.pool.stale = !enabled
	p.load(0, 5*time.Second, 0.7)
	p.load(5*time.Second, 14*time.Second, load)
	p.load(19*time.Second, 10*time.Second, 0.7)
	p.check = func(c *caller, j *job, d Decision) {
		if d.Reason == TooLate && len(p.refusals)%10 == 0 {
			assert.Assert(t, !useful(p.pool, j), "seed %d: caller %s could have been served at %s", seed, c.id, p.pool.now-time.Hour)
		}
	}
	p.run()
	return p
}
