package coordinator

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
)

// adviceRetryDelay is the delay after a failed call to the advice service.
const adviceRetryDelay = 200 * time.Millisecond

// requestAdvice starts the next call to the advice service. Calls are made one at a time,
// since the service processes the calls of one VM sequentially. It runs on the owner's loop.
func (o *owner) requestAdvice(ctx context.Context, now time.Duration) {
	if o.cfg.Advice == nil || o.adviceInFlight || now < o.nextAdviceAt {
		return
	}
	request, ok := o.dispatcher.NextAdviceRequest(now)
	if !ok {
		return
	}
	o.adviceInFlight = true
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		o.fetchAdvice(ctx, request)
	}()
}

func (o *owner) fetchAdvice(ctx context.Context, request dispatch.AdviceRequest) {
	ids := make([]string, len(request.Executors))
	for i, e := range request.Executors {
		ids[i] = e.ID
	}
	requestedAt := o.cfg.Clock.Now()
	advice, err := o.cfg.Advice.Advise(ctx, request.Step, ids)
	o.enqueue(func(now time.Duration) {
		o.adviceInFlight = false
		if err != nil {
			o.nextAdviceAt = now + adviceRetryDelay
			events.AdviceFailed.Log(o.cfg.Log).Str("step", request.Step).Str("kind", errkind.Of(err).String()).Err(err).Send()
			return
		}
		o.dispatcher.ApplyAdvice(request, advice, requestedAt)
	})
}
