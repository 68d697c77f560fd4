package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
)

// AdviceRequest is a request to the advice service that is due.
type AdviceRequest struct {
	// Step is the step's name on the platform: submission, occurrence, step.
	Step      string
	Executors []submission.Incarnation
}

// stepName returns the platform name of a step of one occurrence.
func stepName(k stepKey) string { return fmt.Sprintf("%s.%d.%d", k.job, k.occurrence, k.step) }

// needsAdvice reports whether the queue's policy requires permission from the advice service.
func (o *Owner) needsAdvice(s *submission.Submission) bool {
	if o.manifest == nil {
		return false
	}
	r := o.manifest.RouteByName(s.Queue)
	return r != nil && r.RequiresAdvice
}

// allowed returns the executor filter for a step, nil when all executors are allowed.
func (o *Owner) allowed(w *waitingStep, nodes []*node, now time.Duration) func(id string) bool {
	if !o.needsAdvice(w.job.sub) {
		return nil
	}
	step := stepName(w.key)
	admitted := make(map[string]bool)
	for _, n := range nodes {
		_, admitted[n.info.ID] = o.advice.Ticket(step, n.info.Incarnation, now)
	}
	return func(id string) bool { return admitted[id] }
}

// NextAdviceRequest returns the next request to the advice service, for the first step in
// placement order. Executors that could hold a task when empty are asked about, as the service
// takes time for each.
func (o *Owner) NextAdviceRequest(now time.Duration) (AdviceRequest, bool) {
	if o.manifest == nil || !slices.ContainsFunc(o.manifest.Routes, func(r manifest.Route) bool { return r.RequiresAdvice }) {
		return AdviceRequest{}, false
	}
	for _, w := range o.orderedSteps(now) {
		if !o.needsAdvice(w.job.sub) {
			continue
		}
		p := o.pool(o.service(w.job.sub), now)
		step := &w.job.sub.Steps[w.key.step]
		var candidates []submission.Incarnation
		for i, n := range p.nodes {
			if step.Request.Fits(p.placementNodes[i].Capacity) {
				candidates = append(candidates, n.info.Incarnation)
			}
		}
		unknown := o.advice.Missing(stepName(w.key), candidates, now)
		if len(unknown) > 0 {
			return AdviceRequest{Step: stepName(w.key), Executors: unknown[:min(len(unknown), advice.MaxExecutors)]}, true
		}
	}
	return AdviceRequest{}, false
}

// ApplyAdvice applies the response to a request that was sent at the given time.
func (o *Owner) ApplyAdvice(q AdviceRequest, a advice.Response, asked time.Duration) {
	o.advice.Record(q.Step, q.Executors, a, asked)
	o.placementChanged = true
	events.StepAdvised.Log(o.log).Str("step", q.Step).Int("asked", len(q.Executors)).Int("allowed", len(a.Allowed)).
		Dur("validity", a.Validity).Send()
}
