package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// maxAnswer is the largest accepted answer body in bytes.
const maxAnswer = 1 << 20

// HeaderRequestName is forwarded from callers to upstreams.
const HeaderRequestName = "X-Request-Name"

func (a *Agent) handleData(ctx context.Context, p *wire.Peer, m wire.Message, reply wire.Reply) {
	switch msg := m.(type) {
	case *wire.Request:
		_ = p.Notify(&wire.Receipt{ID: msg.ID})
		if k := a.gate.Admit(msg, a.cfg.Clock.Now()); k != errkind.None {
			reply(a.refusal(msg.ID, k))
			return
		}
		go func() { reply(a.serve(ctx, msg)) }()
	case *wire.Resolve:
		reply(a.gate.Resolve(msg, a.cfg.Clock.Now()))
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

func (a *Agent) refusal(id wire.RequestID, k errkind.Kind) *wire.Response {
	return &wire.Response{ID: id, Incarnation: a.cfg.Incarnation, Outcome: wire.OutcomeNotRun, Kind: k, FreeSlots: uint16(a.gate.FreeSlots())}
}

func (a *Agent) serve(ctx context.Context, req *wire.Request) *wire.Response {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
	defer cancel()
	resp := a.forward(ctx, req)
	resp.ID, resp.Incarnation = req.ID, a.cfg.Incarnation
	a.gate.Finish(req.ID, resp, a.cfg.Clock.Now())
	resp.FreeSlots = uint16(a.gate.FreeSlots())
	return resp
}

// forward runs the request on the upstream. After the request was handed to the
// HTTP client an error no longer proves that it did not run.
func (a *Agent) forward(ctx context.Context, req *wire.Request) *wire.Response {
	hr, err := http.NewRequestWithContext(ctx, req.Method, a.cfg.UpstreamURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeNotRun, Kind: errkind.InvalidArgument, Detail: err.Error()}
	}
	hr.Header.Set("Content-Type", req.ContentType)
	hr.Header.Set(HeaderRequestName, req.Name)
	resp, err := a.client.Do(hr)
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return &wire.Response{Outcome: wire.OutcomeUnknown, Kind: errkind.OutcomeUnknown, Detail: "answer cut: " + err.Error()}
	}
	if len(body) > maxAnswer {
		return &wire.Response{Outcome: wire.OutcomeFailed, Kind: errkind.UpstreamFailed, Detail: "answer exceeds 1 MiB"}
	}
	return &wire.Response{
		Outcome: wire.OutcomeAnswer, Status: uint16(resp.StatusCode),
		ContentType: resp.Header.Get("Content-Type"), Body: body, Checksum: xxhash.Sum64(body),
	}
}
