// Package ledger is the agent's authoritative record of what its VM is committed to.
package ledger

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Reservation is one admitted attempt.
type Reservation struct {
	ID       string
	Attempt  uint32
	Reserved task.Resources
}

// Ledger admits attempts against the real capacity of the VM. It is safe for concurrent use.
type Ledger struct {
	capacity task.Resources

	mu       sync.Mutex
	reserved task.Resources
	entries  map[string]Reservation
	// ended holds the highest ended attempt of each task, so that a late start of it is refused.
	ended  map[string]endedAttempt
	expiry []expiring
	epoch  uint64
}

// EndedRetention is how long an ended attempt is remembered. A start can only
// arrive late on the control connection it was written to, and the agent closes a
// connection on which a heartbeat (every 10 s) stays unanswered for 4 s.
const EndedRetention = 5 * time.Minute

type endedAttempt struct {
	attempt uint32
	at      time.Duration
}

type expiring struct {
	id string
	at time.Duration
}

// New returns a ledger for a VM on which the service already holds an amount.
func New(capacity, serviceHeld task.Resources) *Ledger {
	return &Ledger{capacity: capacity, reserved: serviceHeld, entries: make(map[string]Reservation), ended: make(map[string]endedAttempt)}
}

// ObserveEpoch raises the owner epoch and reports whether epoch is the highest seen.
func (l *Ledger) ObserveEpoch(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return false
	}
	l.epoch = epoch
	return true
}

// Admit commits the VM to the attempt. Admitting the same attempt again is not an error.
func (l *Ledger) Admit(epoch uint64, e Reservation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", epoch, l.epoch)
	}
	l.epoch = epoch
	if cur, ok := l.entries[e.ID]; ok {
		if cur.Attempt == e.Attempt {
			return nil
		}
		return errkind.New(errkind.StaleAttempt, "attempt %d of task %s is on the VM", cur.Attempt, e.ID)
	}
	if e.Attempt <= l.ended[e.ID].attempt {
		return errkind.New(errkind.StaleAttempt, "attempt %d of task %s has ended", e.Attempt, e.ID)
	}
	if total := l.reserved.Add(e.Reserved); !total.Fits(l.capacity) {
		return errkind.New(errkind.CapacityExceeded, "free capacity is %+v", l.capacity.Sub(l.reserved))
	}
	l.reserved = l.reserved.Add(e.Reserved)
	l.entries[e.ID] = e
	return nil
}

// Resize changes the reservation of an admitted attempt.
func (l *Ledger) Resize(epoch uint64, e Reservation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", epoch, l.epoch)
	}
	cur, ok := l.entries[e.ID]
	if !ok || cur.Attempt != e.Attempt {
		return errkind.New(errkind.StaleAttempt, "attempt %d of task %s is not on the VM", e.Attempt, e.ID)
	}
	total := l.reserved.Sub(cur.Reserved).Add(e.Reserved)
	if !total.Fits(l.capacity) {
		return errkind.New(errkind.CapacityExceeded, "free capacity is %+v", l.capacity.Sub(l.reserved))
	}
	l.reserved = total
	l.entries[e.ID] = e
	return nil
}

// End releases the attempt and refuses later starts of it for EndedRetention.
// now is the time on the VM's clock.
func (l *Ledger) End(id string, attempt uint32, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.ended[id] = endedAttempt{max(l.ended[id].attempt, attempt), now}
	l.expiry = append(l.expiry, expiring{id, now})
	if cur, ok := l.entries[id]; ok && cur.Attempt <= attempt {
		l.reserved = l.reserved.Sub(cur.Reserved)
		delete(l.entries, id)
	}
}

// expire forgets attempts that ended more than EndedRetention before now.
func (l *Ledger) expire(now time.Duration) {
	n := 0
	for n < len(l.expiry) && l.expiry[n].at+EndedRetention <= now {
		if id := l.expiry[n].id; l.ended[id].at == l.expiry[n].at {
			delete(l.ended, id)
		}
		n++
	}
	l.expiry = l.expiry[n:]
}

// Reserved returns the sum of reservations, the service included.
func (l *Ledger) Reserved() task.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved
}

// Capacity returns the real capacity of the VM.
func (l *Ledger) Capacity() task.Resources { return l.capacity }

// Reservations returns the admitted attempts.
func (l *Ledger) Reservations() []Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Reservation, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e)
	}
	return out
}
