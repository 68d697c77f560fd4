// Package receive reads requests within a budget of package intake: it counts the connections of a listener and the bytes of
// headers and bodies, and closes or refuses what the budget has no memory for.
package receive

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/ingress/intake"
)

const (
	// firstBuffer is the size of the first buffer of a body. Ordinary submissions fit into it.
	firstBuffer = 4 << 10
	// drainTimeout bounds reading the rest of a body that was refused, so that its client gets the answer and not a reset. The rest is
	// at most 256 KiB, which net/http reads before it closes; a client that is slower than that in a second loses the answer.
	drainTimeout = time.Second
	// sweepInterval is the interval between looks for bodies and answers that take too long.
	sweepInterval = 500 * time.Millisecond
)

// Reasons of refusals and evictions, as in the log and the metrics.
const (
	// ReasonMemoryFull is a body for which there is no memory.
	ReasonMemoryFull = "memory_full"
	// ReasonEvicted is a connection that was evicted for the memory of another.
	ReasonEvicted = "evicted"
	// ReasonSlow is a body that came, or an answer that was read, too slowly.
	ReasonSlow = "slow"
	// ReasonConnections is a connection that was closed since there were too many.
	ReasonConnections = "connections"
	// ReasonHeader is a header of too many lines, or one for which there is no memory.
	ReasonHeader = "header"
)

// Reasons returns all reasons.
func Reasons() []string {
	return []string{ReasonMemoryFull, ReasonEvicted, ReasonSlow, ReasonConnections, ReasonHeader}
}

// Config configures a Receiver.
type Config struct {
	Limits intake.Limits
	// ReceiveBuffer is the size of the receive buffer of a connection in the kernel, 0 for the kernel's own choice.
	ReceiveBuffer int
	// MaxHeaderBytes is the size of the largest header, 0 for that of net/http.
	MaxHeaderBytes int
	Clock          clock.Clock
	Log            zerolog.Logger
	// Observe is called for each refusal and eviction.
	Observe func(reason string)
}

// Receiver applies a budget to the requests of one server.
type Receiver struct {
	cfg    Config
	mu     sync.Mutex
	budget *intake.Budget
}

// New returns a receiver without connections.
func New(c Config) *Receiver { return &Receiver{cfg: c, budget: intake.NewBudget(c.Limits)} }

// Use returns the connections and the bytes of their bodies and headers.
func (r *Receiver) Use() (connections int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Connections(), r.budget.Bytes()
}

type connKey struct{}

// Attach makes a server report its connections and limits their headers. Its handler and its state function are still called.
func (r *Receiver) Attach(s *http.Server) {
	next := s.ConnState
	s.Handler = r.limitDrain(s.Handler)
	s.MaxHeaderBytes = r.cfg.MaxHeaderBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.changed(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// Run ends bodies and answers that take too long until ctx is done.
func (r *Receiver) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		victims := r.budget.Overdue(r.cfg.Clock.Now())
		r.mu.Unlock()
		r.evict(victims, ReasonSlow)
	}
}

// evict ends the reading of bodies, which are then refused, and closes other connections.
func (r *Receiver) evict(victims []*intake.Conn, reason string) {
	for _, v := range victims {
		c, ok := v.Owner.(*conn)
		if !ok {
			continue
		}
		r.mu.Lock()
		unanswerable, missing := v.Unanswerable(), v.Missing()
		r.mu.Unlock()
		r.report(events.ConnectionEvicted, c, reason, missing)
		if unanswerable || reason == ReasonConnections {
			// The client may have closed it already.
			_ = c.Close()
			continue
		}
		c.stopReading()
	}
}

func (r *Receiver) report(e events.Event, c *conn, reason string, missing int64) {
	r.cfg.Observe(reason)
	connections, held := r.Use()
	e.Log(r.cfg.Log).Str("remote", c.RemoteAddr().String()).Str("reason", reason).Int64("missing", missing).Int("connections", connections).
		Int64("bytes", held).Send()
}

// ReadBody reads the body of a request of at most limit bytes. An error of kind errkind.CapacityExceeded means that there is no
// memory for it; the connection then ends with the answer.
func (r *Receiver) ReadBody(w http.ResponseWriter, req *http.Request, limit int) ([]byte, error) {
	if req.ContentLength > int64(limit) {
		return nil, TooLarge(limit)
	}
	c, ok := req.Context().Value(connKey{}).(*conn)
	if !ok || req.ContentLength == 0 {
		return ReadAll(req.Body, limit)
	}
	b := body{receiver: r, conn: c, limit: limit, size: limit + 1}
	if req.ContentLength > 0 {
		b.size = int(req.ContentLength)
	}
	data, err := b.read(req)
	if errkind.Of(err) == errkind.CapacityExceeded {
		w.Header().Set("Connection", "close")
		c.refused = true
	}
	return data, err
}

