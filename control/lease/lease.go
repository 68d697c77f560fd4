// Package lease contains the arithmetic of shard leases and VM grants. Both are
// measured on clocks that include suspend. A holder counts from before it asked,
// an observer from after it saw, so the holder's belief always ends first.
package lease

import "time"

// Timing of leases and grants.
const (
	// ShardTTL is the life of a shard lease after the start of its last successful renewal.
	ShardTTL = 15 * time.Second
	// ShardRenewInterval leaves two retries within ShardTTL.
	ShardRenewInterval = 5 * time.Second
	// GrantTTL is the life of a VM grant after the agent sent the heartbeat it answers.
	GrantTTL = 30 * time.Second
	// HeartbeatInterval leaves two retries within GrantTTL. At 8 s the busiest entry of
	// the long-term size spent 2.3 KB/s on control, headers included.
	HeartbeatInterval = 10 * time.Second
	// DriftPercent is the largest assumed difference in clock rate between two VMs.
	DriftPercent = 1
	// Margin covers scheduling delay between reading a clock and acting on it.
	Margin = time.Second
	// ExtensionTTL is how long the holder uses a hold, counted from the time it asked.
	ExtensionTTL = 10 * time.Second
	// ExtensionInterval leaves two further attempts within HoldTTL.
	ExtensionInterval = 3 * time.Second
	// MaxExtension is the longest time after the last successful renewal for which holds extend a lease.
	MaxExtension = 40 * time.Minute
)

// ObserverWait returns how long an observer must wait on its own clock before a
// holder with the given ttl has certainly stopped believing in its lease.
func ObserverWait(ttl time.Duration) time.Duration {
	return ttl + ttl*DriftPercent/100 + Margin
}

// Grant is the agent's view of its VM grant.
type Grant struct {
	epoch uint64
	until time.Duration
}

// Extend applies a grant answered to a heartbeat sent at sentAt. Grants with an
// epoch lower than the highest seen are ignored and reported as false.
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

// Until returns the end of the grant.
func (g *Grant) Until() time.Duration { return g.until }

// Valid reports whether the grant is in force at now.
func (g *Grant) Valid(now time.Duration) bool { return now < g.until }

// Observation tracks how long a row has been seen unchanged.
type Observation struct {
	version uint64
	since   time.Duration
	last    time.Duration
	seen    bool
}

// Observe records the row version at now and reports whether it has been
// unchanged long enough for a holder with the ttl to have lost its lease.
func (o *Observation) Observe(version uint64, now, ttl time.Duration) bool {
	o.last = now
	if !o.seen || o.version != version {
		o.seen, o.version, o.since = true, version, now
		return false
	}
	return now-o.since >= ObserverWait(ttl)
}

// Unchanged returns how long the row had been unchanged when it was last observed.
func (o *Observation) Unchanged() time.Duration { return o.last - o.since }

// Since returns when the row was first observed in its present version.
func (o *Observation) Since() time.Duration { return o.since }
