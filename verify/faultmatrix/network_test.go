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

// verdict is what happens to one message.
type verdict struct {
	drop      bool
	duplicate bool
	// delay holds this message and all that follow it in its direction.
	delay time.Duration
	// silence drops everything on the connection from now on, in both directions.
	silence bool
}

// message is one frame that is about to be sent.
type message struct {
	from, to string
	typ      wire.Type
	// call is the type of the call that a reply answers, 0 for calls and notifications.
	call wire.Type
	body []byte
	conn *link
}

func (m message) decode(into any) bool { return msgpack.Unmarshal(m.body, into) == nil }

// network connects hosts. The state of a host decides what its connections do.
type network struct {
	latency func(a, b string) time.Duration
	// inspect is called for every frame between the system's processes.
	inspect func(message) verdict

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	conns     []*conn
	// held hosts exchange nothing; what was written to or by them is delivered later.
	held map[string]bool
	// dead hosts have lost their power: nothing is delivered and no connection is closed.
	dead map[string]bool
	// cut holds the traffic between two hosts for which it returns true.
	cut func(a, b string) bool
	// changed is closed and replaced when held, dead or cut change.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), links: make(map[*link]struct{}), held: make(map[string]bool),
		dead: make(map[string]bool), changed: make(chan struct{})}
}

// alter changes the state of hosts and wakes every reader.
func (n *network) alter(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether traffic between two hosts is stopped, and the channel
// that is closed when that may have changed.
func (n *network) blocked(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[a] || n.held[b] || n.dead[a] || n.dead[b] || (n.cut != nil && n.cut(a, b)), n.changed
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

// dialer opens connections from a host. While traffic is stopped a dial waits.
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
	up, down := newHalf(k), newHalf(k)
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

// link is one connection between two hosts.
type link struct {
	net  *network
	a, b string
	addr string

	mu     sync.Mutex
	silent bool
	calls  map[uint64]wire.Type
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

type item struct {
	data []byte
	due  time.Time
	eof  bool
}

// half is one direction of a connection: an unbounded queue.
type half struct {
	link *link
	mu   sync.Mutex
	list []item
	rest []byte
	last time.Time
	more chan struct{}
}

func newHalf(k *link) *half { return &half{link: k, more: make(chan struct{}, 1)} }

func (h *half) push(it item) {
	h.mu.Lock()
	if it.due.Before(h.last) {
		it.due = h.last
	}
	h.last = it.due
	h.list = append(h.list, it)
	h.mu.Unlock()
	h.wake()
}

func (h *half) wake() {
	select {
	case h.more <- struct{}{}:
	default:
	}
}

type conn struct {
	link       *link
	host, peer string
	remote     address
	in, out    *half

	mu       sync.Mutex
	deadline time.Time
	closed   bool
}

// frame header positions, as documented in package wire.
const (
	frameHeader = 10
	flagCall    = 1
	flagReply   = 2
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
	c.out.push(item{data: data, due: due.Add(v.delay)})
	if v.duplicate {
		c.out.push(item{data: data, due: due.Add(v.delay)})
	}
	return len(p), nil
}

// inspect passes frames of the wire protocol to the network's hook.
func (c *conn) inspect(data []byte) verdict {
	f := c.link.net.inspect
	if f == nil || len(data) < frameHeader || c.host == clientHost || c.peer == clientHost {
		return verdict{}
	}
	m := message{from: c.host, to: c.peer, typ: wire.Type(data[4]), body: data[frameHeader:], conn: c.link}
	corr := uint64(data[6])<<24 | uint64(data[7])<<16 | uint64(data[8])<<8 | uint64(data[9])
	mine, other := corr, corr
	if c.host == c.link.a {
		mine |= 1 << 32
	} else {
		other |= 1 << 32
	}
	c.link.mu.Lock()
	switch {
	case data[5] == flagCall:
		c.link.calls[mine] = m.typ
	case data[5] >= flagReply:
		m.call = c.link.calls[other]
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
		n, wait, err := c.take(p)
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
		case <-c.in.more:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// take copies data that is due, or returns how long to wait for it.
func (c *conn) take(p []byte) (int, time.Duration, error) {
	if blocked, _ := c.link.net.blocked(c.host, c.peer); blocked || c.link.isSilent() {
		return 0, 0, nil
	}
	h := c.in
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.rest) == 0 && len(h.list) > 0 {
		it := h.list[0]
		if d := time.Until(it.due); d > 0 {
			return 0, d, nil
		}
		if it.eof {
			return 0, 0, io.EOF
		}
		h.rest = it.data
		h.list = h.list[1:]
	}
	n := copy(p, h.rest)
	h.rest = h.rest[n:]
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
	c.out.push(item{eof: true, due: time.Now().Add(c.link.net.latency(c.host, c.peer))})
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
