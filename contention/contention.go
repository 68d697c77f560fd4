// Package contention learns how much tasks that fill an executor raise the tail
// latency of the tasks that serve beside them, and from that decides which may
// share an executor and at which pace. Tasks of one image behave alike, and the
// effect differs by the pair of images. It answers the load of a deployment
// whose tasks that serve reserve more processors than they use.
//
// Latencies are modelled as base * (1 + sum of pressure * processors). The base
// moves with a task's own load; it is taken from tasks of the same group (the
// same step of the same submission) that nothing disturbs at the time.
package contention

import "time"

const (
	// defaultPressure is the assumed rise per processor in use of an unknown pair.
	defaultPressure = 0.04
	// maxPressure bounds what one outlier can teach.
	maxPressure = 8.0
	// learnUp and learnDown are the shares of a sample's error that are corrected.
	learnUp, learnDown = 0.5, 0.15
	// noise is the error, as a share of the base, that reported latencies have by
	// themselves. Smaller errors are not learnt, as they would add up for pairs
	// that are seen often.
	noise = 0.2
	// peakDecay lets the highest latency of an image fade with each undisturbed sample.
	peakDecay = 0.998
	// meanRate is the weight of an undisturbed latency in the mean of its image.
	meanRate = 0.03
	// firstMeanShare is the assumed mean of an unknown image, as a share of its target.
	firstMeanShare = 0.4
	// firstPeakShare is the assumed peak of an unknown image, as a share of its target.
	firstPeakShare = 0.6
	// minProcessors is the use below which no pressure can be told from noise.
	minProcessors = 0.2
	// cleanAge is how long an undisturbed latency stands for a task's own load.
	cleanAge = 1600 * time.Millisecond
)

// Pair is a serving and a filling image.
type Pair struct{ Serving, Filling string }

// Filler is the processor time that the tasks of one image use on an executor.
type Filler struct {
	Image string
	// Processors is in whole processors.
	Processors float64
}

// Serving is the latency of one task that serves.
type Serving struct {
	// Group names tasks that share their load.
	Group, Image    string
	Latency, Target time.Duration
}

// clean is an undisturbed latency.
type clean struct {
	latency float64
	at      time.Duration
}

// Model holds what was learnt. The zero value is not usable.
type Model struct {
	// peak and mean describe the undisturbed latencies of an image in nanoseconds.
	peak, mean map[string]float64
	pressure   map[Pair]float64
	clean      map[string]clean
}

// New returns a model without knowledge.
func New() *Model {
	return &Model{peak: make(map[string]float64), mean: make(map[string]float64), pressure: make(map[Pair]float64), clean: make(map[string]clean)}
}

// Observe takes in a latency and what fills beside the task.
func (m *Model) Observe(s Serving, fillers []Filler, now time.Duration) {
	latency := float64(s.Latency)
	if latency <= 0 || s.Target <= 0 {
		return
	}
	if len(fillers) == 0 {
		m.clean[s.Group] = clean{latency, now}
		m.peak[s.Image] = max(m.peakOf(s.Image, s.Target)*peakDecay, latency)
		m.mean[s.Image] = m.meanOf(s.Image, s.Target) + meanRate*(latency-m.meanOf(s.Image, s.Target))
		return
	}
	base := m.peakOf(s.Image, s.Target)
	c, known := m.clean[s.Group]
	if known = known && now-c.at <= cleanAge; known {
		base = c.latency
	}
	miss := latency/base - 1 - m.Rise(s.Image, fillers)
	switch {
	case miss > noise:
		m.blame(s.Image, fillers, learnUp*(miss-noise))
	case miss < 0 && known:
		m.excuse(s.Image, fillers, miss)
	}
}

// blame spreads an unexplained rise over the images that are there, most on those
// that are suspected already: few pairs disturb at all, so a rise has mostly one cause.
func (m *Model) blame(image string, fillers []Filler, rise float64) {
	total := 0.0
	for _, f := range fillers {
		total += m.suspicion(image, f) * f.Processors
	}
	if total < minProcessors*defaultPressure {
		return
	}
	for _, f := range fillers {
		m.adjust(Pair{image, f.Image}, rise*m.suspicion(image, f)/total)
	}
}

func (m *Model) suspicion(image string, f Filler) float64 {
	return (m.Pressure(Pair{image, f.Image}) + defaultPressure) * f.Processors
}

// excuse lowers the pressures that predicted more than was seen.
func (m *Model) excuse(image string, fillers []Filler, miss float64) {
	predicted := m.Rise(image, fillers)
	if predicted <= 0 {
		return
	}
	share := learnDown * min(1, -miss/predicted)
	for _, f := range fillers {
		p := Pair{image, f.Image}
		m.adjust(p, -share*m.Pressure(p))
	}
}

func (m *Model) adjust(p Pair, by float64) {
	m.pressure[p] = min(maxPressure, max(0, m.Pressure(p)+by))
}

func (m *Model) peakOf(image string, target time.Duration) float64 {
	if b, ok := m.peak[image]; ok {
		return b
	}
	return firstPeakShare * float64(target)
}

func (m *Model) meanOf(image string, target time.Duration) float64 {
	if b, ok := m.mean[image]; ok {
		return b
	}
	return firstMeanShare * float64(target)
}

// Pressure returns the rise in latency per processor in use.
func (m *Model) Pressure(p Pair) float64 {
	if v, ok := m.pressure[p]; ok {
		return v
	}
	return defaultPressure
}

// Rise returns the expected rise in the latency of a serving image, 0 for none.
func (m *Model) Rise(image string, fillers []Filler) float64 {
	rise := 0.0
	for _, f := range fillers {
		rise += m.Pressure(Pair{image, f.Image}) * f.Processors
	}
	return rise
}

// Expected returns the expected mean latency of a task that serves, as a share
// of its target. At the peaks of its own load, paces keep the target.
func (m *Model) Expected(image string, target time.Duration, fillers []Filler) float64 {
	if target <= 0 {
		return 0
	}
	return m.meanOf(image, target) * (1 + m.Rise(image, fillers)) / float64(target)
}

// Base returns the latency that a task has now without what fills beside it.
// known is false when it is inferred from the disturbed latency.
func (m *Model) Base(s Serving, fillers []Filler, now time.Duration) (base float64, known bool) {
	if c, ok := m.clean[s.Group]; ok && now-c.at <= cleanAge {
		return c.latency, true
	}
	return float64(s.Latency) / (1 + m.Rise(s.Image, fillers)), false
}
