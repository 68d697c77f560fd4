package route

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the share of requests that are answered before a hedge is sent.
	hedgeQuantile = 0.95
	// minHedgeDelay keeps hedges of fast services away from ordinary variation.
	minHedgeDelay = 10 * time.Millisecond
	// initialHedgeDelay is the estimate before any answer has been seen.
	initialHedgeDelay = 500 * time.Millisecond
	// hedgeStep is the relative step of the estimate for one sample.
	hedgeStep = 0.02
)

// HedgeDelay estimates after which time a request is slow enough for a second
// attempt elsewhere: a moving 95th percentile of the latency, in constant memory.
// It is safe for concurrent use.
type HedgeDelay struct {
	mu       sync.Mutex
	estimate time.Duration
}

// Observe notes the latency of an answer.
func (h *HedgeDelay) Observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.estimate == 0 {
		h.estimate = initialHedgeDelay
	}
	// In balance, 95% small steps down cancel 5% large steps up.
	if latency > h.estimate {
		h.estimate += time.Duration(hedgeStep * hedgeQuantile * float64(h.estimate))
	} else {
		h.estimate -= time.Duration(hedgeStep * (1 - hedgeQuantile) * float64(h.estimate))
	}
}

// Delay returns the time to wait before a hedge.
func (h *HedgeDelay) Delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.estimate == 0 {
		return initialHedgeDelay
	}
	return max(minHedgeDelay, h.estimate)
}
