package faultmatrix

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// pairSeed fixes the sample, so that a failure can be repeated.
const pairSeed = 7

// sampledPairs is the number of pairs in an ordinary run; one in repeatShare of
// them strikes twice with the same fault.
const (
	sampledPairs = 150
	repeatShare  = 5
)

// pair is two faults at two steps of one run.
type pair [2]cell

func (p pair) name() string { return p[0].name() + "+" + p[1].name() }

// samplePairs draws pairs from the possible cells.
func samplePairs(n int) []pair {
	rng := rand.New(rand.NewPCG(pairSeed, 0))
	cells := allCells()
	var out []pair
	for i := range n {
		a, b := cells[rng.IntN(len(cells))], cells[rng.IntN(len(cells))]
		if i%repeatShare == 0 {
			b = atStep(rng, cells, a.fault)
		}
		out = append(out, pair{a, b})
	}
	return out
}

// atStep returns a random cell of the fault.
func atStep(rng *rand.Rand, cells []cell, f fault) cell {
	for {
		if c := cells[rng.IntN(len(cells))]; c.fault.name == f.name {
			return c
		}
	}
}

// everyPair lists each pair of faults, repeats included, with the first fault at
// each step at which it is possible and the second at a random one.
func everyPair() []pair {
	rng := rand.New(rand.NewPCG(pairSeed, 1))
	cells := allCells()
	var out []pair
	for i, f := range faults {
		for _, g := range faults[i:] {
			for _, s := range steps {
				if impossible(s, f) == "" {
					out = append(out, pair{cell{step: s, fault: f}, atStep(rng, cells, g)})
				}
			}
		}
	}
	return out
}

// cellOf returns the possible cell with the name.
func cellOf(t *testing.T, name string) cell {
	for _, c := range allCells() {
		if c.name() == name {
			return c
		}
	}
	t.Fatalf("no cell %q", name)
	return cell{}
}

// Guards against a repeated cancellation that is acknowledged while the commit of
// the first one has not taken effect and never will. The order of goroutines
// decides whether a run shows it, so that the pair runs several times.
func TestRepeatedCancelIsDurable(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			verify(t, "repeated-cancel", run(t, cellOf(t, "propagate/store_down"), cellOf(t, "answer/entry_paused_past_its_lease")))
		})
	}
}

// Guards against two faults that are harmless alone. A pair in which the first
// fault keeps the second step from being reached counts as its first fault only.
func TestFaultPairs(t *testing.T) {
	list := samplePairs(sampledPairs)
	if *pairs {
		list = everyPair()
	}
	for i, p := range list {
		t.Run(fmt.Sprintf("%d_%s", i, p.name()), func(t *testing.T) {
			t.Parallel()
			r := run(t, p[0], p[1])
			r.fired = true
			verify(t, p.name(), r)
		})
	}
}
