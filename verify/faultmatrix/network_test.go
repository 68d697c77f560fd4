package faultmatrix

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/wire"
)

// impairment is the effect of a fault on one message.
type impairment struct {
	drop      bool
	duplicate bool
	// delay postpones this message and all later ones in the same direction of the connection.
	delay time.Duration
	// silence drops this and all later traffic on the connection, in both directions.
	silence bool
}

// message is one frame that is about to be sent.
type message struct {
	from, to string
	typ      wire.Type
	// replyTo is the type of the call that a reply belongs to, 0 for calls and notifications.
	replyTo wire.Type
	body    []byte
	conn    *link
}

func (m message) decode(into any) bool { return msgpack.Unmarshal(m.body, into) == nil }

// network connects hosts in memory. Traffic is delivered or withheld according to the state of both hosts.
type network struct {
	latency func(a, b string) time.Duration
	// inspect is called for every frame sent between entries and agents, but not for client traffic.
	inspect func(message) impairment

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	conns     []*conn
	// paused hosts exchange nothing; data written to or by them is delivered when they resume.
	paused map[string]bool
	// poweredOff hosts exchange nothing, and their connections stay open.
	poweredOff map[string]bool
	// partitioned reports whether the traffic between two hosts is withheld; nil without a partition.
	partitioned func(a, b string) bool
	// changed is closed and replaced when paused, poweredOff or partitioned changes.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), links: make(map[*link]struct{}), paused: make(map[string]bool),
		poweredOff: make(map[string]bool), changed: make(chan struct{})}
}

// changeState lets f change the state of hosts and wakes all readers and dialers.
func (n *network) changeState(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether the traffic between two hosts is withheld, and returns the channel that is closed on the next
// change of state.
func (n *network) blocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[a] || n.paused[b] || n.poweredOff[a] || n.poweredOff[b] || (n.partitioned != nil && n.partitioned(a, b)), n.changed
}

type listener struct {
	net  *network
	host string
	addr address
	ch   chan net.Conn
	once sync.Once
	done chan struct{}
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

func (n *network) listen(host, addr string) *listener {
	l := &listener{net: n, host: host, addr: address(addr), ch: make(chan net.Conn, 128), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ch:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[string(l.addr)] == l {
			delete(l.net.listeners, string(l.addr))
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// dialer returns a dial function for a host. A dial blocks while the traffic is withheld.
func (n *network) dialer(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		for {
			n.mu.Lock()
			l := n.listeners[addr]
			n.mu.Unlock()
			to := addr
			if l != nil {
				to = l.host
			}
			if blocked, changed := n.blocked(host, to); blocked {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-changed:
					continue
				}
			}
			if l == nil {
				return nil, &net.OpError{Op: "dial", Net: "memory", Err: os.ErrNotExist}
			}
			return n.connect(ctx, host, l)
		}
	}
}

func (n *network) connect(ctx context.Context, host string, l *listener) (net.Conn, error) {
	k := &link{net: n, a: host, b: l.host, addr: string(l.addr), calls: make(map[uint64]wire.Type)}
	up, down := newStream(k), newStream(k)
	client := &conn{link: k, host: host, peer: l.host, remote: l.addr, in: down, out: up}
	server := &conn{link: k, host: l.host, peer: host, remote: address(host), in: up, out: down}
	select {
	case <-time.After(2 * n.latency(host, l.host)):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case l.ch <- server:
	case <-l.done:
		return nil, net.ErrClosed
	}
	n.mu.Lock()
	n.links[k] = struct{}{}
	n.conns = append(n.conns, client, server)
	n.mu.Unlock()
	return client, nil
}

func (n *network) closeAll() {
	n.mu.Lock()
	conns := n.conns
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// link is one connection between two hosts, with the state that both of its ends share.
type link struct {
	net  *network
	a, b string
	addr string

	mu     sync.Mutex
	silent bool
	// calls maps correlation IDs to types of calls; bit 32 is set for calls from host a.
	calls map[uint64]wire.Type
}

func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = true
}

func (k *link) isSilent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent
}

type chunk struct {
	data      []byte
	deliverAt time.Time
	eof       bool
}

// stream is one direction of a connection: an unbounded queue with in-order delivery.
type stream struct {
	link          *link
	mu            sync.Mutex
	queue         []chunk
	unread        []byte
	lastDeliverAt time.Time
	readable      chan struct{}
}

func newStream(k *link) *stream { return &stream{link: k, readable: make(chan struct{}, 1)} }

func (s *stream) push(c chunk) {
	s.mu.Lock()
	if c.deliverAt.Before(s.lastDeliverAt) {
		c.deliverAt = s.lastDeliverAt
	}
	s.lastDeliverAt = c.deliverAt
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	s.wake()
}

func (s *stream) wake() {
	select {
	case s.readable <- struct{}{}:
	default:
	}
}

type conn struct {
	link       *link
	host, peer string
	remote     address
	in, out    *stream

	mu       sync.Mutex
	deadline time.Time
	closed   bool
}

// Size and flags of the frame header, as documented in package wire.
const (
	frameHeaderSize = 10
	flagCall        = 1
	flagReply       = 2
)

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	data := append([]byte(nil), p...)
	due := time.Now().Add(c.link.net.latency(c.host, c.peer))
	v := c.inspect(data)
	if v.silence {
		c.link.silence()
	}
	if v.drop || c.link.isSilent() {
		return len(p), nil
	}
	c.out.push(chunk{data: data, deliverAt: due.Add(v.delay)})
	if v.duplicate {
		c.out.push(chunk{data: data, deliverAt: due.Add(v.delay)})
	}
	return len(p), nil
}

