package dispatch

import (
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// startRetryInterval is the time after which an unanswered start is sent to the agent again.
	startRetryInterval = 1500 * time.Millisecond
	// stopRetryInterval is the time after which an unanswered stop is sent to the agent again.
	stopRetryInterval = 700 * time.Millisecond
	// refusalCooldown is how long an executor that refused a task gets no new ones.
	refusalCooldown = 300 * time.Millisecond
	// unavailableCooldown is how long an unavailable executor gets no new tasks.
	unavailableCooldown = time.Second
)

// outbox collects the orders for one executor until they are sent.
type outbox struct {
	node      *node
	starts    []wire.StartOrder
	stops     []wire.StopOrder
	throttles []wire.ThrottleOrder
	pending   bool
}

// stop adds the stop of a run, whose start may be on its way, or may still wait here.
func (b *outbox) stop(name string, run uint32) {
	b.dropStart(name, run)
	for _, s := range b.stops {
		if s.Task == name && s.Run == run {
			return
		}
	}
	b.stops = append(b.stops, wire.StopOrder{Task: name, Run: run})
	b.pending = true
}

// dropStart removes the start of a run that was not sent.
func (b *outbox) dropStart(name string, run uint32) {
	b.starts = slices.DeleteFunc(b.starts, func(s wire.StartOrder) bool { return s.Task == name && s.Run == run })
}

func (o *Owner) outboxFor(n *node) *outbox {
	b := o.outbox[n.info.Incarnation]
	if b == nil {
		b = &outbox{node: n}
		o.outbox[n.info.Incarnation] = b
	}
	return b
}

// stop orders the executor to stop a run.
func (o *Owner) stop(t *taskEntry, now time.Duration) {
	if t.node == nil {
		return
	}
	t.stopping, t.stopSent = true, now
	o.outboxFor(t.node).stop(t.name(), t.rec.Run)
}

func (o *Owner) sendStart(t *taskEntry, now time.Duration) {
	s := t.job.sub
	b := o.outboxFor(t.node)
	t.orderedAt, t.node.lastStartAt = now, now
	if t.firstOrderedAt == 0 {
		t.firstOrderedAt = now
	}
	if t.startCopies++; t.startCopies > 1 {
		o.counters.Resent++
		events.StartResent.Log(o.log).Str("task", t.name()).Uint32("run", t.rec.Run).Str("executor", t.node.info.ID).
			Uint32("copy", t.startCopies).Dur("since_first", now-t.firstOrderedAt).Send()
	}
	ticket := ""
	if o.needsAdvice(s) {
		// Without a valid ticket the executor refuses the start, and advice for the step is
		// requested again.
		ticket, _ = o.advice.Ticket(stepName(t.stepKey()), t.node.info.Incarnation, now)
	}
	b.starts = append(b.starts, wire.StartOrder{Task: t.name(), Run: t.rec.Run, Specification: s.Specification,
		Checkpoint: t.startCheckpoint, Ticket: ticket, Deadline: o.startDeadline(t.node)})
	b.pending = true
	o.counters.Starts++
}

// retryOrders resends unanswered orders.
func (o *Owner) retryOrders(now time.Duration) {
	inputsKnown := o.mayStart(now)
	for _, n := range o.executors {
		if n.gone || !n.connected {
			continue
		}
		mayStart := inputsKnown && !n.leaseExpired && !o.evacuated(n)
		for t := range n.tasks {
			if t.phase == phaseStartSent && !t.stopping && mayStart && now-t.orderedAt > startRetryInterval && t.mayOrder(now) {
				o.sendStart(t, now)
			}
			if t.stopping && t.stopAcked == 0 && now-t.stopSent > stopRetryInterval {
				o.stop(t, now)
			}
		}
	}
}

// AgentMessage is a message to the agent of one executor.
type AgentMessage struct {
	Agent  string
	Orders *wire.Orders
}

