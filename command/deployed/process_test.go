package deployed

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// recordedWrites records each write of a logger.
type recordedWrites struct {
	mu     sync.Mutex
	writes [][]byte
}

func (w *recordedWrites) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against lost log lines: a log collector that reads a pipe gets whole lines only from
// writes that are atomic on a pipe (at most 4096 bytes). Lines at the end of larger writes were lost.
func TestLogIsWrittenInSmallWritesOfWholeLines(t *testing.T) {
	const lines = 500
	var out recordedWrites
	log, done := newLogger(&out)
	for range lines {
		log.Info().Str("text", strings.Repeat("x", 200)).Send()
	}
	done()
	out.mu.Lock()
	defer out.mu.Unlock()
	n := 0
	for _, w := range out.writes {
		assert.Assert(t, len(w) <= 4096, "a write of %d bytes", len(w))
		assert.Assert(t, bytes.HasSuffix(w, []byte("\n")))
		n += bytes.Count(w, []byte("\n"))
	}
	assert.Equal(t, n, lines)
}
