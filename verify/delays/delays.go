// Package delays breaks down the time of submissions from the log of the owner. For each step it
// takes the task that ended last, since the next step waits for it, and splits its time by phase.
// The phases add up to the duration of a submission whose steps run one after the other; steps
// that run concurrently are counted separately.
package delays

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
)

// Queue is the time that submissions of one queue spent in each phase, in seconds summed over
// the last task of each step.
type Queue struct {
	Name string
	// Submissions is the number of submissions that ended.
	Submissions int
	// Waiting is the time until the first placement, and Rescheduling the time until later ones.
	Waiting, Rescheduling float64
	// Starting is the time from placement until the executor confirmed the start.
	Starting float64
	// Working is the execution time scaled by the speed limit of the run, and Throttled the time
	// lost to the limit.
	Working, Throttled float64
	// UnfinishedRuns counts the runs that ended before the task was done, by cause.
	UnfinishedRuns map[string]int
}

// logLine holds the decoded fields of a log line.
type logLine struct {
	Event    int     `json:"event"`
	ID       string  `json:"id"`
	Queue    string  `json:"queue"`
	Task     string  `json:"task"`
	Cause    string  `json:"cause"`
	Percent  float64 `json:"percent"`
	Restored bool    `json:"restored"`
	seconds  float64
}

// submissionLog is a submission with its log lines by step and task.
type submissionLog struct {
	queue      string
	acceptedAt float64
	ended      bool
	incomplete bool
	steps      map[int]map[string][]logLine
}

// Read reads a log whose lines start with a time in seconds, which a log collector has written
// before the JSON object. Other lines are skipped.
func Read(r io.Reader) ([]Queue, error) {
	submissions := make(map[string]*submissionLog)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			record(submissions, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "read the log")
	}
	return summarize(submissions), nil
}

func parseLine(text string) (logLine, bool) {
	var l logLine
	before, _, found := strings.Cut(text, "{")
	fields := strings.Fields(before)
	if !found || len(fields) == 0 {
		return l, false
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || json.Unmarshal([]byte(text[len(before):]), &l) != nil {
		return l, false
	}
	l.seconds = at
	return l, true
}

func record(submissions map[string]*submissionLog, l logLine) {
	switch l.Event {
	case events.JobTaken.Number:
		if j := submissions[l.ID]; j != nil {
			return
		}
		// The log does not show what a previous owner did before it begins.
		submissions[l.ID] = &submissionLog{queue: l.Queue, acceptedAt: l.seconds, incomplete: l.Restored, steps: make(map[int]map[string][]logLine)}
	case events.JobEnded.Number:
		if j := submissions[l.ID]; j != nil {
			j.ended = true
		}
	case events.TaskPlaced.Number, events.RunStarted.Number, events.TaskThrottled.Number, events.RunEnded.Number, events.RunLost.Number:
		id, t, ok := submission.ParseName(l.Task)
		if !ok || submissions[id] == nil {
			return
		}
		steps := submissions[id].steps
		if steps[t.Step] == nil {
			steps[t.Step] = make(map[string][]logLine)
		}
		steps[t.Step][l.Task] = append(steps[t.Step][l.Task], l)
	}
}

// summarize adds up the phases of the submissions that ended, by queue.
func summarize(submissions map[string]*submissionLog) []Queue {
	queues := make(map[string]*Queue)
	for _, s := range submissions {
		if !s.ended || s.incomplete {
			continue
		}
		q := queues[s.queue]
		if q == nil {
			q = &Queue{Name: s.queue, UnfinishedRuns: make(map[string]int)}
			queues[s.queue] = q
		}
		q.Submissions++
		ready := s.acceptedAt
		for _, step := range slices.Sorted(maps.Keys(s.steps)) {
			last, ended := lastFinished(s.steps[step])
			q.addTask(last, ready)
			ready = max(ready, ended)
		}
	}
	out := make([]Queue, 0, len(queues))
	for _, q := range queues {
		out = append(out, *q)
	}
	slices.SortFunc(out, func(a, b Queue) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

const causeDone = "done"

// lastFinished returns the log lines of the task of a step that finished last, and its end time.
func lastFinished(tasks map[string][]logLine) (last []logLine, ended float64) {
	for _, lines := range tasks {
		for _, l := range lines {
			if l.Event == events.RunEnded.Number && l.Cause == causeDone && (last == nil || l.seconds > ended) {
				last, ended = lines, l.seconds
			}
		}
	}
	return last, ended
}

const fullSpeed = 100.0

// addTask adds the phases of one task, from the time at which it could start. A step that began
// before the preceding steps ended does not depend on them.
func (q *Queue) addTask(lines []logLine, ready float64) {
	if len(lines) == 0 {
		return
	}
	at, speed := min(ready, lines[0].seconds), fullSpeed
	bucket := &q.Waiting
	for _, l := range lines {
		elapsed := l.seconds - at
		at = l.seconds
		if bucket == &q.Working {
			q.Working += elapsed * speed / fullSpeed
			q.Throttled += elapsed * (1 - speed/fullSpeed)
		} else {
			*bucket += elapsed
		}
		switch l.Event {
		case events.TaskPlaced.Number:
			bucket, speed = &q.Starting, fullSpeed
		case events.RunStarted.Number:
			bucket = &q.Working
		case events.TaskThrottled.Number:
			speed = l.Percent
		case events.RunLost.Number:
			q.UnfinishedRuns["lost"]++
			bucket = &q.Rescheduling
		case events.RunEnded.Number:
			if l.Cause == causeDone {
				return
			}
			q.UnfinishedRuns[l.Cause]++
			bucket = &q.Rescheduling
		}
	}
}
