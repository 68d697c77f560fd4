package dispatch

import (
	"fmt"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/submission"
)

// Question is a call for advice that is due.
type Question struct {
	// Step is the step's name on the platform: submission, occurrence, step.
	Step      string
	Executors []submission.Incarnation
}

// stepName returns the name of a step of one occurrence.
func stepName(k stepKey) string { return fmt.Sprintf("%s.%d.%d", k.job, k.occurrence, k.step) }

// needsAdvice reports whether the queue's policy admits only some executors.
func (o *Owner) needsAdvice(s *submission.Submission) bool {
	if o.manifest == nil {
		return false
	}
	r := o.manifest.RouteByName(s.Queue)
	return r != nil && r.RequiresAdvice
}

// allowed returns the filter of executors for a step, nil when all are admitted.
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

// NextQuestion returns the next call for advice, for the step that comes first.
// Executors with free room are asked for first, as an answer takes a time for each.
func (o *Owner) NextQuestion(now time.Duration) (Question, bool) {
	if o.manifest == nil || len(o.waiting) == 0 {
		return Question{}, false
	}
	for _, w := range o.ordered(now) {
		if !o.needsAdvice(w.job.sub) {
			continue
		}
		p := o.pool(o.service(w.job.sub), now)
		step := &w.job.sub.Steps[w.key.step]
		var candidates []submission.Incarnation
		for i, n := range p.nodes {
			if step.Request.Fits(p.places[i].Capacity) {
				candidates = append(candidates, n.info.Incarnation)
			}
		}
		unknown := o.advice.Missing(stepName(w.key), candidates, now)
		if len(unknown) > 0 {
			return Question{Step: stepName(w.key), Executors: unknown[:min(len(unknown), advice.MaxExecutors)]}, true
		}
	}
	return Question{}, false
}

// Advised takes in the answer to a question that was asked at the given time.
func (o *Owner) Advised(q Question, a advice.Response, asked time.Duration) {
	o.advice.Record(q.Step, q.Executors, a, asked)
	o.changed = true
	events.StepAdvised.Log(o.log).Str("step", q.Step).Int("asked", len(q.Executors)).Int("allowed", len(a.Allowed)).
		Dur("validity", a.Validity).Send()
}
