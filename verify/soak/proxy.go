package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkFault is the fault that a proxy applies to the data that it forwards.
type linkFault struct {
	// delay is added before each write.
	delay time.Duration
	// dropForward and dropBack discard the data of one direction; the sender gets no error.
	dropForward, dropBack bool
}

// proxy is a link between two processes. It forwards connections to its address to the
// target and applies the current fault.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	// conns holds the open connections; a value is true for one that carries nothing any more.
	conns map[net.Conn]bool
}

// newProxy returns a proxy that listens on address until close.
func newProxy(address, target string) (*proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConns closes all connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0 the close sends a reset.
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// silenceOpenConns makes the open connections drop all data without an error. Later ones work.
func (p *proxy) silenceOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.conns[c] = true
	}
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

// handle connects to the target and forwards both directions until one of them ends.
func (p *proxy) handle(from net.Conn) {
	var d net.Dialer
	to, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		// A real port without a listener resets the connection too.
		if t, ok := from.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = false, false
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(from, to, func(f linkFault) bool { return f.dropForward }) })
	wg.Go(func() { p.forward(to, from, func(f linkFault) bool { return f.dropBack }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

const copyBuffer = 32 << 10

// forward copies data until either end closes. If data was dropped, the connection is closed
// when the next data arrives without a fault, as after a partition that outlasts TCP's retransmissions.
func (p *proxy) forward(from, to net.Conn, dropped func(linkFault) bool) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf, lost := make([]byte, copyBuffer), false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		fault := p.currentFault()
		if fault.delay > 0 {
			time.Sleep(fault.delay)
		}
		if p.isSilent(from) {
			continue
		}
		if dropped(p.currentFault()) {
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
