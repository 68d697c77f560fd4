package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against faults that only the real programs show: signals, sockets and
// restarts. Longer runs with more seeds are made with chicory-bench soak.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	// The race detector of the test does not reach the programs; they are built with it.
	build := exec.CommandContext(t.Context(), "go", "build", "-race", "-buildvcs=false", "-o", bin, "../../cmd/chicory-entry", "../../cmd/chicory-agent")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Config{Binaries: bin, Dir: t.TempDir(), Seed: seed, Faults: 8 * time.Second, Entries: 3, Executors: 3, Submissions: 10})
			assert.NilError(t, err)
			assert.Assert(t, r.Runs > 0)
			assert.Equal(t, len(r.Failures), 0, "%v; faults: %v", r.Failures, r.Faults)
		})
	}
}

// echo serves connections that get back what they send.
func echo(t *testing.T) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// A proxy that does not do what a fault says makes the soak pass without faults.
func TestProxyDoesWhatItsModeSays(t *testing.T) {
	p, err := newProxy("127.0.0.1:0", echo(t))
	assert.NilError(t, err)
	defer p.close()
	dial := func() net.Conn {
		var d net.Dialer
		c, err := d.DialContext(t.Context(), "tcp", p.listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	// roundTrip returns how long an answer takes.
	roundTrip := func(c net.Conn) (time.Duration, error) {
		begun := time.Now()
		assert.NilError(t, c.SetDeadline(begun.Add(400*time.Millisecond)))
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, 1))
		return time.Since(begun), err
	}
	c := dial()
	_, err = roundTrip(c)
	assert.NilError(t, err)
	p.set(mode{delay: 50 * time.Millisecond})
	took, err := roundTrip(c)
	assert.NilError(t, err)
	assert.Assert(t, took >= 100*time.Millisecond, "%v", took)
	for name, m := range map[string]mode{"forward": {dropForward: true}, "back": {dropBack: true}} {
		p.set(mode{})
		c := dial()
		_, err := roundTrip(c)
		assert.NilError(t, err, name)
		p.set(m)
		_, err = roundTrip(c)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%s: %v", name, err)
	}
	p.set(mode{})
	c = dial()
	_, err = roundTrip(c)
	assert.NilError(t, err)
	p.reset()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// A seed has to give the same faults again.
func TestFaultsFollowTheSeed(t *testing.T) {
	a, b := drawFaults(rand.New(rand.NewPCG(7, 0)), time.Minute), drawFaults(rand.New(rand.NewPCG(7, 0)), time.Minute)
	assert.Equal(t, len(a), len(b))
	for i := range a {
		assert.Equal(t, a[i].String(), b[i].String())
	}
	assert.Assert(t, len(a) > 20)
}
