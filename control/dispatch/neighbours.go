package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/submission"
)

// refreshInterval is how long what was derived from the model of contention is used.
const refreshInterval = 250 * time.Millisecond

// servingImage is an image whose tasks serve on a node.
type servingImage struct {
	image string
	count int
	// target is the lowest latency target of its tasks.
	target time.Duration
	// base is the highest latency in nanoseconds that its tasks have by their own load, 0 while unknown.
	base float64
	// added is the utilization that what fills the node adds.
	added float64
}

// fillingImage is an image whose tasks fill a node.
type fillingImage struct {
	image string
	// cpu is the sum of the requested processors in thousandths.
	cpu int64
}

// neighbours are the images on a node, ordered by name.
type neighbours struct {
	serving []servingImage
	filling []fillingImage
	// key names the set of serving images.
	key string
	// addedAt is when the added utilizations were derived, 0 when they are out of date.
	addedAt time.Duration
}

func (b *neighbours) add(s *submission.Step) {
	b.addedAt = 0
	switch {
	case s.LatencyCritical():
		i, ok := slices.BinarySearchFunc(b.serving, s.Image, compareServing)
		if !ok {
			b.serving = slices.Insert(b.serving, i, servingImage{image: s.Image, target: s.LatencyTarget})
			b.setKey()
		}
		b.serving[i].count++
		b.serving[i].target = min(b.serving[i].target, s.LatencyTarget)
	case s.BestEffort:
		i, ok := slices.BinarySearchFunc(b.filling, s.Image, compareFilling)
		if !ok {
			b.filling = slices.Insert(b.filling, i, fillingImage{image: s.Image})
		}
		b.filling[i].cpu += s.Request.CPU
	}
}

func (b *neighbours) remove(s *submission.Step) {
	b.addedAt = 0
	switch {
	case s.LatencyCritical():
		if i, ok := slices.BinarySearchFunc(b.serving, s.Image, compareServing); ok {
			if b.serving[i].count--; b.serving[i].count == 0 {
				b.serving = slices.Delete(b.serving, i, i+1)
				b.setKey()
			}
		}
	case s.BestEffort:
		if i, ok := slices.BinarySearchFunc(b.filling, s.Image, compareFilling); ok {
			if b.filling[i].cpu -= s.Request.CPU; b.filling[i].cpu <= 0 {
				b.filling = slices.Delete(b.filling, i, i+1)
			}
		}
	}
}

func compareServing(s servingImage, image string) int { return strings.Compare(s.image, image) }

func compareFilling(f fillingImage, image string) int { return strings.Compare(f.image, image) }

func (b *neighbours) setKey() { b.key = strings.Join(b.images(), "\x00") }

// images returns the serving images.
func (b *neighbours) images() []string {
	out := make([]string, len(b.serving))
	for i := range b.serving {
		out[i] = b.serving[i].image
	}
	return out
}

// noteBases takes in the latencies that the serving tasks have by their own load.
func (b *neighbours) noteBases(serving []contention.TaskLatency) {
	for i := range b.serving {
		b.serving[i].base = 0
	}
	for _, s := range serving {
		if i, ok := slices.BinarySearchFunc(b.serving, s.Image, compareServing); ok {
			b.serving[i].base = max(b.serving[i].base, s.Base)
		}
	}
}

// fillers returns the share of a node that the tasks that fill request, by image.
func (n *node) fillers() []contention.ImageUsage {
	out := make([]contention.ImageUsage, len(n.filling))
	for i, f := range n.filling {
		out[i] = contention.ImageUsage{Image: f.image, Share: n.share(f.cpu)}
	}
	return out
}

// updateAdded derives the added utilizations on a node when they are out of date.
func (o *Owner) updateAdded(n *node) {
	if n.addedAt != 0 && o.now-n.addedAt < refreshInterval {
		return
	}
	n.addedAt = o.now
	fillers := n.fillers()
	for i := range n.serving {
		n.serving[i].added = o.contention.AddedUtilization(n.serving[i].image, fillers)
	}
}

// pair is what is known of an image that fills beside one that serves.
type pair struct {
	pressure float64
	harmless bool
}

// stepView answers questions about one step and the nodes. It lives for one pass.
type stepView struct {
	owner *Owner
	step  *submission.Step
	// pairs are by serving image, losses by the key of the node's neighbours.
	pairs  map[string]pair
	losses map[string]float64
}

func (o *Owner) view(step *submission.Step) *stepView {
	return &stepView{owner: o, step: step, pairs: make(map[string]pair), losses: make(map[string]float64)}
}

func (v *stepView) pair(serving string) pair {
	p, ok := v.pairs[serving]
	if !ok {
		key := contention.Pair{LatencyCritical: serving, BestEffort: v.step.Image}
		p = pair{v.owner.contention.Interference(key), v.owner.contention.NonInterfering(key)}
		v.pairs[serving] = p
	}
	return p
}

// latency returns the highest latency to which a task of the step would raise a task
// that serves on the node, itself included, as a share of its target. It is 0 when
// the task disturbs nothing.
func (v *stepView) latency(n *node) float64 {
	o := v.owner
	switch {
	case v.step.LatencyCritical():
		return o.contention.ExpectedLatency(v.step.Image, v.step.LatencyTarget, 0, o.contention.AddedUtilization(v.step.Image, n.fillers()))
	case !v.step.BestEffort:
		return 0
	}
	o.updateAdded(n)
	share, worst := n.share(v.step.Request.CPU), 0.0
	disturbed := n.disturbedAt != 0 && o.now-n.disturbedAt < disturbedFor
	for i := range n.serving {
		s := &n.serving[i]
		p := v.pair(s.image)
		own := p.pressure * share
		if own < negligibleAdded {
			continue
		}
		if disturbed && !p.harmless {
			return disturbedLatency
		}
		worst = max(worst, o.contention.ExpectedLatency(s.image, s.target, s.base, s.added+own))
	}
	return worst
}

// loss returns by how much a task of the step that serves lowers the share of filling
// work that gets along with the node's serving tasks.
func (v *stepView) loss(n *node) float64 {
	if _, ok := slices.BinarySearchFunc(n.serving, v.step.Image, compareServing); ok {
		return 0
	}
	loss, ok := v.losses[n.key]
	if !ok {
		images := append(n.images(), v.step.Image)
		slices.Sort(images)
		loss = v.owner.compatible(n.key, n.images) -
			v.owner.compatible(strings.Join(images, "\x00"), func() []string { return images })
		v.losses[n.key] = loss
	}
	return loss
}

// compatible returns the share of filling work that gets along with a set of serving images.
func (o *Owner) compatible(key string, images func() []string) float64 {
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
