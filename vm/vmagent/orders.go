package vmagent

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// executeOrders applies the owner's orders.
func (u *executorSession) executeOrders(m *wire.Orders) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.leaseEnd = max(u.leaseEnd, m.LeaseEnd)
	if m.LastSeen > u.lastSeen {
		u.lastSeen = m.LastSeen
		u.wakeUp()
	}
	for _, s := range m.Stops {
		k := runKey{s.Task, s.Run}
		if p := u.starting[k]; p != nil {
			p.cancel()
		}
		if _, ok := u.stopping[k]; !ok {
			u.stopping[k] = struct{}{}
			go u.stop(k, m.Epoch)
		}
	}
	for _, o := range m.Throttles {
		u.beginThrottle(o, m.Epoch)
	}
	for _, s := range m.Starts {
		k := runKey{s.Task, s.Run}
		deadline := startDeadline(m.LeaseEnd, s.Deadline)
		if p := u.starting[k]; p != nil {
			// The owner still requests the run, under a later lease.
			p.deadline = max(p.deadline, deadline)
			p.copies++
			continue
		}
		ctx, cancel := context.WithCancel(u.ctx)
		p := &pendingStart{cancel: cancel, deadline: deadline, copies: 1}
		u.starting[k] = p
		go u.start(ctx, p, s, m.Epoch)
	}
}

// pendingStart is a start whose outcome is not final yet.
type pendingStart struct {
	cancel context.CancelFunc
	// deadline is the latest time at which the run may begin, on the executor's clock. After the
	// end of the lease under which the owner ordered the run it may start the task elsewhere, so
	// the start must not be sent under a later lease of the executor.
	deadline int64
	// copies counts the copies of the order that the outcome covers.
	copies int
}

// startOutcome is what is known of a start after the calls to the executor.
type startOutcome struct {
	// answer is the executor's last one.
	answer executor.Answer
	// uncertain is set if a call got no reply, so that it may have been executed or may still be.
	uncertain bool
	calls     int
}

// withoutEffect reports whether no call of the start was or may still be executed.
func (o startOutcome) withoutEffect() bool {
	switch o.answer.Outcome {
	case executor.Unavailable, executor.NoListener, executor.OtherIncarnation:
		return !o.uncertain
	case executor.Rejected:
		return !o.uncertain && o.answer.Reason != executor.ReasonStaleRun && o.answer.Reason != executor.ReasonStaleEpoch
	}
	return false
}

// startDeadline returns the earlier of the end of the lease and the deadline of a start, which is 0
// when the owner has set none.
func startDeadline(leaseEnd, deadline int64) int64 {
	if deadline == 0 {
		return leaseEnd
	}
	return min(leaseEnd, deadline)
}

// start sends a start until its outcome is final, and reports the outcome. The owner may have sent
// further copies of the order, which arrive later or have reached an earlier process of this agent,
// so the refusal of a start is final only once the run can't begin any more and is not at work. An owner
// that has sent one copy does not wait for that.
func (u *executorSession) start(ctx context.Context, p *pendingStart, s wire.StartOrder, epoch uint64) {
	k := runKey{s.Task, s.Run}
	defer u.forgetStart(k, p)
	out, ok := u.callStart(ctx, k, s, epoch)
	if !ok || u.agent.cfg.Link.Epoch() != epoch {
		return
	}
	if out.withoutEffect() {
		u.sendResult(epoch, wire.ProvisionalRefusal(k.task, k.run, out.answer.Outcome, out.answer.Reason))
	}
	if out.answer.Outcome != executor.OK {
		if u.atWork(k, epoch) {
			// An earlier copy was carried out.
			out.answer = executor.Answer{}
		} else if !u.preventRun(ctx, k, epoch) {
			return
		}
	}
	if !u.awaitFinality(ctx, k, out) {
		return
	}
	u.reportStart(k, out, u.forgetStart(k, p), epoch)
}

// awaitFinality waits until no incarnation but this one has executed the start or will: the next one under the ID may have begun the run, or
// may begin it by a call without an answer, which an earlier process of this agent may have made, too. The owner learns from snapshots that a
// run has begun. It returns false when the incarnation ends first, or the start is withdrawn.
func (u *executorSession) awaitFinality(ctx context.Context, k runKey, out startOutcome) bool {
	if out.answer.Outcome == executor.OK || out.uncertain {
		return u.awaitConfirmation(ctx, k)
	}
	u.pause(ctx, u.earlierCallsUntil-u.agent.cfg.Clock.Now())
	return ctx.Err() == nil
}

