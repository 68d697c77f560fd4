package vmagent

import (
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// pendingThrottle is the newest speed limit of a run while calls that set it are in progress.
type pendingThrottle struct {
	percent int
	epoch   uint64
	// senders counts the orders that are being sent.
	senders int
}

// beginThrottle starts to send a speed limit. The caller holds the agent's mu.
func (u *executorSession) beginThrottle(o wire.ThrottleOrder, epoch uint64) {
	k := runKey{o.Task, o.Run}
	u.throttling = true
	p := u.throttles[k]
	if p == nil {
		p = new(pendingThrottle)
		u.throttles[k] = p
	}
	p.percent, p.epoch = o.Percent, epoch
	p.senders++
	go u.throttle(k)
}

// throttle sends the speed limit of a run in a few attempts, each with the newest limit. It sends the newest
// again after a call that overlapped with its order, since calls may be executed in any order. The owner
// repeats its orders.
func (u *executorSession) throttle(k runKey) {
	defer u.endThrottle(k)
	info := u.currentInfo()
	for range maxUnavailableAttempts {
		percent, epoch := u.newestLimit(k)
		a := u.agent.cfg.Client.Throttle(u.ctx, info, k.task, k.run, u.token(epoch), percent)
		u.agent.cfg.Observe("pace", a)
		newest, _ := u.newestLimit(k)
		if a.Outcome == executor.OK && newest == percent || a.Outcome == executor.Rejected || u.ctx.Err() != nil {
			return
		}
	}
}

func (u *executorSession) newestLimit(k runKey) (percent int, epoch uint64) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	p := u.throttles[k]
	return p.percent, p.epoch
}

func (u *executorSession) endThrottle(k runKey) {
	u.agent.mu.Lock()
	defer u.agent.mu.Unlock()
	p := u.throttles[k]
	if p.senders--; p.senders == 0 {
		delete(u.throttles, k)
	}
}
