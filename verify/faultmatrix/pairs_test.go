package faultmatrix

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// pairSeed makes the sample reproducible.
const pairSeed = 7

// sampledPairs is the number of pairs in a run without -pairs. Every sameFaultInterval-th pair injects the same fault
// twice.
const (
	sampledPairs      = 150
	sameFaultInterval = 5
)

// pair is two faults that are injected in one run.
type pair [2]cell

func (p pair) name() string { return p[0].name() + "+" + p[1].name() }

// samplePairs returns n random pairs of possible cells.
func samplePairs(n int) []pair {
	rng := rand.New(rand.NewPCG(pairSeed, 0))
	cells := possibleCells()
	var out []pair
	for i := range n {
		a, b := cells[rng.IntN(len(cells))], cells[rng.IntN(len(cells))]
		if i%sameFaultInterval == 0 {
			b = randomCell(rng, cells, a.fault)
		}
		out = append(out, pair{a, b})
	}
	return out
}

// randomCell returns a random cell with the fault.
func randomCell(rng *rand.Rand, cells []cell, f fault) cell {
	for {
		if c := cells[rng.IntN(len(cells))]; c.fault.name == f.name {
			return c
		}
	}
}

// allPairs returns each pair of faults, pairs of the same fault included, with the first fault at each step where it is
// possible and the second at a random step.
func allPairs() []pair {
	rng := rand.New(rand.NewPCG(pairSeed, 1))
	cells := possibleCells()
	var out []pair
	for i, f := range faults {
		for _, g := range faults[i:] {
			for _, s := range steps {
				if impossibleReason(s, f) == "" {
					out = append(out, pair{cell{step: s, fault: f}, randomCell(rng, cells, g)})
				}
			}
		}
	}
	return out
}

// cellByName returns the possible cell with the name.
func cellByName(t *testing.T, name string) cell {
	for _, c := range possibleCells() {
		if c.name() == name {
			return c
		}
	}
	t.Fatalf("no possible cell is named %q", name)
	return cell{}
}

// Guards against acknowledging a repeated cancellation although the commit of the first one never takes effect. The
// failure depends on the order of goroutines, so the pair runs several times.
func TestRepeatedCancelIsDurable(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			checkResult(t, "repeated-cancel", run(t, cellByName(t, "propagate/store_down"), cellByName(t, "answer/entry_paused_past_its_lease")))
		})
	}
}

// Guards against combinations of two faults that violate an invariant although each fault alone does not. If the first
// fault prevents the second step from being reached, the run tests the first fault only.
func TestFaultPairs(t *testing.T) {
	list := samplePairs(sampledPairs)
	if *pairs {
		list = allPairs()
	}
	for i, p := range list {
		t.Run(fmt.Sprintf("%d_%s", i, p.name()), func(t *testing.T) {
			t.Parallel()
			r := run(t, p[0], p[1])
			r.injected = true
			checkResult(t, p.name(), r)
		})
	}
}
