package entry

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxCallerConns limits the open connections of callers and operators.
	maxCallerConns = 8192
	// overLimitWriteTimeout bounds the write of the response on a connection above the limit.
	overLimitWriteTimeout = 100 * time.Millisecond
)

// overLimitResponse is the complete HTTP response on a connection above the limit.
const overLimitResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + HeaderKind + ": queue_full\r\n" +
	HeaderExecution + ": not_run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// boundedListener rejects connections above maxCallerConns with an HTTP response.
type boundedListener struct {
	net.Listener
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= maxCallerConns {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = c.SetWriteDeadline(time.Now().Add(overLimitWriteTimeout))
		_, _ = io.WriteString(c, overLimitResponse)
		_ = c.Close()
	}
}

// countedConn decrements the listener's connection count when it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
