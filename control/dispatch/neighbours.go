package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/submission"
)

// refreshInterval is how long values derived from the contention model are cached.
const refreshInterval = 250 * time.Millisecond

// latencyCriticalImage is an image with latency-critical tasks on a node.
type latencyCriticalImage struct {
	image string
	count int
	// target is the lowest latency target of its tasks.
	target time.Duration
	// baseLatency is the highest latency in nanoseconds that its tasks have under their own load,
	// 0 while unknown.
	baseLatency float64
	// addedUtilization is the utilization added by the best-effort tasks on the node.
	addedUtilization float64
}

// bestEffortImage is an image with best-effort tasks on a node.
type bestEffortImage struct {
	image string
	// cpu is the sum of the requested processors in thousandths.
	cpu int64
}

// colocatedImages are the images on a node, ordered by name.
type colocatedImages struct {
	latencyCritical []latencyCriticalImage
	bestEffort      []bestEffortImage
	// key identifies the set of latency-critical images.
	key string
	// utilizationAt is when the added utilizations were computed, 0 when they are out of date.
	utilizationAt time.Duration
}

func (b *colocatedImages) add(s *submission.Step) {
	b.utilizationAt = 0
	switch {
	case s.LatencyCritical():
		i, ok := slices.BinarySearchFunc(b.latencyCritical, s.Image, compareLatencyCritical)
		if !ok {
			b.latencyCritical = slices.Insert(b.latencyCritical, i, latencyCriticalImage{image: s.Image, target: s.LatencyTarget})
			b.setKey()
		}
		b.latencyCritical[i].count++
		b.latencyCritical[i].target = min(b.latencyCritical[i].target, s.LatencyTarget)
	case s.BestEffort:
		i, ok := slices.BinarySearchFunc(b.bestEffort, s.Image, compareBestEffort)
		if !ok {
			b.bestEffort = slices.Insert(b.bestEffort, i, bestEffortImage{image: s.Image})
		}
		b.bestEffort[i].cpu += s.Request.CPU
	}
}

func (b *colocatedImages) remove(s *submission.Step) {
	b.utilizationAt = 0
	switch {
	case s.LatencyCritical():
		if i, ok := slices.BinarySearchFunc(b.latencyCritical, s.Image, compareLatencyCritical); ok {
			if b.latencyCritical[i].count--; b.latencyCritical[i].count == 0 {
				b.latencyCritical = slices.Delete(b.latencyCritical, i, i+1)
				b.setKey()
			}
		}
	case s.BestEffort:
		if i, ok := slices.BinarySearchFunc(b.bestEffort, s.Image, compareBestEffort); ok {
			if b.bestEffort[i].cpu -= s.Request.CPU; b.bestEffort[i].cpu <= 0 {
				b.bestEffort = slices.Delete(b.bestEffort, i, i+1)
			}
		}
	}
}

func compareLatencyCritical(s latencyCriticalImage, image string) int {
	return strings.Compare(s.image, image)
}

func compareBestEffort(f bestEffortImage, image string) int { return strings.Compare(f.image, image) }

func (b *colocatedImages) setKey() { b.key = strings.Join(b.images(), "\x00") }

// images returns the names of the latency-critical images.
func (b *colocatedImages) images() []string {
	out := make([]string, len(b.latencyCritical))
	for i := range b.latencyCritical {
		out[i] = b.latencyCritical[i].image
	}
	return out
}

// updateBaseLatencies records the latencies that the latency-critical tasks have under their own
// load.
func (b *colocatedImages) updateBaseLatencies(latencies []contention.TaskLatency) {
	for i := range b.latencyCritical {
		b.latencyCritical[i].baseLatency = 0
	}
	for _, s := range latencies {
		if i, ok := slices.BinarySearchFunc(b.latencyCritical, s.Image, compareLatencyCritical); ok {
			b.latencyCritical[i].baseLatency = max(b.latencyCritical[i].baseLatency, s.Base)
		}
	}
}

