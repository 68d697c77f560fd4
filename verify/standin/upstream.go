package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/verify/history"
)

// HeaderRequest carries the caller's request name, which the upstream stand-in
// echoes together with the body so that callers can verify their own answer.
const HeaderRequest = "X-Request-Name"

// UpstreamFault is a fault of one answer.
type UpstreamFault uint8

// Faults of an upstream.
const (
	// FaultNone answers correctly.
	FaultNone UpstreamFault = iota
	// FaultCutBody ends the connection in the middle of an answer with a length.
	FaultCutBody
	// FaultCutChunks ends the connection in the middle of a chunked answer.
	FaultCutChunks
	// FaultNoLength ends the connection in the middle of an answer whose end is the
	// end of the connection.
	FaultNoLength
	// FaultStatus answers with status 503.
	FaultStatus
	// FaultHang executes the request and does not answer.
	FaultHang
)

// Upstream is an HTTP service with a nominal service time.
type Upstream struct {
	VM          string
	Incarnation uint64
	// ServiceTime is the time of one request without interference.
	ServiceTime time.Duration
	// Slowdown multiplies the service time; nil means 1.
	Slowdown func() float64
	// Fault chooses the fault of each answer; nil means none.
	Fault    func(r *http.Request) UpstreamFault
	Recorder *history.Recorder

	inFlight    atomic.Int64
	maxInFlight atomic.Int64
}

// MaxInFlight returns the largest number of requests executed at once so far.
func (u *Upstream) MaxInFlight() int { return int(u.maxInFlight.Load()) }

// ResetMaxInFlight begins a new measurement of MaxInFlight.
func (u *Upstream) ResetMaxInFlight() { u.maxInFlight.Store(0) }

// ServeHTTP implements http.Handler. The answer is "<request name>:<body>".
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer u.inFlight.Add(-1)
	u.countInFlight(u.inFlight.Add(1))
	name := r.Header.Get(HeaderRequest)
	u.Recorder.Record(history.Event{Kind: history.RequestExecuted, Request: name, VM: u.VM, Incarnation: u.Incarnation})
	factor := 1.0
	if u.Slowdown != nil {
		factor = u.Slowdown()
	}
	time.Sleep(time.Duration(float64(u.ServiceTime) * factor))
	w.Header().Set("Content-Type", "text/plain")
	fault := FaultNone
	if u.Fault != nil {
		fault = u.Fault(r)
	}
	u.answer(w, r, name+":"+string(body), fault)
}

func (u *Upstream) countInFlight(n int64) {
	for {
		highest := u.maxInFlight.Load()
		if n <= highest || u.maxInFlight.CompareAndSwap(highest, n) {
			return
		}
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, answer string, fault UpstreamFault) {
	half := answer[:len(answer)/2]
	switch fault {
	case FaultNone:
		_, _ = io.WriteString(w, answer)
	case FaultCutBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		abort(w, half)
	case FaultCutChunks:
		abort(w, half)
	case FaultNoLength:
		conn, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = rw.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + half)
		_ = rw.Flush()
		_ = conn.Close()
	case FaultStatus:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case FaultHang:
		<-r.Context().Done()
	}
}

// abort sends part of the answer and ends the connection.
func abort(w http.ResponseWriter, part string) {
	_, _ = io.WriteString(w, part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
