package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/gate"
	"github.com/chicorystand/chicorystand/wire"
)

// Bounds of the data path.
const (
	// maxAnswer is the largest accepted answer body in bytes.
	maxAnswer = 1 << 20
	// helloTimeout is how long an accepted connection may stay without a Hello.
	helloTimeout = time.Second
	// maxDataConns bounds open data connections; entries keep one each.
	maxDataConns = 256
	// maxUnnamed bounds the connections without a Hello. The oldest is closed first,
	// so that entries, which say Hello at once, can always connect.
	maxUnnamed = 64
	// resolveWait is how long a Resolve waits for the end of a running request.
	// It is below the entry's timeout for a receipt.
	resolveWait = 250 * time.Millisecond
	// abandonAfter is how long the upstream may continue after a request's deadline
	// before its connection is cut. The slot stays reserved meanwhile, because the
	// upstream may still work on the request.
	abandonAfter = 30 * time.Second
)

// HeaderRequestName is forwarded from callers to upstreams.
const HeaderRequestName = "X-Request-Name"

// newUpstreamClient returns the client of the upstream beside the agent.
func newUpstreamClient(conns int, transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = newUpstreamTransport(conns)
	}
	return &http.Client{Transport: transport}
}

// dataConns are the open data connections of the agent.
type dataConns struct {
	mu      sync.Mutex
	all     map[*dataConn]struct{}
	unnamed []*dataConn
}

// dataConn is one data connection. named and id are used on its read goroutine only.
type dataConn struct {
	agent *Agent
	peer  *wire.Peer
	named bool
	id    gate.ConnID
}

func (a *Agent) acceptLoop(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		a.conns.mu.Lock()
		if len(a.conns.all) >= maxDataConns {
			a.conns.mu.Unlock()
			_ = conn.Close()
			continue
		}
		c := &dataConn{agent: a}
		ready := make(chan struct{})
		c.peer = wire.Accept(conn, func(_ *wire.Peer, m wire.Message, reply wire.Reply) { <-ready; c.handle(ctx, m, reply) }, helloTimeout)
		close(ready)
		a.conns.add(c)
		a.conns.mu.Unlock()
		go func() {
			<-c.peer.Done()
			a.conns.remove(c)
		}()
	}
}

// add registers a connection. The caller holds mu.
func (t *dataConns) add(c *dataConn) {
	if t.all == nil {
		t.all = make(map[*dataConn]struct{})
	}
	t.all[c] = struct{}{}
	t.unnamed = append(t.unnamed, c)
	if len(t.unnamed) > maxUnnamed {
		go t.unnamed[0].peer.Close()
		t.unnamed = t.unnamed[1:]
	}
}

func (t *dataConns) name(c *dataConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, u := range t.unnamed {
		if u == c {
			t.unnamed = append(t.unnamed[:i], t.unnamed[i+1:]...)
			return
		}
	}
}

func (t *dataConns) remove(c *dataConn) {
	t.name(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, c)
}

// notify sends m on every data connection.
func (t *dataConns) notify(m wire.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.all {
		go func() { _ = c.peer.Notify(m) }()
	}
}

func (t *dataConns) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.all {
		go c.peer.Close()
	}
}

func (c *dataConn) handle(ctx context.Context, m wire.Message, reply wire.Reply) {
	hello, isHello := m.(*wire.Hello)
	if !c.named && !isHello {
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "the first message must be Hello")))
		c.peer.Close()
		return
	}
	switch msg := m.(type) {
	case *wire.Hello:
		c.hello(hello)
	case *wire.Request:
		c.request(ctx, msg, reply)
	case *wire.Resolve:
		c.agent.resolve(msg, reply)
	default:
		c.agent.handleData(ctx, m, reply)
	}
}

func (c *dataConn) hello(m *wire.Hello) {
	id := gate.ConnID{Entry: m.Entry, Seq: m.Conn}
	if c.named && c.id == id {
		return
	}
	if c.named || c.agent.gate.OpenConn(id, c.peer.Close) != nil {
		c.peer.Close()
		return
	}
	c.named, c.id = true, id
	c.agent.conns.name(c)
	go func() {
		<-c.peer.Done()
		c.agent.gate.CloseConn(id)
	}()
	if c.agent.gate.Draining() {
		_ = c.peer.Notify(&wire.Drain{VM: c.agent.cfg.VM})
	}
}

