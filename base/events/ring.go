package events

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
)

// ringSize is the number of recent log lines that a process keeps for operators.
const ringSize = 1024

// Line is a log line with its sequence number in the process.
type Line struct {
	Seq  uint64          `json:"seq"`
	Line json.RawMessage `json:"line"`
}

// Ring keeps the latest log lines. It is an io.Writer for a logger and safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	lines   []Line
	next    uint64
	changed chan struct{}
}

// NewRing returns an empty ring.
func NewRing() *Ring { return &Ring{changed: make(chan struct{})} }

// Write implements io.Writer. Each call must be one line; lines that are not JSON are ignored.
func (r *Ring) Write(p []byte) (int, error) {
	line := bytes.TrimSpace(p)
	if !json.Valid(line) {
		return len(p), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	r.lines = append(r.lines, Line{Seq: r.next, Line: append(json.RawMessage(nil), line...)})
	if len(r.lines) > ringSize {
		r.lines = append([]Line(nil), r.lines[len(r.lines)-ringSize:]...)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return len(p), nil
}

// After returns the kept lines with a sequence number above seq.
func (r *Ring) After(seq uint64) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.after(seq)
}

// after treats a number above the latest one as 0, since it comes from an earlier process.
func (r *Ring) after(seq uint64) []Line {
	if seq > r.next {
		seq = 0
	}
	for i, l := range r.lines {
		if l.Seq > seq {
			return append([]Line{}, r.lines[i:]...)
		}
	}
	return []Line{}
}

// Wait returns the lines after seq. If there are none yet, it waits for one until ctx is done.
func (r *Ring) Wait(ctx context.Context, seq uint64) []Line {
	for {
		r.mu.Lock()
		lines, changed := r.after(seq), r.changed
		r.mu.Unlock()
		if len(lines) > 0 {
			return lines
		}
		select {
		case <-ctx.Done():
			return []Line{}
		case <-changed:
		}
	}
}