// inspect passes frames of the wire protocol to the network's inspect function.
func (c *conn) inspect(data []byte) impairment {
	f := c.link.net.inspect
	if f == nil || len(data) < frameHeaderSize || c.host == clientHost || c.peer == clientHost {
		return impairment{}
	}
	m := message{from: c.host, to: c.peer, typ: wire.Type(data[4]), body: data[frameHeaderSize:], conn: c.link}
	corr := uint64(data[6])<<24 | uint64(data[7])<<16 | uint64(data[8])<<8 | uint64(data[9])
	localID, peerID := corr, corr
	if c.host == c.link.a {
		localID |= 1 << 32
	} else {
		peerID |= 1 << 32
	}
	c.link.mu.Lock()
	switch {
	case data[5] == flagCall:
		c.link.calls[localID] = m.typ
	case data[5] >= flagReply:
		m.replyTo = c.link.calls[peerID]
	}
	c.link.mu.Unlock()
	return f(m)
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		n, wait, err := c.readDue(p)
		if n > 0 || err != nil {
			return n, err
		}
		blocked, changed := c.link.net.blocked(c.host, c.peer)
		if !deadline.IsZero() {
			if d := time.Until(deadline); wait == 0 || d < wait {
				wait = d
			}
		}
		if wait <= 0 {
			wait = time.Hour
		}
		if !blocked {
			changed = nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.in.readable:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readDue copies data whose delivery time has come, or returns how long to wait; 0 if nothing is queued.
func (c *conn) readDue(p []byte) (int, time.Duration, error) {
	if blocked, _ := c.link.net.blocked(c.host, c.peer); blocked || c.link.isSilent() {
		return 0, 0, nil
	}
	s := c.in
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unread) == 0 && len(s.queue) > 0 {
		next := s.queue[0]
		if d := time.Until(next.deliverAt); d > 0 {
			return 0, d, nil
		}
		if next.eof {
			return 0, 0, io.EOF
		}
		s.unread = next.data
		s.queue = s.queue[1:]
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, 0, nil
}

func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.out.push(chunk{eof: true, deliverAt: time.Now().Add(c.link.net.latency(c.host, c.peer))})
	c.in.wake()
	c.link.net.mu.Lock()
	delete(c.link.net.links, c.link)
	c.link.net.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return address(c.host) }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.wake()
	return nil
}
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
