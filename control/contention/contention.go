// Package contention learns how much best-effort tasks on an executor raise the tail latency of
// the latency-critical tasks beside them, and derives which tasks may share an executor and at
// which speed the best-effort ones may run. Tasks of one image behave alike, and the effect
// differs by the pair of images. It serves deployments whose latency-critical tasks reserve more
// processors than they use.
//
// A latency-critical task is modelled as a queue: latency = idle / (1 - utilization). Its own load
// gives a utilization, which varies over time and which the tasks of a group (the same step of the
// same submission) share. The base is the latency at that utilization: the lowest recent latency
// in the group. Co-located best-effort work adds interference * share for each image, where share
// is the fraction of the executor's processors that the image uses. Interference is learnt from
// the differences between the tasks of a group on different executors: their common load cancels
// out.
package contention

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meanRate is the weight of a new base in the mean of its image.
	meanRate = 0.02
	// defaultMeanShare is the assumed mean base of an unknown image, as a share of its target.
	defaultMeanShare = 0.4
	// maxBaseAge is how long a latency is representative of the load of its group.
	maxBaseAge = 1300 * time.Millisecond
	// defaultIdleShare is the highest assumed latency of an idle task, as a share of its target.
	defaultIdleShare = 0.2
	// idleShare is the latency of an idle task as a share of the lowest measured one, since tasks
	// are never completely idle.
	idleShare = 0.8
	// lowestRiseTime is the time in which the lowest latency of an image rises by a factor of e,
	// so that an outlier does not persist.
	lowestRiseTime = 2 * time.Minute
	// maxExpectedLatency bounds an expected latency, as a share of the target.
	maxExpectedLatency = 10.0
	// maxUndisturbedShare is the share of the executor that best-effort tasks may use beside a
	// task that counts as undisturbed.
	maxUndisturbedShare = 0.01
	// nonInterferingMax is the interference plus its uncertainty below which a pair is
	// non-interfering.
	nonInterferingMax = 0.4
	// interferingMin is the interference from which a pair counts as fully incompatible.
	interferingMin = 1.0
	// defaultCompatibility is the assumed share of compatible pairs.
	defaultCompatibility = 0.5
	// peakDecay is the factor by which the peak base of an image falls with each sample.
	peakDecay = 0.999
	// sampleRetention is how long the latency of a task is kept.
	sampleRetention = 10 * time.Second
)

// Pair is a latency-critical and a best-effort image.
type Pair struct{ LatencyCritical, BestEffort string }

// ImageUsage is the processor time that the best-effort tasks of one image use on an executor.
type ImageUsage struct {
	Image string
	// Share is the fraction of the executor's processors, 0 to 1.
	Share float64
}

// TaskLatency is the tail latency of one latency-critical task.
type TaskLatency struct {
	Task string
	// Group identifies the tasks that share their load.
	Group, Image    string
	Latency, Target time.Duration
	// Base is the latency in nanoseconds that the task's own load causes. BaseKnown reports
	// whether a task of the group runs undisturbed. Observe sets both.
	Base      float64
	BaseKnown bool
}

// latencySample is the latency of a task at a point in time.
type latencySample struct {
	latency float64
	at      time.Duration
	// executor is where the task runs, and usages is the best-effort work beside it.
	executor string
	usages   []ImageUsage
	// usedShare is the share of the executor that best-effort tasks used.
	usedShare float64
	// overTargetSince is the earliest time since which the latency may have continuously been above the
	// target, 0 while it is not.
	overTargetSince time.Duration
}

// decayingMinimum is the lowest latency in nanoseconds, as of a time.
type decayingMinimum struct {
	latency float64
	at      time.Duration
}

// Model holds the learnt interference and latencies. The zero value is not usable.
type Model struct {
	// PauseAfter is how long a latency may be above its target before all best-effort work beside the
	// task is paused.
	PauseAfter time.Duration
	// meanBase is the mean base of an image in nanoseconds.
	meanBase map[string]float64
	// peakBase is the highest known base of an image, which decays.
	peakBase map[string]float64
	// lowestBase is the lowest undisturbed latency of an image.
	lowestBase map[string]decayingMinimum
	estimators map[string]*estimator
	// groups holds the last latency sample of each task, by group.
	groups map[string]map[string]latencySample
}

// New returns an empty model.
func New() *Model {
	return &Model{PauseAfter: defaultPauseAfter, meanBase: make(map[string]float64), peakBase: make(map[string]float64), lowestBase: make(map[string]decayingMinimum), estimators: make(map[string]*estimator), groups: make(map[string]map[string]latencySample)}
}

// Observe records the latencies and the best-effort usage on one executor, and sets the base of
// each task.
func (m *Model) Observe(executor string, tasks []TaskLatency, usages []ImageUsage, now time.Duration) {
	used := 0.0
	for _, f := range usages {
		used += f.Share
	}
	for _, s := range tasks {
		m.recordSample(s, latencySample{latency: float64(s.Latency), at: now, executor: executor, usages: usages, usedShare: used})
	}
	for i := range tasks {
		s := &tasks[i]
		if s.Latency <= 0 || s.Target <= 0 {
			continue
		}
		s.Base, s.BaseKnown = m.base(s, now)
		if s.BaseKnown {
			m.updateBase(s, now)
		}
		if d, ok := m.difference(s, now); ok {
			m.estimator(s.Image).add(d, now)
		}
	}
}

