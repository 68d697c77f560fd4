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
	// dialTimeout bounds the opening of a data connection.
	dialTimeout = time.Second
	// retireTimeout is how long a replaced connection stays open for late answers.
	retireTimeout = 30 * time.Second
)

// pool keeps one data connection for each agent address.
type pool struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
	// entry is the incarnation that names the connections.
	entry uint64
	// notify receives the notifications of agents.
	notify func(wire.Message)

	mu      sync.Mutex
	closed  bool
	seq     uint64
	conns   map[string]*dataConn
	opening map[string]*opening
	retired map[*dataConn]struct{}
}

// dataConn is an open data connection; seq is unique in the entry's incarnation.
type dataConn struct {
	peer *wire.Peer
	seq  uint64
}

// opening is a connection attempt that several requests may wait for.
type opening struct {
	done chan struct{}
	conn *dataConn
	err  error
}

func newPool(dial func(ctx context.Context, addr string) (net.Conn, error), entry uint64, notify func(wire.Message)) *pool {
	return &pool{dial: dial, entry: entry, notify: notify, conns: make(map[string]*dataConn),
		opening: make(map[string]*opening), retired: make(map[*dataConn]struct{})}
}

// get returns the open connection to addr or opens one. The error kind is
// errkind.NotReady: nothing was sent.
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
	o, ok := p.opening[addr]
	if !ok {
		o = &opening{done: make(chan struct{})}
		p.opening[addr] = o
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

func (p *pool) open(addr string, o *opening) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.opening, addr)
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
	o.conn.peer = wire.NewPeer(conn, func(_ *wire.Peer, m wire.Message, _ wire.Reply) { p.notify(m) })
	if o.err = o.conn.peer.Notify(&wire.Hello{Entry: p.entry, Conn: p.seq}); o.err == nil {
		p.conns[addr] = o.conn
	}
}

// retire takes a connection that seems silent out of use and reports whether it
// was in use. It stays open for a while, because answers may still arrive on it.
func (p *pool) retire(addr string, c *dataConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] != c {
		return false
	}
	delete(p.conns, addr)
	if p.closed {
		return true
	}
	p.retired[c] = struct{}{}
	time.AfterFunc(retireTimeout, func() {
		c.peer.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.retired, c)
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
	for c := range p.retired {
		go c.peer.Close()
	}
}
