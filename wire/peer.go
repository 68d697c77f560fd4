package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Limits of a connection. A connection that exceeds one is closed, so that a slow or
// stuck peer can't block other work.
const (
	// writeTimeout bounds the write of one batch of frames.
	writeTimeout = time.Second
	// frameTimeout bounds the time from the first to the last byte of a received frame.
	frameTimeout = 5 * time.Second
	// MaxQueued bounds the bytes that are queued behind a write in progress, unless LimitQueue sets another bound.
	MaxQueued  = 8 << 20
	readBuffer = 16 << 10
	// receiptDelay is how long a receipt may be delayed to share a write with the reply. It
	// keeps the extra write off the request path; entries wait at least 50 ms for receipts.
	receiptDelay = 2 * time.Millisecond
)

// Reply sends the reply to a call. It must be called at most once and does nothing
// for notifications.
type Reply func(Message)

// Handler receives calls and notifications in arrival order on the read
// goroutine. Blocking work must be moved to another goroutine.
type Handler func(p *Peer, msg Message, reply Reply)

// Peer is one end of a connection that carries calls in both directions.
type Peer struct {
	conn    net.Conn
	handler Handler
	start   time.Time
	// lastRead is when the last frame was received, as a duration since start.
	lastRead atomic.Int64

	writeMu sync.Mutex
	queue   []byte
	spare   []byte
	writing bool
	// background is set if no caller writes itself.
	background  bool
	maxQueued   int
	writeFailed bool
	// receipts is the number of receipts in queue; receiptFlushScheduled is set while a
	// timer to flush them is pending.
	receipts              int
	receiptFlushScheduled bool
	// flushDeferred is set while the read goroutine handles buffered frames; it flushes the queue afterwards.
	flushDeferred bool

	corr    atomic.Uint32
	mu      sync.Mutex
	pending map[uint32]*Pending
	err     error
	done    chan struct{}

	// Value is free for use by the peer's user, for example for the VM that announced itself on it.
	Value atomic.Value
}

// Result is the reply to a call or the error that ended it.
type Result struct {
	Msg Message
	Err error
}

// Pending is a call whose reply has not arrived.
type Pending struct {
	peer     *Peer
	corr     uint32
	result   chan Result
	received atomic.Bool
}

// Result returns the channel that delivers the reply or the error once.
func (c *Pending) Result() <-chan Result { return c.result }

// Received reports whether the remote peer has confirmed receipt of the call.
// Receipts are sent for Request and Resolve only.
func (c *Pending) Received() bool { return c.received.Load() }

// Abandon ends the wait for the reply, which is dropped if it still arrives.
func (c *Pending) Abandon() { c.peer.unregister(c.corr) }

// NewPeer returns a peer that reads from conn. handler may be nil when only replies are expected.
func NewPeer(conn net.Conn, handler Handler) *Peer { return newPeer(conn, handler, 0) }

// Accept is NewPeer for an accepted connection, which is closed when its first
// frame has not arrived within firstFrameTimeout.
func Accept(conn net.Conn, handler Handler, firstFrameTimeout time.Duration) *Peer {
	return newPeer(conn, handler, firstFrameTimeout)
}

func newPeer(conn net.Conn, handler Handler, firstFrameTimeout time.Duration) *Peer {
	p := &Peer{conn: conn, handler: handler, start: time.Now(), maxQueued: MaxQueued, pending: make(map[uint32]*Pending), done: make(chan struct{})}
	if firstFrameTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	}
	go p.readLoop(firstFrameTimeout > 0)
	return p
}

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.done }

// Conn returns the underlying connection, from which the authenticated identity is read.
func (p *Peer) Conn() net.Conn { return p.conn }

// RemoteAddr returns the address of the remote peer.
func (p *Peer) RemoteAddr() string { return p.conn.RemoteAddr().String() }

// Idle returns the time since the last frame was received.
func (p *Peer) Idle() time.Duration { return time.Since(p.start) - time.Duration(p.lastRead.Load()) }

// LimitQueue sets the bound on the bytes that are queued for writing. What is queued already stays.
func (p *Peer) LimitQueue(bytes int) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.maxQueued = bytes
}

