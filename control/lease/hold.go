package lease

import (
	"sync"
	"time"
)

// ExtendableLease is a lease that its holder renews in the store and, in a store
// outage, extends by holds from every member.
type ExtendableLease struct {
	// TTL is the life of the lease after the start of the last successful renewal.
	TTL     time.Duration
	renewed time.Duration
	held    time.Duration
	valid   bool
}

// Renew applies a successful renewal that was sent at sentAt.
func (e *ExtendableLease) Renew(sentAt time.Duration) {
	e.renewed, e.valid = sentAt, true
}

// Extend applies holds from every member, asked for at askedAt.
func (e *ExtendableLease) Extend(askedAt time.Duration) {
	e.held = max(e.held, askedAt+ExtensionTTL)
}

// Renewed returns the start of the last successful renewal.
func (e *ExtendableLease) Renewed() time.Duration { return e.renewed }

// ExtensionActive reports whether holds from every member are in force at now.
func (e *ExtendableLease) ExtensionActive(now time.Duration) bool {
	return e.valid && now < min(e.held, e.renewed+MaxExtension)
}

// Until returns the end of the lease.
func (e *ExtendableLease) Until() time.Duration {
	return max(e.renewed+e.TTL, min(e.held, e.renewed+MaxExtension))
}

// Valid reports whether the lease is held at now.
func (e *ExtendableLease) Valid(now time.Duration) bool { return e.valid && now < e.Until() }

// ExtensionGrants are the holds that an entry has granted to holders of leases. An
// action against a holder (a takeover, an acceptance that counts the holder as
// expired) and a promise to it exclude each other. It is safe for concurrent use.
type ExtensionGrants struct {
	mu      sync.Mutex
	until   map[string]time.Duration
	actions map[string]int
}

// NewExtensionGrants returns an empty set.
func NewExtensionGrants() *ExtensionGrants {
	return &ExtensionGrants{until: make(map[string]time.Duration), actions: make(map[string]int)}
}

// Grant promises the holder a hold from now. It reports false while an action against the holder is in progress.
func (p *ExtensionGrants) Grant(holder string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actions[holder] > 0 {
		return false
	}
	p.until[holder] = now + ObserverWait(ExtensionTTL)
	return true
}

// BeginAction starts an action against the holder. It reports false while a promise is in force.
func (p *ExtensionGrants) BeginAction(holder string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.until[holder] {
		return false
	}
	p.actions[holder]++
	return true
}

// EndAction finishes an action. An action whose outcome is unknown must not be ended.
func (p *ExtensionGrants) EndAction(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actions[holder]--; p.actions[holder] <= 0 {
		delete(p.actions, holder)
	}
}
