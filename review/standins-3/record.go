package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(filepath.Clean(path))
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
