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
	// unansweredAt is when a write was last found to be without a timely answer, 0 after an answer to any write.
	unansweredAt time.Duration
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
		b.failingSince, b.unansweredAt = 0, 0
	case b.failingSince == 0:
		b.failingSince, b.lastFailure = startedAt, b.clock.Now()
	default:
		b.lastFailure = b.clock.Now()
	}
}

// recordUnanswered records that a write has no answer after the usual time.
func (b *breaker) recordUnanswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unansweredAt = b.clock.Now()
}

// suspect reports whether the store has answered nothing since a write went without a timely answer. Further writes
// are then sent to the store and to the owner at the same time.
func (b *breaker) suspect() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unansweredAt != 0 && b.lastResponse() <= b.unansweredAt
}
