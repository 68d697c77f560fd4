package guard

import (
	"math"
	"time"
)

// Dimensions of the window.
const (
	// slots times Interval is the length of the window, 5 s.
	slots = 25
	// Buckets span 1/16 octave (4.4%) each, from 1/16 to 16 times the target.
	bucketsPerOctave = 16
	octavesBelow     = 4
	numBuckets       = 2 * octavesBelow * bucketsPerOctave
)

// window is a sliding histogram of the latencies of the last slots calls, as ratios to the target.
type window struct {
	counts [slots][numBuckets]uint32
	sum    [numBuckets]uint32
	total  uint32
	next   int
}

// add replaces the oldest slot with the latencies.
func (w *window) add(latencies []time.Duration, target time.Duration) {
	slot := &w.counts[w.next]
	w.next = (w.next + 1) % slots
	for i, n := range slot {
		w.sum[i] -= n
		w.total -= n
		slot[i] = 0
	}
	for _, l := range latencies {
		b := bucket(float64(l) / float64(target))
		slot[b]++
		w.sum[b]++
	}
	w.total += uint32(len(latencies))
}

func (w *window) reset() { *w = window{} }

func bucket(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	b := int(math.Floor(math.Log2(ratio)*bucketsPerOctave)) + octavesBelow*bucketsPerOctave
	return min(max(b, 0), numBuckets-1)
}

// quantile returns the midpoint of the bucket that contains the q-quantile, as a ratio to the target.
func (w *window) quantile(q float64) float64 {
	rank := uint32(math.Ceil(q * float64(w.total)))
	var seen uint32
	for b, n := range w.sum {
		seen += n
		if seen >= rank {
			return math.Exp2((float64(b) + 0.5 - octavesBelow*bucketsPerOctave) / bucketsPerOctave)
		}
	}
	return 0
}
