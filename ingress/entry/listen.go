package entry

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxCallerConns bounds the open connections of callers and operators.
	maxCallerConns = 8192
	// refuseTimeout bounds the write of a refusal to a connection above the limit.
	refuseTimeout = 100 * time.Millisecond
)

// refusal is the whole answer on a connection above the limit.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + HeaderKind + ": queue_full\r\n" +
	HeaderExecution + ": not_run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// boundedListener refuses connections above maxCallerConns with an HTTP answer.
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
		_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = io.WriteString(c, refusal)
		_ = c.Close()
	}
}

// countedConn gives its place back when it is closed.
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
