package route

import (
	"sync"
	"time"
)

const (
	// hedgeQuantile is the share of requests that complete before a hedge is sent.
	hedgeQuantile = 0.95
	// minHedgeDelay prevents hedging on ordinary latency variation of fast services.
	minHedgeDelay = 10 * time.Millisecond
	// initialHedgeDelay is the estimate before the first response.
	initialHedgeDelay = 500 * time.Millisecond
	// hedgeStep is the relative adjustment of the estimate per sample.
	hedgeStep = 0.02
)

// HedgeDelay estimates how long to wait before a second attempt is sent to another
// upstream: a moving 95th percentile of the latency, in constant memory.
// It is safe for concurrent use.
type HedgeDelay struct {
	mu       sync.Mutex
	estimate time.Duration
}

// Observe records the latency of a response.
func (h *HedgeDelay) Observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.estimate == 0 {
		h.estimate = initialHedgeDelay
	}
	// At the 95th percentile, 95% small steps down cancel 5% large steps up.
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
