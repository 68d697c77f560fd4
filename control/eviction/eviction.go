// Package eviction chooses which running tasks give up their place so that another
// fits. It is pure: it sees what each task holds and what its eviction loses. It
// answers the load of a pool that is full of work that may wait when work that may not
// wait arrives.
package eviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// Candidate is a task that may be evicted.
type Candidate struct {
	ID       string
	Reserved task.Resources
	// Loss is the run time that the eviction throws away.
	Loss time.Duration
}

// Choose returns the positions of the candidates to evict so that need fits into what
// they leave and what is free, those with the least loss first, and their loss. ok is
// false when no choice makes room; nothing is chosen when there is room already.
func Choose(candidates []Candidate, need, free task.Resources) (chosen []int, loss time.Duration, ok bool) {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(candidates[a].Loss, candidates[b].Loss), cmp.Compare(candidates[a].ID, candidates[b].ID))
	})
	for _, i := range order {
		if need.Fits(free) {
			break
		}
		c := &candidates[i]
		if !reduces(c.Reserved, need.Sub(free)) {
			continue
		}
		free = free.Add(c.Reserved)
		loss += c.Loss
		chosen = append(chosen, i)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	chosen, loss = prune(candidates, chosen, need, free, loss)
	return chosen, loss, true
}

// prune drops choices that later ones made unnecessary, the most costly first.
func prune(candidates []Candidate, chosen []int, need, free task.Resources, loss time.Duration) ([]int, time.Duration) {
	for k := len(chosen) - 1; k >= 0; k-- {
		c := &candidates[chosen[k]]
		if without := free.Sub(c.Reserved); need.Fits(without) {
			free = without
			loss -= c.Loss
			chosen = slices.Delete(chosen, k, k+1)
		}
	}
	return chosen, loss
}

// reduces reports whether an amount reduces a lack.
func reduces(amount, lack task.Resources) bool {
	return amount.CPU > 0 && lack.CPU > 0 || amount.Memory > 0 && lack.Memory > 0 ||
		amount.Accelerators > 0 && lack.Accelerators > 0
}
