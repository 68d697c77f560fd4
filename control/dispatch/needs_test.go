package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
)

// Steps whose needs no executor can meet are not evaluated again in a pass. Guards against one that is left out although it fits: after a
// pass, no step that waits may fit anywhere.
func TestStepsThatWaitFitNowhere(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 53))
		p := &largePool{now: time.Hour, count: 12}
		p.owner = newFixture(t).newOwner(testEpoch)
		for i := range p.count {
			p.report(i)
		}
		for i := range 60 {
			p.add(fmt.Sprintf("%016x", i), randomStep(random))
		}
		for pass := range 8 {
			// Some steps wait for so long that they may interfere with others.
			p.now += time.Duration(1+random.IntN(6)) * time.Second
			for i := range p.count {
				p.report(i)
			}
			p.owner.Tick(p.now)
			p.assertWaitingFitNowhere(t, fmt.Sprintf("seed %d, pass %d", seed, pass))
			b, err := p.owner.Prepare()
			assert.NilError(t, err)
			p.owner.Committed(b, p.now, p.now)
			p.owner.Flush(p.now, true)
		}
	}
}

func randomStep(random *rand.Rand) submission.Step {
	s := submission.Step{Count: 1 + random.IntN(5), Request: task.Resources{CPU: 2000 * int64(1+random.IntN(6)), Memory: 8000}, Estimate: time.Second,
		Image: fmt.Sprintf("i%d", random.IntN(4))}
	switch random.IntN(3) {
	case 0:
		s.BestEffort = true
	case 1:
		s.LatencyTarget, s.LongRunning = 50*time.Millisecond, true
	}
	return s
}

// assertWaitingFitNowhere checks the steps that wait after a pass. A step of which a task has begun to interfere with others may not add
// another one.
func (p *largePool) assertWaitingFitNowhere(t *testing.T, when string) {
	t.Helper()
	for _, w := range p.owner.waiting {
		nodes := p.owner.pool(p.owner.service(w.job.sub), p.now)
		q := p.owner.query(w, nodes, p.now)
		assert.Assert(t, placement.Rank(q, nodes.placementNodes).Best(nil) < 0, "%s: step %s waits although it fits", when, stepName(w.key))
	}
}

// A pass used to go on for as long as it took to look at all waiting steps, while leases ran out and reports waited. It stops, and the
// next ones go on where it stopped, in the same order.
func TestPlacementGoesOnInTheNextPass(t *testing.T) {
	f := newFixture(t)
	const passes = 4
	for i := range passes * stepsPerTimeCheck / 4 {
		f.executor(fmt.Sprintf("e%d", i), nil)
	}
	ids := make([]string, passes*stepsPerTimeCheck)
	for i := range ids {
		s := testSubmission(testStep(1))
		ids[i] = fmt.Sprintf("%016x", i)
		s.ID, s.Accepted = ids[i], int64(i)
		f.add(s)
	}
	clock := time.Duration(0)
	f.owner.SetPassClock(func() time.Duration {
		clock += 2 * maxPlaceTime
		return clock
	})
	// A submission that is cancelled before its turn is passed over.
	f.owner.Cancel(ids[len(ids)-1], f.now)
	for pass := range passes {
		f.now += 20 * time.Millisecond
		f.pass()
		var started []string
		for _, s := range f.starts() {
			id, _, _ := submission.ParseName(strings.Split(s, "#")[0])
			started = append(started, id)
		}
		slices.Sort(started)
		assert.DeepEqual(t, started, ids[:min((pass+1)*stepsPerTimeCheck, len(ids)-1)])
	}
}
