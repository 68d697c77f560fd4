// Package contention learns how much tasks that fill an executor raise the tail
// latency of the tasks that serve beside them, and from that decides which may
// share an executor and at which pace. Tasks of one image behave alike, and the
// effect differs by the pair of images. It answers the load of a deployment
// whose tasks that serve reserve more processors than they use.
//
// Latencies are modelled as base * (1 + sum of pressure * share), where share is the part
// of the executor's processors that the tasks of an image use. The base
// moves with a task's own load, which the tasks of a group (the same step of the
// same submission) share; it is the lowest recent latency of the group.
package contention

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meanRate is the weight of a base in the mean of its image.
	meanRate = 0.02
	// firstMeanShare is the assumed mean of an unknown image, as a share of its target.
	firstMeanShare = 0.4
	// baseAge is how long a latency stands for the load of its group.
	baseAge = 1300 * time.Millisecond
	// undisturbed is the share of the executor that may be filled beside a task that counts as undisturbed.
	undisturbed = 0.01
	// harmlessPressure is the pressure, with its doubt, below which a pair does not disturb.
	harmlessPressure = 1.2
	// disturbingPressure is the pressure from which a pair disturbs noticeably.
	disturbingPressure = 4.0
	// firstCompatible is the assumed share of pairs that get along.
	firstCompatible = 0.5
	// peakDecay lets the peak of an image fade with each sample.
	peakDecay = 0.999
	// forgetAfter is how long the latency of a task is kept at all.
	forgetAfter = 10 * time.Second
)

// Pair is a serving and a filling image.
type Pair struct{ Serving, Filling string }

// Filler is the processor time that the tasks of one image use on an executor.
type Filler struct {
	Image string
	// Share is the part of the executor's processors, 0 to 1.
	Share float64
}

// Serving is the latency of one task that serves.
type Serving struct {
	Task string
	// Group names tasks that share their load.
	Group, Image    string
	Latency, Target time.Duration
}

// measured is the latency of a task at a time.
type measured struct {
	latency float64
	at      time.Duration
	// used is the share of the executor that was filled beside the task.
	used float64
	// overSince is when the latency began to be too high on end, 0 while it is not.
	overSince time.Duration
}

// Model holds what was learnt. The zero value is not usable.
type Model struct {
	// mean is the mean base of an image in nanoseconds.
	mean map[string]float64
	// peak is the highest known base of an image, which fades.
	peak       map[string]float64
	estimators map[string]*estimator
	// groups holds the last latency of each task.
	groups map[string]map[string]measured
}

// New returns a model without knowledge.
func New() *Model {
	return &Model{mean: make(map[string]float64), peak: make(map[string]float64), estimators: make(map[string]*estimator), groups: make(map[string]map[string]measured)}
}

// Observe takes in the latencies of one executor and what fills there.
func (m *Model) Observe(serving []Serving, fillers []Filler, now time.Duration) {
	used := 0.0
	for _, f := range fillers {
		used += f.Share
	}
	for _, s := range serving {
		m.note(s, used, now)
	}
	for _, s := range serving {
		if s.Latency <= 0 || s.Target <= 0 {
			continue
		}
		base, known := m.Base(s, now)
		if known {
			mean := m.meanOf(s.Image, s.Target)
			m.mean[s.Image] = mean + meanRate*(base-mean)
			m.peak[s.Image] = max(base, m.peak[s.Image]*peakDecay)
		}
		m.estimator(s.Image).add(fillers, float64(s.Latency)/base-1, now)
	}
}

func (m *Model) note(s Serving, used float64, now time.Duration) {
	g := m.groups[s.Group]
	if g == nil {
		g = make(map[string]measured)
		m.groups[s.Group] = g
	}
	if s.Latency > 0 {
		v := measured{latency: float64(s.Latency), at: now, used: used}
		if v.latency > overTarget*float64(s.Target) {
			v.overSince = now
			if before := g[s.Task].overSince; before != 0 {
				v.overSince = before
			}
		}
		g[s.Task] = v
	}
}

// Base returns the latency in nanoseconds that a task has now by its own load:
// the lowest of its group. It is known when a task of the group works undisturbed;
// otherwise all of them may be disturbed alike, and the base is at most the
// highest that the image has had undisturbed.
func (m *Model) Base(s Serving, now time.Duration) (base float64, known bool) {
	base = float64(s.Latency)
	g := m.groups[s.Group]
	for task, v := range g {
		switch {
		case now-v.at > forgetAfter:
			delete(g, task)
		case now-v.at <= baseAge:
			known = known || v.used <= undisturbed
			base = min(base, v.latency)
		}
	}
	if len(g) == 0 {
		delete(m.groups, s.Group)
	}
	if peak := m.peak[s.Image]; !known && peak > 0 {
		base = min(base, peak)
	}
	return max(base, 1), known
}

