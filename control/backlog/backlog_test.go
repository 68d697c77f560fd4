package backlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/ordering"
)

const testNow = time.Hour

// work returns tasks of one processor for the duration, of a submission with a minute of slack.
func work(priority, tasks int, d time.Duration) Work {
	size := float64(tasks) * d.Seconds()
	return Work{Service: "pool", Reserved: size, Duration: d, TaskCPU: 1000, Accuracy: 1,
		Order: ordering.PendingStep{Priority: priority, Work: size, SoftDeadline: testNow + time.Minute, HardDeadline: testNow + 3*time.Minute}}
}

// pool returns executors whose processors are all taken by runs like r, one processor each.
func pool(executors, processors int, r Run) []Node {
	nodes := make([]Node, executors)
	for i := range nodes {
		nodes[i] = Node{Service: "pool", CPU: int64(processors) * 1000, Open: true}
		for range processors {
			r.CPU, r.IdleCPU = 1000, 1000
			nodes[i].Runs = append(nodes[i].Runs, r)
		}
	}
	return nodes
}

func policies() []Policy {
	return []Policy{{Queue: "urgent", Service: "pool", Accuracy: 1}, {Queue: "usual", Service: "pool", Priority: 1, Accuracy: 1}}
}

func repeat(n int, w Work) []Work {
	out := make([]Work, n)
	for i := range out {
		out[i] = w
	}
	return out
}

// Guards against work that is counted against a queue although it cannot hold it up, or not counted although it does.
func TestWhatHoldsUpAQueue(t *testing.T) {
	full := func(r Run) []Node { return pool(10, 4, r) }
	usualRun := Run{Priority: 1, Remaining: 2 * time.Second, Accuracy: 1, Preemptible: true}
	waiting := repeat(200, work(1, 1, 2*time.Second)) // 400 processor seconds on 40 processors
	for _, c := range []struct {
		name        string
		nodes       []Node
		waiting     []Work
		queue       Key
		least, most time.Duration
	}{
		{"work of the same queue", full(usualRun), waiting, Key{Queue: "usual"}, 9 * time.Second, 13 * time.Second},
		{"a queue of higher priority preempts", full(usualRun), waiting, Key{Queue: "urgent"}, 0, 0},
		{"work of higher priority goes first", full(usualRun), repeat(200, work(0, 1, 2*time.Second)), Key{Queue: "usual"}, 9 * time.Second, 13 * time.Second},
		{"half of the processors belong to long-running tasks", append(pool(5, 4, usualRun), pool(5, 4, Run{Permanent: true})...), waiting,
			Key{Queue: "usual"}, 18 * time.Second, 23 * time.Second},
		{"processors of higher priority are not expected back", append(pool(5, 4, usualRun), pool(5, 4, Run{Remaining: time.Second, Accuracy: 1})...), waiting,
			Key{Queue: "usual"}, 18 * time.Second, 23 * time.Second},
		{"free processors do the work sooner", pool(20, 0, Run{}), waiting, Key{Queue: "usual"}, 0, 0},
		{"no executor is known", nil, waiting, Key{Queue: "usual"}, 0, 0},
	} {
		got := Estimate(&Input{Now: testNow, Queues: policies(), Nodes: c.nodes, Waiting: c.waiting})[c.queue]
		d := got.Delay[Classes-1]
		assert.Assert(t, d >= c.least && d <= c.most, "%s: %s, want %s to %s", c.name, d, c.least, c.most)
		assert.Assert(t, got.Least[Classes-1] <= d, c.name)
	}
}

