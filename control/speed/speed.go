// Package speed estimates by which factor runs take longer on an executor than elsewhere. An
// executor that has become slow still answers as fast as others, so only the progress of its runs
// reveals it.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of the newest sample in an average.
	sampleWeight = 0.4
	// halfLife is the time in which an estimate loses half of its weight, so that an executor
	// without work is tried again.
	halfLife = 4 * time.Second
	// maxRatio bounds a sample, so that a stalled run does not outweigh all others.
	maxRatio = 10
	// maxSamples is the number of run times kept for a step.
	maxSamples = 8
	// minOtherSamples is the number of samples from other executors that a comparison needs.
	minOtherSamples = 2
	// minEstimates is the number of run times after which a queue's estimates are used.
	minEstimates = 10
	// maxDeviation is the highest mean deviation of the logarithm of a run time from its estimate
	// at which estimates are used.
	maxDeviation = 0.4
)

// Executor is the slowdown estimate of one executor.
type Executor struct {
	// logRatio is the logarithm of the factor by which runs take longer.
	logRatio float64
	at       time.Duration
}

// Observe records that a run takes ratio times as long as expected.
func (e *Executor) Observe(ratio float64, now time.Duration) {
	x := math.Log(min(max(ratio, 1/float64(maxRatio)), maxRatio))
	e.logRatio = e.decayed(now)*(1-sampleWeight) + x*sampleWeight
	e.at = now
}

// Slowdown returns by which factor runs take longer than elsewhere, at least 1.
func (e *Executor) Slowdown(now time.Duration) float64 { return math.Exp(max(0, e.decayed(now))) }

func (e *Executor) decayed(now time.Duration) float64 {
	return e.logRatio * math.Exp2(-float64(now-e.at)/float64(halfLife))
}

type sample struct {
	executor string
	duration time.Duration
}

// StepSamples holds recent run times of the tasks of one step.
type StepSamples struct{ samples []sample }

// Observe records a run time, or the one extrapolated from the progress of a run.
func (s *StepSamples) Observe(executor string, d time.Duration) {
	if len(s.samples) == maxSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, sample{executor, d})
}

// MedianElsewhere returns the median run time on other executors; ok is false with too few
// samples.
func (s *StepSamples) MedianElsewhere(executor string) (d time.Duration, ok bool) {
	var others []time.Duration
	for _, x := range s.samples {
		if x.executor != executor {
			others = append(others, x.duration)
		}
	}
	if len(others) < minOtherSamples {
		return 0, false
	}
	slices.Sort(others)
	return others[len(others)/2], true
}

// EstimateAccuracy tracks how well the estimates of the submissions of a queue match the run
// times.
type EstimateAccuracy struct {
	count int
	// mean and deviation are those of the logarithm of run time over estimate.
	mean, deviation float64
}

// Observe records the run time of a task and its estimate.
func (e *EstimateAccuracy) Observe(actual, estimate time.Duration) {
	if actual <= 0 || estimate <= 0 {
		return
	}
	x := math.Log(float64(actual) / float64(estimate))
	weight := max(sampleWeight/4, 1/float64(e.count+1))
	e.count++
	e.deviation += (math.Abs(x-e.mean) - e.deviation) * weight
	e.mean += (x - e.mean) * weight
}

// Accuracy returns the typical ratio of run time to estimate, and the mean deviation of the logarithm from it; ok is false while
// there are too few run times.
func (e *EstimateAccuracy) Accuracy() (ratio, deviation float64, ok bool) {
	return math.Exp(e.mean), e.deviation, e.count >= minEstimates
}

// ExpectedDuration returns the run time to expect for an estimate; ok is false while estimates are
// too few or too inaccurate.
func (e *EstimateAccuracy) ExpectedDuration(estimate time.Duration) (d time.Duration, ok bool) {
	if e.count < minEstimates || e.deviation > maxDeviation {
		return 0, false
	}
	return time.Duration(float64(estimate) * math.Exp(e.mean)), true
}

// MeanFactor returns the typical run time as a multiple of the estimate; ok is false while too few run times are known.
// Unlike ExpectedDuration, it also holds where single estimates are inaccurate.
func (e *EstimateAccuracy) MeanFactor() (factor float64, ok bool) {
	if e.count < minEstimates {
		return 0, false
	}
	return math.Exp(e.mean), true
}
