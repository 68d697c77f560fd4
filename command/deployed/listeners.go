package deployed

import (
	"net"
	"net/http"
	"time"

	"github.com/chicorystand/chicorystand/base/connlimit"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
)

// Limits of the listeners for heartbeats, readiness and metrics. Their clients are the executors of one VM, the platform's probe and a
// collector, which hold few connections and send short requests.
const (
	maxInternalConns       = 64
	internalHeaderTimeout  = 3 * time.Second
	internalReadTimeout    = 5 * time.Second
	internalWriteTimeout   = 10 * time.Second
	internalIdleTimeout    = time.Minute
	maxInternalHeaderBytes = 8 << 10
)

// serveInternal serves h on l, with bounds on connections, time and headers. name is that of the listener in logs and metrics.
func (p *process) serveInternal(name string, h http.Handler, l net.Listener, counters *metrics.Connections) {
	limited := connlimit.New(l, maxInternalConns, func(remote net.Addr) {
		counters.Refused.WithLabelValues(name, "limit").Inc()
		events.ConnectionRefused.Log(p.log).Str("listener", name).Str("reason", "limit").Str("remote", remote.String()).Send()
	})
	p.serveHTTP(&http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout, ReadTimeout: internalReadTimeout, WriteTimeout: internalWriteTimeout,
		IdleTimeout: internalIdleTimeout, MaxHeaderBytes: maxInternalHeaderBytes}, limited)
}
