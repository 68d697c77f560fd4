// Package events defines the numbered log events. Every log line of a daemon
// carries the number and name of an event of this package.
package events

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Event is a log event. Numbers are stable and never reused.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning describes to operators what happened and what to do.
	Meaning string
	// Hot events can occur for each request, so they are sampled.
	Hot bool
}

// Areas maps the hundreds digit of event numbers to their area.
var Areas = map[int]string{1: "Scheduler", 2: "Requests", 3: "Shards, store and configuration", 4: "Agent", 5: "Processes and security", 6: "Dispatch"}

var table = make(map[int]Event)

func define(number int, name string, level zerolog.Level, meaning string) Event {
	if _, ok := table[number]; ok {
		panic("events: number defined twice: " + name)
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	table[number] = e
	return e
}

func defineHot(number int, name string, level zerolog.Level, meaning string) Event {
	e := define(number, name, level, meaning)
	e.Hot = true
	table[number] = e
	return e
}

// All returns every event in numeric order.
func All() []Event {
	out := make([]Event, 0, len(table))
	for _, e := range table {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Log starts a log line of the event; the caller adds fields and calls Send. It
// returns nil, which drops the line, below the logger's level and for hot events
// above the sampling limit. Callers must not add secrets or request bodies.
func (e Event) Log(l zerolog.Logger) *zerolog.Event {
	if e.Hot && !sampler.admit(e.Number, time.Now()) {
		return nil
	}
	if e.Level < l.GetLevel() || e.Level < zerolog.GlobalLevel() {
		return nil
	}
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// maxHotLines is the number of lines of a hot event that are written in each sampling interval.
const maxHotLines = 10

var sampler = &hotSampler{interval: time.Second, windows: make(map[int]sampleWindow)}

// SetSampling sets the interval in which at most maxHotLines lines of a hot event
// are written; 0 disables sampling.
func SetSampling(interval time.Duration) {
	sampler.mu.Lock()
	defer sampler.mu.Unlock()
	sampler.interval = interval
}

type hotSampler struct {
	mu       sync.Mutex
	interval time.Duration
	windows  map[int]sampleWindow
}

type sampleWindow struct {
	start time.Time
	lines int
}

func (s *hotSampler) admit(number int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[number]
	if s.interval == 0 || now.Sub(w.start) >= s.interval {
		w = sampleWindow{start: now}
	}
	w.lines++
	s.windows[number] = w
	return s.interval == 0 || w.lines <= maxHotLines
}

// WriteDocument writes the event catalogue as Markdown.
func WriteDocument(w io.Writer) error {
	if _, err := fmt.Fprint(w, "# Events\n\nGenerated from package `events` by `go run ./cmd/chicory-dev docs`. Do not edit.\n\n"+
		"Each log line is a JSON object with `event`, `name`, `level` and `time`. At most ten lines of a sampled event are\n"+
		"written in each `log.sample` interval. Lines contain no secrets and no request bodies.\n"); err != nil {
		return err
	}
	area := 0
	for _, e := range All() {
		if e.Number/100 != area {
			area = e.Number / 100
			if _, err := fmt.Fprintf(w, "\n## %d to %d: %s\n\n| Number | Name | Level | Sampled | Meaning |\n| --- | --- | --- | --- | --- |\n", area*100, area*100+99, Areas[area]); err != nil {
				return err
			}
		}
		sampled := "no"
		if e.Hot {
			sampled = "yes"
		}
		if _, err := fmt.Fprintf(w, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, sampled, e.Meaning); err != nil {
			return err
		}
	}
	return nil
}
