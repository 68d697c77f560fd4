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

// Follower is an entry's view of the configuration: the document in force, the
// configuration lease, and whether a change is pending. It is safe for concurrent use.
type Follower struct {
	table store.Table
	clock clock.Clock

	mu    sync.Mutex
	doc   plan.Document
	lease lease.ExtendableLease
	// pending is the generation of a pending change, 0 when there is none.
	pending      uint64
	pendingSince time.Duration
	prepared     uint64
	registered   bool
	registeredAt time.Duration
	renewedAt    time.Duration
}

// NewFollower returns a follower that admits nothing before it is registered and has read the table.
func NewFollower(table store.Table, c clock.Clock) *Follower {
	return &Follower{table: table, clock: c, lease: lease.ExtendableLease{TTL: LeaseTTL}}
}

// Change is what one poll changed.
type Change struct {
	// Prepare is true when a change became pending; the registration must then be renewed at once.
	Prepare bool
	// InForce is the document that was put in force, nil when there is none.
	InForce *plan.Document
}

// Poll reads the generations, and the document when it is newer than the one in force.
func (f *Follower) Poll(ctx context.Context) (Change, error) {
	readAt := f.clock.Now()
	rows, err := f.table.Get(ctx, KeyGenerations)
	if err != nil {
		return Change{}, err
	}
	var h head
	if len(rows) == 1 {
		if err := msgpack.Unmarshal(rows[0].Value, &h); err != nil {
			return Change{}, errkind.Wrap(errkind.Internal, err, "decode generations")
		}
	}
	var doc plan.Document
	if h.Current > f.Document().Generation {
		// The row may be newer than the generations read before, never older.
		rows, err := f.table.Get(ctx, KeyCurrent)
		if err != nil || len(rows) == 0 {
			return Change{}, errkind.Wrap(errkind.StoreUnavailable, err, "read generation %d", h.Current)
		}
		if doc, err = decodeDocument(rows[0]); err != nil {
			return Change{}, err
		}
	}
	return f.observe(readAt, h, doc), nil
}

// observe applies a read that started at readAt. doc is zero when it was not read.
func (f *Follower) observe(readAt time.Duration, h head, doc plan.Document) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c Change
	if readAt < f.lease.Renewed() || max(h.Current, doc.Generation) < f.doc.Generation {
		// An answer that was overtaken by a later read.
		return c
	}
	f.lease.Renew(readAt)
	if doc.Generation > f.doc.Generation {
		f.doc = doc
		c.InForce = &doc
	}
	f.pending = 0
	if h.Pending > f.doc.Generation {
		f.pending = h.Pending
		if f.pending > f.prepared {
			f.prepared, f.pendingSince, c.Prepare = f.pending, readAt, true
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
	f.renewedAt = sentAt
}

// Unregistered records that the registration was removed. Nothing is admitted
// until the entry has registered and read the configuration again.
func (f *Follower) Unregistered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registered = false
}

// ExtendLease applies holds from every member that were asked for at askedAt.
func (f *Follower) ExtendLease(askedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.Extend(askedAt)
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
	case f.pending != 0:
		// The change may already be accepted, so holds do not help.
		if now >= f.lease.Renewed()+PreparedTTL {
			return errkind.New(errkind.ConfigStale, "generation %d is pending and the store has not answered for %v", f.pending, PreparedTTL)
		}
	case !f.lease.Valid(now):
		return errkind.New(errkind.ConfigStale, "generation %d may have been replaced", f.doc.Generation)
	case f.lease.ExtensionActive(now):
		// The registration can not be renewed in an outage, and no member removes it during its hold.
	case now >= f.renewedAt+RegistrationTTL:
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

// Generations returns the generations that belong into the registration.
func (f *Follower) Generations() (prepared, inForce uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.prepared, f.doc.Generation
}

// Pending returns the pending generation and how long it has been pending, 0 when there is none.
func (f *Follower) Pending() (uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == 0 {
		return 0, 0
	}
	return f.pending, f.clock.Now() - f.pendingSince
}

// PollInterval returns the time until the next poll.
func (f *Follower) PollInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending != 0 {
		return PendingPollInterval
	}
	return PollInterval
}
