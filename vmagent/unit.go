package vmagent

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/events"
	"github.com/chicorystand/chicorystand/executor"
	"github.com/chicorystand/chicorystand/submission"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// listWait is how long a list waits for an end.
	listWait = 900 * time.Millisecond
	// mixedWait is listWait on an executor on which runs are paced.
	mixedWait = 500 * time.Millisecond
	// ackWait is how long the next list waits for the owner to record the ends of the last one.
	ackWait = 150 * time.Millisecond
	// failurePause is the pause after a list that was not answered.
	failurePause = 100 * time.Millisecond
	// refusals is the number of refused connections on end that prove that an executor has ended.
	refusals = 2
	// orderRetry is the pause before an order is sent again.
	orderRetry = 30 * time.Millisecond
	// unavailableTries is how often a start is sent to an executor that does nothing.
	unavailableTries = 3
	// maxOrders bounds the orders to one executor that are in progress at once.
	maxOrders = 8
)

// runKey names a run.
type runKey struct {
	task string
	run  uint32
}

// unit is one lifetime of an executor.
type unit struct {
	agent  *Agent
	inc    submission.Incarnation
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	slots  chan struct{}

	// lastListed is the number of the last end in the last list; only poll uses it.
	lastListed int64

	// The fields below are guarded by the agent's mu.
	info     executor.Info
	beats    int
	leaseEnd int64
	lastSeen int64
	// mixed tells that runs are paced here, so that the owner wants lists more often.
	mixed bool
	// listNow tells that the next list is wanted without a wait.
	listNow  bool
	starting map[runKey]context.CancelFunc
	stopping map[runKey]struct{}
}

func newUnit(a *Agent, info executor.Info) *unit {
	ctx, cancel := context.WithCancel(a.ctx)
	return &unit{agent: a, inc: info.Incarnation, ctx: ctx, cancel: cancel, info: info, wake: make(chan struct{}, 1), slots: make(chan struct{}, maxOrders),
		starting: make(map[runKey]context.CancelFunc), stopping: make(map[runKey]struct{})}
}

// list makes a list be read as soon as possible. The caller holds the agent's mu.
func (u *unit) list() {
	u.listNow = true
	u.wakeUp()
}

// wakeUp ends a pause.
func (u *unit) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// poll reads the executor's list again and again until its lifetime ends.
func (u *unit) poll() {
	refused, failing := 0, false
	for u.ctx.Err() == nil {
		epoch := u.agent.cfg.Link.Epoch()
		if epoch == 0 {
			u.sleep(failurePause)
			continue
		}
		h, info := u.holdRequest(epoch)
		snap := u.agent.cfg.Client.Hold(u.ctx, info, h)
		u.agent.cfg.Observe("hold", snap.Answer)
		if u.ctx.Err() != nil {
			return
		}
		if (snap.Outcome != executor.OK) != failing {
			failing = !failing
			u.logAnswering(failing, snap.Answer)
		}
		switch snap.Outcome {
		case executor.OK:
			refused = 0
			if snap.Born != 0 && snap.Born != info.Born {
				u.end("other lifetime at the address")
				return
			}
			u.report(epoch, snap)
			u.awaitAck(snap)
		case executor.OtherIncarnation:
			u.end("other id at the address")
			return
		case executor.NoListener:
			if refused++; refused >= refusals {
				u.end("connection refused")
				return
			}
			u.sleep(failurePause / 2)
		default:
			refused = 0
			u.sleep(failurePause)
		}
	}
}

func (u *unit) logAnswering(failing bool, a executor.Answer) {
	if failing {
		events.ExecutorSilent.Log(u.agent.cfg.Log).Str("executor", u.inc.ID).Str("outcome", a.Outcome.String()).Str("reason", a.Reason.String()).Send()
		return
	}
	events.ExecutorAnswers.Log(u.agent.cfg.Log).Str("executor", u.inc.ID).Send()
}

func (u *unit) sleep(d time.Duration) {
	select {
	case <-u.ctx.Done():
	case <-u.wake:
	case <-time.After(d):
	}
}

func (u *unit) end(cause string) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	u.agent.endLocked(u, cause)
}

func (u *unit) holdRequest(epoch uint64) (executor.Hold, executor.Info) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	h := executor.Hold{Epoch: epoch, Deadline: u.leaseEnd, LastSeen: u.lastSeen, Wait: listWait}
	if u.mixed {
		h.Wait = mixedWait
	}
	if u.listNow {
		h.Wait, u.listNow = 0, false
	}
	return h, u.info
}

