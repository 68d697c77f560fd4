// Package speed estimates how much longer runs take on an executor than they do
// elsewhere. An executor that has turned slow answers as fast as any other, so
// only the progress of its runs shows it.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of the newest sample in an average.
	sampleWeight = 0.4
	// halfLife is the time in which an old estimate loses half of its weight, so that
	// an executor that gets no work is tried again.
	halfLife = 4 * time.Second
	// maxRatio bounds a sample, so that a run that stands still does not outweigh all others.
	maxRatio = 10
	// maxSamples is the number of samples that are kept of a step.
	maxSamples = 8
	// minOtherSamples is the number of samples from other executors that a comparison needs.
	minOtherSamples = 2
	// minEstimates is the number of run times after which a queue's estimates are used.
	minEstimates = 10
	// maxDeviation is the mean deviation of the logarithm of a run time from its
	// estimate up to which estimates are used.
	maxDeviation = 0.4
)

// Executor is what is known of one executor's speed.
type Executor struct {
	// logRatio is the logarithm of the factor by which runs take longer.
	logRatio float64
	at  time.Duration
}

// Observe takes in that a run takes ratio times as long as expected.
func (e *Executor) Observe(ratio float64, now time.Duration) {
	x := math.Log(min(max(ratio, 1/float64(maxRatio)), maxRatio))
	e.logRatio = e.decayed(now)*(1-sampleWeight) + x*sampleWeight
	e.at = now
}

// Slowdown returns how many times as long as elsewhere runs take, at least 1.
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

// Observe takes in a run time, or the one that the progress of a run leads to.
func (s *StepSamples) Observe(executor string, d time.Duration) {
	if len(s.samples) == maxSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, sample{executor, d})
}

// MedianElsewhere returns the median run time on other executors; ok is false when too few are known.
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

// EstimateAccuracy is what is known of the estimates that the submissions of a queue carry.
type EstimateAccuracy struct {
	count int
	// mean and deviation belong to the logarithm of the run time over the estimate.
	mean, deviation float64
}

// Observe takes in the run time of a task and its estimate.
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

// ExpectedDuration returns the run time to expect; ok is false while estimates tell too little.
func (e *EstimateAccuracy) ExpectedDuration(estimate time.Duration) (d time.Duration, ok bool) {
	if e.count < minEstimates || e.deviation > maxDeviation {
		return 0, false
	}
	return time.Duration(float64(estimate) * math.Exp(e.mean)), true
}
