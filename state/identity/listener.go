package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// handshakeTimeout bounds a TLS handshake.
const handshakeTimeout = 5 * time.Second

// Reasons for refusing a connection, used in metrics and logs.
const (
	ReasonLimit     = "limit"
	ReasonRole      = "role"
	ReasonHandshake = "handshake"
)

// RefusedFunc is called for each refused connection.
type RefusedFunc func(reason string, remote net.Addr, err error)

// Listener accepts connections up to a limit and completes TLS handshakes before
// Accept returns a connection, so that an unresponsive client delays no other.
type Listener struct {
	net.Listener
	config    *tls.Config
	onRefused RefusedFunc
	slots     chan struct{}
	accepted  chan net.Conn
	done      chan struct{}
	once      sync.Once
	err       error
}

// Listen wraps l. With a nil config, connections are plain text.
func Listen(l net.Listener, config *tls.Config, limit int, refused RefusedFunc) *Listener {
	listener := &Listener{Listener: l, config: config, onRefused: refused,
		slots: make(chan struct{}, limit), accepted: make(chan net.Conn), done: make(chan struct{})}
	go listener.acceptLoop()
	return listener
}

func (l *Listener) acceptLoop() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.shutdown(err)
			return
		}
		select {
		case l.slots <- struct{}{}:
			go l.handshake(&limitedConn{Conn: c, releases: []func(){func() { <-l.slots }}})
		default:
			l.onRefused(ReasonLimit, c.RemoteAddr(), errkind.New(errkind.QueueFull, "%d connections are open", cap(l.slots)))
			_ = c.Close()
		}
	}
}

func (l *Listener) shutdown(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
	})
}

func (l *Listener) handshake(c net.Conn) {
	if l.config != nil {
		t := tls.Server(c, l.config)
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		err := t.HandshakeContext(ctx)
		cancel()
		if err != nil {
			l.onRefused(refusalReason(err), c.RemoteAddr(), err)
			_ = c.Close()
			return
		}
		c = t
	}
	select {
	case l.accepted <- c:
	case <-l.done:
		_ = c.Close()
	}
}

func refusalReason(err error) string {
	if errkind.Of(err) == errkind.PermissionDenied {
		return ReasonRole
	}
	return ReasonHandshake
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, l.err
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.shutdown(net.ErrClosed)
	return err
}

// limitedConn calls the functions in releases once, when it is closed.
type limitedConn struct {
	net.Conn

	mu       sync.Mutex
	closed   bool
	releases []func()
}

// onClose calls release when the connection is closed, or at once on another goroutine if it is.
func (c *limitedConn) onClose(release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		go release()
		return
	}
	c.releases = append(c.releases, release)
}

// Close implements net.Conn and releases the connection's slot.
func (c *limitedConn) Close() error {
	c.mu.Lock()
	releases := c.releases
	c.closed, c.releases = true, nil
	c.mu.Unlock()
	for _, release := range releases {
		release()
	}
	return c.Conn.Close()
}

// Dialer returns a function that opens TLS connections to servers with one of the
// roles. With a nil source, connections are plain text.
func Dialer(s *Source, allowed ...Role) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		if s == nil {
			return d.DialContext(ctx, "tcp", addr)
		}
		raw, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return s.connect(ctx, &limitedConn{Conn: raw}, allowed)
	}
}

// connect completes the TLS handshake with a server and tracks the connection. On an error it closes it.
func (s *Source) connect(ctx context.Context, raw *limitedConn, allowed []Role) (net.Conn, error) {
	_, _, reloads := s.current()
	t := tls.Client(raw, s.ClientConfig(allowed...))
	err := t.HandshakeContext(ctx)
	if err == nil {
		err = s.track(raw, verifiedPeer{t.ConnectionState().PeerCertificates, x509.ExtKeyUsageServerAuth}, reloads)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return t, nil
}
