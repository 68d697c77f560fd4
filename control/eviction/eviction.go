// Package eviction chooses which running tasks to preempt so that another fits. It has no side
// effects: it reads what each task reserves and the run time that its eviction loses. It serves
// pools that are full of deferrable work when urgent work arrives.
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
	// Loss is the run time that has to be repeated after the eviction.
	Loss time.Duration
}

// Choose returns the indexes of the candidates to evict so that need fits into the free resources
// and those of the candidates, least loss first, and the total loss. ok is false when no choice
// frees enough; nothing is chosen when need already fits.
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

// prune removes choices that later ones made unnecessary, the most costly first.
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

// reduces reports whether an amount reduces a shortfall.
func reduces(amount, shortfall task.Resources) bool {
	return amount.CPU > 0 && shortfall.CPU > 0 || amount.Memory > 0 && shortfall.Memory > 0 ||
		amount.Accelerators > 0 && shortfall.Accelerators > 0
}
