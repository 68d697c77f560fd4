// Package events defines the numbered log events. Every log line of a daemon
// carries the number and name of an event from this table.
package events

import (
	"sort"

	"github.com/rs/zerolog"
)

// Event is a log event. Numbers are stable and never reused.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning tells operators what happened and what to do.
	Meaning string
}

var table = make(map[int]Event)

func define(number int, name string, level zerolog.Level, meaning string) Event {
	if _, ok := table[number]; ok {
		panic("events: number defined twice: " + name)
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
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

// Log starts a log line of the event; the caller adds fields and calls Send.
func (e Event) Log(l zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
