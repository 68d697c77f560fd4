// Package workload generates random submissions for tests, and records the responses that
// clients receive as events of package history.
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

// MaxAttempts is the number of failures after which a task fails, as set in the tests' manifest.
const MaxAttempts = 3

// Request is a submission that a client sends at time At. The client cancels it after CancelAfter unless that is 0.
type Request struct {
	At          time.Duration
	Submission  submission.Submission
	CancelAfter time.Duration
	// Entry is the number of the entry that the client tries first.
	Entry int
}

// Plan holds the submissions of one test run, and the actual behaviour of their tasks by name.
type Plan struct {
	Requests []Request
	TaskWork map[string]standin.Work
}

// Config limits the size of a plan.
type Config struct {
	// MinSubmissions and MaxSubmissions limit the number of submissions.
	MinSubmissions, MaxSubmissions int
	// ArrivalWindow is the time during which submissions arrive.
	ArrivalWindow time.Duration
	// Executors limits the number of tasks of steps with MaxPerExecutor, so that they can be placed.
	Executors int
}

// randomDuration returns a random duration in whole milliseconds, both limits included.
func randomDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N((to-from).Milliseconds()+1))*time.Millisecond
}

func oneIn(r *rand.Rand, n int) bool { return r.IntN(n) == 0 }

// Generate returns a random plan.
func Generate(r *rand.Rand, c Config) Plan {
	p := Plan{TaskWork: make(map[string]standin.Work)}
	for i := range c.MinSubmissions + r.IntN(c.MaxSubmissions-c.MinSubmissions+1) {
		p.Requests = append(p.Requests, generateRequest(r, c, i))
	}
	for i := range p.Requests {
		s := &p.Requests[i].Submission
		forEachTask(s, func(name string, id submission.TaskID) { p.TaskWork[name] = generateWork(r, &s.Steps[id.Step]) })
	}
	return p
}

// AddLongTasks adds submissions of tasks that run for 8 to 15 s, which is longer than a lease. Tasks of that length are at work
// when the owner takes the lease of an executor for expired.
func (p *Plan) AddLongTasks(r *rand.Rand, c Config, submissions int) {
	const tasks = 3
	request := task.Resources{CPU: 500, Memory: 500}
	for range submissions {
		work := randomDuration(r, 8*time.Second, 15*time.Second)
		s := submission.Submission{ID: submissionID(len(p.Requests)), Specification: "x",
			Steps: []submission.Step{{Count: tasks, Request: request, Estimate: work, Checkpoints: oneIn(r, 2)}}}
		p.Requests = append(p.Requests, Request{At: randomDuration(r, 500*time.Millisecond, c.ArrivalWindow), Submission: s, Entry: r.IntN(16)})
		forEachTask(&s, func(name string, _ submission.TaskID) {
			p.TaskWork[name] = standin.Work{Request: request, Duration: work, Checkpoints: s.Steps[0].Checkpoints}
		})
	}
}

func submissionID(number int) string { return fmt.Sprintf("%016x", 0xa0+number) }

func generateRequest(r *rand.Rand, c Config, number int) Request {
	s := submission.Submission{ID: submissionID(number), Specification: "x"}
	longRunning := oneIn(r, 6)
	steps := 1
	if !longRunning {
		steps += r.IntN(3)
	}
	for i := range steps {
		s.Steps = append(s.Steps, generateStep(r, c, i, longRunning))
	}
	out := Request{At: randomDuration(r, 500*time.Millisecond, c.ArrivalWindow), Submission: s, Entry: r.IntN(16)}
	if longRunning || oneIn(r, 5) {
		out.CancelAfter = randomDuration(r, 100*time.Millisecond, 12*time.Second)
	}
	return out
}

func generateStep(r *rand.Rand, c Config, number int, longRunning bool) submission.Step {
	step := submission.Step{Count: 1 + r.IntN(5), LongRunning: longRunning, Checkpoints: oneIn(r, 2),
		Request:  task.Resources{CPU: 200 + r.Int64N(1300), Memory: 100 + r.Int64N(1900)},
		Estimate: randomDuration(r, 300*time.Millisecond, 4*time.Second)}
	if number > 0 && oneIn(r, 2) {
		step.DependsOn = []int{r.IntN(number)}
	}
	if oneIn(r, 4) {
		step.MaxPerExecutor = 1 + r.IntN(2)
		step.Count = min(step.Count, step.MaxPerExecutor*c.Executors)
	}
	return step
}

func generateWork(r *rand.Rand, step *submission.Step) standin.Work {
	return standin.Work{Request: step.Request, LongRunning: step.LongRunning, Checkpoints: step.Checkpoints,
		Duration: randomDuration(r, 200*time.Millisecond, 5*time.Second), Fails: oneIn(r, 40)}
}

func forEachTask(s *submission.Submission, f func(name string, id submission.TaskID)) {
	for step := range s.Steps {
		for i := range s.Steps[step].Count {
			id := submission.TaskID{Step: step, Index: i}
			f(s.Name(id), id)
		}
	}
}

// RecordAccepted records that the submission's tasks were accepted.
func (r *Request) RecordAccepted(to *history.Recorder) {
	s := &r.Submission
	forEachTask(s, func(name string, id submission.TaskID) {
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

// RecordCancelled records that the cancellation was acknowledged.
func (r *Request) RecordCancelled(to *history.Recorder) {
	forEachTask(&r.Submission, func(name string, _ submission.TaskID) {
		to.Record(history.Event{Kind: history.TaskCancelled, Task: name})
	})
}

// RecordFinalState records the final state that a client received.
func (r *Request) RecordFinalState(to *history.Recorder, state submission.State) {
	names := map[submission.State]string{submission.Completed: task.Succeeded, submission.Failed: task.Failed, submission.Cancelled: task.Cancelled}
	forEachTask(&r.Submission, func(name string, _ submission.TaskID) {
		to.Record(history.Event{Kind: history.FinalStateRead, Task: name, Outcome: names[state]})
	})
}
