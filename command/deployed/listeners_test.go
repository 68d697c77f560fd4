package deployed

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/verify/bench/inmem"
)

// Guards against clients that hold connections of the heartbeat, readiness or metrics listener open without end: silent, in the
// middle of a header, or in the middle of a body. Another client must still get an answer.
func TestUnfinishedRequestsEnd(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing":       "",
		"half a line":   "PUT /instances/a HTTP/1.1\r\nHost: h\r\nX-A: ",
		"half a body":   "PUT /instances/a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{",
		"whole, unused": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := metrics.NewDeployment(metrics.DeploymentSources{Owning: func() bool { return false }, OwnerCounters: func() dispatch.Counters { return dispatch.Counters{} }})
				n := inmem.NewNet(1)
				n.Delay = func(string, string) time.Duration { return time.Millisecond }
				l := n.Listen("agent", "agent:1")
				h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
				go (&process{log: zerolog.Nop()}).serveInternal("test", h, l, m.Connections)
				start, ended := time.Now(), make(chan time.Duration, 2*maxInternalConns)
				for range 2 * maxInternalConns {
					conn, err := n.Dialer("client")(t.Context(), "agent:1")
					assert.NilError(t, err)
					_, err = conn.Write([]byte(sent))
					assert.NilError(t, err)
					assert.NilError(t, conn.SetReadDeadline(start.Add(2*internalIdleTimeout)))
					go func() {
						_, _ = io.Copy(io.Discard, conn)
						_ = conn.Close()
						ended <- time.Since(start)
					}()
				}
				conn, err := n.Dialer("other")(t.Context(), "agent:1")
				assert.NilError(t, err)
				_, err = ask(conn, 0)
				assert.NilError(t, err)
				_ = conn.Close()
				for range 2 * maxInternalConns {
					took := <-ended
					assert.Assert(t, took <= internalIdleTimeout+internalReadTimeout, "a connection was open for %v", took)
				}
				assert.NilError(t, l.Close())
			})
		})
	}
}
