// Package inmem runs entries, agents and the table service in one process over an
// in-memory network in virtual time, and counts the bytes of each process.
package inmem

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Sizes of the estimate for TCP and IP headers.
const (
	// HeaderBytes is the size of the IPv4 and TCP headers with timestamps of one segment.
	HeaderBytes = 52
	// segmentSize is the payload of a full segment.
	segmentSize = 1448
	// delayedAck is how long a receiver waits for data to carry the acknowledgement.
	delayedAck = 40 * time.Millisecond
)

// Traffic is what a process sent and received.
type Traffic struct {
	Payload  int64
	Segments int64
}

// Total is the payload with the estimate of headers, in bytes.
func (t Traffic) Total() int64 { return t.Payload + t.Segments*HeaderBytes }

// Net is an in-memory network between named processes.
type Net struct {
	// Delay is the one-way delay between two processes. Each write takes up to
	// maxJitter times as long.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*Listener
	traffic   map[string]map[string]*Traffic
	conns     map[*conn]struct{}
	rand      *rand.Rand
	cut       func(from, to string) bool
}

// maxJitter is the largest factor of the delay.
const maxJitter = 4

// NewNet returns a network whose jitter follows seed.
func NewNet(seed uint64) *Net {
	return &Net{rand: rand.New(rand.NewPCG(seed, 1)), listeners: make(map[string]*Listener), traffic: make(map[string]map[string]*Traffic), conns: make(map[*conn]struct{})}
}

// Traffic returns what a process exchanged with each kind of process: the part of
// the other process's name before the first hyphen.
func (n *Net) Traffic(process string) map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Traffic)
	for kind, t := range n.traffic[process] {
		out[kind] = *t
	}
	return out
}

// Sum adds the traffic with all kinds of processes.
func Sum(byKind map[string]Traffic) Traffic {
	var out Traffic
	for _, t := range byKind {
		out.Payload += t.Payload
		out.Segments += t.Segments
	}
	return out
}

func (n *Net) count(process, other string, payload, segments int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kinds, ok := n.traffic[process]
	if !ok {
		kinds = make(map[string]*Traffic)
		n.traffic[process] = kinds
	}
	kind, _, _ := strings.Cut(other, "-")
	t, ok := kinds[kind]
	if !ok {
		t = &Traffic{}
		kinds[kind] = t
	}
	t.Payload += int64(payload)
	t.Segments += int64(segments)
}

// SetCut drops what is sent between processes for which cut returns true; nil heals the network.
func (n *Net) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *Net) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(a, b)
}

// Kill closes the listeners and connections of a process, as its VM does when it fails.
func (n *Net) Kill(process string) {
	n.mu.Lock()
	var ends []*conn
	for c := range n.conns {
		if c.local == process || c.remote == process {
			ends = append(ends, c)
		}
	}
	var listeners []*Listener
	for _, l := range n.listeners {
		if l.process == process {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range ends {
		_ = c.Close()
	}
}

// Listener accepts connections at an address.
type Listener struct {
	net     *Net
	process string
	addr    string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen opens addr for a process.
func (n *Net) Listen(process, addr string) *Listener {
	l := &Listener{net: n, process: process, addr: addr, queue: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "inmem" }
func (a address) String() string { return string(a) }

// Dialer returns a dial function of a process.
func (n *Net) Dialer(process string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[addr]
		n.mu.Unlock()
		if !ok {
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: errkind.New(errkind.NotReady, "connection to %s refused", addr)}
		}
		if n.isCut(process, l.process) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: ctx.Err()}
		}
		a, b := n.pair(process, l.process, addr)
		select {
		case l.queue <- b:
			return a, nil
		case <-l.done:
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: net.ErrClosed}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: ctx.Err()}
		}
	}
}

// pair returns the two ends of a connection. Opening costs three segments on each side.
func (n *Net) pair(from, to, addr string) (*conn, *conn) {
	var delay time.Duration
	if n.Delay != nil {
		delay = n.Delay(from, to)
	}
	ab, ba := newPipe(delay), newPipe(delay)
	a := &conn{net: n, local: from, remote: to, addr: addr, in: ba, out: ab}
	b := &conn{net: n, local: to, remote: from, addr: from, in: ab, out: ba}
	n.count(from, to, 0, 3)
	n.count(to, from, 0, 3)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[a], n.conns[b] = struct{}{}, struct{}{}
	return a, b
}

// pipe is one direction of a connection.
type pipe struct {
	delay time.Duration
	mu    sync.Mutex
	queue []chunk
	eof   bool
	ready chan struct{}
	// unacked is when data was written that the reader has not acknowledged, 0 when there is none.
	unacked time.Time
}

type chunk struct {
	due  time.Time
	data []byte
}

func newPipe(delay time.Duration) *pipe { return &pipe{delay: delay, ready: make(chan struct{}, 1)} }

func (p *pipe) signal() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// conn is one end of a connection.
type conn struct {
	net           *Net
	local, remote string
	addr          string
	in, out       *pipe

	mu       sync.Mutex
	deadline time.Time
	closed   bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		now := time.Now()
		if !deadline.IsZero() && !now.Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		wait := time.Hour
		c.in.mu.Lock()
		if len(c.in.queue) > 0 {
			head := &c.in.queue[0]
			if wait = head.due.Sub(now); wait <= 0 {
				n := copy(b, head.data)
				if head.data = head.data[n:]; len(head.data) == 0 {
					c.in.queue = c.in.queue[1:]
				}
				c.in.mu.Unlock()
				return n, nil
			}
		} else if c.in.eof {
			c.in.mu.Unlock()
			return 0, io.EOF
		}
		c.in.mu.Unlock()
		if !deadline.IsZero() {
			wait = min(wait, deadline.Sub(now))
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.in.ready:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Write implements net.Conn. Data sent over a cut link is lost, and the
// connection stays silent from then on.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	now := time.Now()
	c.in.mu.Lock()
	if !c.in.unacked.IsZero() && now.Sub(c.in.unacked) > delayedAck {
		c.both(0, 1)
	}
	c.in.unacked = time.Time{}
	c.in.mu.Unlock()
	c.both(len(b), (len(b)+segmentSize-1)/segmentSize)
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.eof {
		return 0, io.ErrClosedPipe
	}
	if c.out.unacked.IsZero() {
		c.out.unacked = now
	}
	if c.net.isCut(c.local, c.remote) {
		return len(b), nil
	}
	c.out.queue = append(c.out.queue, chunk{due: now.Add(c.net.jitter(c.out.delay)), data: append([]byte(nil), b...)})
	c.out.signal()
	return len(b), nil
}

// jitter returns the delay of one write: most are close to d.
func (n *Net) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(float64(d) * min(maxJitter, 0.8+0.2*n.rand.ExpFloat64()))
}

func (c *conn) both(payload, segments int) {
	c.net.count(c.local, c.remote, payload, segments)
	c.net.count(c.remote, c.local, payload, segments)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	c.in.signal()
	if !c.net.isCut(c.local, c.remote) {
		c.out.mu.Lock()
		c.out.eof = true
		c.out.mu.Unlock()
		c.out.signal()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.addr) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.signal()
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
