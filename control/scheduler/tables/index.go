package tables

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// Bins is the number of classes of free processors and of free memory. A power of
// two in bits of one row mask; edges grow so that small tasks are told apart.
const Bins = 16

// cpuEdges are the lower bounds of the classes of free processors, in thousandths.
var cpuEdges = [Bins]int64{0, 250, 500, 1000, 2000, 3000, 4000, 6000, 8000, 12000, 16000, 24000, 32000, 48000, 64000, 96000}

// memoryEdges are the lower bounds of the classes of free memory, in MiB.
var memoryEdges = [Bins]int64{0, 256, 512, 1024, 2048, 4096, 6144, 8192, 12288, 16384, 24576, 32768, 49152, 65536, 98304, 131072}

func bin(edges *[Bins]int64, amount int64) uint8 {
	i := sort.Search(Bins, func(i int) bool { return edges[i] > amount })
	return uint8(max(i-1, 0))
}

// CPUBin returns the class of an amount of processors.
func CPUBin(milli int64) uint8 { return bin(&cpuEdges, milli) }

// MemoryBin returns the class of an amount of memory.
func MemoryBin(mib int64) uint8 { return bin(&memoryEdges, mib) }

// CPUEdge returns the lower bound of a class of processors.
func CPUEdge(b uint8) int64 { return cpuEdges[b] }

// LoadBuckets is the number of load classes of a service.
const LoadBuckets = 4

// LoadBucket returns the class of a load between 0 and 1.
func LoadBucket(load float64) uint8 {
	return uint8(min(max(int(load*LoadBuckets), 0), LoadBuckets-1))
}

// pressureEdges are the lower bounds of the pressure classes.
var pressureEdges = [...]float64{0, 0.02, 0.05, 0.1, 0.2, 0.4}

// PressureBucket returns the class of a pressure.
func PressureBucket(p float64) uint8 {
	b := len(pressureEdges) - 1
	for b > 0 && pressureEdges[b] > p {
		b--
	}
	return uint8(b)
}

// PressureEdge returns the lower bound of a pressure class.
func PressureEdge(b uint8) float64 { return pressureEdges[b] }

// MaxAccelerators is the largest number of free accelerators that groups tell apart.
const MaxAccelerators = 255

// groupKey holds what the score of a placement depends on, besides the free processors.
type groupKey struct {
	zone, service          string
	load, pressure, capBin uint8
	accelerators           uint8
}

// Group holds VMs that score alike, by free processors (rows) and free memory (columns).
type Group struct {
	Zone    string
	Service string
	Load    uint8
	// Pressure is the pressure class of the VMs.
	Pressure uint8
	// CapBin is the class of the VMs' processors.
	CapBin uint8
	// Accelerators is the number of free accelerators, at most MaxAccelerators.
	Accelerators uint8

	// Size is the number of VMs.
	Size  int
	rows  uint16
	masks [Bins]uint16
	cells [Bins][Bins][]*VM
	at    int
}

// Rows returns a mask of the rows from low upwards that hold a VM.
func (g *Group) Rows(low uint8) uint16 { return g.rows &^ (1<<low - 1) }

// Columns returns a mask of the columns of the row from low upwards that hold a VM.
func (g *Group) Columns(row, low uint8) uint16 { return g.masks[row] &^ (1<<low - 1) }

// Cell returns the VMs of one row and column. The slice must not be changed or kept.
func (g *Group) Cell(row, col uint8) []*VM { return g.cells[row][col] }

// Groups returns the groups that hold VMs. The slice must not be changed or kept.
func (t *Tables) Groups() []*Group { return t.order }

// Touch updates the indexes after fields of the VM were changed directly.
func (t *Tables) Touch(v *VM) {
	t.uncount(v)
	t.count(v)
	t.reprice(v)
	t.place(v)
}

func keyOf(v *VM) groupKey {
	free := v.Free()
	return groupKey{zone: v.Zone, service: v.Service, load: LoadBucket(v.ExpectedLoad()), pressure: PressureBucket(v.Pressure),
		capBin: CPUBin(v.Capacity.CPU), accelerators: uint8(min(max(free.Accelerators, 0), MaxAccelerators))}
}

// place moves the VM to the cell of its current state.
func (t *Tables) place(v *VM) {
	key, free := keyOf(v), v.Free()
	row, col := CPUBin(free.CPU), MemoryBin(free.Memory)
	g := t.groups[key]
	if g != nil && g == v.group && row == v.row && col == v.col {
		return
	}
	t.unplace(v)
	if g == nil || t.groups[key] == nil {
		g = &Group{Zone: key.zone, Service: key.service, Load: key.load, Pressure: key.pressure, CapBin: key.capBin,
			Accelerators: key.accelerators, at: len(t.order)}
		t.groups[key] = g
		t.order = append(t.order, g)
	}
	cell := &g.cells[row][col]
	v.group, v.row, v.col, v.pos = g, row, col, len(*cell)
	*cell = append(*cell, v)
	g.Size++
	g.masks[row] |= 1 << col
	g.rows |= 1 << row
}

