// Package delays tells from the log of the owner where submissions lose time. For each
// step it follows the task that ended last, since the next step waits for it, and splits
// its time into what the task did. The parts add up to the time of a submission whose steps
// run one after the other; steps that run side by side count each.
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

// Queue is where the submissions of one queue lost time, in seconds summed over the last
// task of each step.
type Queue struct {
	Name string
	// Submissions counts those that ended.
	Submissions int
	// Waiting is the time before the first executor, and Again that before later ones.
	Waiting, Again float64
	// Starting is the time until an executor has confirmed the start.
	Starting float64
	// Working is the time at work, counted at the pace of the run, and Paced what the pace took.
	Working, Paced float64
	// Repeated counts the runs that ended without the task being done, by cause.
	Repeated map[string]int
}

// line is what is read of a log line.
type line struct {
	Event    int     `json:"event"`
	ID       string  `json:"id"`
	Queue    string  `json:"queue"`
	Task     string  `json:"task"`
	Cause    string  `json:"cause"`
	Percent  float64 `json:"percent"`
	Restored bool    `json:"restored"`
	at       float64
}

// job is a submission with the lines of each task, by step.
type job struct {
	queue      string
	taken      float64
	ended      bool
	incomplete bool
	steps      map[int]map[string][]line
}

// Read reads a log of which each line begins with its time in seconds, up to the first
// brace, as a collector puts it before the JSON. Other lines are left out.
func Read(r io.Reader) ([]Queue, error) {
	jobs := make(map[string]*job)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			note(jobs, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "read the log")
	}
	return sum(jobs), nil
}

func parse(text string) (line, bool) {
	var l line
	before, _, found := strings.Cut(text, "{")
	fields := strings.Fields(before)
	if !found || len(fields) == 0 {
		return l, false
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || json.Unmarshal([]byte(text[len(before):]), &l) != nil {
		return l, false
	}
	l.at = at
	return l, true
}

func note(jobs map[string]*job, l line) {
	switch l.Event {
	case events.JobTaken.Number:
		if j := jobs[l.ID]; j != nil {
			return
		}
		// What an earlier owner did before the log begins is not known.
		jobs[l.ID] = &job{queue: l.Queue, taken: l.at, incomplete: l.Restored, steps: make(map[int]map[string][]line)}
	case events.JobEnded.Number:
		if j := jobs[l.ID]; j != nil {
			j.ended = true
		}
	case events.TaskPlaced.Number, events.RunStarted.Number, events.TaskThrottled.Number, events.RunEnded.Number, events.RunLost.Number:
		id, t, ok := submission.ParseName(l.Task)
		if !ok || jobs[id] == nil {
			return
		}
		steps := jobs[id].steps
		if steps[t.Step] == nil {
			steps[t.Step] = make(map[string][]line)
		}
		steps[t.Step][l.Task] = append(steps[t.Step][l.Task], l)
	}
}

// sum adds up the submissions that ended, by queue.
func sum(jobs map[string]*job) []Queue {
	queues := make(map[string]*Queue)
	for _, j := range jobs {
		if !j.ended || j.incomplete {
			continue
		}
		q := queues[j.queue]
		if q == nil {
			q = &Queue{Name: j.queue, Repeated: make(map[string]int)}
			queues[j.queue] = q
		}
		q.Submissions++
		ready := j.taken
		for _, step := range slices.Sorted(maps.Keys(j.steps)) {
			last, ended := lastOf(j.steps[step])
			q.follow(last, ready)
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

const done = "done"

// lastOf returns the lines of the task of a step that was done last, and when.
func lastOf(tasks map[string][]line) (last []line, ended float64) {
	for _, lines := range tasks {
		for _, l := range lines {
			if l.Event == events.RunEnded.Number && l.Cause == done && (last == nil || l.at > ended) {
				last, ended = lines, l.at
			}
		}
	}
	return last, ended
}

const fullPace = 100.0

// follow adds up the time of one task from when it could start. A step that began before
// the ones in front of it were done does not depend on them.
func (q *Queue) follow(lines []line, ready float64) {
	if len(lines) == 0 {
		return
	}
	at, pace := min(ready, lines[0].at), fullPace
	spent := &q.Waiting
	for _, l := range lines {
		took := l.at - at
		at = l.at
		if spent == &q.Working {
			q.Working += took * pace / fullPace
			q.Paced += took * (1 - pace/fullPace)
		} else {
			*spent += took
		}
		switch l.Event {
		case events.TaskPlaced.Number:
			spent, pace = &q.Starting, fullPace
		case events.RunStarted.Number:
			spent = &q.Working
		case events.TaskThrottled.Number:
			pace = l.Percent
		case events.RunLost.Number:
			q.Repeated["lost"]++
			spent = &q.Again
		case events.RunEnded.Number:
			if l.Cause == done {
				return
			}
			q.Repeated[l.Cause]++
			spent = &q.Again
		}
	}
}
