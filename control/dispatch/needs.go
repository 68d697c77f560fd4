package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// needs is all that decides whether an executor can take a task of a step now. Where no executor can take one, none can take a task of
// another step with the same needs before the next pass: within a pass executors only fill up.
type needs struct {
	service       string
	request       task.Resources
	label, image  string
	bestEffort    bool
	latencyTarget time.Duration
	interferenceLimits
}

// needsOf returns the needs of a step. plain is false for a step with needs of its own: the policy of its queue, a bound for
// each executor, a preferred rack, or members that start together.
func (o *Owner) needsOf(w *waitingStep, limits interferenceLimits) (n needs, plain bool) {
	s := &w.job.sub.Steps[w.key.step]
	if s.Gang || s.MaxPerExecutor > 0 || s.DataRack != "" || s.SameRack || o.needsAdvice(w.job.sub) {
		return needs{}, false
	}
	return needs{service: o.service(w.job.sub), request: s.Request, label: s.Label, image: s.Image, bestEffort: s.BestEffort, latencyTarget: s.LatencyTarget,
		interferenceLimits: limits}, true
}
