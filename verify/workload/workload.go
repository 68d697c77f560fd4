// Package workload draws random submissions for tests that check what becomes of
// them, and records what clients learn in the terms of package history.
package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// MaxAttempts is the number of failures that ends a task, as the manifest of the tests has it.
const MaxAttempts = 3

// Request is a submission that a client hands in at a time, and cancels later when CancelAfter is not 0.
type Request struct {
	At          time.Duration
	Submission  submission.Submission
	CancelAfter time.Duration
	// Entry is the number of the entry that is called first.
	Entry int
}

// Plan is the work of one run, and what its tasks really do.
type Plan struct {
	Requests []Request
	Works    map[string]standin.Work
}

// Config bounds a plan.
type Config struct {
	// MinSubmissions and MaxSubmissions bound the number of submissions.
	MinSubmissions, MaxSubmissions int
	// Time is the time in which they arrive.
	Time time.Duration
	// Executors bounds the width of steps that are spread.
	Executors int
}

// between returns a duration in whole milliseconds.
func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N((to-from).Milliseconds()+1))*time.Millisecond
}

func oneIn(r *rand.Rand, n int) bool { return r.IntN(n) == 0 }

// Draw returns a plan.
func Draw(r *rand.Rand, c Config) Plan {
	p := Plan{Works: make(map[string]standin.Work)}
	for i := range c.MinSubmissions + r.IntN(c.MaxSubmissions-c.MinSubmissions+1) {
		p.Requests = append(p.Requests, drawRequest(r, c, i))
	}
	for i := range p.Requests {
		s := &p.Requests[i].Submission
		eachTask(s, func(name string, id submission.TaskID) { p.Works[name] = drawWork(r, &s.Steps[id.Step]) })
	}
	return p
}

func drawRequest(r *rand.Rand, c Config, number int) Request {
	s := submission.Submission{ID: fmt.Sprintf("%016x", 0xa0+number), Specification: "x"}
	lasts := oneIn(r, 6)
	steps := 1
	if !lasts {
		steps += r.IntN(3)
	}
	for i := range steps {
		s.Steps = append(s.Steps, drawStep(r, c, i, lasts))
	}
	out := Request{At: between(r, 500*time.Millisecond, c.Time), Submission: s, Entry: r.IntN(16)}
	if lasts || oneIn(r, 5) {
		out.CancelAfter = between(r, 100*time.Millisecond, 12*time.Second)
	}
	return out
}

func drawStep(r *rand.Rand, c Config, number int, lasts bool) submission.Step {
	step := submission.Step{Count: 1 + r.IntN(5), LongRunning: lasts, Checkpoints: oneIn(r, 2),
		Request:  task.Resources{CPU: 200 + r.Int64N(1300), Memory: 100 + r.Int64N(1900)},
		Estimate: between(r, 300*time.Millisecond, 4*time.Second)}
	if number > 0 && oneIn(r, 2) {
		step.DependsOn = []int{r.IntN(number)}
	}
	if oneIn(r, 4) {
		step.MaxPerExecutor = 1 + r.IntN(2)
		step.Count = min(step.Count, step.MaxPerExecutor*c.Executors)
	}
	return step
}

func drawWork(r *rand.Rand, step *submission.Step) standin.Work {
	return standin.Work{Request: step.Request, LongRunning: step.LongRunning, Checkpoints: step.Checkpoints,
		Duration: between(r, 200*time.Millisecond, 5*time.Second), Fails: oneIn(r, 40)}
}

func eachTask(s *submission.Submission, f func(name string, id submission.TaskID)) {
	for step := range s.Steps {
		for i := range s.Steps[step].Count {
			id := submission.TaskID{Step: step, Index: i}
			f(s.Name(id), id)
		}
	}
}

// Accepted records that the submission was accepted.
func (r *Request) Accepted(to *history.Recorder) {
	s := &r.Submission
	eachTask(s, func(name string, id submission.TaskID) {
		e := history.Event{Kind: history.TaskAccepted, Task: name}
		step := &s.Steps[id.Step]
		if !step.LongRunning {
			e.MaxFailures = MaxAttempts
		}
		for _, d := range step.DependsOn {
			for i := range s.Steps[d].Count {
				e.DependsOn = append(e.DependsOn, s.Name(submission.TaskID{Step: d, Index: i}))
			}
		}
		to.Record(e)
	})
}

// Cancelled records that the cancellation was acknowledged.
func (r *Request) Cancelled(to *history.Recorder) {
	eachTask(&r.Submission, func(name string, _ submission.TaskID) {
		to.Record(history.Event{Kind: history.TaskCancelled, Task: name})
	})
}

// Found records the final state that a client was shown.
func (r *Request) Found(to *history.Recorder, state submission.State) {
	names := map[submission.State]string{submission.Completed: task.Succeeded, submission.Failed: task.Failed, submission.Cancelled: task.Cancelled}
	eachTask(&r.Submission, func(name string, _ submission.TaskID) {
		to.Record(history.Event{Kind: history.TaskFound, Task: name, Outcome: names[state]})
	})
}
