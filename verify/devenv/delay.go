package devenv

import (
	"context"
	"net"
	"sync"
	"time"
)

// delayedConn delivers writes after a fixed delay, as a link between availability zones does.
type delayedConn struct {
	net.Conn
	delay time.Duration
	queue chan delayedWrite
	once  sync.Once
	done  chan struct{}
}

type delayedWrite struct {
	due  time.Time
	data []byte
}

// delayQueue bounds the writes in flight on one link.
const delayQueue = 1024

func newDelayedConn(c net.Conn, delay time.Duration) net.Conn {
	d := &delayedConn{Conn: c, delay: delay, queue: make(chan delayedWrite, delayQueue), done: make(chan struct{})}
	go d.deliver()
	return d
}

func (d *delayedConn) deliver() {
	for {
		select {
		case <-d.done:
			return
		case w := <-d.queue:
			time.Sleep(time.Until(w.due))
			if _, err := d.Conn.Write(w.data); err != nil {
				_ = d.Close()
				return
			}
		}
	}
}

// Write queues the data. It reports net.ErrClosed after Close.
func (d *delayedConn) Write(p []byte) (int, error) {
	w := delayedWrite{due: time.Now().Add(d.delay), data: append([]byte(nil), p...)}
	select {
	case <-d.done:
		return 0, net.ErrClosed
	case d.queue <- w:
		return len(p), nil
	}
}

// Close closes the connection and drops undelivered writes.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Conn.Close()
}

// delayDialer opens connections whose writes are delayed by the link to addr.
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