// callStart waits for a slot and sends a start until its outcome is known. ok is false once the owner
// has withdrawn the start or the incarnation has ended.
func (u *executorSession) callStart(ctx context.Context, k runKey, s wire.StartOrder, epoch uint64) (out startOutcome, ok bool) {
	if !u.acquireSlot(ctx) {
		return out, false
	}
	defer func() { <-u.slots }()
	if !u.beginStart(ctx, k) {
		return out, false
	}
	out = u.startUntilCertain(ctx, s, epoch)
	u.recordStartAnswer(k, out.answer, out.uncertain)
	return out, ctx.Err() == nil
}

// forgetStart ends a start and returns the number of copies of the order that it covers. A copy that
// arrives later is a start of its own.
func (u *executorSession) forgetStart(k runKey, p *pendingStart) (copies int) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	p.cancel()
	if u.starting[k] == p {
		delete(u.starting, k)
	}
	return p.copies
}

// atWork reports whether a snapshot shows the run.
func (u *executorSession) atWork(k runKey, epoch uint64) bool {
	snap, ok := u.snapshot(epoch, true)
	return ok && slices.ContainsFunc(snap.Running, k.names)
}

// preventRun stops the run if it has begun, makes the executor reject each later start of it, and
// reports a snapshot without it, so that the owner learns of its end before the refusal of its start.
// The executor keeps that state, so it outlasts this process.
func (u *executorSession) preventRun(ctx context.Context, k runKey, epoch uint64) bool {
	return u.stopUntilCertain(ctx, k, epoch) && u.reportUntilAbsent(ctx, k, epoch)
}

// reportStart sends the final outcome of a start to the owner.
func (u *executorSession) reportStart(k runKey, out startOutcome, copies int, epoch uint64) {
	a := out.answer
	if a.Outcome != executor.OK {
		events.StartNotConfirmed.Log(u.agent.cfg.Log).Str("task", k.task).Uint32("run", k.run).Int("copies", copies).
			Str("outcome", a.Outcome.String()).Str("reason", a.Reason.String()).Int("calls", out.calls).Bool("uncertain", out.uncertain).Send()
	}
	u.sendResult(epoch, wire.OrderResult{Task: k.task, Run: k.run, Outcome: a.Outcome, Reason: a.Reason})
}

// reportUntilAbsent reports a snapshot without the run, so that the owner learns of the end of the
// run before the refusal of its start. It gives up once a new owner is known.
func (u *executorSession) reportUntilAbsent(ctx context.Context, k runKey, epoch uint64) bool {
	for ctx.Err() == nil && u.agent.cfg.Link.Epoch() == epoch {
		if snap, ok := u.snapshot(epoch, true); ok && u.reportWithout([]runKey{k}, snap, epoch) {
			return true
		}
		u.pause(ctx, failureBackoff)
	}
	return false
}

func (u *executorSession) acquireSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// startUntilCertain sends a start until its outcome is known, a few times while the executor is
// unavailable. It gives up once a new owner is known.
func (u *executorSession) startUntilCertain(ctx context.Context, s wire.StartOrder, epoch uint64) startOutcome {
	out := startOutcome{answer: executor.Answer{Outcome: executor.Unavailable}}
	unavailable := 0
	for attempt := 0; ctx.Err() == nil && u.agent.cfg.Link.Epoch() == epoch; attempt++ {
		if attempt > 0 {
			u.pause(ctx, orderRetryDelay)
		}
		same := true
		if attempt > 0 || u.mustProbeBeforeStart() {
			var snap executor.Snapshot
			snap, same = u.probe(ctx, epoch)
			if same && out.calls == 1 && snap.Shows(s.Task, s.Run) {
				// The only call was executed by this incarnation.
				return startOutcome{answer: executor.Answer{Clock: snap.Clock}, calls: 1}
			}
		}
		if same && !u.attemptStart(ctx, s, epoch, &out) {
			return out
		}
		switch out.answer.Outcome {
		case executor.OK, executor.Rejected, executor.OtherIncarnation:
			return out
		case executor.Unavailable, executor.NoListener:
			if unavailable++; unavailable >= maxUnavailableAttempts {
				return out
			}
		case executor.Unknown:
			out.uncertain = true
		}
	}
	return out
}

