package receive

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/ingress/intake"
)

// conn is a connection that counts in the budget.
type conn struct {
	*net.TCPConn
	receiver *Receiver
	// state is guarded by the receiver's mutex.
	state intake.Conn
	// inHeader is set while bytes that are read belong to a header, stopped once no more is to be read.
	inHeader, stopped atomic.Bool
	// header is the header that is being read. Only the goroutine that reads uses it and the next three fields.
	header headerReader
	// after is the number of bytes that came after the header, last those of the latest read that net/http may keep for the next request.
	after int64
	last  []byte
	// bodyLength is the declared length of the body, below 0 if it is not known.
	bodyLength int64
	// counted is set once bytes of the header have come.
	counted bool
	// whole is set once the body of the request has been read, refused if there was no memory for it. Only the goroutine of the request
	// uses them.
	whole, refused bool
}

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	receiver *Receiver
}

// Listen returns a listener whose connections count in the budget. Their receive buffers get the configured size.
func (r *Receiver) Listen(l net.Listener) (net.Listener, error) {
	if r.cfg.ReceiveBuffer > 0 {
		socket, ok := l.(syscall.Conn)
		if !ok {
			return nil, errors.Errorf("a listener of type %T gives no access to its socket", l)
		}
		// Accepted connections inherit the sizes, also while they wait to be accepted.
		if err := setBuffers(socket, r.cfg.ReceiveBuffer); err != nil {
			return nil, err
		}
	}
	return &listener{Listener: l, receiver: r}, nil
}

func setBuffers(l syscall.Conn, size int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the listening socket")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size); optErr == nil {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
		}
	})
	if err == nil {
		err = optErr
	}
	return errors.Wrap(err, "set the buffer sizes of the listening socket")
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &conn{TCPConn: tcp, receiver: l.receiver}
		c.state.Owner = c
		if c.open() {
			return c, nil
		}
	}
}

func (c *conn) open() bool {
	r := c.receiver
	r.mu.Lock()
	victim, ok := r.budget.Open(&c.state, r.cfg.Clock.Now())
	r.mu.Unlock()
	if victim != nil {
		r.evict([]*intake.Conn{victim}, ReasonConnections)
	}
	if !ok {
		r.report(events.ConnectionEvicted, c, ReasonConnections, 0)
		// Nothing was read from it.
		_ = c.TCPConn.Close()
	}
	c.inHeader.Store(true)
	return ok
}

// Close implements net.Conn.
func (c *conn) Close() error {
	r := c.receiver
	r.mu.Lock()
	r.budget.Close(&c.state)
	r.mu.Unlock()
	return c.TCPConn.Close()
}

// Read implements net.Conn. It counts the bytes of headers.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n <= 0 {
		return n, err
	}
	if c.inHeader.Load() && !c.header.ended {
		if !c.readHeader(p[:n]) {
			// The error of a closed connection ends the request.
			_ = c.Close()
			return 0, net.ErrClosed
		}
		return n, err
	}
	c.after += int64(n)
	switch {
	case len(p) > serverBuffer:
		c.last = nil
	case len(p) > 1:
		c.last = p[:n]
	default:
		// While a request is handled, net/http reads one byte beside its buffer.
	}
	return n, err
}

// readHeader counts bytes of a header, and returns false if there is no memory for it.
func (c *conn) readHeader(p []byte) bool {
	c.last = c.header.read(p)
	c.after = int64(len(c.last))
	if c.header.lines > maxHeaderLines {
		c.receiver.report(events.ConnectionEvicted, c, ReasonHeader, 0)
		return false
	}
	if c.counted && c.header.memory() <= usualHeader {
		return true
	}
	c.counted = true
	r := c.receiver
	r.mu.Lock()
	victims, ok := r.budget.Head(&c.state, c.header.memory(), usualHeader, r.cfg.Clock.Now())
	r.mu.Unlock()
	r.evict(victims, ReasonEvicted)
	if !ok {
		r.report(events.ConnectionEvicted, c, ReasonHeader, 0)
	}
	return ok
}

// Write implements net.Conn. Run closes the connection of a client that does not read, without a timer for each answer.
func (c *conn) Write(p []byte) (int, error) {
	r := c.receiver
	r.mu.Lock()
	r.budget.Answer(&c.state, r.cfg.Clock.Now())
	r.mu.Unlock()
	return c.TCPConn.Write(p)
}

// changed follows the states that the server reports.
func (c *conn) changed(s http.ConnState) {
	r := c.receiver
	switch s {
	case http.StateActive:
		c.inHeader.Store(false)
		r.mu.Lock()
		r.budget.Handle(&c.state, r.cfg.Clock.Now())
		r.mu.Unlock()
	case http.StateIdle:
		legal := c.nextHeader()
		c.inHeader.Store(true)
		r.mu.Lock()
		keep := r.budget.Idle(&c.state, r.cfg.Clock.Now())
		r.mu.Unlock()
		if !keep || !legal {
			reason := ReasonConnections
			if !legal {
				reason = ReasonHeader
			}
			r.report(events.ConnectionEvicted, c, reason, 0)
			// The client has its answer.
			_ = c.Close()
		}
	default:
	}
}

// nextHeader begins a header with the bytes that net/http has kept after the request before. It returns false if these have too
// many lines.
func (c *conn) nextHeader() bool {
	kept := c.last
	if c.bodyLength < 0 {
		// A blank line ends a body in chunks.
		kept = afterBlankLine(kept)
	} else {
		n := max(0, c.after-c.bodyLength)
		kept = kept[max(0, int64(len(kept))-n):]
	}
	c.header, c.counted = headerReader{}, false
	c.last = c.header.read(kept)
	c.after = int64(len(c.last))
	if c.after == 0 {
		// An idle connection keeps no buffer.
		c.last = nil
	}
	return c.header.lines <= maxHeaderLines
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// stopReading ends the reading of a body; the server can still answer.
func (c *conn) stopReading() {
	c.stopped.Store(true)
	// A connection that is closed reads no more either.
	_ = c.TCPConn.SetReadDeadline(longAgo)
}

// SetReadDeadline implements net.Conn. The server sets deadlines of its own, which must not resume what was stopped.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.stopped.Load() {
		return c.TCPConn.SetReadDeadline(longAgo)
	}
	return err
}
