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

// Limits of the data path.
const (
	// maxResponseBody is the largest accepted response body in bytes.
	maxResponseBody = 1 << 20
	// helloTimeout is how long an accepted connection may stay open without a Hello.
	helloTimeout = time.Second
	// maxDataConns bounds the open data connections; each entry keeps one.
	maxDataConns = 256
	// maxUnidentified bounds the connections that have sent no Hello. The oldest is closed first,
	// so that entries, which send Hello at once, can always connect.
	maxUnidentified = 64
	// resolveWait is how long a Resolve waits for a running request to finish. It is below the
	// entry's timeout for the reply to a Resolve.
	resolveWait = 250 * time.Millisecond
	// abandonDelay is how long the upstream may continue after a request's deadline before its
	// connection is closed. The slot stays reserved meanwhile, because the upstream may still be
	// processing the request.
	abandonDelay = 30 * time.Second
)

// HeaderRequestName is the header that passes the caller's request name on to the upstream.
const HeaderRequestName = "X-Request-Name"

// newUpstreamClient returns the HTTP client for the VM's upstream.
func newUpstreamClient(conns int, transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = newUpstreamTransport(conns)
	}
	return &http.Client{Transport: transport}
}

// dataConns tracks the open data connections of the agent.
type dataConns struct {
	mu           sync.Mutex
	all          map[*dataConn]struct{}
	unidentified []*dataConn
}

// dataConn is one data connection. identified and id are accessed only on its read goroutine.
type dataConn struct {
	agent      *Agent
	peer       *wire.Peer
	identified bool
	id         gate.ConnID
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
	t.unidentified = append(t.unidentified, c)
	if len(t.unidentified) > maxUnidentified {
		go t.unidentified[0].peer.Close()
		t.unidentified = t.unidentified[1:]
	}
}

func (t *dataConns) markIdentified(c *dataConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, u := range t.unidentified {
		if u == c {
			t.unidentified = append(t.unidentified[:i], t.unidentified[i+1:]...)
			return
		}
	}
}

func (t *dataConns) remove(c *dataConn) {
	t.markIdentified(c)
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
	if !c.identified && !isHello {
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
	if c.identified && c.id == id {
		return
	}
	if c.identified || c.agent.gate.OpenConn(id, c.peer.Close) != nil {
		c.peer.Close()
		return
	}
	c.identified, c.id = true, id
	c.agent.conns.markIdentified(c)
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
		reply(a.rejection(m.ID, errkind.NotReady, "request body checksum mismatch"))
		return
	}
	switch k := a.gate.Admit(c.id, m, a.cfg.Clock.Now()); k {
	case errkind.None:
		go a.serve(ctx, m, reply)
	case errkind.AlreadyExists:
		// A duplicate frame: the reply is sent to the original.
	default:
		reply(a.rejection(m.ID, k, ""))
	}
}

// handleData handles messages that need no identified connection.
func (a *Agent) handleData(ctx context.Context, m wire.Message, reply wire.Reply) {
	switch msg := m.(type) {
	case *wire.Drain:
		if msg.Undo {
			reply(ackOrError(a.Undrain()))
			return
		}
		go a.Drain(ctx)
		reply(&wire.Ack{})
	case *wire.AgentStatus:
		reply(a.status())
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", m.Type())))
	}
}

// resolve replies at once, or after at most resolveWait if the request is still running.
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

func (a *Agent) rejection(id wire.RequestID, k errkind.Kind, detail string) *wire.Response {
	return &wire.Response{ID: id, Incarnation: a.cfg.Incarnation, Outcome: wire.OutcomeNotRun, Kind: k, Detail: detail,
		FreeSlots: uint16(a.gate.FreeSlots())}
}

// serve runs an admitted request. At the deadline it replies with an unknown outcome, while the
// slot stays reserved until the upstream has finished.
func (a *Agent) serve(ctx context.Context, req *wire.Request, reply wire.Reply) {
	deadline := time.Duration(req.DeadlineMS) * time.Millisecond
	var replied atomic.Bool
	respond := func(resp wire.Response, free int) {
		if replied.Swap(true) {
			return
		}
		resp.ID, resp.Incarnation, resp.FreeSlots = req.ID, a.cfg.Incarnation, uint16(free)
		reply(&resp)
		a.gate.ResponseWritten()
	}
	timer := time.AfterFunc(deadline, func() {
		respond(wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "deadline exceeded while the request was running"},
			a.gate.FreeSlots())
	})
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(ctx, deadline+abandonDelay)
	defer cancel()
	ended := a.latencies.begin(a.cfg.Clock.Now())
	resp := a.forward(ctx, req)
	ended(a.cfg.Clock.Now())
	free := a.gate.Finish(req.ID, resp, a.cfg.Clock.Now())
	respond(*resp, free)
}

// forward runs the request on the upstream. Once the request has been passed to the HTTP client,
// an error does not prove that it did not run, unless no connection to the upstream could be opened.
func (a *Agent) forward(ctx context.Context, req *wire.Request) *wire.Response {
	hr, err := http.NewRequestWithContext(ctx, req.Method, a.cfg.UpstreamURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeNotRun, Kind: errkind.InvalidArgument, Detail: err.Error()}
	}
	if req.ContentType != "" {
		hr.Header.Set("Content-Type", req.ContentType)
	}
	hr.Header.Set(HeaderRequestName, req.Name)
	// A redirect is passed on as a response; following it, as http.Client.Do does, could run the request twice.
	resp, err := a.client.Transport.RoundTrip(hr)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return &wire.Response{Outcome: wire.OutcomeNotRun, Kind: errkind.NoUpstream, Detail: err.Error()}
		}
		return &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(req.Method, resp)
}

// readResponse reads the whole response. A response that is delimited only by the end of the
// connection is rejected, since truncation could not be detected.
func readResponse(method string, resp *http.Response) *wire.Response {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "upstream response has neither Content-Length nor chunked encoding"}
	}
	if resp.ContentLength > maxResponseBody && method != http.MethodHead {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "upstream response exceeds 1 MiB"}
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(min(resp.ContentLength, maxResponseBody), 0)+bytes.MinRead))
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, maxResponseBody+1))
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "upstream response truncated: " + err.Error()}
	}
	if n > maxResponseBody {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "upstream response exceeds 1 MiB"}
	}
	return &wire.Response{
		Outcome: wire.OutcomeAnswered, Status: uint16(resp.StatusCode),
		ContentType: resp.Header.Get("Content-Type"), Body: buf.Bytes(), Checksum: xxhash.Sum64(buf.Bytes()),
	}
}
