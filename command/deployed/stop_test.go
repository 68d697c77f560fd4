package deployed

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/ingress/intake"
	"github.com/chicorystand/chicorystand/ingress/receive"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
)

const testGracePeriod = 6 * time.Second

// stoppingEntry is an entry whose handler answers after the duration in the query.
type stoppingEntry struct {
	*entryProcess
	t      *testing.T
	net    *inmem.Net
	server *http.Server
	l      *drainListener
}

func newStoppingEntry(t *testing.T) *stoppingEntry {
	s := &stoppingEntry{t: t, entryProcess: &entryProcess{process: &process{log: zerolog.Nop()}}, net: inmem.NewNet(1)}
	s.settings.Bounds.GracePeriod = testGracePeriod
	s.net.Delay = func(string, string) time.Duration { return time.Millisecond }
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		took, _ := time.ParseDuration(r.URL.RawQuery)
		time.Sleep(took)
		w.WriteHeader(http.StatusOK)
	})
	s.server = &http.Server{Handler: closeWhenStopping(h, &s.stopping), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: s.conns.track}
	s.l = newDrainListener(s.net.Listen("entry", "entry:1"))
	go s.serveHTTP(s.server, s.l)
	return s
}

func (s *stoppingEntry) dial() net.Conn {
	s.t.Helper()
	conn, err := s.net.Dialer("caller")(s.t.Context(), "entry:1")
	assert.NilError(s.t, err)
	return conn
}

// ask sends a request that takes a while, and returns whether the response ends the connection.
func ask(conn net.Conn, took time.Duration) (bool, error) {
	if _, err := conn.Write([]byte("GET /?" + took.String() + " HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return false, err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && r.Close, err
}

// stop runs the shutdown and returns how long it took.
func (s *stoppingEntry) stop() <-chan time.Duration {
	took := make(chan time.Duration, 1)
	go func() {
		start, candidateDone := time.Now(), make(chan struct{})
		close(candidateDone)
		s.shutdown(s.server, s.l, candidateDone)
		took <- time.Since(start)
	}()
	return took
}

// Guards against requests that get no answer since they are on their way on an idle connection when the entry is told to stop.
func TestRequestOnIdleConnectionIsAnsweredDuringShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingEntry(t)
		atOnce, later := s.dial(), s.dial()
		for _, conn := range []net.Conn{atOnce, later} {
			closes, err := ask(conn, 0)
			assert.NilError(t, err)
			assert.Assert(t, !closes)
		}
		took := s.stop()
		closes, err := ask(atOnce, 0)
		assert.NilError(t, err)
		time.Sleep(rotationExitDelay - 100*time.Millisecond)
		closesLater, err := ask(later, 0)
		assert.NilError(t, err)
		assert.Assert(t, closes && closesLater, "the connection stays open, and its next request is cut off")
		unused := s.dial()
		assert.Assert(t, <-took <= rotationExitDelay+newConnGrace+drainTime+idleCheckInterval, "an unused connection delays the end")
		_ = unused.Close()
	})
}

// Guards against requests that are cut off since they are in progress when the regular service ends. Writes take up to 0.7 s while the
// store does not answer.
func TestRequestsInProgressAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingEntry(t)
		took := s.stop()
		answered := make(chan error, 100)
		var inProgress sync.WaitGroup
		// A caller that opens a connection for each request keeps the entry busy to the end. The interval is such that none is
		// opened in the moment in which the listener closes: this one cannot be drained.
		const interval = 97 * time.Millisecond
		go func() {
			for {
				conn, err := s.net.Dialer("caller")(context.Background(), "entry:1")
				if err != nil {
					inProgress.Wait()
					close(answered)
					return
				}
				inProgress.Go(func() {
					_, err := ask(conn, 700*time.Millisecond)
					answered <- err
				})
				time.Sleep(interval)
			}
		}()
		assert.Assert(t, <-took < testGracePeriod-exitMargin/2)
		requests := 0
		for err := range answered {
			assert.NilError(t, err, "request %d", requests)
			requests++
		}
		assert.Assert(t, requests >= 50, "%d requests were accepted", requests)
	})
}