// WriteInBackground makes the peer write on a goroutine of its own, so that no caller waits for a link that is slow or a receiver that does
// not read. It must be called before the first message.
func (p *Peer) WriteInBackground() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.background = true
}

// Close ends the connection; pending calls fail with errkind.OutcomeUnknown.
func (p *Peer) Close() { p.fail(errkind.New(errkind.OutcomeUnknown, "connection closed")) }

// Notify sends msg without expecting a reply.
func (p *Peer) Notify(msg Message) error { return p.send(flagNotify, 0, msg) }

// Call sends msg and waits for the reply. The error kind is that of the remote
// error, errkind.OutcomeUnknown when the connection broke or ctx ended after the
// frame may have been written, and errkind.NotReady when nothing was written.
func (p *Peer) Call(ctx context.Context, msg Message) (Message, error) {
	c, err := p.Start(msg)
	if err != nil {
		return nil, err
	}
	defer c.Abandon()
	select {
	case r := <-c.result:
		return r.Msg, r.Err
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no reply from %s", p.RemoteAddr())
	}
}

// Start sends msg as a call without waiting for the reply. An error means that nothing
// was written. Later failures are delivered through Pending.Result as errkind.OutcomeUnknown.
func (p *Peer) Start(msg Message) (*Pending, error) {
	c := &Pending{peer: p, corr: p.corr.Add(1), result: make(chan Result, 1)}
	if !p.register(c) {
		return nil, errkind.New(errkind.NotReady, "connection is closed; nothing was sent")
	}
	if err := p.send(flagCall, c.corr, msg); err != nil {
		c.Abandon()
		return nil, err
	}
	return c, nil
}

func (p *Peer) register(c *Pending) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return false
	}
	p.pending[c.corr] = c
	return true
}

func (p *Peer) unregister(corr uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, corr)
}

// send queues a frame and writes it unless another goroutine is writing, which
// then writes it in its next batch. It returns an error only when the frame was not queued.
func (p *Peer) send(flag byte, corr uint32, msg Message) error {
	buf, err := encodeFrame(flag, corr, msg)
	if err != nil {
		return err
	}
	err = p.enqueue(buf.Bytes())
	releaseBuffer(buf)
	return err
}

func (p *Peer) enqueue(frame []byte) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.writeFailed {
		return errkind.New(errkind.NotReady, "connection is closed; nothing was sent")
	}
	if len(p.queue) > 0 && len(p.queue)+len(frame) > p.maxQueued {
		return errkind.New(errkind.NotReady, "%d bytes are queued for writing; nothing was sent", len(p.queue))
	}
	p.queue = append(p.queue, frame...)
	if !p.flushDeferred {
		p.flush()
	}
	return nil
}

// flush writes the queue. The first batch is written on the calling goroutine unless the peer writes in the background, which
// saves a goroutine switch. Frames queued meanwhile are written by a new goroutine, so
// that the caller isn't held up by the frames of others. The caller holds writeMu.
func (p *Peer) flush() {
	if p.writing || len(p.queue) == 0 {
		return
	}
	p.writing = true
	if p.background {
		go p.writeQueue()
		return
	}
	if !p.writeBatch() {
		return
	}
	if len(p.queue) == 0 {
		p.writing = false
		return
	}
	go p.writeQueue()
}

// writeQueue writes until the queue is empty.
func (p *Peer) writeQueue() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	for len(p.queue) > 0 && p.writeBatch() {
	}
	p.writing = false
}

// writeBatch writes the queued frames and reports success. It releases writeMu
// during the write. After a failure nothing more is written.
func (p *Peer) writeBatch() bool {
	batch := p.queue
	p.queue, p.spare, p.receipts = p.spare[:0], nil, 0
	p.writeMu.Unlock()
	_ = p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := p.conn.Write(batch)
	if err != nil {
		p.fail(errkind.Wrap(errkind.OutcomeUnknown, err, "write to %s", p.RemoteAddr()))
	}
	p.writeMu.Lock()
	if cap(batch) <= maxPooledBuffer {
		p.spare = batch[:0]
	}
	if err != nil {
		p.queue, p.writeFailed = nil, true
	}
	return err == nil
}