// Guards against refusals on account of work that others pass: it waits for a gang's room or a label, is larger than
// the submission, or has lost its value.
func TestLowerBoundLeavesOutWorkThatCanBePassed(t *testing.T) {
	nodes := pool(10, 4, Run{Priority: 1, Remaining: time.Second, Accuracy: 1})
	gang := work(1, 1, 2*time.Second)
	gang.Restricted = true
	expired := work(1, 1, 2*time.Second)
	expired.Order.SoftDeadline, expired.Order.HardDeadline = 0, 0
	late := work(1, 1, 2*time.Second)
	late.Order.SoftDeadline, late.Order.HardDeadline = 0, testNow+5*time.Second
	large := work(1, 100, 2*time.Second)
	reserved := Estimate(&Input{Now: testNow, Queues: policies(), Nodes: nodes, Waiting: repeat(500, work(0, 1, 2*time.Second))})
	assert.Assert(t, reserved[Key{Queue: "usual"}].Least[0] > 15*time.Second)
	assert.Assert(t, reserved[Key{Queue: "usual", BestEffort: true}].Least[0] < time.Second, "reserved work holds up best-effort work for certain")
	same := work(1, 1, 2*time.Second)
	same.Queue = "other"
	for queue, most := range map[string]time.Duration{"usual": time.Second, "other": time.Minute} {
		in := Input{Now: testNow, Queues: []Policy{{Queue: queue, Service: "pool", Priority: 1}}, Nodes: nodes, Waiting: repeat(500, same), FairShares: true}
		q := Estimate(&in)[Key{Queue: queue}]
		assert.Assert(t, q.Least[ClassOf(2)] <= most && q.Delay[ClassOf(2)] > 15*time.Second, "another share: %s", q.Least[ClassOf(2)])
	}
	for name, w := range map[string]Work{"restricted": gang, "expired": expired, "late": late, "larger": large} {
		q := Estimate(&Input{Now: testNow, Queues: policies(), Nodes: nodes, Waiting: repeat(500, w)})[Key{Queue: "usual"}]
		assert.Assert(t, q.Least[ClassOf(2)] < time.Second, "%s: %s", name, q.Least[ClassOf(2)])
		if name == "late" {
			assert.Assert(t, q.Late[SlackBucket(5*time.Second)] > 15*time.Second, "late work is not reported")
		}
	}
}

// Guards against a lower bound above the true delay: run times are drawn from 0.1 to 1.9 times their estimates, and the
// work is played in order on the processors.
func TestLowerBoundHoldsWithInaccurateEstimates(t *testing.T) {
	useful := 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		actual := func(d time.Duration) time.Duration {
			return time.Duration(float64(d) * (leastShare + 2*RelativeSpread*r.Float64()))
		}
		processors, tasks, d := 4+r.IntN(60), r.IntN(600), time.Duration(100+r.IntN(5000))*time.Millisecond
		running := make([]time.Duration, processors)
		nodes := pool(1, processors, Run{Priority: 1, Remaining: d / 2, Accuracy: 1})
		for i := range running {
			running[i] = actual(d / 2)
		}
		for range tasks {
			running[slices.Index(running, slices.Min(running))] += actual(d)
		}
		begins := slices.Min(running)
		q := Estimate(&Input{Now: testNow, Queues: policies(), Nodes: nodes, Waiting: repeat(tasks, work(1, 1, d))})[Key{Queue: "usual"}]
		assert.Assert(t, q.Least[Classes-1] <= begins, "seed %d: bound %s, begins after %s", seed, q.Least[Classes-1], begins)
		if q.Least[Classes-1] > begins/2 {
			useful++
		}
	}
	assert.Assert(t, useful > 200, "the bound is above half of the delay in only %d of 400 cases", useful)
}

// The estimate is made on the owner's loop, which must not be held up.
func BenchmarkEstimate(b *testing.B) {
	for _, executors := range []int{300, 1200} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			in := Input{Now: testNow, Nodes: pool(executors, 8, Run{Priority: 1, Remaining: time.Second, Accuracy: 1}), Waiting: repeat(500, work(1, 20, time.Second))}
			for i := range 6 {
				in.Queues = append(in.Queues, Policy{Queue: fmt.Sprint(i), Service: "pool", Priority: i % 3})
			}
			for b.Loop() {
				Estimate(&in)
			}
		})
	}
}

// Guards against refusing a submission for work that is on time now and will be late, and then goes after it: the bound may not
// exceed the slack of that work.
func TestBoundEndsWithTheSlackOfOtherWork(t *testing.T) {
	in := &Input{Now: testNow, Queues: []Policy{{Queue: "q", Service: "pool", Accuracy: 1}}, Nodes: pool(1, 8, Run{Remaining: time.Second, Accuracy: 1})}
	for range 1000 {
		w := work(0, 8, 4*time.Second)
		w.Queue = "q"
		in.Waiting = append(in.Waiting, w)
	}
	q, ok := Estimate(in)[Key{Queue: "q"}]
	assert.Assert(t, ok)
	assert.Assert(t, q.Delay[Classes-1] > 5*time.Minute)
	assert.Assert(t, q.Least[Classes-1] <= time.Minute, "%s", q.Least[Classes-1])
}
