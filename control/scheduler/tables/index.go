package tables

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// Bins is the number of bins of free processors and of free memory. It equals the bits of a
// row mask. Bin widths grow with the amount, so that small amounts are resolved finely.
const Bins = 16

// cpuEdges are the lower bounds of the bins of free processors, in thousandths.
var cpuEdges = [Bins]int64{0, 250, 500, 1000, 2000, 3000, 4000, 6000, 8000, 12000, 16000, 24000, 32000, 48000, 64000, 96000}

// memoryEdges are the lower bounds of the bins of free memory, in MiB.
var memoryEdges = [Bins]int64{0, 256, 512, 1024, 2048, 4096, 6144, 8192, 12288, 16384, 24576, 32768, 49152, 65536, 98304, 131072}

func bin(edges *[Bins]int64, amount int64) uint8 {
	i := sort.Search(Bins, func(i int) bool { return edges[i] > amount })
	return uint8(max(i-1, 0))
}

// CPUBin returns the bin of an amount of processors.
func CPUBin(milli int64) uint8 { return bin(&cpuEdges, milli) }

// MemoryBin returns the bin of an amount of memory.
func MemoryBin(mib int64) uint8 { return bin(&memoryEdges, mib) }

// CPUEdge returns the lower bound of a bin of processors.
func CPUEdge(b uint8) int64 { return cpuEdges[b] }

// LoadBuckets is the number of load buckets of a service.
const LoadBuckets = 4

// LoadBucket returns the bucket of a load between 0 and 1.
func LoadBucket(load float64) uint8 {
	return uint8(min(max(int(load*LoadBuckets), 0), LoadBuckets-1))
}

// pressureEdges are the lower bounds of the pressure buckets.
var pressureEdges = [...]float64{0, 0.02, 0.05, 0.1, 0.2, 0.4}

// PressureBucket returns the bucket of a pressure.
func PressureBucket(p float64) uint8 {
	b := len(pressureEdges) - 1
	for b > 0 && pressureEdges[b] > p {
		b--
	}
	return uint8(b)
}

// PressureEdge returns the lower bound of a pressure bucket.
func PressureEdge(b uint8) float64 { return pressureEdges[b] }

// MaxAccelerators is the largest number of free accelerators that groups distinguish.
const MaxAccelerators = 255

// groupKey holds the properties of a VM that determine its score, except the free processors.
type groupKey struct {
	zone, service               string
	load, pressure, capacityBin uint8
	accelerators                uint8
}

// Group holds VMs of equal groupKey in cells by free processors (rows) and free memory (columns).
type Group struct {
	Zone    string
	Service string
	Load    uint8
	// Pressure is the pressure bucket of the VMs.
	Pressure uint8
	// CapacityBin is the bin of the VMs' total processors.
	CapacityBin uint8
	// Accelerators is the number of free accelerators, at most MaxAccelerators.
	Accelerators uint8

	// Size is the number of VMs.
	Size        int
	rowMask     uint16
	columnMasks [Bins]uint16
	cells       [Bins][Bins][]*VM
	index       int
}

// Rows returns a mask of the rows from low upwards that hold a VM.
func (g *Group) Rows(low uint8) uint16 { return g.rowMask &^ (1<<low - 1) }

// Columns returns a mask of the columns of the row from low upwards that hold a VM.
func (g *Group) Columns(row, low uint8) uint16 { return g.columnMasks[row] &^ (1<<low - 1) }

// Cell returns the VMs of one row and column. The caller must not modify or retain the slice.
func (g *Group) Cell(row, col uint8) []*VM { return g.cells[row][col] }

// Groups returns the groups that hold VMs. The caller must not modify or retain the slice.
func (t *Tables) Groups() []*Group { return t.groupList }

// Reindex updates the indexes after a direct change of the VM's fields.
func (t *Tables) Reindex(v *VM) {
	t.removeFromTotals(v)
	t.addToTotals(v)
	t.recomputePressure(v)
	t.updateCell(v)
}

func keyOf(v *VM) groupKey {
	free := v.Free()
	return groupKey{zone: v.Zone, service: v.Service, load: LoadBucket(v.ExpectedLoad()), pressure: PressureBucket(v.Pressure),
		capacityBin: CPUBin(v.Capacity.CPU), accelerators: uint8(min(max(free.Accelerators, 0), MaxAccelerators))}
}

// updateCell moves the VM to the cell of its current state.
func (t *Tables) updateCell(v *VM) {
	key, free := keyOf(v), v.Free()
	row, col := CPUBin(free.CPU), MemoryBin(free.Memory)
	g := t.groups[key]
	if g != nil && g == v.group && row == v.row && col == v.col {
		return
	}
	t.removeFromCell(v)
	if g == nil || t.groups[key] == nil {
		g = &Group{Zone: key.zone, Service: key.service, Load: key.load, Pressure: key.pressure, CapacityBin: key.capacityBin,
			Accelerators: key.accelerators, index: len(t.groupList)}
		t.groups[key] = g
		t.groupList = append(t.groupList, g)
	}
	cell := &g.cells[row][col]
	v.group, v.row, v.col, v.cellIndex = g, row, col, len(*cell)
	*cell = append(*cell, v)
	g.Size++
	g.columnMasks[row] |= 1 << col
	g.rowMask |= 1 << row
}

