package shard

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/wire"
)

// stopRepeatInterval separates retries of a stop that was not answered.
const stopRepeatInterval = 2 * time.Second

type stopKey struct {
	vm      string
	id      string
	attempt uint32
}

// pendingStop is a stop request that the agent has not answered. It is retried until the agent answers
// or the VM's grant expires.
type pendingStop struct {
	mode wire.StopMode
	// callbacks receive the answer on the owner's event loop.
	callbacks []func(*wire.TaskEvent)
	inFlight  bool
	resendAt  time.Duration
}

// stopAttempt stops an attempt on a VM and passes the agent's answer to done, which may be nil.
func (o *Owner) stopAttempt(ctx context.Context, vm, id string, attempt uint32, mode wire.StopMode, done func(*wire.TaskEvent)) {
	key := stopKey{vm, id, attempt}
	p, ok := o.pendingStops[key]
	if !ok {
		p = &pendingStop{mode: mode}
		o.pendingStops[key] = p
	}
	if mode == wire.StopCancel {
		p.mode = mode
	}
	if done != nil {
		p.callbacks = append(p.callbacks, done)
	}
	o.sendStop(ctx, key, p)
}

// resendDueStops resends every unanswered stop that is due.
func (o *Owner) resendDueStops(ctx context.Context, now time.Duration) {
	for key, p := range o.pendingStops {
		if now >= p.resendAt {
			o.sendStop(ctx, key, p)
		}
	}
}

func (o *Owner) sendStop(ctx context.Context, key stopKey, p *pendingStop) {
	l, ok := o.agents[key.vm]
	if !ok || p.inFlight {
		return
	}
	p.inFlight = true
	msg := &wire.StopTask{Epoch: o.cfg.Epoch, ID: key.id, Attempt: key.attempt, Mode: p.mode}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		m, err := l.caller.Call(callCtx, msg)
		o.post(ctx, func() { o.stopAnswered(key, p, m, err) })
	}()
}

func (o *Owner) stopAnswered(key stopKey, p *pendingStop, m wire.Message, err error) {
	p.inFlight = false
	p.resendAt = o.cfg.Clock.Now() + stopRepeatInterval
	if o.pendingStops[key] != p {
		return
	}
	if ev, ok := m.(*wire.TaskEvent); ok && err == nil {
		o.finishStop(key, p, ev)
		return
	}
	// An eviction whose checkpoint could not be stored is abandoned, and the scheduler decides again.
	// Every other stop is retried.
	if p.mode == wire.StopEvict && errkind.Of(err) == errkind.StoreUnavailable {
		delete(o.pendingStops, key)
	}
}

func (o *Owner) finishStop(key stopKey, p *pendingStop, ev *wire.TaskEvent) {
	delete(o.pendingStops, key)
	for _, done := range p.callbacks {
		done(ev)
	}
}

// stopReported applies the event that reports the end of an attempt by a stop request. The event can
// arrive before the answer to the request, or without one.
func (o *Owner) stopReported(tk *tables.Task, ev *wire.TaskEvent, done func(error)) {
	key := stopKey{ev.VM, ev.ID, ev.Attempt}
	p, ok := o.pendingStops[key]
	if !ok || len(p.callbacks) == 0 || ev.Reason != errkind.None {
		o.recordEviction(tk, ev, ev.Reason, done)
		return
	}
	o.finishStop(key, p, ev)
	o.whenDurable(ev.ID, done)
}
