package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// dialTimeout bounds the dialing of a data connection.
	dialTimeout = time.Second
	// removedCloseDelay is how long a removed connection stays open for late responses.
	removedCloseDelay = 30 * time.Second
)

// pool holds one data connection per agent address.
type pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
	// incarnation is the entry's incarnation, which is part of the connection ids.
	incarnation uint64
	// notify handles notifications from agents.
	notify func(wire.Message)

	mu      sync.Mutex
	closed  bool
	seq     uint64
	conns   map[string]*dataConn
	dialing map[string]*pendingDial
	removed map[*dataConn]struct{}
}

// dataConn is an open data connection; seq is unique in the entry's incarnation.
type dataConn struct {
	peer *wire.Peer
	seq  uint64
}

// pendingDial is a dial in progress that several requests may wait for.
type pendingDial struct {
	done chan struct{}
	conn *dataConn
	err  error
}

func newPool(dial func(ctx context.Context, addr string) (net.Conn, error), incarnation uint64, notify func(wire.Message)) *pool {
	return &pool{dial: dial, incarnation: incarnation, notify: notify, conns: make(map[string]*dataConn),
		dialing: make(map[string]*pendingDial), removed: make(map[*dataConn]struct{})}
}

// get returns the open connection to addr or dials one. Errors have the kind
// errkind.NotReady, as nothing has been sent.
func (p *pool) get(ctx context.Context, addr string) (*dataConn, error) {
	p.mu.Lock()
	if c, ok := p.conns[addr]; ok {
		select {
		case <-c.peer.Done():
			delete(p.conns, addr)
		default:
			p.mu.Unlock()
			return c, nil
		}
	}
	o, ok := p.dialing[addr]
	if !ok {
		o = &pendingDial{done: make(chan struct{})}
		p.dialing[addr] = o
		go p.open(addr, o)
	}
	p.mu.Unlock()
	select {
	case <-o.done:
		return o.conn, o.err
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.NotReady, ctx.Err(), "dial %s", addr)
	}
}

func (p *pool) open(addr string, o *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, addr)
	defer close(o.done)
	if err == nil && p.closed {
		_ = conn.Close()
		err = net.ErrClosed
	}
	if err != nil {
		o.err = errkind.Wrap(errkind.NotReady, err, "dial %s", addr)
		return
	}
	p.seq++
	o.conn = &dataConn{seq: p.seq}
	c := o.conn
	c.peer = wire.NewPeer(conn, func(_ *wire.Peer, m wire.Message, _ wire.Reply) {
		// A notification names the VM alone. A removed connection may be one to an earlier process of its agent, and the agent
		// repeats on a new connection that it drains.
		if p.current(addr, c) {
			p.notify(m)
		}
	})
	if o.err = o.conn.peer.Notify(&wire.Hello{Entry: p.incarnation, Conn: p.seq}); o.err == nil {
		p.conns[addr] = o.conn
	}
}

// current reports whether c is the pool's connection to addr.
func (p *pool) current(addr string, c *dataConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[addr] == c
}

// remove removes a connection that seems silent from the pool and reports whether it was
// in the pool. It stays open for removedCloseDelay, because responses may still arrive on it.
func (p *pool) remove(addr string, c *dataConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] != c {
		return false
	}
	delete(p.conns, addr)
	if p.closed {
		return true
	}
	p.removed[c] = struct{}{}
	time.AfterFunc(removedCloseDelay, func() {
		c.peer.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.removed, c)
	})
	return true
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		go c.peer.Close()
	}
	for c := range p.removed {
		go c.peer.Close()
	}
}
