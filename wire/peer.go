package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
)

// writeTimeout bounds one frame write. A peer that stops reading is closed
// instead of blocking the writers of other messages.
const writeTimeout = 5 * time.Second

// Reply sends the answer to a call. It must be called at most once. For
// notifications it does nothing.
type Reply func(Message)

// Handler receives calls and notifications in arrival order on the read
// goroutine. Work that blocks must be moved to another goroutine.
type Handler func(p *Peer, msg Message, reply Reply)

// Peer is one connection with calls in both directions.
type Peer struct {
	conn    net.Conn
	handler Handler

	writeMu sync.Mutex
	corr    atomic.Uint32

	mu      sync.Mutex
	pending map[uint32]chan callResult
	err     error
	done    chan struct{}

	// Value is for the owner of the peer, for example the VM that announced itself on it.
	Value atomic.Value
}

type callResult struct {
	msg Message
	err error
}

// NewPeer starts reading from conn. handler may be nil when only replies are expected.
func NewPeer(conn net.Conn, handler Handler) *Peer {
	p := &Peer{conn: conn, handler: handler, pending: make(map[uint32]chan callResult), done: make(chan struct{})}
	go p.readLoop()
	return p
}

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.done }

// Conn returns the connection, for its authenticated identity.
func (p *Peer) Conn() net.Conn { return p.conn }

// RemoteAddr returns the address of the other end.
func (p *Peer) RemoteAddr() string { return p.conn.RemoteAddr().String() }

// Close ends the connection; pending calls fail with errkind.OutcomeUnknown.
func (p *Peer) Close() { p.fail(errkind.New(errkind.OutcomeUnknown, "connection closed")) }

// Notify sends msg without expecting a reply.
func (p *Peer) Notify(msg Message) error { return p.write(flagNotify, 0, msg) }

// Call sends msg and waits for the reply. The error kind is that of the remote
// error, errkind.OutcomeUnknown when the connection broke or ctx ended after the
// frame may have been written, or errkind.NotReady when nothing was written.
func (p *Peer) Call(ctx context.Context, msg Message) (Message, error) {
	corr := p.corr.Add(1)
	ch := make(chan callResult, 1)
	if !p.register(corr, ch) {
		return nil, errkind.New(errkind.NotReady, "connection is closed; nothing was sent")
	}
	defer p.unregister(corr)
	if err := p.write(flagCall, corr, msg); err != nil {
		return nil, err
	}
	select {
	case r := <-ch:
		return r.msg, r.err
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no reply from %s", p.RemoteAddr())
	}
}

func (p *Peer) register(corr uint32, ch chan callResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return false
	}
	p.pending[corr] = ch
	return true
}

func (p *Peer) unregister(corr uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, corr)
}

func (p *Peer) write(flag byte, corr uint32, msg Message) error {
	buf, err := encodeFrame(flag, corr, msg)
	if err != nil {
		return err
	}
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	_ = p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.conn.Write(buf); err != nil {
		err = errkind.Wrap(errkind.OutcomeUnknown, err, "write to %s", p.RemoteAddr())
		p.fail(err)
		return err
	}
	return nil
}

func (p *Peer) readLoop() {
	r := bufio.NewReaderSize(p.conn, 4<<10)
	for {
		f, err := readFrame(r)
		if err != nil {
			p.fail(errkind.Wrap(errkind.OutcomeUnknown, err, "read from %s", p.RemoteAddr()))
			return
		}
		if err := p.dispatch(f); err != nil {
			p.fail(err)
			return
		}
	}
}

func (p *Peer) dispatch(f frame) error {
	msg, err := decodeBody(f)
	if err != nil {
		return err
	}
	switch f.flag {
	case flagReply:
		p.deliver(f.corr, callResult{msg: msg})
	case flagError:
		e, ok := msg.(*Error)
		if !ok {
			return errkind.New(errkind.InvalidArgument, "error reply has message type %d", f.typ)
		}
		p.deliver(f.corr, callResult{err: errkind.New(e.Kind, "%s", e.Msg)})
	default:
		if p.handler != nil {
			p.handler(p, msg, p.replyFunc(f))
		}
	}
	return nil
}

func (p *Peer) replyFunc(f frame) Reply {
	if f.flag != flagCall {
		return func(Message) {}
	}
	return func(m Message) {
		flag := flagReply
		if _, isErr := m.(*Error); isErr {
			flag = flagError
		}
		_ = p.write(flag, f.corr, m)
	}
}

func (p *Peer) deliver(corr uint32, r callResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.pending[corr]; ok {
		delete(p.pending, corr)
		ch <- r
	}
}

func (p *Peer) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return
	}
	p.err = err
	_ = p.conn.Close()
	for corr, ch := range p.pending {
		delete(p.pending, corr)
		ch <- callResult{err: errkind.Wrap(errkind.OutcomeUnknown, err, "connection lost")}
	}
	close(p.done)
}

// ErrorReply converts err to an Error message.
func ErrorReply(err error) *Error { return &Error{Kind: errkind.Of(err), Msg: err.Error()} }
