package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the milliseconds since its start.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, writer: bufio.NewWriter(f)}, nil
}

// elapsed returns the time since the start of the case.
func (r *record) elapsed() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%7d ms  %s\n", r.elapsed().Milliseconds(), fmt.Sprintf(format, args...))
}

// violate records that the rule was broken.
func (r *record) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
