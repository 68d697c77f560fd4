package gateway

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/clock"
)

// openAfter is how long writes must have failed without a success before the circuit
// breaker opens.
const openAfter = 300 * time.Millisecond

// breaker is a circuit breaker. It rejects writes immediately while the store does not
// respond, so that requesters do not wait for a timeout.
type breaker struct {
	clock clock.Clock
	// lastResponse returns when this process last received any response from the store.
	lastResponse func() time.Duration

	mu sync.Mutex
	// failingSince is the start of the first failed attempt since the last success, 0 for none.
	failingSince, lastFailure time.Duration
}

// open reports whether writes are rejected.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince == 0 || b.lastFailure-b.failingSince < openAfter {
		return false
	}
	if b.lastResponse() > b.lastFailure {
		b.failingSince = 0
		return false
	}
	return true
}

// record records the outcome of a write attempt that started at startedAt.
func (b *breaker) record(failed bool, startedAt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !failed:
		b.failingSince = 0
	case b.failingSince == 0:
		b.failingSince, b.lastFailure = startedAt, b.clock.Now()
	default:
		b.lastFailure = b.clock.Now()
	}
}