func (c *dataConn) request(ctx context.Context, m *wire.Request, reply wire.Reply) {
	a := c.agent
	if xxhash.Sum64(m.Body) != m.Checksum {
		reply(a.refusal(m.ID, errkind.NotReady, "the request body's checksum does not match"))
		return
	}
	switch k := a.gate.Admit(c.id, m, a.cfg.Clock.Now()); k {
	case errkind.None:
		go a.serve(ctx, m, reply)
	case errkind.AlreadyExists:
		// The reply belongs to the original frame.
	default:
		reply(a.refusal(m.ID, k, ""))
	}
}

// handleData serves the messages that need no named connection.
func (a *Agent) handleData(ctx context.Context, m wire.Message, reply wire.Reply) {
	switch msg := m.(type) {
	case *wire.Drain:
		if msg.Undo {
			a.Undrain()
		} else {
			go a.Drain(ctx)
		}
		reply(&wire.Ack{})
	case *wire.AgentStatus:
		reply(a.status())
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "message type %d is not served here", m.Type())))
	}
}

// resolve answers at once, or waits a bounded time for the end of a running request.
func (a *Agent) resolve(m *wire.Resolve, reply wire.Reply) {
	resp, done := a.gate.Resolve(m, a.cfg.Clock.Now())
	if done == nil {
		reply(resp)
		return
	}
	go func() {
		timer := time.NewTimer(resolveWait)
		defer timer.Stop()
		select {
		case <-done:
			resp, _ = a.gate.Resolve(m, a.cfg.Clock.Now())
		case <-timer.C:
		}
		reply(resp)
	}()
}

func (a *Agent) refusal(id wire.RequestID, k errkind.Kind, detail string) *wire.Response {
	return &wire.Response{ID: id, Incarnation: a.cfg.Incarnation, Outcome: wire.OutcomeNotRun, Kind: k, Detail: detail,
		FreeSlots: uint16(a.gate.FreeSlots())}
}

// serve runs an admitted request. At the deadline the entry gets an unknown
// outcome, while the slot stays reserved until the upstream has ended.
func (a *Agent) serve(ctx context.Context, req *wire.Request, reply wire.Reply) {
	deadline := time.Duration(req.DeadlineMS) * time.Millisecond
	var replied atomic.Bool
	answer := func(resp wire.Response, free int) {
		if replied.Swap(true) {
			return
		}
		resp.ID, resp.Incarnation, resp.FreeSlots = req.ID, a.cfg.Incarnation, uint16(free)
		reply(&resp)
		a.gate.ResponseWritten()
	}
	timer := time.AfterFunc(deadline, func() {
		answer(wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "the deadline passed while the request ran"},
			a.gate.FreeSlots())
	})
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(ctx, deadline+abandonAfter)
	defer cancel()
	ended := a.latency.begin(a.cfg.Clock.Now())
	resp := a.forward(ctx, req)
	ended(a.cfg.Clock.Now())
	free := a.gate.Finish(req.ID, resp, a.cfg.Clock.Now())
	answer(*resp, free)
}

// forward runs the request on the upstream. After the request was handed to the
// HTTP client an error no longer proves that it did not run, unless no connection
// to the upstream could be opened.
func (a *Agent) forward(ctx context.Context, req *wire.Request) *wire.Response {
	hr, err := http.NewRequestWithContext(ctx, req.Method, a.cfg.UpstreamURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeNotRun, Kind: errkind.InvalidArgument, Detail: err.Error()}
	}
	if req.ContentType != "" {
		hr.Header.Set("Content-Type", req.ContentType)
	}
	hr.Header.Set(HeaderRequestName, req.Name)
	// A redirect is an answer of the upstream; following it, as http.Client.Do does, could run the request twice.
	resp, err := a.client.Transport.RoundTrip(hr)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return &wire.Response{Outcome: wire.OutcomeNotRun, Kind: errkind.NoUpstream, Detail: err.Error()}
		}
		return &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(req.Method, resp)
}

// readAnswer reads the whole answer. An answer without a length whose end is the
// end of the connection is not accepted, since a cut could not be told from its end.
func readAnswer(method string, resp *http.Response) *wire.Response {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "the answer has neither a length nor chunks"}
	}
	if resp.ContentLength > maxAnswer && method != http.MethodHead {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "the answer exceeds 1 MiB"}
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(min(resp.ContentLength, maxAnswer), 0)+bytes.MinRead))
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "the answer was cut: " + err.Error()}
	}
	if n > maxAnswer {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "the answer exceeds 1 MiB"}
	}
	return &wire.Response{
		Outcome: wire.OutcomeAnswer, Status: uint16(resp.StatusCode),
		ContentType: resp.Header.Get("Content-Type"), Body: buf.Bytes(), Checksum: xxhash.Sum64(buf.Bytes()),
	}
}