// updateBase records the latency of an undisturbed task.
func (m *Model) updateBase(s *TaskLatency, now time.Duration) {
	mean := m.meanBaseOf(s.Image, s.Target)
	m.meanBase[s.Image] = mean + meanRate*(s.Base-mean)
	m.peakBase[s.Image] = max(s.Base, m.peakBase[s.Image]*peakDecay)
	l, ok := m.lowestBase[s.Image]
	if !ok {
		l = decayingMinimum{s.Base, now}
	}
	m.lowestBase[s.Image] = decayingMinimum{min(s.Base, l.latency*math.Exp(float64(now-l.at)/float64(lowestRiseTime))), now}
}

// idleLatency returns the estimated latency in nanoseconds of a task of the image without load.
func (m *Model) idleLatency(image string, target time.Duration) float64 {
	first := defaultIdleShare * float64(target)
	if l, ok := m.lowestBase[image]; ok {
		return min(first, idleShare*l.latency)
	}
	return first
}

func (m *Model) recordSample(s TaskLatency, v latencySample) {
	g := m.groups[s.Group]
	if g == nil {
		g = make(map[string]latencySample)
		m.groups[s.Group] = g
	}
	if s.Latency > 0 {
		// Latencies are reported in whole milliseconds, so that one at the target may be above it.
		if s.Latency >= s.Target {
			v.overTargetSince = g[s.Task].earliestExcess(v.at)
		}
		g[s.Task] = v
	}
}

// earliestExcess returns since when the latency may have been above the target, given that a report at
// the time now shows it so. v is the sample before, the zero value if there is none.
func (v latencySample) earliestExcess(now time.Duration) time.Duration {
	if v.overTargetSince != 0 {
		return v.overTargetSince
	}
	if v.at != 0 {
		now = v.at
	}
	return max(now-reportWindow, 1)
}

