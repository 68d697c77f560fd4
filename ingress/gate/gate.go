// Package gate is the agent's request ledger. It admits requests to the
// upstream and is the only source of proof that a request was not run.
package gate

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing and size of the gate.
const (
	// DrainGrace is how long a draining gate admits requests that were on their way.
	// With the propagation of the drain it stays below the bound of 2 s.
	DrainGrace = time.Second
	// Retention is how long results are kept. It exceeds the longest request
	// deadline (30 s) by more than the time in which an entry accepts a proof.
	Retention = time.Minute
	// maxKeptBytes bounds the bodies of all kept results. The oldest bodies are
	// dropped first; their requests resolve to an unknown outcome.
	maxKeptBytes = 32 << 20
)

// Conn names a data connection as its Hello does.
type Conn struct{ Entry, Seq uint64 }

// id is the comparable form of wire.RequestID.
type id struct{ entry, seq uint64 }

// connection is an open data connection.
type connection struct {
	close func()
	seen  window
}

// record is an admitted request. response is nil while the request runs.
type record struct {
	response *wire.Response
	done     chan struct{}
	expires  time.Duration
}

// Gate admits requests for one upstream incarnation. It is safe for concurrent use.
type Gate struct {
	incarnation uint64
	slots       int

	mu         sync.Mutex
	inUse      int
	unanswered int
	generation uint64
	drain      *drain
	records    map[id]*record
	expiry     []expiring
	bodies     []expiring
	keptBytes  int
	conns      map[Conn]*connection
	// fenced connections are refused for the rest of the incarnation.
	fenced map[Conn]struct{}
}

type expiring struct {
	id id
	at time.Duration
}

// drain is the state of a gate that closes.
type drain struct {
	since    time.Duration
	closed   bool
	finished chan struct{}
	reopened chan struct{}
}

// New returns a gate with the given number of slots.
func New(incarnation uint64, slots int) *Gate {
	return &Gate{incarnation: incarnation, slots: slots, records: make(map[id]*record),
		conns: make(map[Conn]*connection), fenced: make(map[Conn]struct{})}
}

// Open registers a data connection after its Hello. closeConn is called, on a
// goroutine of its own, when the connection is fenced. A fenced or open name is refused.
func (g *Gate) Open(c Conn, closeConn func()) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.fenced[c]; ok {
		return errkind.New(errkind.Tombstoned, "connection %d is fenced", c.Seq)
	}
	if g.conns[c] != nil {
		return errkind.New(errkind.AlreadyExists, "connection %d is open", c.Seq)
	}
	g.conns[c] = &connection{close: closeConn}
	return nil
}

// Close removes a connection that has ended.
func (g *Gate) Close(c Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// Admit reserves a slot and returns errkind.None, or the reason why the request
// is refused. A refusal is proof that the request does not run, except
// errkind.AlreadyExists: the frame is a duplicate, or too old to tell, and must
// not be answered, since the answer would be taken for that of the original.
func (g *Gate) Admit(c Conn, req *wire.Request, now time.Duration) errkind.Kind {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	conn := g.conns[c]
	if conn == nil {
		return errkind.Tombstoned
	}
	key := id{req.ID.Entry, req.ID.Seq}
	if !conn.seen.add(req.ID.Seq) || g.records[key] != nil {
		return errkind.AlreadyExists
	}
	if k := g.check(req, now); k != errkind.None {
		return k
	}
	g.generation = max(g.generation, req.ConfigGen)
	g.inUse++
	g.unanswered++
	g.records[key] = &record{}
	return errkind.None
}

func (g *Gate) check(req *wire.Request, now time.Duration) errkind.Kind {
	switch {
	case req.Incarnation != g.incarnation:
		return errkind.WrongIncarnation
	case req.ConfigGen < g.generation:
		return errkind.ConfigStale
	case g.drain != nil && (g.drain.closed || now >= g.drain.since+DrainGrace):
		return errkind.Draining
	case req.DeadlineMS == 0:
		return errkind.DeadlineExceeded
	case g.inUse >= g.slots:
		return errkind.SlotsFull
	}
	return errkind.None
}

// Finish releases the slot and keeps the response for Resolve. It returns the
// number of free slots.
func (g *Gate) Finish(reqID wire.RequestID, resp *wire.Response, now time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := id{reqID.Entry, reqID.Seq}
	r, ok := g.records[key]
	if !ok || r.response != nil {
		return g.slots - g.inUse
	}
	g.inUse--
	r.response, r.expires = resp, now+Retention
	if r.done != nil {
		close(r.done)
	}
	g.expiry = append(g.expiry, expiring{key, r.expires})
	if len(resp.Body) > 0 {
		g.keptBytes += len(resp.Body)
		g.bodies = append(g.bodies, expiring{id: key})
		g.dropBodies()
	}
	return g.slots - g.inUse
}

// Answered tells that the answer of an admitted request has been written. A drain
// ends only when every admitted request is finished and answered.
func (g *Gate) Answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unanswered--
	g.checkDrained()
}

