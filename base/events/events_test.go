package events

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against hot events that flood the log, and against sampling that drops other events.
func TestSampling(t *testing.T) {
	s := &hotSampler{interval: time.Second, windows: make(map[int]sampleWindow)}
	now, written := time.Unix(100, 0), 0
	for i := range 100 {
		if s.admit(200, now.Add(time.Duration(i)*time.Millisecond)) {
			written++
		}
	}
	assert.Equal(t, written, maxHotLines)
	assert.Assert(t, s.admit(201, now) && s.admit(200, now.Add(time.Second)))
	var out bytes.Buffer
	for range 50 {
		ProcessStarted.Log(zerolog.New(&out)).Send()
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 50)
	ProcessStarted.Log(zerolog.New(&out).Level(zerolog.ErrorLevel)).Send()
	assert.Equal(t, strings.Count(out.String(), "\n"), 50, "a line below the level was written")
}

// Guards against a log follower that misses lines, or that hangs after the process restarted.
func TestRing(t *testing.T) {
	r := NewRing()
	for i := range ringSize + 5 {
		_, _ = fmt.Fprintf(r, "{\"n\":%d}\n", i)
	}
	lines := r.After(0)
	assert.Equal(t, len(lines), ringSize)
	assert.Equal(t, lines[0].Seq, uint64(6))
	last := lines[len(lines)-1].Seq
	assert.Equal(t, len(r.After(last)), 0)
	assert.Equal(t, len(r.After(last+100)), ringSize, "a sequence number of an earlier process")
	got := make(chan []Line)
	go func() { got <- r.Wait(context.Background(), last) }()
	_, _ = fmt.Fprintln(r, `{"n":"new"}`)
	assert.Equal(t, string((<-got)[0].Line), `{"n":"new"}`)
}

// A process that runs out of file descriptors was reported as one whose address is in use.
func TestListenErrorNamesTheCause(t *testing.T) {
	assert.Equal(t, ListenError(&net.OpError{Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}).Number, AddressUnavailable.Number)
	assert.Equal(t, ListenError(&net.OpError{Err: os.NewSyscallError("socket", syscall.EMFILE)}).Number, ListenFailed.Number)
}