// base returns the latency in nanoseconds that the task's own load causes: the lowest in its
// group. It is known when a task of the group runs undisturbed. Otherwise interference may slow
// all of them alike, and the base is at most the highest undisturbed latency of the image.
func (m *Model) base(s *TaskLatency, now time.Duration) (base float64, known bool) {
	base = float64(s.Latency)
	g := m.groups[s.Group]
	for task, v := range g {
		switch {
		case now-v.at > sampleRetention:
			delete(g, task)
		case now-v.at <= maxBaseAge:
			known = known || v.usedShare <= maxUndisturbedShare
			base = min(base, v.latency)
		}
	}
	if len(g) == 0 {
		delete(m.groups, s.Group)
	}
	if peak := m.peakBase[s.Image]; !known && peak > 0 {
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

func (m *Model) meanBaseOf(image string, target time.Duration) float64 {
	if b, ok := m.meanBase[image]; ok {
		return b
	}
	return defaultMeanShare * float64(target)
}

// Interference returns the utilization that an image adds when it uses a whole executor; it is
// proportional to the share in use.
func (m *Model) Interference(p Pair) float64 {
	if e := m.estimators[p.LatencyCritical]; e != nil {
		return e.interference(p.BestEffort)
	}
	return defaultInterference
}

// NonInterfering reports whether the best-effort image is known not to slow down the
// latency-critical image.
func (m *Model) NonInterfering(p Pair) bool {
	e := m.estimators[p.LatencyCritical]
	return e != nil && e.interference(p.BestEffort)+e.uncertainty(p.BestEffort) < nonInterferingMax
}

// Compatibility returns the share, 0 to 1, of the known best-effort images that interfere with
// none of the latency-critical images. An unknown pair counts with defaultCompatibility.
func (m *Model) Compatibility(latencyCritical []string) float64 {
	known := m.bestEffortImages()
	if len(known) == 0 {
		return math.Pow(defaultCompatibility, float64(len(latencyCritical)))
	}
	sum := 0.0
	for _, image := range known {
		fit := 1.0
		for _, s := range latencyCritical {
			fit *= m.pairCompatibility(Pair{s, image})
		}
		sum += fit
	}
	return sum / float64(len(known))
}

// pairCompatibility returns 1 for a non-interfering pair and 0 for a fully incompatible one.
func (m *Model) pairCompatibility(p Pair) float64 {
	e := m.estimators[p.LatencyCritical]
	if e == nil {
		return defaultCompatibility
	}
	i, ok := e.index[p.BestEffort]
	if !ok {
		return defaultCompatibility
	}
	measured := min(1, max(0, (interferingMin-e.interference(p.BestEffort))/(interferingMin-nonInterferingMax)))
	certain := e.gram[i][i] / (e.gram[i][i] + uncertaintyHalvingWeight)
	return certain*measured + (1-certain)*defaultCompatibility
}

// bestEffortImages returns the best-effort images that were observed beside any latency-critical
// image.
func (m *Model) bestEffortImages() []string {
	seen := make(map[string]struct{})
	for _, e := range m.estimators {
		for _, image := range e.images {
			seen[image] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// AddedUtilization returns the utilization that best-effort work adds for a latency-critical
// image.
func (m *Model) AddedUtilization(image string, usages []ImageUsage) float64 {
	added := 0.0
	for _, f := range usages {
		added += m.Interference(Pair{image, f.Image}) * f.Share
	}
	return added
}

// ExpectedLatency returns the expected latency of a latency-critical task, as a share of its
// target, when added is added to its utilization. base is the latency in nanoseconds that its own
// load causes, 0 for the mean of its image.
func (m *Model) ExpectedLatency(image string, target time.Duration, base, added float64) float64 {
	if target <= 0 {
		return 0
	}
	if base <= 0 {
		base = m.meanBaseOf(image, target)
	}
	idle := m.idleLatency(image, target)
	spare := idle/max(base, idle) - added
	return min(maxExpectedLatency, idle/float64(target)/max(spare, idle/float64(target)/maxExpectedLatency))
}

// ImageModel is the stored state of the model for one latency-critical image, which the next owner
// imports.
type ImageModel struct {
	Image string `msgpack:"Serving"`
	// MeanBase is in nanoseconds.
	MeanBase float64 `msgpack:"Mean"`
	// LowestBase is the lowest undisturbed latency in nanoseconds.
	LowestBase float64 `msgpack:"Lowest"`
	// BestEffort, Interference and Weight describe the pairs; Weight is the weight of the samples
	// in squared shares.
	BestEffort   []string  `msgpack:"Filling"`
	Interference []float64 `msgpack:"Added"`
	Weight       []float64
}

// maxImportedWeight bounds the weight of imported state, so that new samples soon outweigh it.
const maxImportedWeight = 0.06

// Upper bounds of what an image and a pair take in the stored model, without their names, in bytes.
const (
	storedImageBytes = 100
	storedPairBytes  = 24
)

// Export returns the state of the model, ordered by latency-critical image. limit bounds the size of its stored form in
// bytes, 0 for none: pairs with the least weight are left out, so that the number of images in use does not matter.
func (m *Model) Export(limit int) []ImageModel {
	if limit <= 0 {
		limit = math.MaxInt
	}
	var out []ImageModel
	size := 0
	for _, image := range slices.Sorted(maps.Keys(m.estimators)) {
		added := storedImageBytes + len(image)
		if size+added > limit {
			continue
		}
		size += added
		out = append(out, ImageModel{Image: image, MeanBase: m.meanBase[image], LowestBase: m.lowestBase[image].latency})
	}
	for _, p := range m.heaviestPairs(out, limit-size) {
		k, e := &out[p.image], m.estimators[out[p.image].Image]
		name := e.images[p.bestEffort]
		k.BestEffort = append(k.BestEffort, name)
		k.Interference = append(k.Interference, e.interference(name))
		k.Weight = append(k.Weight, p.weight)
	}
	return out
}

// weightedPair is a pair of images by their positions in an exported list and in the estimator. weight is that of its samples.
type weightedPair struct {
	image, bestEffort int
	weight            float64
}

// heaviestPairs returns the pairs of the listed images with the most weight that fit into limit bytes, in the order of the
// list.
func (m *Model) heaviestPairs(list []ImageModel, limit int) []weightedPair {
	var pairs []weightedPair
	for i := range list {
		e := m.estimators[list[i].Image]
		for p := range e.images {
			pairs = append(pairs, weightedPair{i, p, e.gram[p][p]})
		}
	}
	slices.SortStableFunc(pairs, func(a, b weightedPair) int { return cmp.Compare(b.weight, a.weight) })
	size := 0
	pairs = slices.DeleteFunc(pairs, func(p weightedPair) bool {
		added := storedPairBytes + len(m.estimators[list[p.image].Image].images[p.bestEffort])
		if size+added > limit {
			return true
		}
		size += added
		return false
	})
	slices.SortFunc(pairs, func(a, b weightedPair) int {
		return cmp.Or(cmp.Compare(a.image, b.image), cmp.Compare(a.bestEffort, b.bestEffort))
	})
	return pairs
}

// Import restores the state that the previous owner exported. It is called on an empty model.
func (m *Model) Import(list []ImageModel, now time.Duration) {
	for _, k := range list {
		if len(k.Interference) != len(k.BestEffort) || len(k.Weight) != len(k.BestEffort) {
			continue
		}
		if k.MeanBase > 0 {
			m.meanBase[k.Image] = k.MeanBase
		}
		if k.LowestBase > 0 {
			m.lowestBase[k.Image] = decayingMinimum{k.LowestBase, now}
		}
		e := m.estimator(k.Image)
		for i, image := range k.BestEffort {
			p := e.indexOf(image)
			e.gram[p][p] = min(k.Weight[i], maxImportedWeight)
			e.moment[p] = e.gram[p][p] * k.Interference[i]
			e.coefficients[p] = k.Interference[i]
		}
	}
}