// limitDrain bounds the time in which the server reads the rest of a body that next has not read. The client gets the answer to a
// request only after that, or a reset if the connection is closed before.
func (r *Receiver) limitDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, ok := req.Context().Value(connKey{}).(*conn)
		if ok {
			c.bodyLength = req.ContentLength
		}
		if !ok || req.ContentLength == 0 {
			next.ServeHTTP(w, req)
			return
		}
		c.whole, c.refused = false, false
		next.ServeHTTP(w, req)
		switch {
		case c.whole:
		case c.refused && req.ContentLength < 0:
			// Reading many small chunks to their end takes more time of the processor than they are worth.
			c.stopReading()
		default:
			// The connection may have been closed.
			_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		}
	})
}

// TooLarge returns the error for a body of more than limit bytes.
func TooLarge(limit int) error {
	return errkind.New(errkind.TooLarge, "request body exceeds %d bytes", limit)
}

// ReadAll reads a body of at most limit bytes without a budget.
func ReadAll(in io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, int64(limit)+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "read request body")
	}
	if len(data) > limit {
		return nil, TooLarge(limit)
	}
	return data, nil
}

// body is a body that is being read.
type body struct {
	receiver *Receiver
	conn     *conn
	limit    int
	// size is the number of bytes to read at most.
	size int
	data []byte
}

func (b *body) read(req *http.Request) ([]byte, error) {
	first := min(firstBuffer, b.size)
	err := b.reserve(func(budget *intake.Budget, now time.Duration) ([]*intake.Conn, bool) {
		return budget.Body(&b.conn.state, req.ContentLength, int64(b.limit), int64(first)+headerCharge(b.conn, req.Header), now)
	})
	if err != nil {
		return nil, err
	}
	b.data = make([]byte, 0, first)
	for len(b.data) < b.size {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		n, err := req.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, b.failed(err)
		}
		if len(b.data) < b.size {
			b.received(n)
		}
	}
	return b.finish()
}

// grow doubles the buffer. Both are charged until the smaller one has been copied.
func (b *body) grow() error {
	const factor = 2
	old := len(b.data)
	grown := min(old*factor, b.size)
	err := b.reserve(func(budget *intake.Budget, now time.Duration) ([]*intake.Conn, bool) {
		return budget.Grow(&b.conn.state, int64(grown), now)
	})
	if err != nil {
		return err
	}
	data := make([]byte, old, grown)
	copy(data, b.data)
	b.data = data
	r := b.receiver
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Shrink(&b.conn.state, int64(old))
	return nil
}

// reserve charges the budget.
func (b *body) reserve(ask func(*intake.Budget, time.Duration) ([]*intake.Conn, bool)) error {
	r := b.receiver
	r.mu.Lock()
	victims, ok := ask(r.budget, r.cfg.Clock.Now())
	evicted := b.conn.state.Evicted()
	r.mu.Unlock()
	r.evict(victims, ReasonEvicted)
	if ok {
		return nil
	}
	if !evicted {
		b.drop()
	}
	return refused()
}

// drop returns the charge of a body that is refused.
func (b *body) drop() {
	b.data = nil
	r := b.receiver
	r.mu.Lock()
	r.budget.Drop(&b.conn.state)
	missing := b.conn.state.Missing()
	r.mu.Unlock()
	r.report(events.BodyRefused, b.conn, ReasonMemoryFull, missing)
}

func refused() error {
	return errkind.New(errkind.CapacityExceeded, "there is no memory for the body of the request; nothing was stored")
}

func (b *body) received(n int) {
	r := b.receiver
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Receive(&b.conn.state, int64(n), r.cfg.Clock.Now())
}

// failed returns the error of a body that could not be read.
func (b *body) failed(err error) error {
	r := b.receiver
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.conn.state.Evicted() {
		return refused()
	}
	return errkind.Wrap(errkind.InvalidArgument, err, "read request body")
}

// finish returns a whole body. From then on its connection is not evicted; its charge stays until the answer is sent, since
// what it decodes to takes the memory.
func (b *body) finish() ([]byte, error) {
	r := b.receiver
	r.mu.Lock()
	ok := r.budget.Handle(&b.conn.state, r.cfg.Clock.Now())
	r.mu.Unlock()
	if !ok {
		return nil, refused()
	}
	if len(b.data) > b.limit {
		return nil, TooLarge(b.limit)
	}
	b.conn.whole = true
	return b.data, nil
}