func (t *Tables) unplace(v *VM) {
	g := v.group
	if g == nil {
		return
	}
	cell := &g.cells[v.row][v.col]
	last := len(*cell) - 1
	(*cell)[v.pos] = (*cell)[last]
	(*cell)[v.pos].pos = v.pos
	(*cell)[last] = nil
	*cell = (*cell)[:last]
	if last == 0 {
		g.masks[v.row] &^= 1 << v.col
		if g.masks[v.row] == 0 {
			g.rows &^= 1 << v.row
		}
	}
	v.group = nil
	g.Size--
	if g.Size == 0 {
		t.dropGroup(g)
	}
}

// dropGroup forgets an empty group, so that the number of groups is at most the number of VMs.
func (t *Tables) dropGroup(g *Group) {
	key := groupKey{zone: g.Zone, service: g.Service, load: g.Load, pressure: g.Pressure, capBin: g.CapBin, accelerators: g.Accelerators}
	delete(t.groups, key)
	last := len(t.order) - 1
	t.order[g.at] = t.order[last]
	t.order[g.at].at = g.at
	t.order[last] = nil
	t.order = t.order[:last]
}

// Next returns the lowest bit of a mask and the mask without it.
func Next(mask uint16) (uint8, uint16) {
	return uint8(bits.TrailingZeros16(mask)), mask & (mask - 1)
}

// Reserve adds a reservation to the VM and the customer ahead of its assignment.
func (t *Tables) Reserve(v *VM, tk *Task, r task.Resources) { t.plan(v, tk, r, 1) }

// Unreserve takes back what Reserve added.
func (t *Tables) Unreserve(v *VM, tk *Task, r task.Resources) { t.plan(v, tk, r, -1) }

func (t *Tables) plan(v *VM, tk *Task, r task.Resources, sign int) {
	c := t.Customer(tk.Record.Spec.Customer)
	if sign < 0 {
		v.Reserved, c.Used = v.Reserved.Sub(r), c.Used.Sub(r)
	} else {
		v.Reserved, c.Used = v.Reserved.Add(r), c.Used.Add(r)
	}
	t.countSpread(tk, v, sign)
	if tk.Record.Spec.Class == task.Batch {
		c := classCPU{tk.Record.Spec.JobClass, int64(sign) * r.CPU}
		v.addMix(c.class, c.cpu)
		t.price(v, c)
	}
	t.use(v, r, sign)
	t.place(v)
}

// shape is a size that an empty VM offers to tasks, by zone.
type shape struct {
	zone string
	size task.Resources
}

// counted is what a VM contributes to the sums.
type counted struct {
	shape shape
	rack  string
	sum   task.Resources
	used  task.Resources
}

type zoneUse struct{ used, capacity task.Resources }

// count adds the VM to the sums. A VM without connection keeps its shape, since it may return.
func (t *Tables) count(v *VM) {
	c := counted{shape: shape{v.Zone, v.Capacity.Sub(v.ServiceHeld)}, rack: v.Rack, used: v.Reserved}
	t.shapes[c.shape]++
	if v.Connected && !v.Draining {
		c.sum = v.Capacity
	}
	t.racks[v.Rack]++
	t.Capacity = t.Capacity.Add(c.sum)
	z := t.zones[v.Zone]
	t.zones[v.Zone] = zoneUse{z.used.Add(c.used), z.capacity.Add(v.Capacity)}
	t.counted[v.ID] = c
}

func (t *Tables) uncount(v *VM) {
	c, ok := t.counted[v.ID]
	if !ok {
		return
	}
	decrement(t.shapes, c.shape)
	decrement(t.racks, c.rack)
	t.Capacity = t.Capacity.Sub(c.sum)
	z := t.zones[v.Zone]
	t.zones[v.Zone] = zoneUse{z.used.Sub(c.used), z.capacity.Sub(v.Capacity)}
	delete(t.counted, v.ID)
}

// use changes the sum of reservations of the VM's zone.
func (t *Tables) use(v *VM, r task.Resources, sign int) {
	c, ok := t.counted[v.ID]
	if !ok {
		return
	}
	if sign < 0 {
		r = task.Resources{}.Sub(r)
	}
	c.used = c.used.Add(r)
	t.counted[v.ID] = c
	z := t.zones[v.Zone]
	z.used = z.used.Add(r)
	t.zones[v.Zone] = z
}

// ZoneShare returns the reserved share of the zone's processors.
func (t *Tables) ZoneShare(zone string) float64 {
	z := t.zones[zone]
	if z.capacity.CPU == 0 {
		return 0
	}
	return float64(z.used.CPU) / float64(z.capacity.CPU)
}

