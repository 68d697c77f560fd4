package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A latency covers the time in which a run worked that has just ended, while the use of
// processors in the same list is a mean that has fallen. The pressure of the image would
// be learnt too high.
func TestLatencyIsExplainedByTheHighestUseOfItsWindow(t *testing.T) {
	n := &node{}
	observe := func(d time.Duration, shares map[string]float64) map[string]float64 { return n.peakUsage(shares, d) }
	observe(1*time.Second, map[string]float64{"a": 0.2})
	got := observe(1300*time.Millisecond, map[string]float64{"a": 0.05, "b": 0.1})
	assert.DeepEqual(t, got, map[string]float64{"a": 0.2, "b": 0.1})
	got = observe(1600*time.Millisecond, map[string]float64{"b": 0.1})
	assert.DeepEqual(t, got, map[string]float64{"a": 0.05, "b": 0.1})
	got = observe(2500*time.Millisecond, map[string]float64{})
	assert.DeepEqual(t, got, map[string]float64{})
}
