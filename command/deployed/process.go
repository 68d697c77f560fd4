// Package deployed runs the entry and agent processes on the users' platform: it reads the
// platform's settings and connects the platform adapter to the system's components.
package deployed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/command/run"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/member"
)

const (
	// MetricsPort is the port on which a process serves its metrics. The deploy file names it too.
	MetricsPort = 9464
	// logBufferLines is the number of log lines that are buffered for writing; further lines replace the oldest.
	logBufferLines = 2048
	// logFlushInterval is the longest time for which a log line stays buffered.
	logFlushInterval = 100 * time.Millisecond
	// logWriteSize is the maximum size in bytes of a write that combines several lines. A larger write
	// to a pipe can be partial, which loses lines.
	logWriteSize = 4 << 10
	// memoryLimitPercent is the runtime's soft memory limit, in percent of the VM's memory.
	memoryLimitPercent = 70
	// gcPercent trades CPU time for memory, both of which are billed.
	gcPercent = 75
	// maxStoreOutage is how long an owner extends leases without a successful commit.
	maxStoreOutage = 15 * time.Second
	// ackValidity is how long an owner may extend leases after a commit or after the acknowledgement of
	// all entries: two of its heartbeat intervals and the time for a slow reply.
	ackValidity = 2 * time.Second
	// leaseDuration is how long an executor runs without contact, unless the platform sets a lower maximum.
	leaseDuration = 4500 * time.Millisecond
)

// process holds what the entry and the agent process have in common.
type process struct {
	settings platform.Settings
	// options are the settings from the environment.
	options  settings.Deployment
	log      zerolog.Logger
	store    *platform.StoreClient
	clock    clock.Clock
	link     *member.OwnerLink
	closeLog func()
}

func newProcess() (*process, error) {
	log, closeLog := newLogger(os.Stdout)
	s, err := platform.LoadSettings()
	if err != nil {
		events.SettingsInvalid.Log(log).Err(err).Send()
		closeLog()
		return nil, err
	}
	log = log.With().Str("node", s.Node).Logger()
	var options settings.Deployment
	if err := settings.Load(&options, "", nil); err != nil {
		events.SettingsInvalid.Log(log).Err(err).Send()
		closeLog()
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	p := &process{settings: s, options: options, log: log, clock: clock.Boottime{}, store: platform.NewStoreClient(s.StoreAddress), closeLog: closeLog}
	p.link = member.NewOwnerLink(p.clock, log)
	return p, nil
}

// newPlatformCommand returns the subcommand "platform" of a program, which serves until SIGTERM.
func newPlatformCommand(short string, serve func(*process) error) *cobra.Command {
	return &cobra.Command{Use: "platform", Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, err := newProcess()
			if err != nil {
				return run.Reported(err)
			}
			defer p.closeLog()
			return run.Reported(serve(p))
		}}
}

// newLogger returns a logger that never blocks its callers, and a function that flushes and closes
// it. Lines that cannot be written fast enough are dropped, and their number is logged.
func newLogger(w io.Writer) (zerolog.Logger, func()) {
	buffered := &flushWriter{w: bufio.NewWriterSize(w, logWriteSize)}
	ring := diode.NewWriter(buffered, logBufferLines, 0, func(dropped int) {
		buffered.appendLine(fmt.Sprintf(`{"level":"warn","event":%d,"name":%q,"lines":%d}`+"\n",
			events.LogLinesDropped.Number, events.LogLinesDropped.Name, dropped))
	})
	done := make(chan struct{})
	go buffered.flushEvery(logFlushInterval, done)
	var once sync.Once
	return zerolog.New(ring).With().Timestamp().Logger(), func() {
		once.Do(func() {
			_ = ring.Close()
			close(done)
			buffered.flush()
		})
	}
}

// flushWriter buffers lines, so that one system call writes many.
type flushWriter struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.w.Available() < len(p) {
		// A line is never split over two writes, so that output of other processes cannot interleave with it.
		if err := f.w.Flush(); err != nil {
			return 0, err
		}
	}
	return f.w.Write(p)
}

func (f *flushWriter) appendLine(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A failure to write the log cannot be reported anywhere else.
	_, _ = f.w.WriteString(line)
}