// bestEffortUsage returns the share of a node that its best-effort tasks request, by image.
func (n *node) bestEffortUsage() []contention.ImageUsage {
	out := make([]contention.ImageUsage, len(n.bestEffort))
	for i, f := range n.bestEffort {
		out[i] = contention.ImageUsage{Image: f.image, Share: n.share(f.cpu)}
	}
	return out
}

// updateAddedUtilization recomputes the added utilizations on a node when they are out of date.
func (o *Owner) updateAddedUtilization(n *node) {
	if n.utilizationAt != 0 && o.now-n.utilizationAt < refreshInterval {
		return
	}
	n.utilizationAt = o.now
	usage := n.bestEffortUsage()
	for i := range n.latencyCritical {
		n.latencyCritical[i].addedUtilization = o.contention.AddedUtilization(n.latencyCritical[i].image, usage)
	}
}

// pair is what is known about a best-effort image beside a latency-critical one.
type pair struct {
	interference   float64
	nonInterfering bool
}

// stepView evaluates nodes for the tasks of one step. It is valid for one scheduling pass.
type stepView struct {
	owner *Owner
	step  *submission.Step
	// pairs are by latency-critical image, losses by the key of the node's co-located images.
	pairs  map[string]pair
	losses map[string]float64
}

func (o *Owner) view(step *submission.Step) *stepView {
	return &stepView{owner: o, step: step, pairs: make(map[string]pair), losses: make(map[string]float64)}
}

func (v *stepView) pair(image string) pair {
	p, ok := v.pairs[image]
	if !ok {
		key := contention.Pair{LatencyCritical: image, BestEffort: v.step.Image}
		p = pair{v.owner.contention.Interference(key), v.owner.contention.NonInterfering(key)}
		v.pairs[image] = p
	}
	return p
}

// expectedLatency returns the highest latency to which a task of the step would raise a
// latency-critical task on the node, itself included, as a share of its target. It is 0 when the
// task interferes with nothing.
func (v *stepView) expectedLatency(n *node) float64 {
	o := v.owner
	switch {
	case v.step.LatencyCritical():
		return o.contention.ExpectedLatency(v.step.Image, v.step.LatencyTarget, 0, o.contention.AddedUtilization(v.step.Image, n.bestEffortUsage()))
	case !v.step.BestEffort:
		return 0
	}
	o.updateAddedUtilization(n)
	share, worst := n.share(v.step.Request.CPU), 0.0
	interfered := n.interferedAt != 0 && o.now-n.interferedAt < interferenceCooldown
	for i := range n.latencyCritical {
		s := &n.latencyCritical[i]
		p := v.pair(s.image)
		own := p.interference * share
		if own < negligibleUtilization {
			continue
		}
		if interfered && !p.nonInterfering {
			return interferedLatency
		}
		worst = max(worst, o.contention.ExpectedLatency(s.image, s.target, s.baseLatency, s.addedUtilization+own))
	}
	return worst
}

// compatibilityLoss returns by how much a latency-critical task of the step lowers the share of
// best-effort work that is compatible with the latency-critical tasks on the node.
func (v *stepView) compatibilityLoss(n *node) float64 {
	if _, ok := slices.BinarySearchFunc(n.latencyCritical, v.step.Image, compareLatencyCritical); ok {
		return 0
	}
	loss, ok := v.losses[n.key]
	if !ok {
		images := append(n.images(), v.step.Image)
		slices.Sort(images)
		loss = v.owner.compatibleShare(n.key, n.images) -
			v.owner.compatibleShare(strings.Join(images, "\x00"), func() []string { return images })
		v.losses[n.key] = loss
	}
	return loss
}

// compatibleShare returns the share of best-effort work that is compatible with a set of
// latency-critical images.
func (o *Owner) compatibleShare(key string, images func() []string) float64 {
	if o.now-o.compatibleAt >= refreshInterval {
		o.compatibleAt = o.now
		clear(o.compatibility)
	}
	share, ok := o.compatibility[key]
	if !ok {
		share = o.contention.Compatibility(images())
		o.compatibility[key] = share
	}
	return share
}
