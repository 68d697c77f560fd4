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

// upstreamTransport is an http.RoundTripper for the VM's upstream. Unlike http.Transport it never
// retries a request by itself, and it writes and reads on the caller's goroutine, which saves two
// goroutine switches per request.
type upstreamTransport struct {
	dialer net.Dialer
	// slots is a semaphore that bounds the connections in use.
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

// RoundTrip implements http.RoundTripper. A net.OpError with the operation "dial" means that
// nothing was sent.
func (t *upstreamTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	c, err := t.acquire(ctx, req.URL.Host)
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
	resp.Body = &upstreamBody{ReadCloser: resp.Body, onClose: func(complete bool) {
		if stop() && complete && !resp.Close {
			t.release(c)
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

// acquire returns the most recently used idle connection, or opens a new one.
func (t *upstreamTransport) acquire(ctx context.Context, addr string) (*upstreamConn, error) {
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
		if c.r.Buffered() == 0 && reusable(c.Conn) {
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

func (t *upstreamTransport) release(c *upstreamConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// CloseIdleConnections closes the idle connections.
func (t *upstreamTransport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		_ = c.Close()
	}
	t.idle = nil
}

// reusable reports whether an idle connection is open and has no data to read. The upstream may
// have closed it, and a request written to it would have an unknown outcome.
func reusable(c net.Conn) bool {
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

// upstreamBody calls onClose once, and passes it whether the whole body was read.
type upstreamBody struct {
	io.ReadCloser
	onClose  func(complete bool)
	complete bool
}

// Read implements io.Reader.
func (b *upstreamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *upstreamBody) Close() error {
	if b.onClose != nil {
		b.onClose(b.complete)
		b.onClose = nil
	}
	return nil
}