func (f *flushWriter) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.w.Flush()
}

func (f *flushWriter) flushEvery(d time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			f.flush()
		}
	}
}

// bounds returns the owner's time limits, derived from the platform's settings.
func (p *process) bounds() dispatch.Bounds {
	b, o := p.settings.Bounds, p.options
	return dispatch.Bounds{LeaseDuration: min(leaseDuration, b.MaxLease), MaxLease: b.MaxLease, MaxStoreOutage: maxStoreOutage, AckValidity: ackValidity, StopTimeout: b.StopTimeout, Restore: b.Restore,
		Evacuation: b.Evacuation, Cancel: b.Cancel, MaxInterference: b.MaxInterference, Retention: 2 * b.StatusRetention,
		MaxRowBytes: p.settings.MaxRowBytes, RemoteFactor: b.RemoteFactor,
		Features: dispatch.Features{PoolPlan: o.PoolPlan.Enabled, Backlog: o.Overload.Enabled, FairShares: o.Overload.FairShares, PlaceWait: o.PlaceWait.Enabled}}
}

// takeoverDelay returns how much longer than others this entry waits before it takes over the ownership, as long as it
// knows nothing of the capability of the others.
func (p *process) takeoverDelay() time.Duration {
	return succession.TakeoverDelay(succession.Capability{LinkMbps: p.settings.LinkMbps}, succession.Capability{})
}

// entryRegistration returns the member record of an entry. Without a capability the entry neither hands over the ownership nor is
// handed it.
func (p *process) entryRegistration() member.Member {
	m := p.registration(member.Entry)
	if p.options.Succession.Enabled {
		m.CPU, m.MemoryMB, m.LinkMbps = p.settings.CPU, int64(p.settings.MemoryMB), p.settings.LinkMbps
	}
	return m
}

// registration returns the member record under which this process registers. Its address uses the first
// internal port.
func (p *process) registration(role member.Role) member.Member {
	return member.Member{Name: p.settings.Node, Address: fmt.Sprintf("%s:%d", p.settings.IP, p.settings.FirstPort), Role: role,
		Zone: p.settings.Zone, Incarnation: uint64(time.Now().UnixNano())}
}

// listen opens a listener. It retries for two seconds, since a process that has just stopped may
// not have released the address yet.
func (p *process) listen(ctx context.Context, addr string) (net.Listener, error) {
	const attempts, retryDelay = 20, 100 * time.Millisecond
	var lc net.ListenConfig
	var err error
	for range attempts {
		var l net.Listener
		if l, err = lc.Listen(ctx, "tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(retryDelay)
	}
	events.ListenError(err).Log(p.log).Str("address", addr).Err(err).Send()
	return nil, errors.Wrapf(err, "listen on %s", addr)
}

// serveHTTP serves on l until the server is closed, and logs a failure.
func (p *process) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		events.ServeFailed.Log(p.log).Str("address", l.Addr().String()).Err(err).Send()
	}
}

// serveMetrics serves the metrics. If the port is in use, the process runs without them.
func (p *process) serveMetrics(ctx context.Context, m *metrics.Deployment) {
	l, err := p.listen(ctx, fmt.Sprintf("%s:%d", p.settings.IP, MetricsPort))
	if err != nil {
		return // listen has logged the error
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	p.serveInternal("metrics", mux, l, m.Connections)
}

// signalContext returns a context that is cancelled on SIGTERM or SIGINT. On SIGHUP the settings are read
// and checked; nothing of them can change while the process runs, so that differences are logged.
func (p *process) signalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			p.checkSettings()
		}
	}()
	return ctx, cancel
}

// checkSettings reads the settings file again and logs how it differs from the settings in use.
func (p *process) checkSettings() {
	s, err := platform.LoadSettings()
	if err != nil {
		events.ReloadFailed.Log(p.log).Err(err).Send()
		return
	}
	if changed := p.settings.Differences(&s); len(changed) > 0 {
		events.SettingsChanged.Log(p.log).Strs("fields", changed).Send()
		return
	}
	events.SettingsChecked.Log(p.log).Send()
}
