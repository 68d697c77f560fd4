package contention

import (
	"math"
	"time"
)

const (
	// defaultInterference is the assumed interference of an unknown pair. It allows one task of a
	// usual size to be tried beside a latency-critical task.
	defaultInterference = 1.0
	// priorWeight is the weight of that assumption, in squared shares.
	priorWeight = 0.004
	// sampleDecayTime is the time in which the weight of a sample falls to 1/e.
	sampleDecayTime = 60 * time.Second
	// decayInterval is the time between two decays of the sums.
	decayInterval = 500 * time.Millisecond
	// uncertaintyHalvingWeight is the weight of samples, in squared shares, that halves the
	// uncertainty.
	uncertaintyHalvingWeight = 0.015
	// solverPasses is the number of coordinate descent passes. The solver starts from the last
	// solution, so few are enough.
	solverPasses = 3
)

// estimator fits the interference on one latency-critical image: the non-negative least squares
// solution over samples of differences of shares, by best-effort image, and of utilization.
type estimator struct {
	index  map[string]int
	images []string
	// gram and moment are the sums of products that determine the solution.
	gram         [][]float64
	moment       []float64
	coefficients []float64
	stale        bool
	// decayedAt is when the sums were last decayed.
	decayedAt time.Duration
}

func newEstimator() *estimator {
	return &estimator{index: make(map[string]int)}
}

func (e *estimator) indexOf(image string) int {
	i, ok := e.index[image]
	if ok {
		return i
	}
	i = len(e.images)
	e.index[image] = i
	e.images = append(e.images, image)
	for r := range e.gram {
		e.gram[r] = append(e.gram[r], 0)
	}
	e.gram = append(e.gram, make([]float64, i+1))
	e.moment = append(e.moment, 0)
	e.coefficients = append(e.coefficients, defaultInterference)
	return i
}

// add records one sample. A lower bound of the utilization only counts when the fitted
// interference predicts less.
func (e *estimator) add(d difference, now time.Duration) {
	for image := range d.shares {
		e.indexOf(image)
	}
	if d.lowerBound && e.predictedUtilization(d.shares) >= d.utilization {
		return
	}
	e.decay(now)
	for image, share := range d.shares {
		p := e.index[image]
		e.moment[p] += d.weight * share * d.utilization
		for other, otherShare := range d.shares {
			e.gram[p][e.index[other]] += d.weight * share * otherShare
		}
	}
	e.stale = true
}

// predictedUtilization returns the utilization that the fitted interference predicts for shares.
func (e *estimator) predictedUtilization(shares map[string]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += e.interference(image) * share
	}
	return sum
}

// decay reduces the weight of earlier samples with their age.
func (e *estimator) decay(now time.Duration) {
	age := now - e.decayedAt
	if age < decayInterval {
		return
	}
	e.decayedAt = now
	factor := math.Exp(-float64(age) / float64(sampleDecayTime))
	for r := range e.gram {
		e.moment[r] *= factor
		for c := range e.gram[r] {
			e.gram[r][c] *= factor
		}
	}
}

// interference returns the fitted interference of a best-effort image.
func (e *estimator) interference(image string) float64 {
	i, ok := e.index[image]
	if !ok {
		return defaultInterference
	}
	if e.stale {
		e.solve()
		e.stale = false
	}
	return e.coefficients[i]
}

// uncertainty returns how far the interference of a best-effort image may exceed its fit. It falls
// with the weight of the samples that include the image.
func (e *estimator) uncertainty(image string) float64 {
	i, ok := e.index[image]
	if !ok {
		return defaultInterference
	}
	return defaultInterference * uncertaintyHalvingWeight / (uncertaintyHalvingWeight + e.gram[i][i])
}

// solve runs coordinate descent from the last solution.
func (e *estimator) solve() {
	for range solverPasses {
		for i := range e.coefficients {
			rest := e.moment[i] + priorWeight*defaultInterference
			for k, v := range e.coefficients {
				if k != i {
					rest -= e.gram[i][k] * v
				}
			}
			e.coefficients[i] = max(0, rest/(e.gram[i][i]+priorWeight))
		}
	}
}