// EverFits reports whether an empty known VM could hold the amount, and whether any
// VM is known in the zone. An empty zone means any.
func (t *Tables) EverFits(zone string, need task.Resources) (fits, known bool) {
	for s := range t.shapes {
		if zone != "" && s.zone != zone {
			continue
		}
		known = true
		if need.Fits(s.size) {
			return true, true
		}
	}
	return false, known
}

// JobKey identifies the tasks that are expected to behave alike.
type JobKey struct{ Customer, JobClass string }

// Job returns the key of the task.
func (tk *Task) Job() JobKey { return JobKey{tk.Record.Spec.Customer, tk.Record.Spec.JobClass} }

type rackKey struct {
	job  JobKey
	rack string
}

func (t *Tables) countSpread(tk *Task, v *VM, n int) {
	t.spread[rackKey{tk.Job(), v.Rack}] += n
	t.jobs[tk.Job()] += n
	if t.spread[rackKey{tk.Job(), v.Rack}] == 0 {
		delete(t.spread, rackKey{tk.Job(), v.Rack})
	}
	if t.jobs[tk.Job()] == 0 {
		delete(t.jobs, tk.Job())
	}
}

// OnRack returns how many tasks of the job run on the rack, how many run in all, and
// the number of racks.
func (t *Tables) OnRack(job JobKey, rack string) (onRack, total, racks int) {
	return t.spread[rackKey{job, rack}], t.jobs[job], len(t.racks)
}

func decrement[K comparable](m map[K]int, k K) {
	m[k]--
	if m[k] <= 0 {
		delete(m, k)
	}
}

// classCPU is the processors of a job class, in thousandths.
type classCPU struct {
	class string
	cpu   int64
}

// mixChange is a change of the batch processors on a VM.
type mixChange struct {
	at time.Duration
	classCPU
}

// mixHistory bounds how far MixAt looks back. Reports lag by less.
const mixHistory = time.Minute

// addMix changes the processors of a class. The mix is sorted by class, so that sums
// over it do not depend on the order of changes.
func (v *VM) addMix(class string, cpu int64) { v.mix = addClass(v.mix, class, cpu) }

func addClass(mix []classCPU, class string, cpu int64) []classCPU {
	i, found := slices.BinarySearchFunc(mix, class, func(e classCPU, c string) int { return cmp.Compare(e.class, c) })
	if !found {
		return slices.Insert(mix, i, classCPU{class, cpu})
	}
	mix[i].cpu += cpu
	if mix[i].cpu == 0 {
		mix = slices.Delete(mix, i, i+1)
	}
	return mix
}

// changed updates the sums and indexes of the VM after a task came (sign 1) or left (-1).
func (t *Tables) changed(v *VM, tk *Task, sign int) {
	t.countSpread(tk, v, sign)
	if tk.Record.Spec.Class == task.Batch {
		c := classCPU{tk.Record.Spec.JobClass, int64(sign) * tk.Reserved.CPU}
		v.addMix(c.class, c.cpu)
		v.changes = append(v.changes, mixChange{t.Now, c})
		t.price(v, c)
	}
	old := 0
	for old < len(v.changes) && v.changes[old].at < t.Now-mixHistory {
		old++
	}
	if old > 0 {
		v.changes = append(v.changes[:0], v.changes[old:]...)
	}
	t.use(v, tk.Reserved, sign)
	t.place(v)
}

// MixAt calls f for each job class that had batch processors on the VM at a past time,
// in the order of class names.
func (v *VM) MixAt(at time.Duration, f func(class string, cpuMilli int64)) {
	mix := slices.Clone(v.mix)
	for i := len(v.changes) - 1; i >= 0 && v.changes[i].at > at; i-- {
		mix = addClass(mix, v.changes[i].class, -v.changes[i].cpu)
	}
	for _, e := range mix {
		f(e.class, e.cpu)
	}
}

// price adds the effect of a change of the mix to the pressure. Rounding errors last until
// the next report, which recomputes the sum.
func (t *Tables) price(v *VM, c classCPU) {
	if v.Service == "" {
		return
	}
	v.Pressure = max(v.Pressure+t.Harm(v.Service, c.class, LoadBucket(v.ExpectedLoad()))*float64(c.cpu)/1000, 0)
	if len(v.mix) == 0 {
		v.Pressure = 0
	}
}

// reprice recomputes the pressure from the learnt interference.
func (t *Tables) reprice(v *VM) {
	v.Pressure = 0
	if v.Service == "" {
		return
	}
	load := LoadBucket(v.ExpectedLoad())
	for _, e := range v.mix {
		v.Pressure += t.Harm(v.Service, e.class, load) * float64(e.cpu) / 1000
	}
}
