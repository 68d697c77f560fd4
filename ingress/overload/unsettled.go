package overload

import "time"

const (
	// maxUnsettled bounds the ids that are kept since an attempt may still take effect.
	maxUnsettled = 20_000
	// unsettledTime is how long an id is kept. The store carries out or drops a write long before that.
	unsettledTime = 10 * time.Minute
)

// unsettled holds the ids that must not be refused, since an attempt to store them is in progress or has an unknown outcome.
type unsettled struct {
	// attempts counts the attempts in progress, unknown is when the outcome of one was lost.
	attempts map[string]int
	unknown  map[string]time.Duration
	// overflowAt is when an id could not be kept, 0 for never.
	overflowAt time.Duration
}

func newUnsettled() *unsettled {
	return &unsettled{attempts: make(map[string]int), unknown: make(map[string]time.Duration)}
}

// contains reports whether the id may be stored without that being known. After an overflow, that holds for any id.
func (u *unsettled) contains(id string, now time.Duration) bool {
	if u.overflowAt > 0 && now-u.overflowAt < unsettledTime {
		return true
	}
	at, lost := u.unknown[id]
	return u.attempts[id] > 0 || lost && now-at < unsettledTime
}

func (u *unsettled) begin(id string) { u.attempts[id]++ }

func (u *unsettled) end(id string, outcomeUnknown bool, now time.Duration) {
	if u.attempts[id]--; u.attempts[id] <= 0 {
		delete(u.attempts, id)
	}
	if !outcomeUnknown {
		return
	}
	if len(u.unknown) >= maxUnsettled {
		u.expire(now)
	}
	if len(u.unknown) >= maxUnsettled {
		u.overflowAt = now
		return
	}
	u.unknown[id] = now
}

func (u *unsettled) expire(now time.Duration) {
	for id, at := range u.unknown {
		if now-at >= unsettledTime {
			delete(u.unknown, id)
		}
	}
}
