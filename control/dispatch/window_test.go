package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A latency still covers the time of a run that has just ended, while the processor usage in the
// same snapshot is a mean that has fallen already. Using that mean, the interference of the image
// would be learned too high.
func TestPeakUsageCoversLatencyWindow(t *testing.T) {
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
