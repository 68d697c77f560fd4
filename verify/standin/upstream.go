package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/verify/history"
)

// HeaderRequestName carries the caller's request name. The upstream stand-in echoes it with the
// body, so that callers can check that they got the response to their own request.
const HeaderRequestName = "X-Request-Name"

// UpstreamFault is a fault of one response.
type UpstreamFault uint8

// Faults of an upstream.
const (
	// FaultNone sends the correct response.
	FaultNone UpstreamFault = iota
	// FaultTruncatedBody closes the connection in the middle of a response with a Content-Length.
	FaultTruncatedBody
	// FaultTruncatedChunks closes the connection in the middle of a chunked response.
	FaultTruncatedChunks
	// FaultTruncatedNoLength closes the connection in the middle of a response that is delimited
	// by the end of the connection.
	FaultTruncatedNoLength
	// FaultStatus responds with status 503.
	FaultStatus
	// FaultHang executes the request and sends no response.
	FaultHang
)

// Upstream is an HTTP service with a nominal service time.
type Upstream struct {
	VM          string
	Incarnation uint64
	// ServiceTime is the duration of one request without interference.
	ServiceTime time.Duration
	// Slowdown multiplies the service time; nil means 1.
	Slowdown func() float64
	// Fault selects the fault of each response; nil means none.
	Fault    func(r *http.Request) UpstreamFault
	Recorder *history.Recorder

	inFlight    atomic.Int64
	maxInFlight atomic.Int64
}

// MaxInFlight returns the maximum number of concurrent requests so far.
func (u *Upstream) MaxInFlight() int { return int(u.maxInFlight.Load()) }

// ResetMaxInFlight starts a new measurement of MaxInFlight.
func (u *Upstream) ResetMaxInFlight() { u.maxInFlight.Store(0) }

// ServeHTTP implements http.Handler. The response is "<request name>:<body>".
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer u.inFlight.Add(-1)
	u.countInFlight(u.inFlight.Add(1))
	name := r.Header.Get(HeaderRequestName)
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
	u.respond(w, r, name+":"+string(body), fault)
}

func (u *Upstream) countInFlight(n int64) {
	for {
		highest := u.maxInFlight.Load()
		if n <= highest || u.maxInFlight.CompareAndSwap(highest, n) {
			return
		}
	}
}

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, response string, fault UpstreamFault) {
	half := response[:len(response)/2]
	switch fault {
	case FaultNone:
		_, _ = io.WriteString(w, response)
	case FaultTruncatedBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
		writePartialAndAbort(w, half)
	case FaultTruncatedChunks:
		writePartialAndAbort(w, half)
	case FaultTruncatedNoLength:
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

// writePartialAndAbort sends part of the response and aborts the connection.
func writePartialAndAbort(w http.ResponseWriter, part string) {
	_, _ = io.WriteString(w, part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
