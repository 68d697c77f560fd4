package devenv

import (
	"context"
	"net"
	"sync"
	"time"
)

// delayedConn delivers writes after a fixed delay, to simulate the latency between availability zones.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	queue     chan delayedWrite
	closeOnce sync.Once
	done      chan struct{}
}

type delayedWrite struct {
	deliverAt time.Time
	data      []byte
}

// maxDelayedWrites limits the writes in flight on one connection.
const maxDelayedWrites = 1024

func newDelayedConn(c net.Conn, delay time.Duration) net.Conn {
	d := &delayedConn{Conn: c, delay: delay, queue: make(chan delayedWrite, maxDelayedWrites), done: make(chan struct{})}
	go d.deliver()
	return d
}

func (d *delayedConn) deliver() {
	for {
		select {
		case <-d.done:
			return
		case w := <-d.queue:
			time.Sleep(time.Until(w.deliverAt))
			if _, err := d.Conn.Write(w.data); err != nil {
				_ = d.Close()
				return
			}
		}
	}
}

// Write queues the data. It returns net.ErrClosed after Close.
func (d *delayedConn) Write(p []byte) (int, error) {
	w := delayedWrite{deliverAt: time.Now().Add(d.delay), data: append([]byte(nil), p...)}
	select {
	case <-d.done:
		return 0, net.ErrClosed
	case d.queue <- w:
		return len(p), nil
	}
}

// Close closes the connection and drops undelivered writes.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.done) })
	return d.Conn.Close()
}

// delayDialer returns a dialer for processes in zone. Writes to other zones are delayed by ZoneDelay.
func (e *Env) delayDialer(zone string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		if e.zoneOf(addr) == zone {
			return c, nil
		}
		return newDelayedConn(c, e.cfg.Deployment.ZoneDelay), nil
	}
}
