package placewait_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/placewait"
)

const (
	tick   = 100 * time.Millisecond
	window = 20 * time.Second
	factor = 2.0
	racks  = 4
	slots  = 16
	seeds  = 4
)

// load is a stream of work for racks of equal size.
type load struct {
	// use is the share of all slots that the work takes at its racks, hot the share that wants the first rack.
	use, hot float64
	// burst is the number of tasks that arrive together.
	burst int
	// spread is that of the run times around their estimates.
	spread float64
	// slow holds the slowdown of the racks.
	slow [racks]float64
	// maxWidth is the size of the largest gang.
	maxWidth int
}

type work struct {
	rack, width      int
	estimate, actual time.Duration
	arrived, held    time.Duration
}

type run struct {
	rack, width  int
	began        time.Duration
	expected, at time.Duration
}

// world is the state of one play.
type world struct {
	load
	waits         bool
	now           time.Duration
	free          [racks]int
	runs          []run
	waiting       []*work
	demand        [racks]float64
	total         time.Duration
	remote, count int
}

// play returns the mean time to the end of the work, and the share that ran away from its rack.
func (l load) play(seed uint64, waits bool) (mean time.Duration, remote float64) {
	w := &world{load: l, waits: waits}
	for i := range racks {
		w.free[i] = slots
		w.slow[i] = max(1, l.slow[i])
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for ; w.now < 2*time.Minute; w.now += tick {
		w.end()
		w.arrive(rng)
		w.place()
	}
	return w.total / time.Duration(w.count), float64(w.remote) / float64(w.count)
}

func (w *world) end() {
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool {
		if r.at <= w.now {
			w.free[r.rack] += r.width
			return true
		}
		return false
	})
}

func (w *world) arrive(rng *rand.Rand) {
	meanWidth := float64(1+w.maxWidth) / 2
	perTick := w.use * racks * slots * tick.Seconds() / (2 * meanWidth * float64(w.burst))
	if rng.Float64() >= perTick {
		return
	}
	rack := rng.IntN(racks)
	if rng.Float64() < w.hot {
		rack = 0
	}
	for range w.burst {
		estimate := time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
		off := 1 + w.spread*(2*rng.Float64()-1)
		w.waiting = append(w.waiting, &work{rack: rack, width: 1 + rng.IntN(w.maxWidth), estimate: estimate,
			actual: time.Duration(off * float64(estimate)), arrived: w.now})
		x := w.waiting[len(w.waiting)-1]
		w.demand[rack] += float64(x.width) * x.estimate.Seconds() * w.slow[rack] / slots / window.Seconds()
	}
}

func (w *world) place() {
	var ahead [racks][]placewait.Claim
	for i := range racks {
		w.demand[i] *= math.Exp(-tick.Seconds() / window.Seconds())
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(x *work) bool {
		if w.free[x.rack] >= x.width {
			w.start(x, x.rack)
			return true
		}
		best := -1
		for i := range racks {
			if w.free[i] >= x.width && (best < 0 || w.free[i] > w.free[best]) {
				best = i
			}
		}
		if best < 0 || w.holds(x, best, ahead[x.rack]) {
			ahead[x.rack] = append(ahead[x.rack], placewait.Claim{Slots: float64(x.width), Run: x.estimate})
			return false
		}
		w.start(x, best)
		return true
	})
}

func (w *world) holds(x *work, best int, ahead []placewait.Claim) bool {
	if !w.waits {
		return false
	}
	if x.held == 0 {
		x.held = w.now
	}
	place := placewait.Rack{Free: float64(w.free[x.rack]), Ahead: ahead, Slowdown: w.slow[x.rack], Demand: w.demand[x.rack],
		Taken: w.use}
	for _, r := range w.runs {
		if r.rack == x.rack {
			left := max(r.expected-w.now, (w.now-r.began)/10)
			place.Releases = append(place.Releases, placewait.Release{At: w.now + left, Slots: float64(r.width)})
		}
	}
	slices.SortFunc(place.Releases, func(a, b placewait.Release) int { return cmp.Compare(a.At, b.At) })
	return placewait.Decide(placewait.Task{Width: x.width, Run: x.estimate, Spread: w.spread, RemoteFactor: factor, ElsewhereSlowdown: w.slow[best],
		Displaced: min(1, w.demand[best]), Waited: w.now - x.held}, place, w.now).Wait
}

func (w *world) start(x *work, rack int) {
	f := w.slow[rack]
	if rack != x.rack {
		f *= factor
		w.remote++
	}
	w.free[rack] -= x.width
	end := w.now + time.Duration(f*float64(x.actual))
	w.runs = append(w.runs, run{rack, x.width, w.now, w.now + time.Duration(f*float64(x.estimate)), end})
	w.total += end - x.arrived
	w.count++
}

