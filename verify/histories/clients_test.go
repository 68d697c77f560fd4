package histories

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/verify/workload"
)

// runClient hands in a submission, and cancels it if the plan requires it.
func (c *cluster) runClient(r *workload.Request) {
	c.sleepUntil(r.At)
	route := &c.manifest.Routes[0]
	accepted := c.submit(r, route)
	if accepted {
		r.RecordAccepted(c.recorder)
	}
	if r.CancelAfter == 0 {
		return
	}
	time.Sleep(r.CancelAfter)
	if exists := c.cancel(r, route, accepted); exists && !accepted {
		r.RecordAccepted(c.recorder)
	}
	r.RecordCancelled(c.recorder)
}

// submit retries a submission until it is accepted. A client that is going to cancel it gives up when an outcome is unknown; submit
// then returns false.
func (c *cluster) submit(r *workload.Request, route *manifest.Route) (accepted bool) {
	c.callUntilAnswered(r.Entry, func(ctx context.Context, p *process) error {
		s := r.Submission
		err := p.requests.Submit(ctx, route, &s)
		accepted = err == nil
		if r.CancelAfter > 0 && errkind.Of(err).Attributes().Execution == errkind.ExecutionUnknown {
			return nil
		}
		return err
	})
	return accepted
}

// cancel retries a cancellation until it is acknowledged, and reports whether the submission exists. One that was accepted must.
func (c *cluster) cancel(r *workload.Request, route *manifest.Route, accepted bool) (exists bool) {
	c.callUntilAnswered(r.Entry+1, func(ctx context.Context, p *process) error {
		err := p.requests.Cancel(ctx, route, r.Submission.ID)
		exists = err == nil
		if !accepted && errkind.Of(err) == errkind.NotFound {
			return nil
		}
		return err
	})
	if !exists {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.denied[r.Submission.ID] = true
	}
	return exists
}

func (c *cluster) wasDenied(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.denied[id]
}

// callUntilAnswered calls the entries in turn until a call succeeds.
func (c *cluster) callUntilAnswered(entry int, call func(ctx context.Context, p *process) error) {
	for i := entry; ; i++ {
		ctx, cancel := context.WithTimeout(c.ctx, requestDeadline)
		err := call(ctx, c.entry(i%entryCount))
		cancel()
		if err == nil {
			return
		}
		time.Sleep(clientRetry)
	}
}
