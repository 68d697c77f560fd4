package lease

import (
	"sync"
	"time"
)

// ExtendableLease is a lease that its holder renews in the store and, in a store
// outage, extends with the agreement of every member.
type ExtendableLease struct {
	// TTL is how long the lease is valid after the start of the last successful renewal.
	TTL           time.Duration
	renewedAt     time.Duration
	extendedUntil time.Duration
	valid         bool
}

// Renew applies a successful renewal that was sent at sentAt.
func (e *ExtendableLease) Renew(sentAt time.Duration) {
	e.renewedAt, e.valid = sentAt, true
}

// Extend applies lease extensions that every member granted to a request sent at requestedAt.
func (e *ExtendableLease) Extend(requestedAt time.Duration) {
	e.extendedUntil = max(e.extendedUntil, requestedAt+ExtensionTTL)
}

// Renewed returns the start of the last successful renewal.
func (e *ExtendableLease) Renewed() time.Duration { return e.renewedAt }

// ExtensionActive reports whether extensions from every member are in effect at now.
func (e *ExtendableLease) ExtensionActive(now time.Duration) bool {
	return e.valid && now < min(e.extendedUntil, e.renewedAt+MaxExtension)
}

// Until returns when the lease expires.
func (e *ExtendableLease) Until() time.Duration {
	return max(e.renewedAt+e.TTL, min(e.extendedUntil, e.renewedAt+MaxExtension))
}

// Valid reports whether the lease is held at now.
func (e *ExtendableLease) Valid(now time.Duration) bool { return e.valid && now < e.Until() }

// ExtensionGrants are the lease extensions that an entry has granted to lease holders. An
// action against a holder (a takeover, or the acceptance of a configuration that treats the
// holder as expired) and a granted extension exclude each other. It is safe for concurrent use.
type ExtensionGrants struct {
	mu           sync.Mutex
	grantedUntil map[string]time.Duration
	actions      map[string]int
}

// NewExtensionGrants returns an empty set.
func NewExtensionGrants() *ExtensionGrants {
	return &ExtensionGrants{grantedUntil: make(map[string]time.Duration), actions: make(map[string]int)}
}

// Grant extends the holder's lease from now. It reports false while an action against the holder is in progress.
func (p *ExtensionGrants) Grant(holder string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actions[holder] > 0 {
		return false
	}
	p.grantedUntil[holder] = now + ObserverWait(ExtensionTTL)
	return true
}

// BeginAction starts an action against the holder. It reports false while a granted extension is in effect.
func (p *ExtensionGrants) BeginAction(holder string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.grantedUntil[holder] {
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