// attemptStart sends a start once and records the answer. It returns false, with the refusal, if the start must not be sent any more.
func (u *executorSession) attemptStart(ctx context.Context, s wire.StartOrder, epoch uint64, out *startOutcome) bool {
	if u.currentInfo().Draining {
		out.answer = executor.Answer{Outcome: executor.Unavailable}
		return false
	}
	if u.startExpired(s) {
		out.answer = executor.Answer{Outcome: executor.Rejected, Reason: executor.ReasonDeadlinePassed}
		return false
	}
	out.answer = u.sendStart(ctx, s, epoch)
	out.calls++
	return true
}

// startExpired reports whether the deadline of a start has passed, for example while this process
// was suspended.
func (u *executorSession) startExpired(s wire.StartOrder) bool {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	deadline := u.starting[runKey{s.Task, s.Run}].deadline
	return deadline != 0 && u.passed(deadline)
}

// sendStart sends a start once.
func (u *executorSession) sendStart(ctx context.Context, s wire.StartOrder, epoch uint64) executor.Answer {
	u.agent.mu.Lock()
	order := executor.Start{Task: s.Task, Run: s.Run, Specification: s.Specification, Checkpoint: s.Checkpoint,
		Token: u.tokenLocked(epoch), Deadline: u.starting[runKey{s.Task, s.Run}].deadline, Ticket: s.Ticket}
	info := u.info
	u.agent.mu.Unlock()
	// The outcome of a call in progress is needed even when the incarnation has ended.
	answer := u.agent.cfg.Client.Start(context.WithoutCancel(ctx), info, order)
	u.agent.cfg.Observe("start", answer)
	if answer.Outcome == executor.Unknown {
		events.OrderUncertain.Log(u.agent.cfg.Log).Str("task", s.Task).Uint32("run", s.Run).Str("order", "start").
			Str("executor", u.inc.ID).Int64("born", u.inc.StartedAt).Int64("lease_end", order.Deadline).Int64("clock", info.Clock).Send()
	}
	return answer
}

// probe takes a snapshot, and reports whether it confirms that this incarnation is still running. An
// executor that did not execute an order may have restarted under its id, and the order must not
// reach the next incarnation.
func (u *executorSession) probe(ctx context.Context, epoch uint64) (snap executor.Snapshot, same bool) {
	info := u.currentInfo()
	snap = u.agent.cfg.Client.Poll(ctx, info, executor.PollRequest{Token: u.token(epoch)})
	u.agent.cfg.Observe("hold", snap.Answer)
	return snap, snap.Outcome == executor.OK && (snap.StartedAt == 0 || snap.StartedAt == u.inc.StartedAt)
}

// pause waits for d or until ctx is done.
func (u *executorSession) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stop sends a stop until its outcome is final, and reports it.
func (u *executorSession) stop(k runKey, epoch uint64) {
	ok := u.stopUntilCertain(u.ctx, k, epoch)
	u.agent.mu.Lock()
	delete(u.stopping, k)
	u.agent.mu.Unlock()
	if ok {
		u.sendResult(epoch, wire.OrderResult{Task: k.task, Run: k.run, Stop: true})
	}
}

func (u *executorSession) stopUntilCertain(ctx context.Context, k runKey, epoch uint64) bool {
	for delay := orderRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxOrderRetryDelay) {
		info := u.currentInfo()
		a := u.agent.cfg.Client.Stop(ctx, info, k.task, k.run, u.token(epoch))
		u.agent.cfg.Observe("stop", a)
		switch a.Outcome {
		case executor.OK:
			return true
		case executor.Rejected:
			return a.Reason == executor.ReasonStaleRun
		case executor.OtherIncarnation:
			return false
		}
		u.pause(ctx, delay)
	}
	return false
}

func (u *executorSession) sendResult(epoch uint64, r wire.OrderResult) {
	u.agent.send(&wire.OrderResults{Epoch: epoch, Executor: u.inc.ID, StartedAt: u.inc.StartedAt, Results: []wire.OrderResult{r}})
}