func (t *Tables) removeFromCell(v *VM) {
	g := v.group
	if g == nil {
		return
	}
	cell := &g.cells[v.row][v.col]
	last := len(*cell) - 1
	(*cell)[v.cellIndex] = (*cell)[last]
	(*cell)[v.cellIndex].cellIndex = v.cellIndex
	(*cell)[last] = nil
	*cell = (*cell)[:last]
	if last == 0 {
		g.columnMasks[v.row] &^= 1 << v.col
		if g.columnMasks[v.row] == 0 {
			g.rowMask &^= 1 << v.row
		}
	}
	v.group = nil
	g.Size--
	if g.Size == 0 {
		t.dropGroup(g)
	}
}

// dropGroup deletes an empty group, so that there are never more groups than VMs.
func (t *Tables) dropGroup(g *Group) {
	key := groupKey{zone: g.Zone, service: g.Service, load: g.Load, pressure: g.Pressure, capacityBin: g.CapacityBin, accelerators: g.Accelerators}
	delete(t.groups, key)
	last := len(t.groupList) - 1
	t.groupList[g.index] = t.groupList[last]
	t.groupList[g.index].index = g.index
	t.groupList[last] = nil
	t.groupList = t.groupList[:last]
}

// PopLowestBit returns the lowest bit of a mask and the mask without it.
func PopLowestBit(mask uint16) (uint8, uint16) {
	return uint8(bits.TrailingZeros16(mask)), mask & (mask - 1)
}

// Reserve adds a reservation to the VM and the customer ahead of its assignment.
func (t *Tables) Reserve(v *VM, tk *Task, r task.Resources) { t.applyReservation(v, tk, r, 1) }

// Unreserve reverts Reserve.
func (t *Tables) Unreserve(v *VM, tk *Task, r task.Resources) { t.applyReservation(v, tk, r, -1) }

func (t *Tables) applyReservation(v *VM, tk *Task, r task.Resources, sign int) {
	c := t.Customer(tk.Record.Spec.Customer)
	if sign < 0 {
		v.Reserved, c.Used = v.Reserved.Sub(r), c.Used.Sub(r)
	} else {
		v.Reserved, c.Used = v.Reserved.Add(r), c.Used.Add(r)
	}
	t.updateTaskCounts(tk, v, sign)
	if tk.Record.Spec.Class == task.Batch {
		c := classCPU{tk.Record.Spec.JobClass, int64(sign) * r.CPU}
		v.addBatchCPU(c.class, c.cpu)
		t.addPressure(v, c)
	}
	t.addZoneReserved(v, r, sign)
	t.updateCell(v)
}

// vmShape is the capacity that an empty VM offers to tasks, by zone.
type vmShape struct {
	zone string
	size task.Resources
}

// contribution is a VM's contribution to the totals.
type contribution struct {
	shape    vmShape
	rack     string
	capacity task.Resources
	reserved task.Resources
}

type zoneUsage struct{ reserved, capacity task.Resources }

// addToTotals adds the VM to the totals. A disconnected VM keeps its shape, since it may reconnect.
func (t *Tables) addToTotals(v *VM) {
	c := contribution{shape: vmShape{v.Zone, v.Capacity.Sub(v.ServiceReserved)}, rack: v.Rack, reserved: v.Reserved}
	t.vmsByShape[c.shape]++
	if v.Connected && !v.Draining && !v.Evacuated {
		c.capacity = v.Capacity
	}
	t.vmsByRack[v.Rack]++
	t.Capacity = t.Capacity.Add(c.capacity)
	z := t.zones[v.Zone]
	t.zones[v.Zone] = zoneUsage{z.reserved.Add(c.reserved), z.capacity.Add(v.Capacity)}
	t.contributions[v.ID] = c
}

func (t *Tables) removeFromTotals(v *VM) {
	c, ok := t.contributions[v.ID]
	if !ok {
		return
	}
	decrement(t.vmsByShape, c.shape)
	decrement(t.vmsByRack, c.rack)
	t.Capacity = t.Capacity.Sub(c.capacity)
	z := t.zones[v.Zone]
	t.zones[v.Zone] = zoneUsage{z.reserved.Sub(c.reserved), z.capacity.Sub(v.Capacity)}
	delete(t.contributions, v.ID)
}

// addZoneReserved adds r times sign to the reservations of the VM's zone.
func (t *Tables) addZoneReserved(v *VM, r task.Resources, sign int) {
	c, ok := t.contributions[v.ID]
	if !ok {
		return
	}
	if sign < 0 {
		r = task.Resources{}.Sub(r)
	}
	c.reserved = c.reserved.Add(r)
	t.contributions[v.ID] = c
	z := t.zones[v.Zone]
	z.reserved = z.reserved.Add(r)
	t.zones[v.Zone] = z
}

