// Package gate implements the agent's admission control and request ledger. It admits
// requests to the upstream and is the only source of proof that a request was not run.
package gate

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing and limits of the gate.
const (
	// DrainGrace is how long a draining gate still admits requests, as some are in transit.
	// Together with the propagation of the drain it stays below the bound of 2 s.
	DrainGrace = time.Second
	// Retention is how long results are retained after the end of a request. It is longer than
	// the request age up to which an entry accepts a not-run response as proof (45 s, counted
	// from the sending), so that the result of a request that ran is never missing while its
	// absence would count as proof. The request's deadline does not add to it: the time until
	// its end passes for both.
	Retention = time.Minute
	// maxRetainedBytes bounds the total size of the retained response bodies. The oldest
	// bodies are evicted first; their requests then resolve to an unknown outcome.
	maxRetainedBytes = 32 << 20
)

// ConnID identifies a data connection, as its Hello does.
type ConnID struct{ Entry, Seq uint64 }

// requestKey is the comparable form of wire.RequestID.
type requestKey struct{ entry, seq uint64 }

// connection is an open data connection.
type connection struct {
	close    func()
	received replayWindow
}

// record is the ledger entry of an admitted request. response is nil while it runs.
type record struct {
	response *wire.Response
	done     chan struct{}
	expires  time.Duration
}

// Gate admits requests for one upstream incarnation. It is safe for concurrent use.
type Gate struct {
	incarnation uint64
	slots       int

	mu                 sync.Mutex
	inUse              int
	unwrittenResponses int
	minGeneration      uint64
	drain              *drain
	records            map[requestKey]*record
	recordExpiry       []expiryEntry
	bodyOrder          []expiryEntry
	retainedBytes      int
	conns              map[ConnID]*connection
	// fenced holds the connections that are rejected for the rest of the incarnation.
	fenced map[ConnID]struct{}
}

type expiryEntry struct {
	id requestKey
	at time.Duration
}

// drain is the state of a drain.
type drain struct {
	since           time.Duration
	admissionClosed bool
	finished        chan struct{}
	reopened        chan struct{}
}

// New returns a gate with the given number of slots.
func New(incarnation uint64, slots int) *Gate {
	return &Gate{incarnation: incarnation, slots: slots, records: make(map[requestKey]*record),
		conns: make(map[ConnID]*connection), fenced: make(map[ConnID]struct{})}
}

