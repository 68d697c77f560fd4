// Package fairshare compares customers by their share of the capacity, weighted by plan.
package fairshare

import (
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// Share returns the customer's dominant share of the capacity divided by the weight of its
// plan (dominant resource fairness).
func Share(c *tables.Customer, capacity task.Resources) float64 {
	share := max(fraction(c.Used.CPU, capacity.CPU), fraction(c.Used.Memory, capacity.Memory),
		fraction(c.Used.Accelerators, capacity.Accelerators))
	if c.Limit.ShareWeight > 0 {
		return share / c.Limit.ShareWeight
	}
	return share
}

func fraction(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
