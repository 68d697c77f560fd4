package speed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One slow run may be a long task; several in a row indicate a slow executor.
func TestExecutorIsSlowAfterSeveralSlowRuns(t *testing.T) {
	var e Executor
	e.Observe(5, time.Second)
	assert.Assert(t, e.Slowdown(time.Second) < 2)
	for range 4 {
		e.Observe(5, time.Second)
	}
	assert.Assert(t, e.Slowdown(time.Second) > 2.5)
}

// An executor that gets no work because it was slow has to be tried again.
func TestSlowdownDecays(t *testing.T) {
	var e Executor
	for range 10 {
		e.Observe(8, time.Second)
	}
	assert.Assert(t, e.Slowdown(time.Second+3*halfLife) < 1.4)
}

// Run times on a slow executor must not be taken for the usual run time of the step.
func TestStepComparesWithOtherExecutors(t *testing.T) {
	var s StepSamples
	for range 3 {
		s.Observe("slow", 9*time.Second)
	}
	_, ok := s.MedianElsewhere("slow")
	assert.Assert(t, !ok)
	s.Observe("a", time.Second)
	s.Observe("b", 2*time.Second)
	d, ok := s.MedianElsewhere("slow")
	assert.Assert(t, ok)
	assert.Equal(t, d, 2*time.Second)
}

// Inaccurate estimates must not make normal executors look slow.
func TestOnlyAccurateEstimatesAreUsed(t *testing.T) {
	var good, rough EstimateAccuracy
	for i := range 2 * minEstimates {
		good.Observe(time.Second+time.Duration(i%3)*100*time.Millisecond, time.Second)
		rough.Observe(time.Second<<(i%4), 2*time.Second)
	}
	d, ok := good.ExpectedDuration(2 * time.Second)
	assert.Assert(t, ok)
	assert.Assert(t, d > 2*time.Second && d < 2500*time.Millisecond, "%v", d)
	_, ok = rough.ExpectedDuration(2 * time.Second)
	assert.Assert(t, !ok)
}
