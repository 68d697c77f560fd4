package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// upstreamTransport is an http.RoundTripper for the one upstream beside the agent.
// In contrast to http.Transport it never repeats a request by itself, and it writes
// and reads on the caller's goroutine, which saves two goroutine switches for each
// request.
type upstreamTransport struct {
	dialer net.Dialer
	// slots bounds the open connections.
	slots chan struct{}

	mu   sync.Mutex
	idle []*upstreamConn
}

type upstreamConn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
}

func newUpstreamTransport(conns int) *upstreamTransport {
	return &upstreamTransport{slots: make(chan struct{}, max(conns, 1))}
}

// RoundTrip implements http.RoundTripper. An error of the operation "dial" means
// that nothing was sent.
func (t *upstreamTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	c, err := t.conn(ctx, req.URL.Host)
	if err != nil {
		<-t.slots
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.exchange(req)
	if err != nil {
		stop()
		_ = c.Close()
		<-t.slots
		return nil, err
	}
	resp.Body = &upstreamBody{ReadCloser: resp.Body, end: func(whole bool) {
		if stop() && whole && !resp.Close {
			t.put(c)
		} else {
			_ = c.Close()
		}
		<-t.slots
	}}
	return resp, nil
}

func (c *upstreamConn) exchange(req *http.Request) (*http.Response, error) {
	if err := req.Write(c.w); err != nil {
		return nil, err
	}
	if err := c.w.Flush(); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.r, req)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// conn returns the connection that was idle for the shortest time, or opens one.
func (t *upstreamTransport) conn(ctx context.Context, addr string) (*upstreamConn, error) {
	for {
		t.mu.Lock()
		n := len(t.idle)
		if n == 0 {
			t.mu.Unlock()
			break
		}
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		if c.r.Buffered() == 0 && quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := t.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}, nil
}

func (t *upstreamTransport) put(c *upstreamConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *upstreamTransport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		_ = c.Close()
	}
	t.idle = nil
}

// quiet reports whether an idle connection is open and has nothing to read. An
// upstream may have closed it, and a request written to it would have an unknown outcome.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && peekErr == unix.EAGAIN
}

// upstreamBody calls end once, with whether the whole body was read.
type upstreamBody struct {
	io.ReadCloser
	end   func(whole bool)
	whole bool
}

// Read implements io.Reader.
func (b *upstreamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *upstreamBody) Close() error {
	if b.end != nil {
		b.end(b.whole)
		b.end = nil
	}
	return nil
}
