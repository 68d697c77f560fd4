package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/wire"
)

// loop runs the tables until the ownership is lost.
func (o *owner) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			o.awaitCommit()
			return ctx.Err()
		case f := <-o.inbox:
			now := o.cfg.Clock.Now()
			f(now)
			o.drainInbox(now)
		case r := <-o.committed:
			if r.err != nil {
				return r.err
			}
			o.batch = nil
			o.entries = r.entries
			o.commitSent.Store(int64(r.sent))
			o.core.Committed(r.batch, r.sent, o.cfg.Clock.Now())
		case <-timer.C:
		}
		if err := o.turn(ctx); err != nil {
			return err
		}
		timer.Reset(o.nextTurn())
	}
}

// awaitCommit waits for the commit in progress, for a while.
func (o *owner) awaitCommit() {
	if o.batch == nil {
		return
	}
	select {
	case <-o.committed:
	case <-time.After(resignTimeout):
		o.cancelCommit()
	}
}

func (o *owner) drainInbox(now time.Duration) {
	for range inboxSize {
		select {
		case f := <-o.inbox:
			f(now)
		default:
			return
		}
	}
}

// nextTurn returns the time until something has to be done without an event.
func (o *owner) nextTurn() time.Duration {
	if o.batch == nil && o.core.Dirty() {
		return max(time.Millisecond, commitInterval-(o.cfg.Clock.Now()-o.lastCommit))
	}
	return tickInterval
}

// turn runs the systems, starts the next commit and sends what is due.
func (o *owner) turn(ctx context.Context) error {
	now := o.cfg.Clock.Now()
	if heard := o.cfg.HighestEpoch(); heard > o.core.Epoch() {
		return errkind.New(errkind.NotOwner, "epoch %d is known", heard)
	}
	if m := o.cfg.Manifest(); m != nil {
		o.core.SetManifest(m)
	}
	o.core.EntriesAcknowledged(o.links.consent(o.entries))
	if o.batch == nil && now-o.lastCommit >= commitInterval {
		o.core.Tick(now)
		if o.core.Dirty() || now-o.lastCommit >= renewInterval {
			if err := o.startCommit(ctx, now); err != nil {
				return err
			}
		}
	}
	o.askAdvice(ctx, now)
	lease := now-o.lastLease >= leaseInterval
	if lease {
		o.lastLease = now
	}
	for _, mail := range o.core.Flush(now, lease) {
		if err := o.links.send(mail.Agent, mail.Orders); err != nil {
			o.core.AgentDisconnected(mail.Agent)
		}
	}
	if now-o.lastCounts >= countInterval {
		o.lastCounts = now
		o.links.broadcast(member.Entry, &wire.QueueCounts{Epoch: o.core.Epoch(), Counts: o.core.Pending()})
	}
	if now-o.lastStatus >= statusInterval {
		o.lastStatus = now
		o.core.LogStatus(now)
		o.counters.update(o.core.Counters())
	}
	return nil
}

func (o *owner) startCommit(ctx context.Context, now time.Duration) error {
	batch, err := o.core.Prepare()
	if err != nil {
		return err
	}
	o.batch, o.lastCommit = batch, now
	entries := o.links.names(member.Entry)
	o.entries = union(o.entries, entries)
	// An owner that stops waits for the outcome, which it needs to resign.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	o.cancelCommit = cancel
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		defer cancel()
		var sent time.Duration
		err := o.commit.commit(ctx, batch.Writes, entries, func() { sent = o.cfg.Clock.Now() })
		o.committed <- commitResult{batch, entries, sent, err}
	}()
	return nil
}

// union returns the sorted names of both lists. Until a commit is confirmed, the
// consent of the entries of both the last and the next one is needed.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
