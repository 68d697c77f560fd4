package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// dialTimeout bounds the opening of a data connection.
const dialTimeout = time.Second

// pool keeps one data connection for each agent address.
type pool struct {
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	mu    sync.Mutex
	peers map[string]*dataConn
}

// dataConn is a connection with the receipts that its requests wait for.
type dataConn struct {
	peer     *wire.Peer
	mu       sync.Mutex
	receipts map[wire.RequestID]chan struct{}
}

func newPool(dial func(ctx context.Context, addr string) (net.Conn, error)) *pool {
	return &pool{dial: dial, peers: make(map[string]*dataConn)}
}

// get returns the open connection to addr or opens one.
func (p *pool) get(ctx context.Context, addr string) (*dataConn, error) {
	p.mu.Lock()
	c, ok := p.peers[addr]
	p.mu.Unlock()
	if ok {
		select {
		case <-c.peer.Done():
		default:
			return c, nil
		}
	}
	return p.open(ctx, addr)
}

func (p *pool) open(ctx context.Context, addr string) (*dataConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotReady, err, "dial %s", addr)
	}
	c := &dataConn{receipts: make(map[wire.RequestID]chan struct{})}
	c.peer = wire.NewPeer(conn, c.handle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[addr] = c
	return c, nil
}

// discard closes a connection that no longer answers.
func (p *pool) discard(addr string, c *dataConn) {
	p.mu.Lock()
	if p.peers[addr] == c {
		delete(p.peers, addr)
	}
	p.mu.Unlock()
	c.peer.Close()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.peers {
		go c.peer.Close()
	}
}

func (c *dataConn) handle(_ *wire.Peer, m wire.Message, _ wire.Reply) {
	if r, ok := m.(*wire.Receipt); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		if ch, ok := c.receipts[r.ID]; ok {
			close(ch)
			delete(c.receipts, r.ID)
		}
	}
}

func (c *dataConn) expect(id wire.RequestID) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	c.receipts[id] = ch
	return ch
}

func (c *dataConn) forget(id wire.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.receipts, id)
}
