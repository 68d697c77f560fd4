package confsync

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/state/store"
)

// Follower tracks an entry's configuration: the document in force, the configuration
// lease, and whether a change is pending. It is safe for concurrent use.
type Follower struct {
	table store.Table
	clock clock.Clock

	mu    sync.Mutex
	doc   plan.Document
	lease lease.ExtendableLease
	// pendingGeneration is the generation of a pending change, 0 when there is none.
	pendingGeneration     uint64
	pendingSince          time.Duration
	preparedGeneration    uint64
	registered            bool
	registeredAt          time.Duration
	registrationRenewedAt time.Duration
}

// NewFollower returns a follower that admits no request until it is registered and has read the table.
func NewFollower(table store.Table, c clock.Clock) *Follower {
	return &Follower{table: table, clock: c, lease: lease.ExtendableLease{TTL: LeaseTTL}}
}

// Change describes what one poll changed.
type Change struct {
	// Prepare is true when a change became pending; the registration must then be renewed immediately.
	Prepare bool
	// InForce is the document that came into force, nil when there is none.
	InForce *plan.Document
}

// Poll reads the generations, and the document when it is newer than the one in force.
func (f *Follower) Poll(ctx context.Context) (Change, error) {
	readAt := f.clock.Now()
	rows, err := f.table.Get(ctx, KeyGenerations)
	if err != nil {
		return Change{}, err
	}
	var h generations
	if len(rows) == 1 {
		if err := msgpack.Unmarshal(rows[0].Value, &h); err != nil {
			return Change{}, errkind.Wrap(errkind.Internal, err, "decode generations")
		}
	}
	var doc plan.Document
	if h.Current > f.Document().Generation {
		// The row may be newer than the generations read before it, but never older.
		rows, err := f.table.Get(ctx, KeyCurrent)
		if err != nil || len(rows) == 0 {
			return Change{}, errkind.Wrap(errkind.StoreUnavailable, err, "read generation %d", h.Current)
		}
		if doc, err = decodeDocument(rows[0]); err != nil {
			return Change{}, err
		}
	}
	return f.applyRead(readAt, h, doc), nil
}

// applyRead applies a read that started at readAt. doc is zero when it was not read.
func (f *Follower) applyRead(readAt time.Duration, h generations, doc plan.Document) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c Change
	if readAt < f.lease.Renewed() || max(h.Current, doc.Generation) < f.doc.Generation {
		// A later read has already been applied.
		return c
	}
	f.lease.Renew(readAt)
	if doc.Generation > f.doc.Generation {
		f.doc = doc
		c.InForce = &doc
	}
	f.pendingGeneration = 0
	if h.Pending > f.doc.Generation {
		f.pendingGeneration = h.Pending
		if f.pendingGeneration > f.preparedGeneration {
			f.preparedGeneration, f.pendingSince, c.Prepare = f.pendingGeneration, readAt, true
		}
	}
	return c
}

// Registered records that the registration was written by a transaction sent at sentAt.
func (f *Follower) Registered(sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.registered {
		f.registered, f.registeredAt = true, f.clock.Now()
	}
	f.registrationRenewedAt = sentAt
}

// Unregistered records that the registration was removed. No request is admitted
// until the entry has registered and read the configuration again.
func (f *Follower) Unregistered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered = false
}

// ExtendLease applies lease extensions that every member granted to a request sent at requestedAt.
func (f *Follower) ExtendLease(requestedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.Extend(requestedAt)
}

// Admit decides whether a request may be admitted now. It returns
// errkind.NotReady before the first read and errkind.ConfigStale when the
// document in force may have been replaced.
func (f *Follower) Admit() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	switch {
	case !f.registered || f.lease.Renewed() < f.registeredAt:
		return errkind.New(errkind.NotReady, "the configuration has not been read since the registration")
	case f.pendingGeneration != 0:
		// The change may already be accepted, so lease extensions do not apply.
		if now >= f.lease.Renewed()+PreparedTTL {
			return errkind.New(errkind.ConfigStale, "generation %d is pending and the store has not replied for %v", f.pendingGeneration, PreparedTTL)
		}
	case !f.lease.Valid(now):
		return errkind.New(errkind.ConfigStale, "generation %d may have been replaced", f.doc.Generation)
	case f.lease.ExtensionActive(now):
		// The registration cannot be renewed in a store outage, and no member removes it
		// while the extension that it has granted is in effect.
	case now >= f.registrationRenewedAt+RegistrationTTL:
		return errkind.New(errkind.ConfigStale, "the registration has not been renewed for %v", RegistrationTTL)
	}
	return nil
}

// Document returns the document in force.
func (f *Follower) Document() plan.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc
}

// Generations returns the generations to write to the registration.
func (f *Follower) Generations() (prepared, inForce uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.preparedGeneration, f.doc.Generation
}

// Pending returns the pending generation and how long it has been pending, 0 when there is none.
func (f *Follower) Pending() (uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingGeneration == 0 {
		return 0, 0
	}
	return f.pendingGeneration, f.clock.Now() - f.pendingSince
}

// PollInterval returns the time until the next poll.
func (f *Follower) PollInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingGeneration != 0 {
		return PendingPollInterval
	}
	return PollInterval
}
