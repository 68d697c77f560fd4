// Package contention learns how much tasks that fill an executor raise the tail
// latency of the tasks that serve beside them. Tasks of one image behave alike,
// and the effect differs by the pair of images. It answers the load of an
// executor whose reservations leave processors unused that tasks could fill.
//
// Latencies are modelled as base * (1 + sum of pressure * processors), where the
// base belongs to the serving image and the pressure to the pair.
package contention

import "time"

const (
	// defaultPressure is the assumed rise per processor in use of an unknown pair.
	defaultPressure = 0.25
	// maxPressure bounds what one outlier can teach.
	maxPressure = 5.0
	// learningRate is the share of a sample's error that is corrected.
	learningRate = 0.15
	// baseRate is the weight of a new latency without contention.
	baseRate = 0.05
	// firstBaseShare is the assumed base of an unknown image, as a share of its target.
	firstBaseShare = 0.35
	// loadSwing is the factor by which a task's own load raises its latency above
	// the base at the worst moments.
	loadSwing = 1.5
	// regularization keeps samples with little contention from moving the pressures far.
	regularization = 1.0
)

// Pair is a serving and a filling image.
type Pair struct{ Serving, Filling string }

// Filler is the processor time that the tasks of one image use on an executor.
type Filler struct {
	Image string
	// Processors is in whole processors.
	Processors float64
}

// Sample is the latency of one task that serves, and what fills beside it.
type Sample struct {
	Image           string
	Latency, Target time.Duration
	Fillers         []Filler
}

// Model holds what was learnt. The zero value is not usable.
type Model struct {
	base     map[string]float64
	pressure map[Pair]float64
	// byFilling is the mean pressure of a filling image, used for pairs that were not seen.
	byFilling map[string]float64
}

// New returns a model without knowledge.
func New() *Model {
	return &Model{base: make(map[string]float64), pressure: make(map[Pair]float64), byFilling: make(map[string]float64)}
}

// Observe takes in a sample.
func (m *Model) Observe(s Sample) {
	latency := float64(s.Latency)
	if latency <= 0 || s.Target <= 0 {
		return
	}
	base := m.baseOf(s.Image, s.Target)
	if len(s.Fillers) == 0 {
		m.base[s.Image] = base + baseRate*(latency-base)
		return
	}
	predicted, norm := 0.0, regularization
	for _, f := range s.Fillers {
		predicted += m.Pressure(Pair{s.Image, f.Image}) * f.Processors
		norm += f.Processors * f.Processors
	}
	miss := latency/base - 1 - predicted
	for _, f := range s.Fillers {
		p := Pair{s.Image, f.Image}
		step := learningRate * miss * f.Processors / norm
		m.pressure[p] = min(maxPressure, max(0, m.Pressure(p)+step))
		mean, ok := m.byFilling[f.Image]
		if !ok {
			mean = defaultPressure
		}
		m.byFilling[f.Image] = mean + learningRate*(m.pressure[p]-mean)
	}
}

func (m *Model) baseOf(image string, target time.Duration) float64 {
	if b, ok := m.base[image]; ok {
		return b
	}
	return firstBaseShare * float64(target)
}

// Pressure returns the rise in latency per processor in use.
func (m *Model) Pressure(p Pair) float64 {
	if v, ok := m.pressure[p]; ok {
		return v
	}
	if v, ok := m.byFilling[p.Filling]; ok {
		return v
	}
	return defaultPressure
}

// Expected returns the expected latency of a task that serves, at the worst
// moments of its own load, as a share of its target.
func (m *Model) Expected(image string, target time.Duration, fillers []Filler) float64 {
	if target <= 0 {
		return 0
	}
	rise := 0.0
	for _, f := range fillers {
		rise += m.Pressure(Pair{image, f.Image}) * f.Processors
	}
	return loadSwing * m.baseOf(image, target) * (1 + rise) / float64(target)
}
