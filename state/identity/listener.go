package identity

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// handshakeTimeout bounds a TLS handshake.
const handshakeTimeout = 5 * time.Second

// Reasons for a refused connection, for counters and logs.
const (
	ReasonLimit     = "limit"
	ReasonRole      = "role"
	ReasonHandshake = "handshake"
)

// RefusedFunc is called for each refused connection.
type RefusedFunc func(reason string, remote net.Addr, err error)

// Listener accepts connections up to a limit and completes TLS handshakes before
// Accept returns a connection, so that a silent client delays no other.
type Listener struct {
	net.Listener
	config  *tls.Config
	refused RefusedFunc
	slots   chan struct{}
	ready   chan net.Conn
	done    chan struct{}
	once    sync.Once
	err     error
}

// Listen wraps l. A nil config serves plain text.
func Listen(l net.Listener, config *tls.Config, limit int, refused RefusedFunc) *Listener {
	out := &Listener{Listener: l, config: config, refused: refused,
		slots: make(chan struct{}, limit), ready: make(chan net.Conn), done: make(chan struct{})}
	go out.loop()
	return out
}

func (l *Listener) loop() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.finish(err)
			return
		}
		select {
		case l.slots <- struct{}{}:
			go l.admit(&countedConn{Conn: c, release: func() { <-l.slots }})
		default:
			l.refused(ReasonLimit, c.RemoteAddr(), errkind.New(errkind.QueueFull, "%d connections are open", cap(l.slots)))
			_ = c.Close()
		}
	}
}

func (l *Listener) finish(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
	})
}

func (l *Listener) admit(c net.Conn) {
	if l.config != nil {
		t := tls.Server(c, l.config)
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		err := t.HandshakeContext(ctx)
		cancel()
		if err != nil {
			l.refused(reasonOf(err), c.RemoteAddr(), err)
			_ = c.Close()
			return
		}
		c = t
	}
	select {
	case l.ready <- c:
	case <-l.done:
		_ = c.Close()
	}
}

func reasonOf(err error) string {
	if errkind.Of(err) == errkind.PermissionDenied {
		return ReasonRole
	}
	return ReasonHandshake
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, l.err
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.finish(net.ErrClosed)
	return err
}

type countedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close implements net.Conn and frees the connection's place in the limit.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// Dialer opens TLS connections to processes with one of the roles. A nil source
// dials plain text.
func Dialer(s *Source, allowed ...Role) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		if s == nil {
			return d.DialContext(ctx, "tcp", addr)
		}
		t := tls.Dialer{NetDialer: &d, Config: s.ClientConfig(allowed...)}
		return t.DialContext(ctx, "tcp", addr)
	}
}
