package histories

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/verify/workload"
)

// Machines of the entries. An entry without a capability is one of an earlier build.
var (
	largeMachine = succession.Capability{CPU: 800, MemoryMB: 536, LinkMbps: 200}
	smallMachine = succession.Capability{CPU: 192, MemoryMB: 184, LinkMbps: 10}
	oneLarge     = [entryCount]succession.Capability{smallMachine, largeMachine, smallMachine}
)

// Guards against tasks that run twice or are lost by a hand-over, an owner that stays on a small entry, and an ownership that
// moves to and fro.
func TestHandOver(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	type testCase struct {
		machines [entryCount]succession.Capability
		faults   []fault
		// owner is the entry that must own the work in the end, -1 for any.
		owner int
		// max bounds the number of hand-overs.
		max uint64
		// settles is how long the owner has to settle after the work, 2*succession.HandOverInterval if 0.
		settles time.Duration
	}
	var flapping []fault
	for i := range 6 {
		flapping = append(flapping, fault{at: time.Duration(3+4*i) * s, kind: killEntry, target: 1})
	}
	cases := map[string]testCase{
		"one large entry":       {machines: oneLarge, owner: 1, max: 1},
		"all small":             {machines: [entryCount]succession.Capability{smallMachine, smallMachine, smallMachine}, owner: -1},
		"rows without the key":  {machines: [entryCount]succession.Capability{smallMachine, {}, {}}, owner: -1},
		"large entry flaps":     {machines: oneLarge, faults: flapping, owner: 1, max: 2},
		"large entry dies":      {machines: oneLarge, faults: []fault{{at: 12 * s, kind: killEntry, target: 1}}, owner: 1, max: 3},
		"large one lacks store": {machines: oneLarge, faults: []fault{{at: 4 * s, duration: 12 * s, kind: cutEntryStore, target: 1}}, owner: 1, max: 2, settles: 3 * time.Minute},
		"others lack store": {machines: oneLarge, owner: 1, max: 2, settles: 3 * time.Minute, faults: []fault{
			{at: 4 * s, duration: 12 * s, kind: cutEntryStore, target: 1}, {at: 4 * s, duration: 12 * s, kind: cutEntryStore, target: 2}}},
	}
	// The first check that finds the large entry connected for long enough is 5 to 7 s after the start.
	for at := 5 * s; at < 7*s; at += 200 * ms {
		cases[fmt.Sprintf("owner killed at %v", at)] = testCase{machines: oneLarge, owner: -1, max: 2, faults: []fault{
			{at: at, duration: s, kind: cutEntryStore, target: 0}, {at: at, kind: killEntry, target: 0},
			{at: at, duration: s, kind: cutEntryStore, target: 2}, {at: at, kind: killEntry, target: 2}}}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				work := workload.Generate(rand.New(rand.NewPCG(seed, 3)),
					workload.Config{MinSubmissions: 10, MaxSubmissions: 20, ArrivalWindow: arrivalWindow, Executors: executorCount})
				inspect := func(cluster *cluster) {
					time.Sleep(max(c.settles, 2*succession.HandOverInterval))
					owner, handOvers := cluster.ownerAndHandOvers()
					assert.Assert(t, owner >= 0 && (c.owner < 0 || owner == c.owner), "entry %d owns the work", owner)
					assert.Assert(t, handOvers <= c.max, "%d hand-overs", handOvers)
				}
				for _, v := range runPlan(t, plan{work: work, faults: c.faults, machines: c.machines, inspect: inspect}) {
					t.Errorf("seed %d, %v %s: %s", seed, v.At, v.Invariant, v.Detail)
				}
			}
		})
	}
}

// ownerAndHandOvers returns the number of the entry that owns the work, -1 if none does, and that of all hand-overs so far.
func (c *cluster) ownerAndHandOvers() (int, uint64) {
	owner, handOvers := -1, c.handOvers
	for i := range c.entries {
		candidate := c.entry(i).candidate
		if candidate.Owning() {
			owner = i
		}
		handOvers += candidate.Counters().HandOvers
	}
	return owner, handOvers
}
