package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/wire"
)

// run attempts the request on upstreams until its outcome is final.
func (e *Entry) run(ctx context.Context, c *call) (*wire.Response, error) {
	c.service.budget.RecordRequest()
	refusals, retries := 0, 0
	for {
		u, err := e.acquire(ctx, c)
		if err != nil {
			return nil, err
		}
		resp, err := e.attemptHedged(ctx, c, u)
		if err == nil {
			return resp, nil
		}
		pause := time.Duration(0)
		switch {
		case !retryable(c, err) || ctx.Err() != nil:
			return nil, err
		case errkind.Of(err) == errkind.ConfigStale:
			if !e.awaitGeneration(ctx, c.req.ConfigGen) {
				return nil, err
			}
			if err := e.applyPlan(c); err != nil {
				return nil, err
			}
		case refusedByGate(err):
			// The upstream has no free slot or is draining. The attempt cost it nothing, so it
			// is not charged to the retry budget.
			if refusals++; refusals >= maxRefusals {
				return nil, err
			}
		default:
			if retries++; retries >= maxAttempts || !c.service.budget.Take() {
				return nil, err
			}
			pause = route.Backoff(retries-1, rand.New(rand.NewPCG(rand.Uint64(), 0)))
			if time.Until(c.deadline) <= pause {
				return nil, err
			}
		}
		e.metrics.CountRetry(err)
		sleep(ctx, pause)
	}
}

// retryable reports whether another attempt is allowed: after proof that the
// request was not run, or for an idempotent request.
func retryable(c *call, err error) bool {
	switch kind := errkind.Of(err); kind {
	case errkind.NoUpstream, errkind.SlotsFull, errkind.Draining, errkind.WrongIncarnation, errkind.Tombstoned, errkind.NotReady, errkind.ConfigStale:
		return true
	case errkind.OutcomeUnknown, errkind.UpstreamFailed:
		return c.req.Idempotent
	}
	return false
}

// awaitGeneration waits until a configuration newer than generation is in force in this
// entry, after an agent that has a newer one refused a request.
func (e *Entry) awaitGeneration(ctx context.Context, generation uint64) bool {
	for end := time.Now().Add(configWaitTimeout); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, configWaitTimeout/50) {
		if e.config().Generation > generation {
			return true
		}
	}
	return false
}

func refusedByGate(err error) bool {
	k := errkind.Of(err)
	return k == errkind.SlotsFull || k == errkind.Draining
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// acquire chooses an upstream with a free slot and increments its in-flight count. When all
// slots are in use it waits in the service's queue.
func (e *Entry) acquire(ctx context.Context, c *call) (wire.Upstream, error) {
	q := c.service.queue
	woken := c.waiter != nil
	for {
		if woken || q.Len() == 0 {
			u, remaining, v := e.pick(c)
			switch v {
			case route.Picked:
				if remaining > 0 && q.Len() > 0 {
					q.Wake(1)
				}
				return u, nil
			case route.NoUpstream:
				return u, errkind.New(errkind.NoUpstream, "no upstream of service %q can take the request", c.service.name)
			}
		}
		if c.waiter == nil {
			// Half of the remaining time is reserved for running the request after the wait.
			c.waiter = q.Waiter(c.limit.Priority, time.Until(c.deadline)/2)
		}
		start := time.Now()
		err := q.Wait(ctx, c.waiter)
		e.requests.metrics.QueueWait.Observe(time.Since(start).Seconds())
		if err != nil {
			return wire.Upstream{}, err
		}
		if err := e.admitAgain(c); err != nil {
			q.Wake(1)
			return wire.Upstream{}, err
		}
		woken = true
	}
}

// admitAgain checks a request that has waited against the configuration in force now. The entry may have
// lost its configuration lease meanwhile.
func (e *Entry) admitAgain(c *call) error {
	if err := e.follower.Admit(); err != nil {
		return err
	}
	return e.applyPlan(c)
}

// pick prefers upstreams that are neither excluded for the request nor ejected, then
// ejected ones, and uses an excluded one only when there is no other.
func (e *Entry) pick(c *call) (wire.Upstream, int, route.PickResult) {
	out := c.service.outliers
	u, n, v := e.table.Pick(c.service.name, func(u *wire.Upstream) bool { return c.excluded[u.VM] || out.Ejected(route.KeyOf(u)) })
	if v == route.NoUpstream {
		u, n, v = e.table.Pick(c.service.name, func(u *wire.Upstream) bool { return c.excluded[u.VM] })
	}
	if v == route.NoUpstream && c.excluded != nil {
		u, n, v = e.table.Pick(c.service.name, func(*wire.Upstream) bool { return false })
	}
	return u, n, v
}

// finishAttempt frees the slot of an attempt, records the upstream's health and wakes a queued
// request.
func (e *Entry) finishAttempt(c *call, u *wire.Upstream, resp *wire.Response, err error) {
	free := -1
	if resp != nil {
		free = int(resp.FreeSlots)
	}
	e.table.Done(u, free)
	c.service.queue.Wake(1)
	key := route.KeyOf(u)
	switch errkind.Of(err) {
	case errkind.None:
		if resp.Status < http.StatusInternalServerError {
			c.service.outliers.RecordSuccess(key)
			return
		}
	case errkind.Draining:
		e.table.SetDraining(key, true)
		return
	case errkind.OutcomeUnknown, errkind.UpstreamFailed, errkind.NoUpstream, errkind.NotReady, errkind.WrongIncarnation:
	default:
		return
	}
	if c.service.outliers.RecordFailure(key, len(e.table.ForService(c.service.name))) {
		e.requests.metrics.Ejections.Inc()
	}
}