// Guards against waits that make callers wait longer than no waits would: at a rack that is briefly or permanently busy, with
// wrong estimates, uneven speeds, and gangs of all sizes.
func TestWaitsShortenTimeToEnd(t *testing.T) {
	for name, c := range map[string]struct {
		load load
		// most is the highest mean time to the end as a share of that without waits.
		most float64
	}{
		"briefly busy":           {load{use: 0.6, burst: 12, maxWidth: 1}, 0.5},
		"high load":              {load{use: 0.8, burst: 4, maxWidth: 1}, 0.3},
		"permanently hot":        {load{use: 0.5, hot: 0.6, burst: 4, maxWidth: 1}, 1.02},
		"estimates off by 0.9":   {load{use: 0.7, burst: 8, spread: 0.9, maxWidth: 1}, 0.4},
		"hot and off by 0.9":     {load{use: 0.5, hot: 0.6, burst: 4, spread: 0.9, maxWidth: 1}, 1.02},
		"uneven speeds":          {load{use: 0.5, burst: 8, slow: [racks]float64{1, 1, 2, 3}, maxWidth: 1}, 0.6},
		"gangs of up to 16":      {load{use: 0.5, burst: 1, maxWidth: slots}, 0.85},
		"gangs off by 0.9":       {load{use: 0.5, burst: 1, spread: 0.9, maxWidth: slots}, 0.9},
		"overloaded, off by 0.9": {load{use: 1.2, burst: 8, spread: 0.9, maxWidth: 1}, 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			var with, without time.Duration
			var away, awayWithout float64
			for seed := range uint64(seeds) {
				a, ra := c.load.play(seed, true)
				b, rb := c.load.play(seed, false)
				with, without, away, awayWithout = with+a, without+b, away+ra/seeds, awayWithout+rb/seeds
			}
			t.Logf("%.3f of the time without waits; away %.3f, without waits %.3f", float64(with)/float64(without), away, awayWithout)
			assert.Assert(t, float64(with) <= c.most*float64(without))
		})
	}
}

// Guards against a wait that costs more than the run elsewhere loses, or that passes the point from which the work is late
// elsewhere, whatever the rack does meanwhile.
func TestWaitIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 20_000 {
		now := time.Duration(rng.Int64N(int64(time.Hour)))
		began := now
		task := placewait.Task{Width: 1 + rng.IntN(8), Run: time.Duration(rng.Int64N(int64(10 * time.Second))), Spread: rng.Float64(),
			RemoteFactor: 1 + rng.Float64(), ElsewhereSlowdown: 1 + rng.Float64(), Displaced: rng.Float64(),
			LatestElsewhere: now + time.Duration(rng.Int64N(int64(8*time.Second))) - 2*time.Second}
		for {
			place := placewait.Rack{Free: 8 * rng.Float64(), Taken: rng.Float64(), Slowdown: 1}
			for at := now; rng.IntN(8) > 0; at += time.Duration(rng.Int64N(int64(time.Second))) {
				place.Releases = append(place.Releases, placewait.Release{At: at, Slots: 4 * rng.Float64()})
			}
			for rng.IntN(3) > 0 {
				place.Ahead = append(place.Ahead, placewait.Claim{Slots: 2 * rng.Float64(), Run: time.Second})
			}
			task.Waited = now - began
			d := placewait.Decide(task, place, now)
			if !d.Wait {
				break
			}
			assert.Assert(t, d.Until > now && d.Until <= began+placewait.MaxWait(task, place) && d.Until <= began+2*placewait.Gain(task, place), "until %s at %s", d.Until, now)
			assert.Assert(t, d.There < d.Elsewhere, "%+v", d)
			assert.Assert(t, task.LatestElsewhere <= began || d.Until <= task.LatestElsewhere, "%+v", d)
			now = min(d.Until, now+tick)
		}
	}
}

// Guards against equal claims that count differently when they are given as one with their number.
func TestClaimsCountAsTheirNumber(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	waits := 0
	for range 20_000 {
		single := placewait.Rack{Free: 4 * rng.Float64(), Slowdown: 1}
		for at := time.Duration(0); rng.IntN(8) > 0; at += time.Duration(rng.Int64N(int64(time.Second))) {
			single.Releases = append(single.Releases, placewait.Release{At: at, Slots: 4 * rng.Float64()})
		}
		merged := single
		for rng.IntN(4) > 0 {
			c := placewait.Claim{Slots: 2 * rng.Float64(), Run: time.Duration(rng.Int64N(int64(time.Second)))}
			n := 1 + rng.IntN(6)
			single.Ahead = append(single.Ahead, slices.Repeat([]placewait.Claim{c}, n)...)
			c.Count = n
			merged.Ahead = append(merged.Ahead, c)
		}
		task := placewait.Task{Width: 1 + rng.IntN(4), Run: time.Duration(rng.Int64N(int64(10 * time.Second))), RemoteFactor: 2, ElsewhereSlowdown: 1}
		want := placewait.Decide(task, single, 0)
		assert.DeepEqual(t, placewait.Decide(task, merged, 0), want)
		if want.Wait && len(single.Ahead) > len(merged.Ahead) {
			waits++
		}
	}
	assert.Assert(t, waits > 1000, "%d waits behind merged claims", waits)
}
