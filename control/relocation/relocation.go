// Package relocation decides which best-effort runs leave an executor on which a latency-critical task is over its target. It
// serves best-effort tasks with checkpoints: a run that is stopped and resumed elsewhere loses the time of the move, one that is throttled
// where it stands loses all the time until it may work again, and interferes for longer. The package has no side effects.
package relocation

import (
	"cmp"
	"slices"
	"time"
)

// Run is a best-effort run with checkpoints.
type Run struct {
	// Utilization is what the run adds to the utilization of the latency-critical task that it slows most.
	Utilization float64
	// Remaining is the expected time to the end of the run.
	Remaining time.Duration
	// Age is the time since the run was confirmed.
	Age time.Duration
	// Moves counts the earlier moves of the task.
	Moves int
}

const (
	// minUtilization is the utilization from which a run may be a cause.
	minUtilization = 0.01
	// payoffFactor is the number of moves that the remaining time of a run has to be worth.
	payoffFactor = 2
	// MaxMoves limits how often a task is moved, so that it completes on a pool where every executor is over its target.
	MaxMoves = 6
	// MaxRuns is the largest number of runs that leave an executor at a time. The next reports show whether more are needed.
	MaxRuns = 2
)

// Choose returns the positions of the runs that leave the executor, those that interfere most first, until their
// utilization reaches excess or MaxRuns leave. cost is the time that a move takes from a run: its stop, the start elsewhere
// and the restore. A run that has worked for less than cost has just been moved, and one that is nearly done frees the
// executor soon; both stay.
func Choose(runs []Run, excess float64, cost time.Duration) []int {
	var chosen []int
	for i := range runs {
		r := &runs[i]
		if r.Utilization >= minUtilization && r.Moves < MaxMoves && r.Age >= cost && r.Remaining >= payoffFactor*cost {
			chosen = append(chosen, i)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(runs[b].Utilization, runs[a].Utilization) })
	removed := 0.0
	for n, i := range chosen {
		if n == MaxRuns || removed >= excess {
			return chosen[:n]
		}
		removed += runs[i].Utilization
	}
	return chosen
}