// Flush returns the pending orders, those for one executor in as many messages as they need. With
// heartbeat, every executor gets a message that extends its lease.
func (o *Owner) Flush(now time.Duration, heartbeat bool) []AgentMessage {
	var messages []AgentMessage
	for inc, n := range o.executors {
		b := o.outbox[inc]
		if n.gone || n.agent == "" || !n.connected || (!heartbeat && (b == nil || !b.pending)) {
			continue
		}
		m := &wire.Orders{Epoch: o.epoch, Executor: inc.ID, StartedAt: inc.StartedAt, LastSeen: n.durableEnd}
		m.LeaseEnd = o.extendLease(n, now)
		if b != nil {
			o.recordSending(b)
			m.Starts, m.Stops, m.Throttles = b.starts, b.stops, b.throttles
			b.starts, b.stops, b.throttles, b.pending = nil, nil, nil, false
		}
		for _, part := range m.Split() {
			messages = append(messages, AgentMessage{Agent: n.agent, Orders: part})
		}
	}
	return messages
}

// extendLease returns the end of the lease that the executor may have. An owner that cannot
// confirm its ownership stops extending leases, so that a later owner can bound the leases that it
// does not know.
func (o *Owner) extendLease(n *node, now time.Duration) int64 {
	if o.mayExtendLeases(now) && n.clockAt != 0 && !n.leaseExpired {
		n.grantedLeaseEnd = max(n.grantedLeaseEnd, n.clock+o.bounds.LeaseDuration.Milliseconds())
	}
	return n.grantedLeaseEnd
}

// mayExtendLeases reports whether the ownership was confirmed recently enough to extend leases: no
// other owner can have been active for longer than the bounds.
func (o *Owner) mayExtendLeases(now time.Duration) bool {
	return now-max(o.lastCommit, o.acknowledgedAt) < o.bounds.AckValidity && now-o.lastCommit < o.bounds.MaxStoreOutage
}

// ApplyOrderResults applies the replies to orders.
func (o *Owner) ApplyOrderResults(r *wire.OrderResults, now time.Duration) {
	n := o.executors[submission.Incarnation{ID: r.Executor, StartedAt: r.StartedAt}]
	if n == nil || r.Epoch != o.epoch {
		return
	}
	for _, result := range r.Results {
		t := o.find(result.Task)
		if t == nil || t.node != n || t.rec.Run != result.Run || t.rec.State != submission.TaskAssigned {
			continue
		}
		switch {
		case result.Provisional():
			o.applyProvisionalRefusal(t, n, result, now)
		case !result.Stop:
			o.applyStartResult(t, n, result, now)
		case t.stopAcked == 0:
			t.stopAcked = now
		}
	}
}

// applyProvisionalRefusal applies the refusal of a start of which this owner has sent one copy: no other
// can be carried out. After further copies the run is over with the final result only.
func (o *Owner) applyProvisionalRefusal(t *taskEntry, n *node, r wire.OrderResult, now time.Duration) {
	if t.startCopies == 1 {
		o.applyStartResult(t, n, r, now)
	}
}

func (o *Owner) applyStartResult(t *taskEntry, n *node, r wire.OrderResult, now time.Duration) {
	if r.Outcome == executor.OK {
		t.startConfirmed()
	}
	if t.phase != phaseStartSent {
		return
	}
	if r.Outcome == executor.OK {
		events.RunStarted.Log(o.log).Str("task", r.Task).Uint32("run", r.Run).Str("executor", n.info.ID).
			Dur("answered", now-t.orderedAt).Uint32("copies", t.startCopies).Send()
		o.confirmRunning(t, now)
		o.beginSpeedMeasurement(t, now)
		return
	}
	if t.startCopies <= 1 {
		t.startCallsUntil = 0
	}
	o.counters.Rejected++
	events.StartRefused.Log(o.log).Str("task", r.Task).Uint32("run", r.Run).Str("executor", n.info.ID).
		Str("outcome", r.Outcome.String()).Str("reason", r.Reason.String()).Dur("list_age", now-n.clockAt).
		Uint32("copies", t.startCopies).Send()
	if r.Outcome == executor.Rejected && r.Reason == executor.ReasonStaleEpoch {
		return
	}
	if r.Reason == executor.ReasonTicket {
		o.advice.Invalidate(stepName(t.stepKey()), n.info.Incarnation)
	} else {
		n.closedUntil = now + refusalCooldown
	}
	if r.Outcome == executor.Unavailable {
		n.closedUntil = now + unavailableCooldown
	}
	o.requeue(t, now)
}
