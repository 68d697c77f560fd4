package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/wire"
)

// loop handles events and runs scheduling passes until the ownership is lost.
func (o *owner) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			o.awaitCommit()
			return ctx.Err()
		case e := <-o.inbox:
			e.apply(e.receivedAt)
		case r := <-o.commitResults:
			if err := o.applyCommitResult(r); err != nil {
				return err
			}
		case <-timer.C:
		}
		// No decision is taken before all that has arrived is applied.
		o.drainInbox()
		if err := o.schedulingPass(ctx); err != nil {
			return err
		}
		timer.Reset(o.nextPassDelay())
	}
}

// applyCommitResult passes the outcome of the commit in progress to the dispatcher. An error means that the ownership is
// lost, or that the store refuses the owner's row itself.
func (o *owner) applyCommitResult(r commitResult) error {
	o.pendingBatch = nil
	switch {
	case r.err == nil:
		if r.grant != nil {
			o.ackEntries, o.grantRecorded = r.grant.entries, true
		}
		o.lastCommitSent.Store(int64(r.sent))
		now := o.cfg.Clock.Now()
		// The store answers. A poll that takes much longer than the commit did waits on a connection that has gone silent.
		o.workFollower.RetryOverdue(overduePollFactor*(now-r.sent) + overduePollMargin)
		o.dispatcher.Committed(r.batch, r.sent, now)
		return nil
	case refusedForGood(r.err):
		return o.dispatcher.Refused(r.batch, r.err)
	}
	return r.err
}

// awaitCommit waits up to resignTimeout for the commit in progress, then cancels it.
func (o *owner) awaitCommit() {
	if o.pendingBatch == nil {
		return
	}
	select {
	case <-o.commitResults:
	case <-time.After(resignTimeout):
		o.cancelCommit()
	}
}

func (o *owner) drainInbox() {
	for range inboxSize {
		select {
		case e := <-o.inbox:
			e.apply(e.receivedAt)
		default:
			return
		}
	}
}

// nextPassDelay returns the longest time until the next pass when no event arrives.
func (o *owner) nextPassDelay() time.Duration {
	if o.pendingBatch == nil && o.dispatcher.Dirty() {
		return max(time.Millisecond, minCommitInterval-(o.cfg.Clock.Now()-o.lastCommit))
	}
	return maxPassInterval
}

// schedulingPass runs the dispatcher, starts the next commit and sends the messages that are due.
func (o *owner) schedulingPass(ctx context.Context) error {
	now := o.cfg.Clock.Now()
	o.beginPass(now)
	if highest := o.cfg.HighestEpoch(); highest > o.dispatcher.Epoch() {
		return errkind.New(errkind.NotOwner, "a higher epoch %d has been seen", highest)
	}
	if m := o.cfg.Manifest(); m != nil {
		o.dispatcher.SetManifest(m)
	}
	if o.cfg.Evacuations != nil {
		o.dispatcher.SetEvacuations(o.cfg.Evacuations())
	}
	o.dispatcher.EntriesAcknowledged(o.acknowledgedAt())
	if err := o.considerHandOver(now); err != nil {
		return err
	}
	if o.pendingBatch == nil && now-o.lastCommit >= minCommitInterval {
		if !o.catchingUp(now) {
			o.dispatcher.Tick(now)
		}
		if o.dispatcher.Dirty() || now-o.lastCommit >= maxCommitInterval {
			if err := o.startCommit(ctx, now); err != nil {
				return err
			}
		}
	}
	o.dispatcher.PauseOverdue(now)
	o.requestAdvice(ctx, now)
	lease := now-o.lastLeaseExtension >= leaseExtensionInterval
	if lease {
		o.lastLeaseExtension = now
	}
	for _, outgoing := range o.dispatcher.Flush(now, lease) {
		o.sendOrders(outgoing)
	}
	if now-o.lastQueueCounts >= queueCountInterval {
		o.lastQueueCounts = now
		o.conns.broadcast(member.Entry, &wire.QueueCounts{Epoch: o.dispatcher.Epoch(), Counts: o.dispatcher.Pending()})
		if b := o.dispatcher.Backlog(now); b != nil {
			b.Entries = len(o.conns.presentEntries(now))
			o.conns.broadcast(member.Entry, b)
		}
	}
	if now-o.lastMemberCleanup >= memberCleanupInterval {
		o.lastMemberCleanup = now
		o.deleteAbsentMembers(ctx, now)
	}
	if now-o.lastStatus >= statusInterval {
		o.lastStatus = now
		o.dispatcher.LogStatus(now)
		o.counters.update(o.dispatcher.Counters())
	}
	return nil
}

// sendOrders sends orders to an agent. A message that is too large is no sign of a lost connection.
func (o *owner) sendOrders(m dispatch.AgentMessage) {
	err := o.conns.send(m.Agent, m.Orders)
	switch errkind.Of(err) {
	case errkind.None:
	case errkind.TooLarge:
		events.MessageTooLarge.Log(o.cfg.Log).Str("member", m.Agent).Str("executor", m.Orders.Executor).
			Int("starts", len(m.Orders.Starts)).Int("stops", len(m.Orders.Stops)).Err(err).Send()
	default:
		o.dispatcher.AgentDisconnected(m.Agent)
	}
}

func (o *owner) startCommit(ctx context.Context, now time.Duration) error {
	batch, err := o.dispatcher.Prepare()
	if err != nil {
		return err
	}
	o.pendingBatch, o.lastCommit = batch, now
	g := o.conns.leaseGrant(now)
	if g != nil {
		o.ackEntries = union(o.ackEntries, g.entries)
	}
	// A stopping owner waits for the outcome, since it needs the row's version to resign.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	o.cancelCommit = cancel
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		defer cancel()
		var sent time.Duration
		err := o.committer.commit(ctx, batch.Writes(), g, func() { sent = o.cfg.Clock.Now() })
		o.commitResults <- commitResult{batch, g, sent, err}
	}()
	return nil
}

// acknowledgedAt returns when all entries were last known to acknowledge this owner, 0 for never. It is 0 until a commit has recorded that this
// owner grants leases, since the next owner may be an entry that is not asked.
func (o *owner) acknowledgedAt() time.Duration {
	if !o.grantRecorded {
		return 0
	}
	return o.conns.earliestAck(o.ackEntries)
}

// union returns the sorted names of both lists. Until a commit is confirmed, the owner
// needs acknowledgements from the entries of both the last and the next commit.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
