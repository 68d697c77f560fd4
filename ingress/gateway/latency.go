package gateway

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the part that each answered write contributes to the mean latency.
	latencyWeight = 8
	// forwardFactor is the number of mean latencies after which a write counts as unanswered.
	forwardFactor = 4
	// minForwardDelay is longer than a process with a small share of a processor may be held off it within one period
	// of the operating system's quota, 100 ms. An answer that waits for the process is not a sign of a silent store.
	minForwardDelay = 100 * time.Millisecond
	// maxForwardDelay leaves the write through the owner two thirds of the shortest usual budget.
	maxForwardDelay = 200 * time.Millisecond
)

// latency is the moving average of the time that the store takes to answer a write.
type latency struct {
	mu   sync.Mutex
	mean time.Duration
}

// observe adds the time of an answered write.
func (l *latency) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += (took - l.mean) / latencyWeight
}

// observeAtLeast adds the time of a write that was cancelled without an answer, if it is above the mean. Its answer would
// have taken longer still.
func (l *latency) observeAtLeast(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += max(took-l.mean, 0) / latencyWeight
}

// forwardDelay returns the time without an answer after which a write is also sent through the owner. It grows with
// the latency up to maxForwardDelay: a store that takes up to that long for all does not get each write twice, a slower one does.
func (l *latency) forwardDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(forwardFactor*l.mean, minForwardDelay), maxForwardDelay)
}
