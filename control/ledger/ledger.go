// Package ledger is the agent's authoritative record of the resources reserved on its VM.
package ledger

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Reservation is the reservation of one admitted attempt.
type Reservation struct {
	ID       string
	Attempt  uint32
	Reserved task.Resources
}

// Ledger admits attempts within the actual capacity of the VM. It is safe for concurrent use.
type Ledger struct {
	capacity task.Resources

	mu           sync.Mutex
	reserved     task.Resources
	reservations map[string]Reservation
	// ended holds the highest ended attempt of each task, so that a delayed start order for it is refused.
	ended    map[string]endedAttempt
	endQueue []endRecord
	epoch    uint64
}

// EndedRetention is how long the record of an ended attempt is kept. A start order can be
// delayed only on the control connection it was written to, and the agent closes a
// connection on which a heartbeat (every 10 s) is not answered within 4 s.
const EndedRetention = 5 * time.Minute

type endedAttempt struct {
	attempt uint32
	at      time.Duration
}

type endRecord struct {
	id string
	at time.Duration
}

// New returns a ledger for a VM on which serviceHeld is already reserved for the service.
func New(capacity, serviceHeld task.Resources) *Ledger {
	return &Ledger{capacity: capacity, reserved: serviceHeld, reservations: make(map[string]Reservation), ended: make(map[string]endedAttempt)}
}

// ObserveEpoch records an owner epoch and reports whether it is at least the highest seen.
func (l *Ledger) ObserveEpoch(epoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return false
	}
	l.epoch = epoch
	return true
}

// Admit reserves resources for the attempt. Admitting the same attempt again is not an error.
func (l *Ledger) Admit(epoch uint64, e Reservation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", epoch, l.epoch)
	}
	l.epoch = epoch
	if cur, ok := l.reservations[e.ID]; ok {
		if cur.Attempt == e.Attempt {
			return nil
		}
		return errkind.New(errkind.StaleAttempt, "attempt %d of task %s already runs on the VM", cur.Attempt, e.ID)
	}
	if e.Attempt <= l.ended[e.ID].attempt {
		return errkind.New(errkind.StaleAttempt, "attempt %d of task %s has ended", e.Attempt, e.ID)
	}
	if total := l.reserved.Add(e.Reserved); !total.Fits(l.capacity) {
		return errkind.New(errkind.CapacityExceeded, "insufficient capacity: %+v is free", l.capacity.Sub(l.reserved))
	}
	l.reserved = l.reserved.Add(e.Reserved)
	l.reservations[e.ID] = e
	return nil
}

// Resize changes the reservation of an admitted attempt.
func (l *Ledger) Resize(epoch uint64, e Reservation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch < l.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", epoch, l.epoch)
	}
	cur, ok := l.reservations[e.ID]
	if !ok || cur.Attempt != e.Attempt {
		return errkind.New(errkind.StaleAttempt, "attempt %d of task %s is not on the VM", e.Attempt, e.ID)
	}
	total := l.reserved.Sub(cur.Reserved).Add(e.Reserved)
	if !total.Fits(l.capacity) {
		return errkind.New(errkind.CapacityExceeded, "insufficient capacity: %+v is free", l.capacity.Sub(l.reserved))
	}
	l.reserved = total
	l.reservations[e.ID] = e
	return nil
}

// End releases the attempt's reservation and refuses later starts of the attempt for
// EndedRetention. now is the time on the VM's clock.
func (l *Ledger) End(id string, attempt uint32, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.ended[id] = endedAttempt{max(l.ended[id].attempt, attempt), now}
	l.endQueue = append(l.endQueue, endRecord{id, now})
	if cur, ok := l.reservations[id]; ok && cur.Attempt <= attempt {
		l.reserved = l.reserved.Sub(cur.Reserved)
		delete(l.reservations, id)
	}
}

// expire removes the records of attempts that ended at least EndedRetention before now.
func (l *Ledger) expire(now time.Duration) {
	n := 0
	for n < len(l.endQueue) && l.endQueue[n].at+EndedRetention <= now {
		if id := l.endQueue[n].id; l.ended[id].at == l.endQueue[n].at {
			delete(l.ended, id)
		}
		n++
	}
	l.endQueue = l.endQueue[n:]
}

// Holds reports whether the attempt is admitted and has not ended.
func (l *Ledger) Holds(id string, attempt uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cur, ok := l.reservations[id]
	return ok && cur.Attempt == attempt
}

// Reserved returns the sum of all reservations, including the service's.
func (l *Ledger) Reserved() task.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved
}

// Capacity returns the actual capacity of the VM.
func (l *Ledger) Capacity() task.Resources { return l.capacity }

// Reservations returns the reservations of the admitted attempts.
func (l *Ledger) Reservations() []Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Reservation, 0, len(l.reservations))
	for _, e := range l.reservations {
		out = append(out, e)
	}
	return out
}
