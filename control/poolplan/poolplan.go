// Package poolplan decides which latency-critical tasks share an executor. It serves pools in which latency-critical tasks
// reserve most of the processors and use only a part: the rest is open to best-effort images that interfere with none of the
// images on the executor. The more images an executor holds, the fewer are left, so that tasks of one image should be together.
// The package has no side effects.
package poolplan

import (
	"cmp"
	"slices"

	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/task"
)

const (
	// minGainPerMove is the least gain in usable processors, in thousandths, for which a task is moved. A move keeps the task
	// from work for a second or two, so that smaller gains take long to repay it.
	minGainPerMove = 750.0
	// maxSources is the number of images on executors that are tried as sources of moves. It bounds the time of a plan in large
	// pools; what is left is found by the next plans.
	maxSources = 24
)

// Task is a latency-critical task on an executor.
type Task struct {
	Name, Image string
	Request     task.Resources
	// Step identifies the tasks of which an executor holds at most MaxPerExecutor, 0 for any number.
	Step           string
	MaxPerExecutor int
	// Label is the kind or rack that the task requires, empty for none.
	Label string
	// Pinned tasks are not moved.
	Pinned bool
}

// Executor is an executor of the pool.
type Executor struct {
	ID, Kind, Rack string
	Capacity       task.Resources
	// Reserved includes the requests of Tasks.
	Reserved task.Resources
	// Closed executors take no task.
	Closed bool
	Tasks  []Task
}

// Compatibility returns the share, 0 to 1, of best-effort work that interferes with none of a set of latency-critical images.
type Compatibility func(images []string) float64

// Move is a task that should run on another executor.
type Move struct {
	Task string
	// To is the ID of the executor.
	To string
}

// Usable returns the processors, in thousandths, that best-effort work is expected to use on the executors.
func Usable(executors []Executor, compatible Compatibility) float64 {
	p := newPlanner(executors, compatible)
	sum := 0.0
	for i := range p.nodes {
		sum += p.value(&p.nodes[i])
	}
	return sum
}

// Improve returns at most budget moves after which best-effort work can use more processors. Each image leaves an executor
// with all its tasks, to executors that hold the image already where possible. A task may change places with another one.
func Improve(executors []Executor, compatible Compatibility, budget int) []Move {
	p := newPlanner(executors, compatible)
	for _, s := range p.sources() {
		left := budget - len(p.moves)
		if left <= 0 {
			break
		}
		p.depart(s, left)
	}
	return p.moves
}

// item is a task during the search, with its image as an index.
type item struct {
	*Task
	image int
	// moved items have a move already, and get no second one.
	moved bool
}

// node is an executor during the search.
type node struct {
	*Executor
	items    []item
	reserved task.Resources
	// latencyCriticalCPU is the sum of the requests of items in thousandths.
	latencyCriticalCPU int64
	// set is the index of the set of images.
	set int
}

type planner struct {
	nodes  []node
	images map[string]int
	sets   imageSets
	moves  []Move
}

func newPlanner(executors []Executor, compatible Compatibility) *planner {
	p := &planner{images: make(map[string]int), sets: newImageSets(compatible), nodes: make([]node, len(executors))}
	for i := range executors {
		e := &executors[i]
		n := node{Executor: e, reserved: e.Reserved}
		for k := range e.Tasks {
			n.reserved = n.reserved.Sub(e.Tasks[k].Request)
		}
		for k := range e.Tasks {
			n = p.with(n, item{Task: &e.Tasks[k], image: p.image(e.Tasks[k].Image)})
		}
		p.nodes[i] = n
	}
	return p
}

// image returns the index of an image.
func (p *planner) image(name string) int {
	i, ok := p.images[name]
	if !ok {
		i = len(p.images)
		p.images[name] = i
		p.sets.names = append(p.sets.names, name)
	}
	return i
}

// value returns the processors, in thousandths, that best-effort work is expected to use on the node.
func (p *planner) value(n *node) float64 {
	return usable(n.Capacity.CPU-n.reserved.CPU, n.latencyCriticalCPU, p.sets.share(n.set))
}

// usable returns the share of the processors that are free, or reserved and not used.
func usable(free, latencyCriticalCPU int64, share float64) float64 {
	return max(0, float64(free)+(1-placement.LatencyCriticalUse)*float64(latencyCriticalCPU)) * share
}

// source is an image on a node.
type source struct {
	node, image int
	// potential is the gain for each of the image's tasks if they left without effect elsewhere.
	potential float64
}

// sources returns the images whose departure would gain most, the best first.
func (p *planner) sources() []source {
	var list []source
	for i := range p.nodes {
		n := &p.nodes[i]
		present := p.sets.images[n.set]
		if len(present) < 2 {
			continue
		}
		for _, image := range present {
			rest, count := *n, 0
			for _, x := range n.items {
				if x.image == image {
					rest = p.without(rest, x)
					count++
				}
			}
			if potential := (p.value(&rest) - p.value(n)) / float64(count); potential >= minGainPerMove {
				list = append(list, source{i, image, potential})
			}
		}
	}
	slices.SortFunc(list, func(a, b source) int {
		return cmp.Or(cmp.Compare(b.potential, a.potential), cmp.Compare(a.node, b.node), cmp.Compare(a.image, b.image))
	})
	return list[:min(len(list), maxSources)]
}

