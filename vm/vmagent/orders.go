package vmagent

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// orders carries out what the owner wants.
func (u *unit) orders(m *wire.Orders) {
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
	for _, o := range m.Paces {
		u.mixed = true
		go u.pace(o, m.Epoch)
	}
	for _, s := range m.Starts {
		k := runKey{s.Task, s.Run}
		if p := u.starting[k]; p != nil {
			// The owner still wants the run, under a later lease.
			p.leaseEnd = max(p.leaseEnd, m.LeaseEnd)
			continue
		}
		ctx, cancel := context.WithCancel(u.ctx)
		u.starting[k] = &pendingStart{cancel: cancel, leaseEnd: m.LeaseEnd}
		go u.start(ctx, k, s, m.Epoch)
	}
}

// pendingStart is a start whose outcome is not certain yet.
type pendingStart struct {
	cancel context.CancelFunc
	// leaseEnd is the end of the lease under which the owner has ordered the run. After
	// it the owner may start the task elsewhere, so a later lease of the executor must
	// not carry the start.
	leaseEnd int64
}

// start sends a start until its outcome is certain, and reports the outcome.
func (u *unit) start(ctx context.Context, k runKey, s wire.StartOrder, epoch uint64) {
	defer func() {
		u.agent.mu.Lock()
		defer u.agent.mu.Unlock()
		u.starting[k].cancel()
		delete(u.starting, k)
	}()
	if !u.acquire(ctx) {
		return
	}
	defer func() { <-u.slots }()
	if !u.began(ctx, k) {
		return
	}
	answer, uncertain := u.startUntilCertain(ctx, s, epoch)
	u.answered(k, answer, uncertain)
	if ctx.Err() != nil {
		return
	}
	if answer.Outcome == executor.Rejected && (uncertain || answer.Reason == executor.ReasonOldRun) || uncertain && answer.Outcome == executor.Unavailable {
		// An earlier attempt may have been carried out, or may still be. A stop keeps it
		// from starting later, and a list tells the owner of its end.
		if !u.stopUntilCertain(ctx, k, epoch) || !u.listUntilGone(ctx, k, epoch) {
			return
		}
	}
	u.result(epoch, wire.OrderResult{Task: k.task, Run: k.run, Outcome: answer.Outcome, Reason: answer.Reason})
}

// listUntilGone reports a list that does not hold the run, so that the owner knows
// its end before the refusal of its start. It gives up when another owner is heard.
func (u *unit) listUntilGone(ctx context.Context, k runKey, epoch uint64) bool {
	for ctx.Err() == nil && u.agent.cfg.Link.Epoch() == epoch {
		if u.listWithout([]runKey{k}, epoch) {
			return true
		}
		u.pause(ctx, failurePause)
	}
	return false
}

func (u *unit) acquire(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// startUntilCertain returns the last answer and whether an earlier attempt had no
// answer. It gives up when another owner is heard.
func (u *unit) startUntilCertain(ctx context.Context, s wire.StartOrder, epoch uint64) (answer executor.Answer, uncertain bool) {
	answer.Outcome = executor.Unavailable
	unavailable := 0
	for attempt := 0; ctx.Err() == nil && u.agent.cfg.Link.Epoch() == epoch; attempt++ {
		if attempt > 0 {
			u.pause(ctx, orderRetry)
		}
		if attempt == 0 || u.sameLifetime(ctx, epoch) {
			if u.current().Draining && !uncertain {
				return executor.Answer{Outcome: executor.Unavailable}, false
			}
			answer = u.sendStart(ctx, s, epoch)
		}
		switch answer.Outcome {
		case executor.OK, executor.Rejected, executor.OtherIncarnation:
			return answer, uncertain
		case executor.Unavailable, executor.NoListener:
			if unavailable++; unavailable >= unavailableTries {
				return answer, uncertain
			}
		case executor.Unknown:
			uncertain = true
		}
	}
	return answer, uncertain
}

// sendStart sends a start once.
func (u *unit) sendStart(ctx context.Context, s wire.StartOrder, epoch uint64) executor.Answer {
	u.agent.mu.Lock()
	order := executor.Start{Task: s.Task, Run: s.Run, Specification: s.Specification, Checkpoint: s.Checkpoint,
		Epoch: epoch, Deadline: u.starting[runKey{s.Task, s.Run}].leaseEnd, Ticket: s.Ticket}
	info := u.info
	u.agent.mu.Unlock()
	// The outcome of a call in progress is wanted even when the lifetime has ended.
	answer := u.agent.cfg.Client.Start(context.WithoutCancel(ctx), info, order)
	u.agent.cfg.Observe("start", answer)
	if answer.Outcome == executor.Unknown {
		events.OrderUncertain.Log(u.agent.cfg.Log).Str("task", s.Task).Uint32("run", s.Run).Str("order", "start").Send()
	}
	return answer
}

// sameLifetime reports whether a list proves that this lifetime is still there. An
// executor that did not carry out an order may have started again under its id, and
// the order must not reach the next lifetime.
func (u *unit) sameLifetime(ctx context.Context, epoch uint64) bool {
	info := u.current()
	snap := u.agent.cfg.Client.Hold(ctx, info, executor.Hold{Epoch: epoch})
	u.agent.cfg.Observe("hold", snap.Answer)
	return snap.Outcome == executor.OK && (snap.Born == 0 || snap.Born == u.inc.Born)
}

// pause waits for d or the end of ctx.
func (u *unit) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stop sends a stop until it is answered, and reports it.
func (u *unit) stop(k runKey, epoch uint64) {
	ok := u.stopUntilCertain(u.ctx, k, epoch)
	u.agent.mu.Lock()
	delete(u.stopping, k)
	u.agent.mu.Unlock()
	if ok {
		u.result(epoch, wire.OrderResult{Task: k.task, Run: k.run, Stop: true})
	}
}

func (u *unit) stopUntilCertain(ctx context.Context, k runKey, epoch uint64) bool {
	for ctx.Err() == nil {
		info := u.current()
		a := u.agent.cfg.Client.Stop(ctx, info, k.task, k.run, epoch)
		u.agent.cfg.Observe("stop", a)
		switch a.Outcome {
		case executor.OK:
			return true
		case executor.Rejected:
			return a.Reason == executor.ReasonOldRun
		case executor.OtherIncarnation:
			return false
		}
		u.pause(ctx, orderRetry)
	}
	return false
}

func (u *unit) result(epoch uint64, r wire.OrderResult) {
	u.agent.send(&wire.OrderResults{Epoch: epoch, Executor: u.inc.ID, Born: u.inc.Born, Results: []wire.OrderResult{r}})
}

// pace sends a change of pace a few times. The owner repeats its orders.
func (u *unit) pace(o wire.PaceOrder, epoch uint64) {
	info := u.current()
	for range unavailableTries {
		a := u.agent.cfg.Client.Pace(u.ctx, info, o.Task, o.Run, epoch, o.Percent)
		u.agent.cfg.Observe("pace", a)
		if a.Outcome == executor.OK || a.Outcome == executor.Rejected || u.ctx.Err() != nil {
			return
		}
	}
}
