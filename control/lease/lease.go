// Package lease contains the timing rules of shard leases and VM grants. Both are
// measured on clocks that include suspend. A holder counts from before it sent the
// request and an observer from after it saw the row, so a lease always expires at
// the holder first.
package lease

import "time"

// Timing of leases and grants.
const (
	// ShardTTL is how long a shard lease is valid after the start of its last successful renewal.
	ShardTTL = 15 * time.Second
	// ShardRenewInterval allows two retries within ShardTTL.
	ShardRenewInterval = 5 * time.Second
	// GrantTTL is how long a VM grant is valid after the agent sent the heartbeat that it answers.
	GrantTTL = 30 * time.Second
	// HeartbeatInterval allows two retries within GrantTTL. At 8 s the busiest entry of the
	// long-term target size used 2.3 KB/s of control traffic, headers included.
	HeartbeatInterval = 10 * time.Second
	// DriftPercent is the largest assumed clock drift between two VMs.
	DriftPercent = 1
	// Margin covers scheduling delay between reading a clock and acting on it.
	Margin = time.Second
	// ExtensionTTL is how long a lease extension is valid, counted from the time the holder requested it.
	ExtensionTTL = 10 * time.Second
	// ExtensionInterval allows two retries within ExtensionTTL.
	ExtensionInterval = 3 * time.Second
	// MaxExtension limits how long after its last successful renewal a lease can be extended.
	MaxExtension = 40 * time.Minute
)

// ObserverWait returns how long an observer must wait on its own clock until a lease
// with the given ttl has certainly expired at its holder.
func ObserverWait(ttl time.Duration) time.Duration {
	return ttl + ttl*DriftPercent/100 + Margin
}

// Grant is the agent's view of its VM grant.
type Grant struct {
	epoch uint64
	until time.Duration
}

// Extend applies a grant received in reply to a heartbeat sent at sentAt. It ignores a
// grant with an epoch lower than the highest seen and returns false.
func (g *Grant) Extend(epoch uint64, sentAt, ttl time.Duration) bool {
	if epoch < g.epoch {
		return false
	}
	g.epoch = epoch
	if until := sentAt + ttl; until > g.until {
		g.until = until
	}
	return true
}

// Epoch returns the highest owner epoch seen.
func (g *Grant) Epoch() uint64 { return g.epoch }

// Until returns when the grant expires.
func (g *Grant) Until() time.Duration { return g.until }

// Valid reports whether the grant is valid at now.
func (g *Grant) Valid(now time.Duration) bool { return now < g.until }

// Observation tracks how long a row has been observed unchanged.
type Observation struct {
	version        uint64
	unchangedSince time.Duration
	observedAt     time.Duration
	observed       bool
}

// Observe records the row version at now and reports whether it has been
// unchanged long enough for a holder with the ttl to have lost its lease.
func (o *Observation) Observe(version uint64, now, ttl time.Duration) bool {
	o.observedAt = now
	if !o.observed || o.version != version {
		o.observed, o.version, o.unchangedSince = true, version, now
		return false
	}
	return now-o.unchangedSince >= ObserverWait(ttl)
}

// Unchanged returns how long the row had been unchanged when it was last observed.
func (o *Observation) Unchanged() time.Duration { return o.observedAt - o.unchangedSince }

// Since returns when the row was first observed in its current version.
func (o *Observation) Since() time.Duration { return o.unchangedSince }