func (m *Model) estimator(image string) *estimator {
	e := m.estimators[image]
	if e == nil {
		e = newEstimator()
		m.estimators[image] = e
	}
	return e
}

func (m *Model) meanOf(image string, target time.Duration) float64 {
	if b, ok := m.mean[image]; ok {
		return b
	}
	return firstMeanShare * float64(target)
}

// Pressure returns the rise in latency by an image that uses a whole executor, as a
// multiple of the base; it is proportional to the share in use.
func (m *Model) Pressure(p Pair) float64 {
	if e := m.estimators[p.Serving]; e != nil {
		return e.pressure(p.Filling)
	}
	return defaultPressure
}

// Harmless reports whether an image is known not to disturb a serving image.
func (m *Model) Harmless(p Pair) bool {
	e := m.estimators[p.Serving]
	return e != nil && e.pressure(p.Filling)+e.doubt(p.Filling) < harmlessPressure
}

// Compatibility returns the share, 0 to 1, of the known filling images that disturb
// none of the serving images. A pair that is not known counts with firstCompatible.
func (m *Model) Compatibility(serving []string) float64 {
	known := m.fillingImages()
	if len(known) == 0 {
		return math.Pow(firstCompatible, float64(len(serving)))
	}
	sum := 0.0
	for _, image := range known {
		fit := 1.0
		for _, s := range serving {
			fit *= m.fit(Pair{s, image})
		}
		sum += fit
	}
	return sum / float64(len(known))
}

// fit returns how well a pair gets along: 1 where it does, 0 where it disturbs.
func (m *Model) fit(p Pair) float64 {
	e := m.estimators[p.Serving]
	if e == nil {
		return firstCompatible
	}
	i, ok := e.index[p.Filling]
	if !ok {
		return firstCompatible
	}
	measured := min(1, max(0, (disturbingPressure-e.pressure(p.Filling))/(disturbingPressure-harmlessPressure)))
	certain := e.gram[i][i] / (e.gram[i][i] + doubtWeight)
	return certain*measured + (1-certain)*firstCompatible
}

// fillingImages returns the filling images that any serving image was seen with.
func (m *Model) fillingImages() []string {
	seen := make(map[string]struct{})
	for _, e := range m.estimators {
		for _, image := range e.names[1:] {
			seen[image] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Rise returns the expected rise in the latency of a serving image, 0 for none.
func (m *Model) Rise(image string, fillers []Filler) float64 {
	rise := 0.0
	for _, f := range fillers {
		rise += m.Pressure(Pair{image, f.Image}) * f.Share
	}
	return rise
}

// Expected returns the expected mean latency of a task that serves, as a share
// of its target, where what fills beside it causes a rise. At the peaks of its own
// load, paces keep the target.
func (m *Model) Expected(image string, target time.Duration, rise float64) float64 {
	if target <= 0 {
		return 0
	}
	return m.meanOf(image, target) * (1 + rise) / float64(target)
}

// Knowledge is the part of a model that a later owner continues with.
type Knowledge struct {
	Serving string
	// Mean is the mean base in nanoseconds.
	Mean float64
	// Filling, Rise and Weight describe the pairs: Rise is the pressure, and Weight the
	// weight of its samples in squared shares.
	Filling []string
	Rise    []float64
	Weight  []float64
}

// maxRestoredWeight bounds the weight of what an earlier owner has learnt, so
// that new samples soon count for more.
const maxRestoredWeight = 0.06

// Export returns what was learnt, ordered by serving image.
func (m *Model) Export() []Knowledge {
	var out []Knowledge
	for _, image := range slices.Sorted(maps.Keys(m.estimators)) {
		e := m.estimators[image]
		k := Knowledge{Serving: image, Mean: m.mean[image], Filling: slices.Clone(e.names[1:])}
		for i, name := range k.Filling {
			k.Rise = append(k.Rise, e.pressure(name))
			k.Weight = append(k.Weight, e.gram[i+1][i+1])
		}
		out = append(out, k)
	}
	return out
}

// Import takes in what an earlier owner has learnt. It is called on an empty model.
func (m *Model) Import(list []Knowledge) {
	for _, k := range list {
		if len(k.Rise) != len(k.Filling) || len(k.Weight) != len(k.Filling) {
			continue
		}
		if k.Mean > 0 {
			m.mean[k.Serving] = k.Mean
		}
		e := m.estimator(k.Serving)
		for i, image := range k.Filling {
			p := e.position(image)
			e.gram[p][p] = min(k.Weight[i], maxRestoredWeight)
			e.moment[p] = e.gram[p][p] * k.Rise[i]
			e.value[p] = k.Rise[i]
		}
	}
}
