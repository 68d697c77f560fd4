package deployed

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// newConnGrace is how long an accepted connection without a request counts as one whose request is on its way.
const newConnGrace = time.Second

// requestConns tracks the connections of requesters.
type requestConns struct {
	mu sync.Mutex
	// open holds the open connections.
	open map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// track is an http.Server's ConnState function.
func (c *requestConns) track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	if c.open == nil {
		c.open = make(map[net.Conn]connState)
	}
	c.open[conn] = connState{s, time.Now()}
}

// count returns the number of open connections.
func (c *requestConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// busy reports whether a connection has a request in progress, or has just been opened.
func (c *requestConns) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.open {
		if s.state == http.StateActive || s.state == http.StateNew && time.Since(s.since) < newConnGrace {
			return true
		}
	}
	return false
}

// closeUnused closes the connections that were opened a while ago and have not had a request.
func (c *requestConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.state == http.StateNew && time.Since(s.since) >= newConnGrace {
			_ = conn.Close()
		}
	}
}

// closeWhenStopping returns a handler that ends each connection with its next response once stopping is set. Closing idle
// connections at that time would cut off the requests that are on their way.
func closeWhenStopping(h http.Handler, stopping *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// drainListener is a listener that can be closed without resetting the connections that wait to be accepted.
type drainListener struct {
	net.Listener
	draining atomic.Bool
	// drained is closed once the socket is closed after draining, closed by Close.
	drained, closed chan struct{}
	closeOnce       sync.Once
}

func newDrainListener(l net.Listener) *drainListener {
	return &drainListener{Listener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After drain it waits for Close, so that the server does not stop serving with an error.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil || !l.draining.Load() {
		return conn, err
	}
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return conn, err
	}
	_ = l.Listener.Close()
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *drainListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// SyscallConn implements syscall.Conn, so that the sizes of the socket's buffers can be set.
func (l *drainListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("the listener has no socket")
	}
	return socket.SyscallConn()
}

// drain accepts connections for at most d longer, then closes the socket. The connections remain with the server. It fails if
// the listener has no deadline; connections that wait are then reset by Close.
func (l *drainListener) drain(d time.Duration) error {
	s, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.New("the listener has no deadline")
	}
	l.draining.Store(true)
	if err := s.SetDeadline(time.Now().Add(d)); err != nil {
		return errors.Wrap(err, "set the deadline of the listener")
	}
	select {
	case <-l.drained:
		return nil
	case <-l.closed:
		return net.ErrClosed
	case <-time.After(2 * d):
		return errors.New("the listener did not stop accepting in time")
	}
}
