package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// repeatStart is the time after which an unanswered start is sent to the agent again.
	repeatStart = 1500 * time.Millisecond
	// repeatStop is the time after which an unanswered stop is sent to the agent again.
	repeatStop = 700 * time.Millisecond
	// refusalPause keeps new tasks away from an executor that refused one.
	refusalPause = 300 * time.Millisecond
	// unhealthyPause keeps new tasks away from an executor that is unavailable.
	unhealthyPause = time.Second
)

// outbox collects the orders for one executor until they are sent.
type outbox struct {
	node    *node
	starts  []wire.StartOrder
	stops   []wire.StopOrder
	paces   []wire.PaceOrder
	touched bool
}

func (b *outbox) stop(name string, run uint32) {
	for _, s := range b.stops {
		if s.Task == name && s.Run == run {
			return
		}
	}
	b.stops = append(b.stops, wire.StopOrder{Task: name, Run: run})
	b.touched = true
}

func (o *Owner) out(n *node) *outbox {
	b := o.outbox[n.info.Incarnation]
	if b == nil {
		b = &outbox{node: n}
		o.outbox[n.info.Incarnation] = b
	}
	return b
}

// stop orders the end of a run.
func (o *Owner) stop(t *taskEntry, now time.Duration) {
	if t.node == nil {
		return
	}
	t.stopping, t.stopSent = true, now
	o.out(t.node).stop(t.name(), t.rec.Run)
}

func (o *Owner) sendStart(t *taskEntry, now time.Duration) {
	s := t.job.sub
	b := o.out(t.node)
	t.orderedAt = now
	ticket := ""
	if o.needsAdvice(s) {
		// Without a valid ticket the executor refuses the start, and the step is asked for again.
		ticket, _ = o.advice.Ticket(stepName(t.stepKey()), t.node.info.Incarnation, now)
	}
	b.starts = append(b.starts, wire.StartOrder{Task: t.name(), Run: t.rec.Run, Specification: s.Specification,
		Checkpoint: t.rec.Checkpoint, Ticket: ticket})
	b.touched = true
	o.stats.Starts++
}

// repeatOrders sends orders again that were not answered.
func (o *Owner) repeatOrders(now time.Duration) {
	for _, n := range o.executors {
		if n.gone || !n.connected {
			continue
		}
		for t := range n.tasks {
			if t.phase == phaseOrdered && now-t.orderedAt > repeatStart {
				o.sendStart(t, now)
			}
			if t.stopping && t.stopAcked == 0 && now-t.stopSent > repeatStop {
				o.stop(t, now)
			}
		}
	}
}

// Mail is a message to the agent of one executor.
type Mail struct {
	Agent  string
	Orders *wire.Orders
}

// Flush returns the orders that are due. With heartbeat, every executor gets a
// message that extends its lease.
func (o *Owner) Flush(now time.Duration, heartbeat bool) []Mail {
	var mails []Mail
	for inc, n := range o.executors {
		b := o.outbox[inc]
		if n.gone || n.agent == "" || !n.connected || (!heartbeat && (b == nil || !b.touched)) {
			continue
		}
		m := &wire.Orders{Epoch: o.epoch, Executor: inc.ID, Born: inc.StartedAt, LastSeen: n.durableEnd}
		m.LeaseEnd = o.extendLease(n, now)
		if b != nil {
			m.Starts, m.Stops, m.Paces = b.starts, b.stops, b.paces
			b.starts, b.stops, b.paces, b.touched = nil, nil, nil, false
		}
		mails = append(mails, Mail{Agent: n.agent, Orders: m})
	}
	return mails
}

// extendLease returns the end of the lease that the executor may have. An owner
// that cannot confirm its ownership stops extending, so that a later owner can
// bound the leases that it does not know.
func (o *Owner) extendLease(n *node, now time.Duration) int64 {
	if o.mayExtend(now) && n.clockAt != 0 && !n.lost {
		n.granted = max(n.granted, n.clock+o.bounds.Lease.Milliseconds())
	}
	return n.granted
}

// mayExtend reports whether no other owner can have taken over for long.
func (o *Owner) mayExtend(now time.Duration) bool {
	return now-max(o.lastCommit, o.consentAt) < o.bounds.Consent && now-o.lastCommit < o.bounds.StoreLoss
}

// Results takes in the answers to orders.
func (o *Owner) Results(r *wire.OrderResults, now time.Duration) {
	n := o.executors[submission.Incarnation{ID: r.Executor, StartedAt: r.Born}]
	if n == nil || r.Epoch != o.epoch {
		return
	}
	for _, result := range r.Results {
		t := o.find(result.Task)
		if t == nil || t.node != n || t.rec.Run != result.Run || t.rec.State != submission.TaskAssigned {
			continue
		}
		if result.Stop {
			if result.Outcome == executor.OK && t.stopAcked == 0 {
				t.stopAcked = now
			}
			continue
		}
		o.startResult(t, n, result, now)
	}
}

func (o *Owner) startResult(t *taskEntry, n *node, r wire.OrderResult, now time.Duration) {
	if t.phase != phaseOrdered {
		return
	}
	if r.Outcome == executor.OK {
		events.RunStarted.Log(o.log).Str("task", r.Task).Uint32("run", r.Run).Str("executor", n.info.ID).
			Dur("answered", now-t.orderedAt).Send()
		o.confirm(t, now)
		o.beginSpeed(t, now)
		return
	}
	o.stats.Rejected++
	events.StartRefused.Log(o.log).Str("task", r.Task).Uint32("run", r.Run).Str("executor", n.info.ID).
		Str("outcome", r.Outcome.String()).Str("reason", r.Reason.String()).Dur("list_age", now-n.clockAt).Send()
	if r.Outcome == executor.Rejected && r.Reason == executor.ReasonStaleEpoch {
		return
	}
	if r.Reason == executor.ReasonTicket {
		o.advice.Invalidate(stepName(t.stepKey()), n.info.Incarnation)
	} else {
		n.closedUntil = now + refusalPause
	}
	if r.Outcome == executor.Unavailable {
		n.closedUntil = now + unhealthyPause
	}
	o.requeue(t, now)
}
