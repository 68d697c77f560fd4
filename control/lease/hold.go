package lease

import (
	"sync"
	"time"
)

// Extended is a lease that its holder renews in the store and, in a store
// outage, extends by holds from every member.
type Extended struct {
	// TTL is the life of the lease after the start of the last successful renewal.
	TTL     time.Duration
	renewed time.Duration
	held    time.Duration
	valid   bool
}

// Renew applies a successful renewal that was sent at sentAt.
func (e *Extended) Renew(sentAt time.Duration) {
	e.renewed, e.valid = sentAt, true
}

// Hold applies holds from every member, asked for at askedAt.
func (e *Extended) Hold(askedAt time.Duration) {
	e.held = max(e.held, askedAt+HoldTTL)
}

// Renewed returns the start of the last successful renewal.
func (e *Extended) Renewed() time.Duration { return e.renewed }

// Held reports whether holds from every member are in force at now.
func (e *Extended) Held(now time.Duration) bool {
	return e.valid && now < min(e.held, e.renewed+MaxExtension)
}

// Until returns the end of the lease.
func (e *Extended) Until() time.Duration {
	return max(e.renewed+e.TTL, min(e.held, e.renewed+MaxExtension))
}

// Valid reports whether the lease is held at now.
func (e *Extended) Valid(now time.Duration) bool { return e.valid && now < e.Until() }

// Promises are the holds that an entry has granted to holders of leases. An
// action against a holder (a takeover, an acceptance that counts the holder as
// expired) and a promise to it exclude each other. It is safe for concurrent use.
type Promises struct {
	mu      sync.Mutex
	until   map[string]time.Duration
	actions map[string]int
}

// NewPromises returns an empty set.
func NewPromises() *Promises {
	return &Promises{until: make(map[string]time.Duration), actions: make(map[string]int)}
}

// Grant promises the holder a hold from now. It reports false while an action against the holder is in progress.
func (p *Promises) Grant(holder string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actions[holder] > 0 {
		return false
	}
	p.until[holder] = now + ObserverWait(HoldTTL)
	return true
}

// Begin starts an action against the holder. It reports false while a promise is in force.
func (p *Promises) Begin(holder string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.until[holder] {
		return false
	}
	p.actions[holder]++
	return true
}

// End finishes an action. An action whose outcome is unknown must not be ended.
func (p *Promises) End(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actions[holder]--; p.actions[holder] <= 0 {
		delete(p.actions, holder)
	}
}
