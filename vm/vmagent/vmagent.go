// Package vmagent runs beside the executors of one VM: it takes their
// heartbeats, extends their leases as far as the owner of the work allows,
// carries out the owner's orders and reports what runs and what has ended.
//
// It is the only process that calls its executors, and it decides nothing about
// where tasks run.
package vmagent

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// Config is what an agent needs.
type Config struct {
	Name   string
	Client executor.Client
	Clock  clock.Clock
	Log    zerolog.Logger
	Link   *member.OwnerLink
	// Observe is told of each answer to an order, for the metrics.
	Observe func(order string, a executor.Answer)
}

// Agent holds the table of executors on the VM.
type Agent struct {
	cfg Config
	ctx context.Context

	mu        sync.Mutex
	executors map[submission.Incarnation]*unit
	// newest is the start of the newest lifetime at each address.
	newest map[string]int64
	// ended holds the lifetimes that have ended, and whether the owner may know.
	ended map[submission.Incarnation]bool
	// predecessors are ended lifetimes by id, whose starts the next one under the id may have taken.
	predecessors map[string][]*unit
}

// New returns an agent that works until ctx ends.
func New(ctx context.Context, cfg Config) *Agent {
	return &Agent{cfg: cfg, ctx: ctx, executors: make(map[submission.Incarnation]*unit), newest: make(map[string]int64),
		ended: make(map[submission.Incarnation]bool), predecessors: make(map[string][]*unit)}
}

// Heartbeat takes in what an executor says about itself.
func (a *Agent) Heartbeat(info executor.Info) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, over := a.ended[info.Incarnation]; over || info.Born < a.newest[info.Address] {
		// A heartbeat of an earlier lifetime that was delayed on its way.
		return true
	}
	a.newest[info.Address] = info.Born
	for inc, u := range a.executors {
		if inc != info.Incarnation && inc.Born < info.Born && (u.info.Address == info.Address || inc.ID == info.ID) {
			a.endLocked(u, causeOf(inc, info.Incarnation))
		}
	}
	u := a.executors[info.Incarnation]
	if u == nil {
		u = newUnit(a, info)
		a.executors[info.Incarnation] = u
		go u.poll()
	} else if info.Sequence < u.info.Sequence {
		return true
	}
	if u.beats == 0 || u.info.Draining != info.Draining {
		events.ExecutorHeartbeat.Log(a.cfg.Log).Str("executor", info.ID).Int64("born", info.Born).Str("service", info.Service).
			Bool("draining", info.Draining).Dur("remaining", info.Remaining).Int64("sequence", info.Sequence).Send()
		u.list()
	}
	u.beats++
	// The clock in a heartbeat may be older than one that came with a list.
	info.Clock = max(info.Clock, u.info.Clock)
	info.Draining = info.Draining || u.info.Draining
	u.info = info
	return true
}

// Causes of the end of a lifetime, for the log.
const (
	// causeReplaced: a later lifetime under the same id sends heartbeats.
	causeReplaced = "replaced under its id"
	// causeSuccessor: a later lifetime under another id sends heartbeats from the address.
	causeSuccessor = "replaced at its address"
	// causeOtherLifetime: a later lifetime under the same id answers at the address.
	causeOtherLifetime = "other lifetime at the address"
	causeOtherID       = "other id at the address"
	causeRefused       = "connection refused"
	causeLeft          = "left"
)

func causeOf(ended, next submission.Incarnation) string {
	if ended.ID == next.ID {
		return causeReplaced
	}
	return causeSuccessor
}

// Leave takes note of the planned end of an executor.
func (a *Agent) Leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for inc, u := range a.executors {
		if inc.ID == id {
			a.endLocked(u, causeLeft)
		}
	}
}

// send reports to the owner. Without a connection the report is dropped: the
// next owner gets a complete list.
func (a *Agent) send(m wire.Message) {
	if p := a.cfg.Link.Peer(); p != nil {
		// A connection that cannot be written to is noticed by the owner.
		_ = p.Notify(m)
	}
}

// Handle serves the owner's messages.
func (a *Agent) Handle(p *wire.Peer, msg wire.Message, reply wire.Reply) {
	switch m := msg.(type) {
	case *wire.Lead:
		ok, changed := a.cfg.Link.Accept(p, m)
		if !ok {
			reply(wire.ErrorReply(errkind.New(errkind.StaleEpoch, "epoch %d is known", a.cfg.Link.Epoch())))
			return
		}
		reply(&wire.Ack{})
		if changed {
			a.newOwner()
		}
	case *wire.Orders:
		if a.cfg.Link.Current(p) && m.Epoch == a.cfg.Link.Epoch() {
			a.orders(m)
		}
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", msg.Type())))
	}
}

func (a *Agent) orders(m *wire.Orders) {
	inc := submission.Incarnation{ID: m.Executor, Born: m.Born}
	a.mu.Lock()
	u := a.executors[inc]
	over := a.ended[inc]
	a.mu.Unlock()
	if u == nil {
		if over {
			a.sendGone(inc)
		}
		return
	}
	u.orders(m)
}