// report sends the list to the owner, with the ends that it has not seen.
func (u *unit) report(epoch uint64, snap executor.Snapshot) {
	u.agent.mu.Lock()
	u.info.Clock = max(u.info.Clock, snap.Clock)
	r := &wire.Report{Epoch: epoch, Agent: u.agent.cfg.Name, Info: u.info, Full: true, Running: snap.Running}
	for _, e := range snap.Ended {
		// Every list carries all ends that are not recorded, since an owner takes a
		// run that is neither listed nor ended for lost.
		if e.Number > u.lastSeen {
			r.Ended = append(r.Ended, e)
		}
	}
	u.agent.mu.Unlock()
	u.agent.send(r)
}

// awaitAck waits for the owner to record the ends of a list: until then the
// executor would answer the next list at once. It waits longer when no end is
// new, as while the owner cannot reach the store.
func (u *unit) awaitAck(snap executor.Snapshot) {
	n := len(snap.Ended)
	if n == 0 {
		return
	}
	last := snap.Ended[n-1].Number
	wait := ackWait
	if last == u.lastListed {
		wait = listWait
	}
	u.lastListed = last
	deadline := time.Now().Add(wait)
	for u.ctx.Err() == nil && time.Now().Before(deadline) {
		u.agent.mu.Lock()
		next := u.lastSeen >= last || u.listNow
		u.agent.mu.Unlock()
		if next {
			return
		}
		u.sleep(time.Until(deadline))
	}
}

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
		if cancel := u.starting[k]; cancel != nil {
			cancel()
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
		if _, ok := u.starting[k]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(u.ctx)
		u.starting[k] = cancel
		go u.start(ctx, k, s, m.Epoch)
	}
}

// start sends a start until its outcome is certain, and reports the outcome.
func (u *unit) start(ctx context.Context, k runKey, s wire.StartOrder, epoch uint64) {
	defer func() {
		u.agent.mu.Lock()
		defer u.agent.mu.Unlock()
		u.starting[k]()
		delete(u.starting, k)
	}()
	if !u.acquire(ctx) {
		return
	}
	defer func() { <-u.slots }()
	answer, uncertain := u.startUntilCertain(ctx, s, epoch)
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

// listUntilGone reports lists to the owner until one does not hold the run, so
// that the owner knows its end before the refusal of its start.
func (u *unit) listUntilGone(ctx context.Context, k runKey, epoch uint64) bool {
	for ctx.Err() == nil {
		h, info := u.holdRequest(epoch)
		h.Wait = 0
		snap := u.agent.cfg.Client.Hold(ctx, info, h)
		u.agent.cfg.Observe("hold", snap.Answer)
		switch {
		case snap.Outcome == executor.OtherIncarnation:
			return false
		case snap.Outcome == executor.OK && snap.Born != 0 && snap.Born != u.inc.Born:
			return false
		case snap.Outcome == executor.OK:
			u.report(epoch, snap)
			if !slices.ContainsFunc(snap.Running, func(r executor.Run) bool { return r.Task == k.task && r.Number == k.run }) {
				return true
			}
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

// startUntilCertain returns the last answer and whether an earlier attempt had no answer.
func (u *unit) startUntilCertain(ctx context.Context, s wire.StartOrder, epoch uint64) (executor.Answer, bool) {
	uncertain, unavailable := false, 0
	for {
		u.agent.mu.Lock()
		order := executor.Start{Task: s.Task, Run: s.Run, Specification: s.Specification, Checkpoint: s.Checkpoint,
			Epoch: epoch, Deadline: u.leaseEnd, Ticket: s.Ticket}
		info := u.info
		u.agent.mu.Unlock()
		if info.Draining && !uncertain {
			return executor.Answer{Outcome: executor.Unavailable}, false
		}
		answer := u.agent.cfg.Client.Start(ctx, info, order)
		u.agent.cfg.Observe("start", answer)
		switch answer.Outcome {
		case executor.OK, executor.Rejected, executor.OtherIncarnation:
			return answer, uncertain
		case executor.Unavailable, executor.NoListener:
			if unavailable++; unavailable >= unavailableTries {
				return answer, uncertain
			}
		case executor.Unknown:
			uncertain = true
			events.OrderUncertain.Log(u.agent.cfg.Log).Str("task", s.Task).Uint32("run", s.Run).Str("order", "start").Send()
		}
		if ctx.Err() != nil {
			return answer, uncertain
		}
		u.pause(ctx, orderRetry)
	}
}

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
		u.agent.mu.Lock()
		info := u.info
		u.agent.mu.Unlock()
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
	u.agent.mu.Lock()
	info := u.info
	u.agent.mu.Unlock()
	for range unavailableTries {
		a := u.agent.cfg.Client.Pace(u.ctx, info, o.Task, o.Run, epoch, o.Percent)
		u.agent.cfg.Observe("pace", a)
		if a.Outcome == executor.OK || a.Outcome == executor.Rejected || u.ctx.Err() != nil {
			return
		}
	}
}
