package coordinator

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
)

// adviceRetry is the pause after a call for advice that failed.
const adviceRetry = 200 * time.Millisecond

// askAdvice makes the next call for advice, one at a time, since the service
// serves the calls of one VM in turn. It runs on the owner's loop.
func (o *owner) askAdvice(ctx context.Context, now time.Duration) {
	if o.cfg.Advice == nil || o.advising || now < o.adviseAfter {
		return
	}
	q, ok := o.core.NextAdviceRequest(now)
	if !ok {
		return
	}
	o.advising = true
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		o.advise(ctx, q)
	}()
}

func (o *owner) advise(ctx context.Context, q dispatch.AdviceRequest) {
	ids := make([]string, len(q.Executors))
	for i, e := range q.Executors {
		ids[i] = e.ID
	}
	asked := o.cfg.Clock.Now()
	answer, err := o.cfg.Advice.Advise(ctx, q.Step, ids)
	o.do(func(now time.Duration) {
		o.advising = false
		if err != nil {
			o.adviseAfter = now + adviceRetry
			events.AdviceFailed.Log(o.cfg.Log).Str("step", q.Step).Str("kind", errkind.Of(err).String()).Err(err).Send()
			return
		}
		o.core.ApplyAdvice(q, answer, asked)
	})
}
