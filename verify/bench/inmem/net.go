// Package inmem runs entries, agents and the table service in one process, in virtual
// time and over an in-memory network that counts the traffic of each simulated process.
package inmem

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Parameters of the estimate of TCP and IP headers.
const (
	// HeaderBytes is the size of the IPv4 and TCP headers of one segment, with TCP timestamps.
	HeaderBytes = 52
	// segmentSize is the payload of a full segment.
	segmentSize = 1448
	// delayedAck is how long a receiver waits for outgoing data before it sends a separate acknowledgement.
	delayedAck = 40 * time.Millisecond
)

// Traffic is the payload and the number of segments that a process sent and received.
type Traffic struct {
	Payload  int64
	Segments int64
}

// Total returns the payload plus the estimated headers, in bytes.
func (t Traffic) Total() int64 { return t.Payload + t.Segments*HeaderBytes }

// Net is an in-memory network between named processes.
type Net struct {
	// Delay returns the one-way delay between two processes; nil means no delay.
	// With jitter, a write takes up to maxJitterFactor times this delay.
	Delay func(from, to string) time.Duration

	mu          sync.Mutex
	listeners   map[string]*Listener
	traffic     map[string]map[string]*Traffic
	conns       map[*conn]struct{}
	rand        *rand.Rand
	partitioned func(from, to string) bool
}

// maxJitterFactor is the largest factor by which jitter lengthens a delay.
const maxJitterFactor = 4

// NewNet returns a network whose jitter is drawn from a generator seeded with seed.
func NewNet(seed uint64) *Net {
	return &Net{rand: rand.New(rand.NewPCG(seed, 1)), listeners: make(map[string]*Listener), traffic: make(map[string]map[string]*Traffic), conns: make(map[*conn]struct{})}
}

// Traffic returns the traffic of a process by the kind of its peer: the part of the
// peer's name before the first hyphen.
func (n *Net) Traffic(process string) map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Traffic)
	for kind, t := range n.traffic[process] {
		out[kind] = *t
	}
	return out
}

// SumTraffic returns the total over all kinds of peers.
func SumTraffic(byKind map[string]Traffic) Traffic {
	var out Traffic
	for _, t := range byKind {
		out.Payload += t.Payload
		out.Segments += t.Segments
	}
	return out
}

func (n *Net) addTraffic(process, peer string, payload, segments int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kinds, ok := n.traffic[process]
	if !ok {
		kinds = make(map[string]*Traffic)
		n.traffic[process] = kinds
	}
	kind, _, _ := strings.Cut(peer, "-")
	t, ok := kinds[kind]
	if !ok {
		t = &Traffic{}
		kinds[kind] = t
	}
	t.Payload += int64(payload)
	t.Segments += int64(segments)
}

// SetPartition drops data sent between processes for which partitioned returns true; nil heals it.
func (n *Net) SetPartition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *Net) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned != nil && n.partitioned(a, b)
}

// Kill closes the listeners and connections of a process, as the failure of its VM does.
func (n *Net) Kill(process string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.local == process || c.remote == process {
			conns = append(conns, c)
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
	for _, c := range conns {
		_ = c.Close()
	}
}

// Listener accepts connections at an address.
type Listener struct {
	net     *Net
	process string
	addr    string
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen opens a listener of a process at addr.
func (n *Net) Listen(process, addr string) *Listener {
	l := &Listener{net: n, process: process, addr: addr, backlog: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
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

// Dialer returns a function that dials from a process. Dialing a process on the other
// side of a partition blocks until the context ends.
func (n *Net) Dialer(process string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[addr]
		n.mu.Unlock()
		if !ok {
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: errkind.New(errkind.NotReady, "connection to %s refused", addr)}
		}
		if n.isPartitioned(process, l.process) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: ctx.Err()}
		}
		a, b := n.newConnPair(process, l.process, addr)
		select {
		case l.backlog <- b:
			return a, nil
		case <-l.done:
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: net.ErrClosed}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "inmem", Err: ctx.Err()}
		}
	}
}

// newConnPair returns the two ends of a connection. The handshake counts as three segments on each side.
func (n *Net) newConnPair(from, to, addr string) (*conn, *conn) {
	var delay time.Duration
	if n.Delay != nil {
		delay = n.Delay(from, to)
	}
	ab, ba := newPipe(delay), newPipe(delay)
	a := &conn{net: n, local: from, remote: to, addr: addr, in: ba, out: ab}
	b := &conn{net: n, local: to, remote: from, addr: from, in: ab, out: ba}
	n.addTraffic(from, to, 0, 3)
	n.addTraffic(to, from, 0, 3)
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
	// lost is set once data was lost to a partition.
	lost  bool
	ready chan struct{}
	// unackedSince is the time of the oldest write that the reader has not acknowledged, zero if there is none.
	unackedSince time.Time
}

type chunk struct {
	deliverAt time.Time
	data      []byte
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

	mu           sync.Mutex
	readDeadline time.Time
	closed       bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		closed, deadline := c.closed, c.readDeadline
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
			if wait = head.deliverAt.Sub(now); wait <= 0 {
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

// Write implements net.Conn. Data sent across a partition is lost without an error. The first write
// after the partition has healed resets the connection, since the stream would have a gap.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	now := time.Now()
	c.in.mu.Lock()
	if !c.in.unackedSince.IsZero() && now.Sub(c.in.unackedSince) > delayedAck {
		c.countSegments(0, 1)
	}
	c.in.unackedSince = time.Time{}
	c.in.mu.Unlock()
	c.countSegments(len(b), (len(b)+segmentSize-1)/segmentSize)
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.eof {
		return 0, io.ErrClosedPipe
	}
	if c.out.unackedSince.IsZero() {
		c.out.unackedSince = now
	}
	if c.net.isPartitioned(c.local, c.remote) {
		c.out.lost = true
		return len(b), nil
	}
	if c.out.lost {
		c.out.eof = true
		c.out.signal()
		return 0, syscall.ECONNRESET
	}
	c.out.queue = append(c.out.queue, chunk{deliverAt: now.Add(c.net.jitteredDelay(c.out.delay)), data: append([]byte(nil), b...)})
	c.out.signal()
	return len(b), nil
}

// jitteredDelay returns the delay of one write: d times 0.8 plus an exponential part,
// so that most delays are close to d.
func (n *Net) jitteredDelay(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(float64(d) * min(maxJitterFactor, 0.8+0.2*n.rand.ExpFloat64()))
}

func (c *conn) countSegments(payload, segments int) {
	c.net.addTraffic(c.local, c.remote, payload, segments)
	c.net.addTraffic(c.remote, c.local, payload, segments)
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
	if !c.net.isPartitioned(c.local, c.remote) {
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
	c.readDeadline = t
	c.mu.Unlock()
	c.in.signal()
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