// ZoneShare returns the reserved share of the zone's processors.
func (t *Tables) ZoneShare(zone string) float64 {
	z := t.zones[zone]
	if z.capacity.CPU == 0 {
		return 0
	}
	return float64(z.reserved.CPU) / float64(z.capacity.CPU)
}

// FitsEmptyVM reports whether some known VM could hold the amount when empty, and
// whether any VM is known in the zone. An empty zone stands for all zones.
func (t *Tables) FitsEmptyVM(zone string, need task.Resources) (fits, known bool) {
	for s := range t.vmsByShape {
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

// JobKey identifies tasks that are expected to have similar resource use.
type JobKey struct{ Customer, JobClass string }

// Job returns the key of the task.
func (tk *Task) Job() JobKey { return JobKey{tk.Record.Spec.Customer, tk.Record.Spec.JobClass} }

type rackKey struct {
	job  JobKey
	rack string
}

func (t *Tables) updateTaskCounts(tk *Task, v *VM, n int) {
	t.tasksByRack[rackKey{tk.Job(), v.Rack}] += n
	t.tasksByJob[tk.Job()] += n
	if t.tasksByRack[rackKey{tk.Job(), v.Rack}] == 0 {
		delete(t.tasksByRack, rackKey{tk.Job(), v.Rack})
	}
	if t.tasksByJob[tk.Job()] == 0 {
		delete(t.tasksByJob, tk.Job())
	}
}

// OnRack returns the number of tasks of the job on the rack, the number of its tasks on all
// racks, and the number of racks.
func (t *Tables) OnRack(job JobKey, rack string) (onRack, total, racks int) {
	return t.tasksByRack[rackKey{job, rack}], t.tasksByJob[job], len(t.vmsByRack)
}

func decrement[K comparable](m map[K]int, k K) {
	m[k]--
	if m[k] <= 0 {
		delete(m, k)
	}
}

// classCPU holds the reserved processors of a job class, in thousandths.
type classCPU struct {
	class string
	cpu   int64
}

// batchChange is a change of a VM's batch processors at a time.
type batchChange struct {
	at time.Duration
	classCPU
}

// batchHistory bounds how far BatchCPUAt looks back. Reports lag by less.
const batchHistory = time.Minute

// addBatchCPU adds to the processors of a class. The list is sorted by class, so that
// sums over it do not depend on the order of changes.
func (v *VM) addBatchCPU(class string, cpu int64) { v.batchCPU = addClassCPU(v.batchCPU, class, cpu) }

func addClassCPU(mix []classCPU, class string, cpu int64) []classCPU {
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

// taskChanged updates the totals and indexes after a task was added to the VM (sign 1) or
// removed from it (-1).
func (t *Tables) taskChanged(v *VM, tk *Task, sign int) {
	t.updateTaskCounts(tk, v, sign)
	if tk.Record.Spec.Class == task.Batch {
		c := classCPU{tk.Record.Spec.JobClass, int64(sign) * tk.Reserved.CPU}
		v.addBatchCPU(c.class, c.cpu)
		v.batchChanges = append(v.batchChanges, batchChange{t.Now, c})
		t.addPressure(v, c)
	}
	old := 0
	for old < len(v.batchChanges) && v.batchChanges[old].at < t.Now-batchHistory {
		old++
	}
	if old > 0 {
		v.batchChanges = append(v.batchChanges[:0], v.batchChanges[old:]...)
	}
	t.addZoneReserved(v, tk.Reserved, sign)
	t.updateCell(v)
}

// BatchCPUAt calls f for each job class that had batch processors on the VM at a past
// time, sorted by class name.
func (v *VM) BatchCPUAt(at time.Duration, f func(class string, cpuMilli int64)) {
	mix := slices.Clone(v.batchCPU)
	for i := len(v.batchChanges) - 1; i >= 0 && v.batchChanges[i].at > at; i-- {
		mix = addClassCPU(mix, v.batchChanges[i].class, -v.batchChanges[i].cpu)
	}
	for _, e := range mix {
		f(e.class, e.cpu)
	}
}

// addPressure adds the effect of a change of batch processors to the pressure. Rounding
// errors accumulate until the next report, which recomputes the pressure.
func (t *Tables) addPressure(v *VM, c classCPU) {
	if v.Service == "" {
		return
	}
	v.Pressure = max(v.Pressure+t.Interference(v.Service, c.class, LoadBucket(v.ExpectedLoad()))*float64(c.cpu)/1000, 0)
	if len(v.batchCPU) == 0 {
		v.Pressure = 0
	}
}

// recomputePressure recomputes the pressure from the learnt interference.
func (t *Tables) recomputePressure(v *VM) {
	v.Pressure = 0
	if v.Service == "" {
		return
	}
	load := LoadBucket(v.ExpectedLoad())
	for _, e := range v.batchCPU {
		v.Pressure += t.Interference(v.Service, e.class, load) * float64(e.cpu) / 1000
	}
}
