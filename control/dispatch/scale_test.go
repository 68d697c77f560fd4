package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// largePool is an owner of many executors that are nearly full of latency-critical tasks, with
// waiting best-effort steps.
type largePool struct {
	owner *Owner
	now   time.Duration
	count int
}

const (
	latencyCriticalImages = 16
	bestEffortImages      = 30
)

func newLargePool(executors int) *largePool {
	p := &largePool{now: time.Hour, count: executors}
	p.owner = New(testBounds(), testEpoch, p.now, func(now time.Duration) int64 { return now.Milliseconds() }, zerolog.Nop())
	for i := range executors {
		p.report(i)
	}
	for i := range executors / 6 {
		p.add(fmt.Sprintf("%016x", i), submission.Step{Count: 24, Request: task.Resources{CPU: 6400, Memory: 13000},
			Image: fmt.Sprintf("s%d", i%latencyCriticalImages), LatencyTarget: 50 * time.Millisecond, LongRunning: true})
	}
	p.pass()
	for i := range executors / 4 {
		p.add(fmt.Sprintf("%016x", 1_000_000+i), submission.Step{Count: 40, Request: task.Resources{CPU: 3500, Memory: 6400},
			Image: fmt.Sprintf("f%d", i%bestEffortImages), BestEffort: true, Estimate: 3 * time.Second})
	}
	return p
}

func (p *largePool) add(id string, step submission.Step) {
	s := testSubmission(step)
	s.ID = id
	if err := p.owner.Add(s, nil, p.now); err != nil {
		panic(err)
	}
}

// report sends the snapshot of one executor with all runs that the owner has placed there.
func (p *largePool) report(i int) {
	id := fmt.Sprintf("ex-%d", i)
	inc := submission.Incarnation{ID: id, StartedAt: 1}
	r := &wire.Report{Epoch: testEpoch, Agent: "agent-" + id, FullSnapshot: true, Info: executor.Info{Incarnation: inc, Service: "pool", Address: id,
		Rack: fmt.Sprintf("r%d", i/12), Capacity: task.Resources{CPU: 32000, Memory: 128000}, Clock: p.now.Milliseconds()}}
	if n := p.owner.executors[inc]; n != nil {
		for t := range n.tasks {
			load := 20
			if t.step().BestEffort {
				load = 3000
			}
			r.Running = append(r.Running, executor.Run{Task: t.name(), Number: t.rec.Run, ProgressPercent: 100, Load: load})
		}
	}
	p.owner.ApplyReport(r, p.now)
}

func (p *largePool) pass() {
	p.owner.Tick(p.now)
	b, err := p.owner.Prepare()
	if err != nil {
		panic(err)
	}
	p.owner.Committed(b, p.now, p.now)
	p.owner.Flush(p.now, false)
}

// BenchmarkOwner measures one second of the owner's work: a snapshot of each executor and twenty
// scheduling passes in between.
func BenchmarkOwner(b *testing.B) {
	for _, executors := range []int{75, 300, 600} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			p := newLargePool(executors)
			const turns = 20
			for b.Loop() {
				for i := range executors {
					p.report(i)
					if i%(executors/turns+1) == 0 {
						p.now += time.Second / turns
						p.pass()
					}
				}
			}
		})
	}
}
