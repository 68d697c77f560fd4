package entry_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"
)

// link injects network faults between an entry and the agents. Faults apply to the data
// connections that are open when they are set; some also to new ones.
type link struct {
	mu     sync.Mutex
	conns  []*faultConn
	data   map[string]bool
	paused chan struct{}
	// duplicate and reorder apply to the frames of connections opened later.
	duplicate bool
	reorder   bool
}

func (l *link) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.data[addr] {
		return conn, nil
	}
	c := &faultConn{Conn: conn, link: l, readBudget: -1, duplicate: l.duplicate}
	if l.duplicate || l.reorder {
		c.frames = &frameShuffler{conn: conn, duplicate: l.duplicate, reorder: l.reorder}
	}
	l.conns = append(l.conns, c)
	return c, nil
}

// blackhole drops all traffic of the open connections without a reset, after another
// readBudget bytes from the agent.
func (l *link) blackhole(readBudget int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.mu.Lock()
		c.blackholed, c.readBudget = true, readBudget
		c.mu.Unlock()
	}
}

// pause delays all traffic of all data connections, as a suspended agent process does.
func (l *link) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = make(chan struct{})
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.paused)
	l.paused = nil
}

func (l *link) waitWhilePaused() {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// faultConn is the entry's end of a data connection.
type faultConn struct {
	net.Conn
	link      *link
	frames    *frameShuffler
	duplicate bool

	mu         sync.Mutex
	blackholed bool
	readBudget int
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	blackholed := c.blackholed
	c.mu.Unlock()
	if blackholed {
		return len(p), nil
	}
	data := bytes.Clone(p)
	if c.duplicate {
		data = append(data, p...)
	}
	c.link.mu.Lock()
	paused := c.link.paused
	c.link.mu.Unlock()
	if paused != nil {
		go func() { <-paused; _, _ = c.Conn.Write(data) }()
		return len(p), nil
	}
	if _, err := c.Conn.Write(data); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *faultConn) Read(p []byte) (int, error) {
	for {
		var n int
		var err error
		if c.frames != nil {
			n, err = c.frames.read(p)
		} else {
			n, err = c.Conn.Read(p)
		}
		c.link.waitWhilePaused()
		c.mu.Lock()
		if c.readBudget >= 0 {
			n = min(n, c.readBudget)
			c.readBudget -= n
		}
		c.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// frameShuffler duplicates frames and swaps adjacent ones.
type frameShuffler struct {
	conn      net.Conn
	duplicate bool
	reorder   bool
	out       []byte
}

// reorderDelay is how long a frame is delayed so that the next one can overtake it.
const reorderDelay = 20 * time.Millisecond

func (s *frameShuffler) read(p []byte) (int, error) {
	if len(s.out) == 0 {
		first, err := s.frame()
		if err != nil {
			return 0, err
		}
		s.out = first
		if s.reorder {
			_ = s.conn.SetReadDeadline(time.Now().Add(reorderDelay))
			if second, err := s.frame(); err == nil {
				s.out = append(second, first...)
			}
			_ = s.conn.SetReadDeadline(time.Time{})
		}
	}
	n := copy(p, s.out)
	s.out = s.out[n:]
	return n, nil
}

func (s *frameShuffler) frame() ([]byte, error) {
	h := make([]byte, 10)
	if _, err := readFull(s.conn, h, false); err != nil {
		return nil, err
	}
	f := append(h, make([]byte, binary.BigEndian.Uint32(h))...)
	if _, err := readFull(s.conn, f[len(h):], true); err != nil {
		return nil, err
	}
	if s.duplicate {
		f = append(f, f...)
	}
	return f, nil
}

// readFull is io.ReadFull, except that it ignores a read deadline that expires within a frame.
func readFull(c net.Conn, p []byte, midFrame bool) (int, error) {
	for n := 0; n < len(p); {
		m, err := c.Read(p[n:])
		n += m
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() && (midFrame || n > 0) {
			_ = c.SetReadDeadline(time.Time{})
		} else if err != nil {
			return n, err
		}
	}
	return len(p), nil
}