// OpenConn registers a data connection after its Hello. closeConn is called on a separate
// goroutine when the connection is fenced. An id that is fenced or already open is rejected.
func (g *Gate) OpenConn(c ConnID, closeConn func()) error {
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

// CloseConn removes a closed connection.
func (g *Gate) CloseConn(c ConnID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// Admit reserves a slot and returns errkind.None, or the reason why the request is refused.
// A refusal is proof that the request does not run, except errkind.AlreadyExists: the frame
// is a duplicate, or too old to tell, and must not be answered, since the sender would take
// the response for that of the original.
func (g *Gate) Admit(c ConnID, req *wire.Request, now time.Duration) errkind.Kind {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	conn := g.conns[c]
	if conn == nil {
		return errkind.Tombstoned
	}
	key := requestKey{req.ID.Entry, req.ID.Seq}
	if !conn.received.add(req.ID.Seq) || g.records[key] != nil {
		return errkind.AlreadyExists
	}
	if k := g.rejectReason(req, now); k != errkind.None {
		return k
	}
	g.minGeneration = max(g.minGeneration, req.ConfigGen)
	g.inUse++
	g.unwrittenResponses++
	g.records[key] = &record{}
	return errkind.None
}

func (g *Gate) rejectReason(req *wire.Request, now time.Duration) errkind.Kind {
	switch {
	case req.Incarnation != g.incarnation:
		return errkind.WrongIncarnation
	case req.ConfigGen < g.minGeneration:
		return errkind.ConfigStale
	case g.drain != nil && (g.drain.admissionClosed || now >= g.drain.since+DrainGrace):
		return errkind.Draining
	case req.DeadlineMS == 0:
		return errkind.DeadlineExceeded
	case g.inUse >= g.slots:
		return errkind.SlotsFull
	}
	return errkind.None
}

// Finish releases the slot and retains the response for Resolve. It returns the number of
// free slots.
func (g *Gate) Finish(reqID wire.RequestID, resp *wire.Response, now time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := requestKey{reqID.Entry, reqID.Seq}
	r, ok := g.records[key]
	if !ok || r.response != nil {
		return g.slots - g.inUse
	}
	g.inUse--
	r.response, r.expires = resp, now+Retention
	if r.done != nil {
		close(r.done)
	}
	g.recordExpiry = append(g.recordExpiry, expiryEntry{key, r.expires})
	if len(resp.Body) > 0 {
		g.retainedBytes += len(resp.Body)
		g.bodyOrder = append(g.bodyOrder, expiryEntry{id: key})
		g.evictBodies()
	}
	// The response has been written already if the request outlived its deadline.
	g.checkDrained()
	return g.slots - g.inUse
}

// ResponseWritten records that the response of an admitted request has been written. A drain
// finishes only when every admitted request is finished and its response written.
func (g *Gate) ResponseWritten() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unwrittenResponses--
	g.checkDrained()
}

// Resolve returns the outcome of a request whose response did not arrive. For a running
// request it returns OutcomeRunning and a channel that is closed when the request finishes.
// Before it returns not-run for an unknown request, it fences the connection of the
// original frame, so that the original cannot be admitted later.
func (g *Gate) Resolve(q *wire.Resolve, now time.Duration) (*wire.Response, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	resp := &wire.Response{ID: q.ID, Incarnation: g.incarnation, FreeSlots: uint16(g.slots - g.inUse)}
	if q.Incarnation != g.incarnation {
		resp.Outcome, resp.Kind, resp.Detail = wire.OutcomeUnknown, errkind.OutcomeUnknown, "the agent has restarted"
		return resp, nil
	}
	r, ok := g.records[requestKey{q.ID.Entry, q.ID.Seq}]
	if !ok {
		g.fence(ConnID{q.ID.Entry, q.Conn})
		resp.Outcome, resp.Kind = wire.OutcomeNotRun, errkind.Tombstoned
		return resp, nil
	}
	if r.response != nil {
		retained := *r.response
		retained.ID, retained.Incarnation, retained.FreeSlots = resp.ID, resp.Incarnation, resp.FreeSlots
		return &retained, nil
	}
	if r.done == nil {
		r.done = make(chan struct{})
	}
	resp.Outcome = wire.OutcomeRunning
	return resp, r.done
}

func (g *Gate) fence(c ConnID) {
	g.fenced[c] = struct{}{}
	if conn := g.conns[c]; conn != nil {
		delete(g.conns, c)
		go conn.close()
	}
}

func (g *Gate) expire(now time.Duration) {
	for len(g.recordExpiry) > 0 && g.recordExpiry[0].at <= now {
		key := g.recordExpiry[0].id
		g.recordExpiry = g.recordExpiry[1:]
		if r := g.records[key]; r != nil && r.response != nil {
			g.retainedBytes -= len(r.response.Body)
			delete(g.records, key)
		}
	}
	for len(g.bodyOrder) > 0 && g.records[g.bodyOrder[0].id] == nil {
		g.bodyOrder = g.bodyOrder[1:]
	}
}

func (g *Gate) evictBodies() {
	for g.retainedBytes > maxRetainedBytes && len(g.bodyOrder) > 0 {
		r := g.records[g.bodyOrder[0].id]
		g.bodyOrder = g.bodyOrder[1:]
		if r == nil {
			continue
		}
		g.retainedBytes -= len(r.response.Body)
		r.response = &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "the response is no longer retained"}
	}
}

// RaiseGeneration raises the lowest accepted configuration generation. It never lowers it.
func (g *Gate) RaiseGeneration(generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.minGeneration = max(g.minGeneration, generation)
}

// MinGeneration returns the lowest accepted configuration generation.
func (g *Gate) MinGeneration() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.minGeneration
}

// Drain begins a drain. finished is closed when no more requests are admitted and every
// admitted one is finished and its response written; reopened is closed by Undrain. Calls
// during a drain return the channels of that drain.
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
		d.admissionClosed = true
		g.checkDrained()
	}
}

func (g *Gate) checkDrained() {
	if g.drain == nil || !g.drain.admissionClosed || g.unwrittenResponses > 0 || g.inUse > 0 {
		return
	}
	select {
	case <-g.drain.finished:
	default:
		close(g.drain.finished)
	}
}

// Undrain cancels a drain and reports whether the gate was draining.
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

// Draining reports whether the gate is draining or drained.
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
