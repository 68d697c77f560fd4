// Package unsettled remembers the submissions of which an attempt through this process has been stored or may be. They must not be
// refused as ones that never run.
package unsettled

import "time"

const (
	// MaxIDs bounds the ids that are kept since an attempt may still take effect.
	MaxIDs = 20_000
	// Retention is how long an id is kept. The store carries out or drops a write long before that.
	Retention = 10 * time.Minute
)

// IDs holds the ids that must not be refused, since an attempt to store them is in progress or has an unknown outcome. It is not safe for
// concurrent use.
type IDs struct {
	// attempts counts the attempts in progress, unknown is when one ended that may be stored.
	attempts map[string]int
	unknown  map[string]time.Duration
	// overflowAt is when an id could not be kept, 0 for never.
	overflowAt time.Duration
}

// New returns an empty set.
func New() *IDs {
	return &IDs{attempts: make(map[string]int), unknown: make(map[string]time.Duration)}
}

// Contains reports whether the id may be stored without that being known. After an overflow, that holds for any id.
func (u *IDs) Contains(id string, now time.Duration) bool {
	if u.overflowAt > 0 && now-u.overflowAt < Retention {
		return true
	}
	at, lost := u.unknown[id]
	return u.attempts[id] > 0 || lost && now-at < Retention
}

// Unknown returns the number of ids that are kept since an attempt may be stored.
func (u *IDs) Unknown() int { return len(u.unknown) }

// Begin records that an attempt has begun.
func (u *IDs) Begin(id string) { u.attempts[id]++ }

// End records that an attempt has ended, and whether it is or may be stored.
func (u *IDs) End(id string, mayBeStored bool, now time.Duration) {
	if u.attempts[id]--; u.attempts[id] <= 0 {
		delete(u.attempts, id)
	}
	if !mayBeStored {
		return
	}
	if len(u.unknown) >= MaxIDs {
		u.expire(now)
	}
	if len(u.unknown) >= MaxIDs {
		u.overflowAt = now
		return
	}
	u.unknown[id] = now
}

// expire removes the ids that were kept for long enough.
func (u *IDs) expire(now time.Duration) {
	for id, at := range u.unknown {
		if now-at >= Retention {
			delete(u.unknown, id)
		}
	}
}