// departure is an image leaving a node.
type departure struct {
	source
	// changed are the nodes after the moves.
	changed map[int]node
	moves   []Move
}

// node returns the node at an index after the moves so far.
func (d *departure) node(p *planner, i int) *node {
	if n, ok := d.changed[i]; ok {
		return &n
	}
	return &p.nodes[i]
}

// depart moves all tasks of an image off a node if that is possible with at most budget moves and gains enough.
func (p *planner) depart(s source, budget int) {
	d := &departure{source: s, changed: make(map[int]node)}
	for _, x := range p.nodes[s.node].items {
		if x.image != s.image {
			continue
		}
		if x.Pinned || x.moved || !p.place(d, x) || len(d.moves) > budget {
			return
		}
	}
	gain := 0.0
	for i, n := range d.changed {
		gain += p.value(&n) - p.value(&p.nodes[i])
	}
	if len(d.moves) == 0 || gain < minGainPerMove*float64(len(d.moves)) {
		return
	}
	for i, n := range d.changed {
		p.nodes[i] = n
	}
	p.moves = append(p.moves, d.moves...)
}

// place moves one task of a departing image to the node where it costs least, in exchange for another task if needed.
func (p *planner) place(d *departure, x item) bool {
	from := p.without(*d.node(p, d.source.node), x)
	best, bestCost, swapped := -1, 0.0, item{}
	for i := range p.nodes {
		if i == d.source.node || p.nodes[i].Closed {
			continue
		}
		to := d.node(p, i)
		cost, other, ok := p.arrivalCost(to, &from, &x, d.image)
		if ok && (best < 0 || cost < bestCost) {
			best, bestCost, swapped = i, cost, other
		}
	}
	if best < 0 {
		return false
	}
	to := *d.node(p, best)
	x.moved, swapped.moved = true, true
	d.moves = append(d.moves, Move{x.Name, to.ID})
	if swapped.Task != nil {
		to = p.without(to, swapped)
		from = p.with(from, swapped)
		d.moves = append(d.moves, Move{swapped.Name, from.ID})
	}
	d.changed[d.source.node], d.changed[best] = from, p.with(to, x)
	return true
}

// arrivalCost returns what a task costs on a node, in usable processors, and the task that leaves the node for from if there
// is no room for both.
func (p *planner) arrivalCost(to, from *node, x *item, departing int) (cost float64, swapped item, ok bool) {
	before := p.value(to)
	if to.allows(x, nil) && to.reserved.Add(x.Request).Fits(to.Capacity) {
		free := to.Capacity.CPU - to.reserved.CPU - x.Request.CPU
		return before - usable(free, to.latencyCriticalCPU+x.Request.CPU, p.sets.share(p.sets.add(to.set, x.image))), item{}, true
	}
	for _, other := range to.items {
		if other.Pinned || other.moved || other.image == x.image || other.image == departing || !p.sets.contains(from.set, other.image) {
			continue
		}
		reserved := to.reserved.Sub(other.Request).Add(x.Request)
		if !reserved.Fits(to.Capacity) || !from.reserved.Add(other.Request).Fits(from.Capacity) || !from.allows(&other, nil) || !to.allows(x, &other) {
			continue
		}
		set := p.sets.add(to.set, x.image)
		if to.count(other.image) == 1 {
			set = p.sets.remove(set, other.image)
		}
		lc := to.latencyCriticalCPU - other.Request.CPU + x.Request.CPU
		// The exchanged task moves too, which has to be worth it.
		c := before - usable(to.Capacity.CPU-reserved.CPU, lc, p.sets.share(set)) + minGainPerMove
		if !ok || c < cost {
			cost, swapped, ok = c, other, true
		}
	}
	return cost, swapped, ok
}

// allows reports whether the label and the limit of a task's step allow the node, once the task leaving has left.
func (n *node) allows(x, leaving *item) bool {
	if x.Label != "" && x.Label != n.Kind && x.Label != n.Rack {
		return false
	}
	if x.MaxPerExecutor == 0 {
		return true
	}
	same := 0
	for i := range n.items {
		if n.items[i].Step == x.Step {
			same++
		}
	}
	if leaving != nil && leaving.Step == x.Step {
		same--
	}
	return same < x.MaxPerExecutor
}

// count returns the number of tasks of an image on the node.
func (n *node) count(image int) int {
	count := 0
	for i := range n.items {
		if n.items[i].image == image {
			count++
		}
	}
	return count
}

// with returns the node with another task.
func (p *planner) with(n node, x item) node {
	n.items = append(slices.Clone(n.items), x)
	n.reserved = n.reserved.Add(x.Request)
	n.latencyCriticalCPU += x.Request.CPU
	n.set = p.sets.add(n.set, x.image)
	return n
}

// without returns the node without one of its tasks.
func (p *planner) without(n node, x item) node {
	n.items = slices.DeleteFunc(slices.Clone(n.items), func(y item) bool { return y.Task == x.Task })
	n.reserved = n.reserved.Sub(x.Request)
	n.latencyCriticalCPU -= x.Request.CPU
	if n.count(x.image) == 0 {
		n.set = p.sets.remove(n.set, x.image)
	}
	return n
}
