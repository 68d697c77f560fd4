// Package connlimit bounds the connections of a listener. Above the limit a new connection closes the one that has been
// without received data for longest, so that clients that hold connections open do not keep others out.
package connlimit

import (
	"container/list"
	"net"
	"sync"
)

// Listener is a listener with a bounded number of open connections.
type Listener struct {
	net.Listener
	limit   int
	evicted func(remote net.Addr)

	mu sync.Mutex
	// open holds the open connections, the one that received data last at the back.
	open *list.List
}

// New returns a listener with at most limit open connections. evicted is called for each connection that is closed to make
// room.
func New(l net.Listener, limit int, evicted func(remote net.Addr)) *Listener {
	return &Listener{Listener: l, limit: limit, evicted: evicted, open: list.New()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &conn{Conn: c, listener: l}
	if oldest := l.add(conn); oldest != nil {
		_ = oldest.Close()
		l.evicted(oldest.RemoteAddr())
	}
	return conn, nil
}

// add registers a connection and returns the one to close for it, if any.
func (l *Listener) add(c *conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *conn
	if l.open.Len() >= l.limit {
		oldest, _ = l.open.Front().Value.(*conn)
		l.removeLocked(oldest)
	}
	c.element = l.open.PushBack(c)
	return oldest
}

// removeLocked removes a connection unless it was removed before. The caller holds mu.
func (l *Listener) removeLocked(c *conn) {
	if c.element != nil {
		l.open.Remove(c.element)
		c.element = nil
	}
}

// conn is an open connection.
type conn struct {
	net.Conn
	listener *Listener
	// element is the connection's place in the listener's list, nil once it is removed. It is guarded by the listener's mu.
	element *list.Element
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.mu.Lock()
		if c.element != nil {
			c.listener.open.MoveToBack(c.element)
		}
		c.listener.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.removeLocked(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
