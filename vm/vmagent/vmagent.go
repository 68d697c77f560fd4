// Package vmagent runs beside the executors of one VM: it receives their heartbeats, renews their
// leases as far as the owner of the work allows, executes the owner's orders and reports running
// and ended runs.
//
// It is the only process that calls its executors, and it makes no placement decisions.
package vmagent

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// Config holds the dependencies of an agent.
type Config struct {
	Name   string
	Client executor.Client
	Clock  clock.Clock
	Log    zerolog.Logger
	Link   *member.OwnerLink
	// Observe is called with each answer to an order, for the metrics.
	Observe func(order string, a executor.Answer)
}

// maxExecutors bounds the executors on the VM, each of which takes a connection and a goroutine. Heartbeats of further ones
// are not accepted.
const maxExecutors = 256

// Agent manages the executors on the VM.
type Agent struct {
	cfg Config
	ctx context.Context
	// startedAt is when this process started.
	startedAt time.Duration

	mu        sync.Mutex
	executors map[submission.Incarnation]*executorSession
	// newest is the start time of the newest incarnation at each address.
	newest map[string]int64
	// ended holds the incarnations that have ended, and whether their end has been reported.
	ended map[submission.Incarnation]bool
	// tokenNumbers holds the number of the last incarnation under each ID of executors and ended.
	tokenNumbers map[string]uint64
	// predecessors holds ended incarnations by id whose starts the next one under the id may have
	// executed.
	predecessors map[string][]*executorSession
}

// New returns an agent that runs until ctx is done.
func New(ctx context.Context, cfg Config) *Agent {
	return &Agent{cfg: cfg, ctx: ctx, startedAt: cfg.Clock.Now(), executors: make(map[submission.Incarnation]*executorSession), newest: make(map[string]int64), tokenNumbers: make(map[string]uint64),
		ended: make(map[submission.Incarnation]bool), predecessors: make(map[string][]*executorSession)}
}

// Heartbeat records what an executor reports about itself.
func (a *Agent) Heartbeat(info executor.Info) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ended := a.ended[info.Incarnation]; ended || info.StartedAt < a.newest[info.Address] {
		// A delayed heartbeat of an earlier incarnation.
		return true
	}
	if _, known := a.executors[info.Incarnation]; !known && len(a.executors) >= maxExecutors {
		return false
	}
	a.newest[info.Address] = info.StartedAt
	for inc, u := range a.executors {
		if inc != info.Incarnation && inc.StartedAt < info.StartedAt && (u.info.Address == info.Address || inc.ID == info.ID) {
			a.endSessionLocked(u, causeOf(inc, info.Incarnation))
		}
	}
	u := a.executors[info.Incarnation]
	if u == nil {
		u = newExecutorSession(a, info)
		a.executors[info.Incarnation] = u
		go u.pollLoop()
	} else if info.Sequence < u.info.Sequence {
		return true
	}
	if u.heartbeats == 0 || u.info.Draining != info.Draining {
		events.ExecutorHeartbeat.Log(a.cfg.Log).Str("executor", info.ID).Int64("born", info.StartedAt).Str("service", info.Service).
			Bool("draining", info.Draining).Dur("remaining", info.DrainRemaining).Int64("sequence", info.Sequence).Send()
		u.requestPoll()
	}
	u.heartbeats++
	// The clock in a heartbeat may be older than that of a snapshot.
	u.observeClock(info.Clock)
	info.Clock = u.info.Clock
	info.Draining = info.Draining || u.info.Draining
	u.info = info
	return true
}

// Causes of the end of an incarnation, for the log.
const (
	// causeReplaced: a later incarnation under the same id sends heartbeats.
	causeReplaced = "replaced under its id"
	// causeSuccessor: a later incarnation under another id sends heartbeats from the address.
	causeSuccessor = "replaced at its address"
	// causeOtherIncarnation: a later incarnation under the same id answers at the address.
	causeOtherIncarnation = "other incarnation at the address"
	causeOtherID          = "other id at the address"
	causeRefused          = "connection refused"
	causeDeregistered     = "left"
)

func causeOf(ended, next submission.Incarnation) string {
	if ended.ID == next.ID {
		return causeReplaced
	}
	return causeSuccessor
}

// Leave handles the planned end of an executor. The call names no incarnation, and may be handled after
// the first heartbeat of the next one under the id, for example when this process was suspended, and by a process that has
// not known the previous one. An executor reports that it drains before it leaves, so a call for one that does not is the
// previous one's; a poll shows whether this one runs.
func (a *Agent) Leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for inc, u := range a.executors {
		switch {
		case inc.ID != id:
		case u.info.Draining:
			a.endSessionLocked(u, causeDeregistered)
		default:
			u.requestPoll()
		}
	}
}

// send sends a message to the owner. Without a connection it is dropped: the next owner gets a
// complete snapshot.
func (a *Agent) send(m wire.Message) {
	p := a.cfg.Link.Peer()
	if p == nil {
		return
	}
	// The owner detects a connection that cannot be written to.
	if err := p.Notify(m); errkind.Of(err) == errkind.TooLarge {
		events.MessageTooLarge.Log(a.cfg.Log).Uint8("type", uint8(m.Type())).Err(err).Send()
	}
}

// Handle processes the owner's messages.
func (a *Agent) Handle(p *wire.Peer, msg wire.Message, reply wire.Reply) {
	switch m := msg.(type) {
	case *wire.Lead:
		ok, changed := a.cfg.Link.AcceptLead(p, m)
		if !ok {
			reply(wire.ErrorReply(errkind.New(errkind.StaleEpoch, "stale epoch: epoch %d is already known", a.cfg.Link.Epoch())))
			return
		}
		reply(&wire.Ack{})
		if changed {
			a.reportAll()
		}
	case *wire.Orders:
		if a.cfg.Link.RecordMessage(p) && m.Epoch == a.cfg.Link.Epoch() {
			a.handleOrders(m)
		}
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", msg.Type())))
	}
}

func (a *Agent) handleOrders(m *wire.Orders) {
	inc := submission.Incarnation{ID: m.Executor, StartedAt: m.StartedAt}
	a.mu.Lock()
	u := a.executors[inc]
	reported, ended := a.ended[inc]
	a.mu.Unlock()
	switch {
	case u != nil:
		u.executeOrders(m)
	case reported:
		a.reportGone(inc)
	case ended:
		a.refuseStarts(m)
	}
}

// refuseStarts answers the starts for an incarnation that has ended, while its end can't be reported since earlier calls may be executed by the
// next one.
func (a *Agent) refuseStarts(m *wire.Orders) {
	results := &wire.OrderResults{Epoch: m.Epoch, Executor: m.Executor, StartedAt: m.StartedAt}
	for _, s := range m.Starts {
		results.Results = append(results.Results, wire.ProvisionalRefusal(s.Task, s.Run, executor.NoListener, executor.ReasonNone))
	}
	if len(results.Results) > 0 {
		a.send(results)
	}
}
