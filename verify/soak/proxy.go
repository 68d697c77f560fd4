package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does to the bytes that it carries.
type mode struct {
	// delay holds each piece back.
	delay time.Duration
	// dropForward and dropBack silence a direction; the sender sees no sign of it.
	dropForward, dropBack bool
}

// proxy is a link between two processes. Connections to its address are carried
// on to the target, and suffer what the mode says.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
}

// newProxy listens at address until close.
func newProxy(address, target string) (*proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// Without lingering the close sends a reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

// carry connects to the target and copies both directions until one ends.
func (p *proxy) carry(from net.Conn) {
	var d net.Dialer
	to, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		// A port without a listener resets the connection.
		if t, ok := from.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(from, to, func(m mode) bool { return m.dropForward }) })
	both.Go(func() { p.copy(to, from, func(m mode) bool { return m.dropBack }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

const copyBuffer = 32 << 10

// copy carries bytes until either end closes. What a silenced direction has lost
// breaks the connection when the direction is open again, as with a partition that
// outlasts the retransmissions.
func (p *proxy) copy(from, to net.Conn, dropped func(mode) bool) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf, lost := make([]byte, copyBuffer), false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m := p.current()
		if m.delay > 0 {
			time.Sleep(m.delay)
		}
		if dropped(p.current()) {
			lost = true
			continue
		}
		if lost {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