// Guards against a process that does not end in its grace period, since a requester or the owner's term does not end.
func TestShutdownEndsInGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingEntry(t)
		stuck := s.dial()
		go func() { _, _ = ask(stuck, time.Minute) }()
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		s.shutdown(s.server, s.l, make(chan struct{}))
		assert.Assert(t, time.Since(start) <= testGracePeriod-exitMargin)
		_ = stuck.Close()
		time.Sleep(time.Minute)
	})
}

// Guards against a process with a short grace period that is killed, since it waits for requests for longer than that.
func TestShutdownEndsInShortGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newStoppingEntry(t)
			s.settings.Bounds.GracePeriod = grace
			stuck := s.dial()
			go func() { _, _ = ask(stuck, time.Minute) }()
			time.Sleep(10 * time.Millisecond)
			start := time.Now()
			s.shutdown(s.server, s.l, make(chan struct{}))
			assert.Assert(t, time.Since(start) <= grace-min(exitMargin, grace/exitDivisor), "%v of %v", time.Since(start), grace)
			_ = stuck.Close()
			time.Sleep(time.Minute)
		})
	}
}

// acceptAll accepts connections on a listener until it fails.
func acceptAll(l net.Listener, accepted chan<- net.Conn, ended chan<- error) {
	for {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		accepted <- conn
	}
}

func newTCPDrainListener(t *testing.T) *drainListener {
	var lc net.ListenConfig
	tcp, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return newDrainListener(tcp)
}

// Guards against connections that are reset, since the operating system has accepted them and the process has not, when the listener
// closes. The time to drain is long, so that the result does not depend on the load of the machine.
func TestWaitingConnectionsAreAcceptedWhileDraining(t *testing.T) {
	l := newTCPDrainListener(t)
	const count = 20
	for range count {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	accepted, ended, drained := make(chan net.Conn, count), make(chan error, 1), make(chan error, 1)
	go func() { drained <- l.drain(time.Hour) }()
	for !l.draining.Load() && len(drained) == 0 {
		time.Sleep(time.Millisecond)
	}
	go acceptAll(l, accepted, ended)
	for i := range count {
		select {
		case conn := <-accepted:
			_ = conn.Close()
		case err := <-ended:
			t.Fatalf("%d of %d connections were accepted: %v", i, count, err)
		}
	}
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
	assert.ErrorIs(t, <-drained, net.ErrClosed)
}

// Guards against a socket that stays open after draining, and a server that then stops with an error.
func TestListenerClosesAfterDraining(t *testing.T) {
	l := newTCPDrainListener(t)
	accepted, ended := make(chan net.Conn, 1), make(chan error, 1)
	go acceptAll(l, accepted, ended)
	assert.NilError(t, l.drain(drainTime))
	_, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.Assert(t, err != nil, "the socket is still open")
	assert.Equal(t, len(ended), 0, "the server would stop with an error")
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}

// Guards against connections whose buffers in the kernel are unbounded, since the listener that is drained hides its socket.
func TestBuffersOfRequestConnectionsAreBounded(t *testing.T) {
	const size = 16 << 10
	limits := intake.Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 10}
	l, err := receive.New(receive.Config{Limits: limits, ReceiveBuffer: size, Clock: clock.Boottime{}, Log: zerolog.Nop(), Observe: func(string) {}}).Listen(newTCPDrainListener(t))
	assert.NilError(t, err)
	go func() { _, _ = new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String()) }()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	socket, ok := conn.(syscall.Conn)
	assert.Assert(t, ok, "%T gives no access to its socket", conn)
	raw, err := socket.SyscallConn()
	assert.NilError(t, err)
	got, optErr := 0, error(nil)
	assert.NilError(t, raw.Control(func(fd uintptr) { got, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }))
	assert.NilError(t, optErr)
	// Linux reports twice the size, which includes its own bookkeeping.
	assert.Equal(t, got, 2*size)
}
