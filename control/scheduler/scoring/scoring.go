// Package scoring ranks the VMs on which a task may run. A score depends only on the VM's
// group and its bin of free processors, so that a search compares groups and rows
// instead of single VMs.
package scoring

import (
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Weights of the score's terms. At tail weight 1, a relative slowdown of the service by 1
// outweighs all other terms.
const (
	interferenceWeight = 10.0
	pressureFactor     = 4.0
	loadWeight         = 0.3
	headroomWeight     = 2.0
	packingWeight      = 0.2
	spreadWeight       = 0.1
	zoneWeight         = 0.2
	acceleratorWeight  = 1.0
)

// Headroom is the share of processors to keep free on a VM with a service: a base, and more
// under load. An upstream's cold start outlasts a traffic peak, so capacity must be ready
// before the peak.
const (
	headroomBase    = 0.1
	headroomPerLoad = 0.2
)

// Request describes a placement to be scored.
type Request struct {
	Class task.Class
	Need  task.Resources
	// TailWeight weighs tail latency (1) against batch throughput and evictions (0).
	TailWeight float64
	// Interference holds the learnt interference of the task's job class.
	Interference *tables.InterferenceCache
}

// Group returns the part of the score that is equal for all VMs of the group. Higher is better.
func Group(t *tables.Tables, r Request, g *tables.Group) float64 {
	score := -zoneWeight * t.ZoneShare(g.Zone)
	if r.Need.Accelerators == 0 && g.Accelerators > 0 {
		score -= acceleratorWeight
	}
	if g.Service == "" || r.Class != task.Batch {
		return score
	}
	w := 0.2 + 0.8*r.TailWeight
	interference := r.Interference.On(g.Service, g.Load) * float64(r.Need.CPU) / 1000
	score -= w * interferenceWeight * interference * (1 + pressureFactor*tables.PressureEdge(g.Pressure))
	return score - w*loadWeight*float64(g.Load)/tables.LoadBuckets
}

// Row returns the part of the score that depends on the bin of free processors.
func Row(r Request, g *tables.Group, row uint8) float64 {
	capacity := float64(tables.CPUEdge(g.CapacityBin))
	if capacity == 0 {
		return 0
	}
	free := max(float64(tables.CPUEdge(row))-float64(r.Need.CPU), 0) / capacity
	if g.Service == "" {
		return packingWeight * (1 - free)
	}
	score := spreadWeight*r.TailWeight*free + packingWeight*(1-r.TailWeight)*(1-free)
	headroom := headroomBase + headroomPerLoad*float64(g.Load)/tables.LoadBuckets
	return score - headroomWeight*max(headroom-free, 0)
}
