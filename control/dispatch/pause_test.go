package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
)

const (
	// testMaxInterference is how long a latency-critical task may be over its target beside best-effort work, and
	// testThrottleDelay the time until a speed limit takes effect, on the deployments with the shortest bound.
	testMaxInterference = 4 * time.Second
	testThrottleDelay   = 100 * time.Millisecond
	// testReportWindow is the time that a reported latency covers.
	testReportWindow = 500 * time.Millisecond
	// undisturbedLatency is the latency of a task without interference in milliseconds.
	undisturbedLatency = 20
)

// contendedExecutor is an executor that runs a latency-critical task beside a best-effort task that the owner has
// learnt not to interfere. The same task of another executor shows the load without interference.
type contendedExecutor struct {
	*fixture
}

func newContendedExecutor(t *testing.T) *contendedExecutor {
	t.Helper()
	f := newFixture(t)
	critical := testStep(2)
	critical.LongRunning, critical.LatencyTarget, critical.Image, critical.MaxPerExecutor = true, 50*time.Millisecond, "s", 1
	bestEffort := testStep(1)
	bestEffort.LongRunning, bestEffort.BestEffort, bestEffort.Image, bestEffort.Request.CPU = true, true, "f", 400
	f.executor("e1", nil)
	f.add(testSubmission(critical, bestEffort))
	f.pass()
	f.executor("e2", nil)
	f.pass()
	c := &contendedExecutor{f}
	assert.Equal(t, len(c.starts()), 3)
	for range 40 {
		c.now += 250 * time.Millisecond
		c.report(undisturbedLatency)
		c.pass()
	}
	return c
}

// report reports the latency of the contended task in milliseconds, and that of the other one.
func (c *contendedExecutor) report(contended int) {
	c.executor("e1", []executor.Run{{Task: name(0, 0), Number: 1, ProgressPercent: 100, Load: contended}, {Task: name(1, 0), Number: 1, Load: 400}})
	c.executor("e2", []executor.Run{{Task: name(0, 1), Number: 1, ProgressPercent: 100, Load: undisturbedLatency}})
}

// lastLimit returns the speed limit that the best-effort task was last ordered.
func (c *contendedExecutor) lastLimit() int {
	limit := fullSpeed
	for _, m := range c.messages {
		for _, o := range m.Orders.Throttles {
			limit = o.Percent
		}
	}
	return limit
}

// Guards against a pause that is counted from the first report over the target, waits for the next report, or is
// held back by an earlier change of the limit, so that it comes after the time that counts as a violation.
func TestBestEffortWorkIsPausedWithinImpactTime(t *testing.T) {
	const pass = 20 * time.Millisecond
	for _, interval := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 930 * time.Millisecond} {
		for phase := time.Duration(0); phase < interval; phase += interval / 8 {
			for _, over := range []int{50, 53, 75, 130} {
				t.Run(fmt.Sprintf("%d ms, reports each %v from %v", over, interval, phase), func(t *testing.T) {
					c := newContendedExecutor(t)
					onset := c.now
					next := onset + phase
					for ; c.now < onset+testMaxInterference-testThrottleDelay; c.now += pass {
						if c.now >= next {
							next += interval
							latency := undisturbedLatency
							if c.now-onset >= testReportWindow {
								latency = over
							}
							c.report(latency)
						}
						c.pass()
					}
					assert.Equal(t, c.lastLimit(), 0)
				})
			}
		}
	}
}