// Resolve answers for a request whose response did not arrive. For a request that
// runs it returns OutcomeRunning and a channel that is closed at its end. Before
// it answers not-run for a request it does not know, it fences the connection of
// the original, so that the original cannot arrive later.
func (g *Gate) Resolve(q *wire.Resolve, now time.Duration) (*wire.Response, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	resp := &wire.Response{ID: q.ID, Incarnation: g.incarnation, FreeSlots: uint16(g.slots - g.inUse)}
	if q.Incarnation != g.incarnation {
		resp.Outcome, resp.Kind, resp.Detail = wire.OutcomeUnknown, errkind.OutcomeUnknown, "the agent has restarted"
		return resp, nil
	}
	r, ok := g.records[id{q.ID.Entry, q.ID.Seq}]
	if !ok {
		g.fence(Conn{q.ID.Entry, q.Conn})
		resp.Outcome, resp.Kind = wire.OutcomeNotRun, errkind.Tombstoned
		return resp, nil
	}
	if r.response != nil {
		kept := *r.response
		kept.ID, kept.Incarnation, kept.FreeSlots = resp.ID, resp.Incarnation, resp.FreeSlots
		return &kept, nil
	}
	if r.done == nil {
		r.done = make(chan struct{})
	}
	resp.Outcome = wire.OutcomeRunning
	return resp, r.done
}

func (g *Gate) fence(c Conn) {
	g.fenced[c] = struct{}{}
	if conn := g.conns[c]; conn != nil {
		delete(g.conns, c)
		go conn.close()
	}
}

func (g *Gate) expire(now time.Duration) {
	for len(g.expiry) > 0 && g.expiry[0].at <= now {
		key := g.expiry[0].id
		g.expiry = g.expiry[1:]
		if r := g.records[key]; r != nil && r.response != nil {
			g.keptBytes -= len(r.response.Body)
			delete(g.records, key)
		}
	}
	for len(g.bodies) > 0 && g.records[g.bodies[0].id] == nil {
		g.bodies = g.bodies[1:]
	}
}

func (g *Gate) dropBodies() {
	for g.keptBytes > maxKeptBytes && len(g.bodies) > 0 {
		r := g.records[g.bodies[0].id]
		g.bodies = g.bodies[1:]
		if r == nil {
			continue
		}
		g.keptBytes -= len(r.response.Body)
		r.response = &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "the answer is no longer kept"}
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

// Drain begins to close the gate. finished is closed when no request can be
// admitted any more and every admitted one is finished and answered; reopened is
// closed by Undrain. A second Drain joins the first.
func (g *Gate) Drain(now time.Duration) (finished, reopened <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain == nil {
		d := &drain{since: now, finished: make(chan struct{}), reopened: make(chan struct{})}
		g.drain = d
		time.AfterFunc(DrainGrace, func() { g.closeAdmission(d) })
	}
	return g.drain.finished, g.drain.reopened
}

func (g *Gate) closeAdmission(d *drain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain == d {
		d.closed = true
		g.checkDrained()
	}
}

func (g *Gate) checkDrained() {
	if g.drain == nil || !g.drain.closed || g.unanswered > 0 || g.inUse > 0 {
		return
	}
	select {
	case <-g.drain.finished:
	default:
		close(g.drain.finished)
	}
}

// Undrain opens a draining gate again and reports whether it was draining.
func (g *Gate) Undrain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain == nil {
		return false
	}
	close(g.drain.reopened)
	g.drain = nil
	return true
}

// Draining reports whether a drain has begun.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drain != nil
}

// FreeSlots returns the number of unused slots.
func (g *Gate) FreeSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots - g.inUse
}
