package route

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before a retry.
const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 250 * time.Millisecond
)

// Backoff returns the delay before retry n, counted from 0: a uniformly random
// duration up to an exponentially growing bound (full jitter), so that callers that
// failed together do not retry together.
func Backoff(n int, random *rand.Rand) time.Duration {
	bound := backoffMax
	if n < 6 {
		bound = min(backoffMax, backoffBase<<n)
	}
	return time.Duration(random.Int64N(int64(bound)) + 1)
}
