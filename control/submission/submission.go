// Package submission defines the work that a requester submits: steps of tasks with dependencies,
// and the record of their progress.
package submission

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Bounds of a submission.
const (
	// MaxSteps is the largest number of steps.
	MaxSteps = 256
	// MaxTasks is the largest number of tasks over all steps of one occurrence.
	MaxTasks = 10_000
	// MaxSpecificationBytes is the largest specification in bytes.
	MaxSpecificationBytes = 4_000
	// MaxOccurrences is the largest number of repetitions.
	MaxOccurrences = 10_000
)

// Step is a group of identical tasks.
type Step struct {
	Count   int            `msgpack:"n"`
	Request task.Resources `msgpack:"r"`
	// Estimate is the requester's rough estimate of a task's run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists earlier steps all of whose tasks must be done first.
	DependsOn []int `msgpack:"d,omitempty"`
	// Checkpoints is set when the tasks save their progress.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Gang is set when the tasks only make progress together.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack is set when the tasks are slower if spread over several racks.
	SameRack bool `msgpack:"sr,omitempty"`
	// Label, when not empty, restricts the step to executors with this label.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack that holds the data, empty when there is none.
	DataRack string `msgpack:"dr,omitempty"`
	// MaxPerExecutor bounds the tasks of one occurrence on one executor; 0 means no bound.
	MaxPerExecutor int `msgpack:"a,omitempty"`
	// Speculative allows copies to run in parallel.
	Speculative bool `msgpack:"sp,omitempty"`
	// LongRunning tasks run until the submission is cancelled.
	LongRunning bool `msgpack:"lr,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `msgpack:"i,omitempty"`
	// LatencyTarget is the bound on the tail latency of a latency-critical task, 0 for other
	// tasks.
	LatencyTarget time.Duration `msgpack:"t,omitempty"`
	// BestEffort tasks use the processor time that others leave idle; their processors do not
	// count against the executor's capacity.
	BestEffort bool `msgpack:"f,omitempty"`
	// MaxUnavailable is the disruption budget of a long-running step.
	MaxUnavailable int `msgpack:"mu,omitempty"`
}

// LatencyCritical reports whether the step's tasks serve their own users under a latency target.
func (s *Step) LatencyCritical() bool { return s.LatencyTarget > 0 }

// Submission is accepted work. It does not change after acceptance.
type Submission struct {
	ID string `msgpack:"id"`
	// Queue is the name of the route it was submitted to.
	Queue string `msgpack:"q"`
	// Service is the pool of executors that runs it, as of its acceptance.
	Service       string `msgpack:"s"`
	Specification string `msgpack:"x"`
	Steps         []Step `msgpack:"st"`
	// Occurrences is the number of times the steps run, 1 for a plain submission.
	Occurrences int `msgpack:"o,omitempty"`
	// FirstStart is the due time of occurrence 0 in Unix milliseconds, 0 for immediately.
	FirstStart int64 `msgpack:"fs,omitempty"`
	// Interval is the time between occurrences.
	Interval time.Duration `msgpack:"iv,omitempty"`
	// Accepted is the time of acceptance in Unix milliseconds.
	Accepted int64 `msgpack:"at"`
	// The fields below are the policy of the queue at the time of acceptance.
	Priority      int           `msgpack:"p,omitempty"`
	MaxAttempts   int           `msgpack:"ma,omitempty"`
	Stretch       float64       `msgpack:"sx,omitempty"`
	TargetLatency time.Duration `msgpack:"tl,omitempty"`
}

// TaskID identifies a task inside a submission.
type TaskID struct {
	Occurrence, Step, Index int
}

// Name returns the task's name on the platform: submission, occurrence, step, index.
func (s *Submission) Name(t TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", s.ID, t.Occurrence, t.Step, t.Index)
}

// ParseName parses a task's name on the platform into the submission's id and the task. It returns
// false for any other name.
func ParseName(name string) (string, TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskID{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return "", TaskID{}, false
		}
		n[i] = v
	}
	return parts[0], TaskID{Occurrence: n[0], Step: n[1], Index: n[2]}, true
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (s *Submission) OccurrenceCount() int { return max(1, s.Occurrences) }

// TasksPerOccurrence returns the number of tasks of all steps.
func (s *Submission) TasksPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// LongRunning reports whether any step runs until cancelled.
func (s *Submission) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps from the given step to the end.
// For step 0 it is that of the whole submission.
func (s *Submission) CriticalPath(from int) time.Duration { return s.CriticalPaths()[from] }

// CriticalPaths returns the critical path from each step.
func (s *Submission) CriticalPaths() []time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	var all time.Duration
	for i := len(s.Steps) - 1; i >= 0; i-- {
		longest[i] += s.Steps[i].Estimate
		for _, d := range s.Steps[i].DependsOn {
			longest[d] = max(longest[d], longest[i])
		}
		all = max(all, longest[i])
	}
	longest[0] = all
	return longest
}

// Objective returns the response time up to which the submission is on time.
func (s *Submission) Objective() time.Duration {
	return time.Duration(float64(s.CriticalPath(0))*max(1, s.Stretch)) + s.TargetLatency
}

// Work returns the estimated work of one occurrence in processor seconds.
func (s *Submission) Work() float64 {
	work := 0.0
	for i := range s.Steps {
		work += float64(s.Steps[i].Count) * s.Steps[i].Work()
	}
	return work
}

// Work returns the estimated work of one task in processor seconds.
func (s *Step) Work() float64 { return s.Estimate.Seconds() * float64(s.Request.CPU) / 1000 }

// ScheduledStart returns when occurrence k may start, in Unix milliseconds; 0 means immediately.
func (s *Submission) ScheduledStart(k int) int64 {
	if s.Occurrences == 0 || s.FirstStart == 0 {
		return 0
	}
	return s.FirstStart + int64(k)*s.Interval.Milliseconds()
}

// Validate reports the first problem as errkind.InvalidArgument.
func (s *Submission) Validate() error {
	if len(s.ID) != 16 || !isHex(s.ID) {
		return errkind.New(errkind.InvalidArgument, "submission id is not 16 hexadecimal digits")
	}
	if len(s.Specification) > MaxSpecificationBytes {
		return errkind.New(errkind.InvalidArgument, "specification has %d bytes, at most %d are allowed", len(s.Specification), MaxSpecificationBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errkind.New(errkind.InvalidArgument, "submission has %d steps, must have 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 {
		return errkind.New(errkind.InvalidArgument, "repeat count or interval out of range")
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	if n := s.TasksPerOccurrence() * s.OccurrenceCount(); n > MaxTasks {
		return errkind.New(errkind.InvalidArgument, "submission has %d tasks, at most %d are allowed", n, MaxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return errkind.New(errkind.InvalidArgument, "step %d has an invalid task count: %d", number, s.Count)
	}
	if s.Request.CPU < 0 || s.Request.Memory < 0 || s.Request.Accelerators < 0 || s.Estimate < 0 || s.MaxPerExecutor < 0 {
		return errkind.New(errkind.InvalidArgument, "step %d has a negative resource request, estimate or limit", number)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= number {
			return errkind.New(errkind.InvalidArgument, "step %d depends on step %d, which is not an earlier step", number, d)
		}
	}
	return nil
}

func isHex(s string) bool {
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
