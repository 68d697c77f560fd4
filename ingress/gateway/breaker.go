package gateway

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/clock"
)

// openAfter is how long writes must have failed without a success before
// requests are refused at once.
const openAfter = 300 * time.Millisecond

// breaker refuses writes while the store is known not to answer, so that
// requesters do not wait for an answer that cannot come.
type breaker struct {
	clock clock.Clock
	// lastResponse returns when the store last answered anything to this process.
	lastResponse func() time.Duration

	mu sync.Mutex
	// failingSince is the start of the failures since the last success, 0 for none.
	failingSince, lastFailure time.Duration
}

// open reports whether writes are refused.
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

// record takes in the outcome of an attempt that was begun at the given time.
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