func (p *Peer) readLoop(first bool) {
	r := bufio.NewReaderSize(p.conn, readBuffer)
	for {
		f, err := p.nextFrame(r, first)
		if err == nil {
			p.lastRead.Store(int64(time.Since(p.start)))
			first = false
			err = p.dispatch(f)
		}
		if err != nil {
			p.fail(errkind.Wrap(errkind.OutcomeUnknown, err, "read from %s", p.RemoteAddr()))
			return
		}
		if r.Buffered() == 0 {
			p.flushAfterRead()
		}
	}
}

// nextFrame waits indefinitely for the first byte of a frame, so that idle connections
// stay open, and at most frameTimeout for the rest.
func (p *Peer) nextFrame(r *bufio.Reader, first bool) (frame, error) {
	if _, err := r.Peek(1); err != nil {
		return frame{}, err
	}
	complete := false
	if n := r.Buffered(); n >= headerSize {
		h, _ := r.Peek(headerSize)
		complete = uint64(n) >= headerSize+uint64(binary.BigEndian.Uint32(h[0:4]))
	}
	if complete && !first {
		return readFrame(r)
	}
	if !complete {
		p.flushNow()
		_ = p.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	f, err := readFrame(r)
	_ = p.conn.SetReadDeadline(time.Time{})
	return f, err
}

// deferFlush postpones writes, so that the receipts and replies for all frames in the read
// buffer are sent in one write.
func (p *Peer) deferFlush() {
	p.writeMu.Lock()
	p.flushDeferred = true
	p.writeMu.Unlock()
}

// flushAfterRead flushes the queue unless it holds only receipts, which are delayed by at
// most receiptDelay to share a write with a reply.
func (p *Peer) flushAfterRead() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.flushDeferred = false
	if len(p.queue) == 0 || p.writing {
		return
	}
	if len(p.queue) > p.receipts*headerSize {
		p.flush()
		return
	}
	if !p.receiptFlushScheduled {
		p.receiptFlushScheduled = true
		time.AfterFunc(receiptDelay, p.flushReceipts)
	}
}

func (p *Peer) flushReceipts() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.receiptFlushScheduled = false
	if !p.flushDeferred {
		p.flush()
	}
}

func (p *Peer) flushNow() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.flushDeferred = false
	p.flush()
}

func (p *Peer) dispatch(f frame) error {
	if f.flag == flagReceipt {
		p.markReceived(f.corr)
		return nil
	}
	msg, err := decodeBody(f)
	if err != nil {
		return err
	}
	switch f.flag {
	case flagReply:
		p.deliver(f.corr, Result{Msg: msg})
	case flagError:
		e, ok := msg.(*Error)
		if !ok {
			return errkind.New(errkind.InvalidArgument, "error reply has message type %d", f.typ)
		}
		p.deliver(f.corr, Result{Err: errkind.New(e.Kind, "%s", e.Msg)})
	default:
		if p.handler == nil {
			return nil
		}
		if f.flag == flagCall && (f.typ == TypeRequest || f.typ == TypeResolve) {
			p.deferFlush()
			var h [headerSize]byte
			putHeader(h[:], 0, TypeReceipt, flagReceipt, f.corr)
			_ = p.enqueue(h[:])
			p.writeMu.Lock()
			p.receipts++
			p.writeMu.Unlock()
		}
		p.handler(p, msg, p.replyFunc(f))
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
		err := p.send(flag, f.corr, m)
		if errkind.Of(err) == errkind.TooLarge {
			err = p.send(flagError, f.corr, ErrorReply(err))
		}
		if err != nil {
			// Closes the connection: without a reply the caller would wait until its deadline.
			p.fail(err)
		}
	}
}

func (p *Peer) markReceived(corr uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.pending[corr]; ok {
		c.received.Store(true)
	}
}

// deliver hands a reply to its call. A duplicate or late reply finds no call and is dropped.
func (p *Peer) deliver(corr uint32, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.pending[corr]; ok {
		delete(p.pending, corr)
		c.result <- r
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
	for corr, c := range p.pending {
		delete(p.pending, corr)
		c.result <- Result{Err: errkind.Wrap(errkind.OutcomeUnknown, err, "connection lost")}
	}
	close(p.done)
}

// ErrorReply converts err to an Error message.
func ErrorReply(err error) *Error { return &Error{Kind: errkind.Of(err), Msg: err.Error()} }
