// Package gate is the agent's request ledger. It admits requests to the
// upstream and is the only source of proof that a request was not run.
package gate

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of the gate.
const (
	// DrainGrace is how long a draining gate admits requests that were on their way.
	// With the propagation of the drain it stays below the bound of 2 s.
	DrainGrace = time.Second
	// Retention is how long results and tombstones are kept. It exceeds the longest
	// request deadline (30 s) plus the longest assumed delay of a frame.
	Retention = time.Minute
)

// id is the comparable form of wire.RequestID.
type id struct{ entry, seq uint64 }

type state uint8

const (
	running state = iota
	done
	tombstone
)

type record struct {
	state    state
	response *wire.Response
	expires  time.Duration
}

// Gate admits requests for one upstream incarnation. It is safe for concurrent use.
type Gate struct {
	incarnation uint64
	slots       int

	mu         sync.Mutex
	inUse      int
	generation uint64
	draining   bool
	drainedAt  time.Duration
	records    map[id]*record
	expiry     []expiring
	idle       chan struct{}
}

type expiring struct {
	id id
	at time.Duration
}

// New returns a gate with the given number of slots.
func New(incarnation uint64, slots int) *Gate {
	return &Gate{incarnation: incarnation, slots: slots, records: make(map[id]*record)}
}

// Admit reserves a slot and returns errkind.None, or the reason why the request
// is refused. A refusal is proof that the request does not run.
func (g *Gate) Admit(req *wire.Request, now time.Duration) errkind.Kind {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	key := id{req.ID.Entry, req.ID.Seq}
	if k := g.check(key, req, now); k != errkind.None {
		return k
	}
	g.generation = max(g.generation, req.ConfigGen)
	g.inUse++
	g.records[key] = &record{state: running}
	return errkind.None
}

func (g *Gate) check(key id, req *wire.Request, now time.Duration) errkind.Kind {
	switch {
	case req.Incarnation != g.incarnation:
		return errkind.WrongIncarnation
	case g.records[key] != nil:
		return errkind.Tombstoned
	case req.ConfigGen < g.generation:
		return errkind.ConfigStale
	case g.draining && now >= g.drainedAt+DrainGrace:
		return errkind.Draining
	case req.DeadlineMS == 0:
		return errkind.DeadlineExceeded
	case g.inUse >= g.slots:
		return errkind.SlotsFull
	}
	return errkind.None
}

// Finish releases the slot and keeps the response for Resolve.
func (g *Gate) Finish(reqID wire.RequestID, resp *wire.Response, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := id{reqID.Entry, reqID.Seq}
	r, ok := g.records[key]
	if !ok || r.state != running {
		return
	}
	g.inUse--
	g.keep(key, &record{state: done, response: resp}, now)
	if g.inUse == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Resolve answers for a request whose response did not arrive. A request that is
// not known is fenced first, so that a late original is refused.
func (g *Gate) Resolve(q *wire.Resolve, now time.Duration) *wire.Response {
	g.mu.Lock()
	defer g.mu.Unlock()
	resp := &wire.Response{ID: q.ID, Incarnation: g.incarnation}
	if q.Incarnation != g.incarnation {
		resp.Outcome, resp.Kind = wire.OutcomeUnknown, errkind.OutcomeUnknown
		return resp
	}
	key := id{q.ID.Entry, q.ID.Seq}
	r, ok := g.records[key]
	switch {
	case !ok:
		g.keep(key, &record{state: tombstone}, now)
		resp.Outcome, resp.Kind = wire.OutcomeNotRun, errkind.Tombstoned
	case r.state == tombstone:
		resp.Outcome, resp.Kind = wire.OutcomeNotRun, errkind.Tombstoned
	case r.state == running:
		resp.Outcome = wire.OutcomeRunning
	default:
		return r.response
	}
	return resp
}

func (g *Gate) keep(key id, r *record, now time.Duration) {
	r.expires = now + Retention
	g.records[key] = r
	g.expiry = append(g.expiry, expiring{key, r.expires})
}

func (g *Gate) expire(now time.Duration) {
	for len(g.expiry) > 0 && g.expiry[0].at <= now {
		if r, ok := g.records[g.expiry[0].id]; ok && r.state != running && r.expires <= now {
			delete(g.records, g.expiry[0].id)
		}
		g.expiry = g.expiry[1:]
	}
}

// Raise sets the lowest accepted configuration generation; it never lowers it.
func (g *Gate) Raise(generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation = max(g.generation, generation)
}

// Generation returns the lowest accepted configuration generation.
func (g *Gate) Generation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation
}

// Drain begins to close the gate and returns a channel that is closed when no
// request is in progress and none can be admitted any more.
func (g *Gate) Drain(now time.Duration) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining, g.drainedAt = true, now
	}
	ch := make(chan struct{})
	go g.awaitIdle(ch)
	return ch
}

func (g *Gate) awaitIdle(ch chan struct{}) {
	time.Sleep(DrainGrace)
	g.mu.Lock()
	if g.inUse == 0 {
		g.mu.Unlock()
		close(ch)
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
	close(ch)
}

// Undrain opens a draining gate again.
func (g *Gate) Undrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
}

// Draining reports whether a drain has begun.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// FreeSlots returns the number of unused slots.
func (g *Gate) FreeSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots - g.inUse
}
