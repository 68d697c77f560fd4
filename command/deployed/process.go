// Package deployed runs the system's processes on the users' platform: it reads
// the platform's settings and connects the adapter to the product's parts.
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
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/command/run"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/member"
)

const (
	// MetricsPort is where a process serves its metrics; it stands in the deploy file too.
	MetricsPort = 9464
	// logBuffer is the number of lines that wait to be written; further lines replace the oldest.
	logBuffer = 2048
	// logFlush is the longest time that a line waits in this process.
	logFlush = 100 * time.Millisecond
	// logWrite is the size of a write of several lines, in bytes. A larger write to a pipe
	// can be cut short, which loses lines.
	logWrite = 4 << 10
	// memoryShare is the part of the VM's memory that the runtime tries to stay within, in percent.
	memoryShare = 70
	// gcPercent trades processor time for memory; both are paid for.
	gcPercent = 75
	// storeLoss is how long an owner extends leases without a successful commit.
	storeLoss = 15 * time.Second
	// consent is how long a commit, or the consent of all entries, lets an owner
	// extend leases: two intervals of its heartbeats and a slow answer.
	consent = 2 * time.Second
	// leaseTime is how far ahead an executor runs without contact, where its bound allows that.
	leaseTime = 4500 * time.Millisecond
)

// process is what the roles share.
type process struct {
	settings platform.Settings
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
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	}
	p := &process{settings: s, log: log, clock: clock.Boottime{}, store: platform.NewStoreClient(s.StoreAddress), closeLog: closeLog}
	p.link = member.NewOwnerLink(p.clock, log)
	return p, nil
}

// newVerb returns the verb "platform" of a program, which serves until SIGTERM.
func newVerb(short string, serve func(*process) error) *cobra.Command {
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

// newLogger returns a logger whose lines never block the process. Lines are
// dropped when they cannot be written fast enough, and their number is logged.
func newLogger(w io.Writer) (zerolog.Logger, func()) {
	buffered := &flushWriter{w: bufio.NewWriterSize(w, logWrite)}
	ring := diode.NewWriter(buffered, logBuffer, 0, func(missed int) {
		buffered.note(fmt.Sprintf(`{"level":"warn","event":%d,"name":%q,"lines":%d}`+"\n",
			events.LogLinesDropped.Number, events.LogLinesDropped.Name, missed))
	})
	done := make(chan struct{})
	go buffered.flushEvery(logFlush, done)
	var once sync.Once
	return zerolog.New(ring).With().Timestamp().Logger(), func() {
		once.Do(func() {
			_ = ring.Close()
			close(done)
			buffered.flush()
		})
	}
}

// flushWriter collects lines, so that one system call writes many.
type flushWriter struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.w.Available() < len(p) {
		// A line is written whole, so that lines of other processes cannot split it.
		if err := f.w.Flush(); err != nil {
			return 0, err
		}
	}
	return f.w.Write(p)
}

func (f *flushWriter) note(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// There is no other place to report that the log cannot be written.
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

// bounds derives the owner's time-outs from the deployment's figures.
func (p *process) bounds() dispatch.Bounds {
	b := p.settings.Bounds
	return dispatch.Bounds{LeaseDuration: min(leaseTime, b.MaxLease), MaxStoreOutage: storeLoss, AckValidity: consent, StopTimeout: b.StopTimeout,
		Retention: 2 * b.StatusRetention}
}

// handicap returns how much later than others this entry takes the ownership over.
// A new owner reads all live work, which takes a thin link seconds.
func (p *process) handicap() time.Duration {
	const thinLinkMbps, thinLinkHandicap = 50, 300 * time.Millisecond
	if p.settings.LinkMbps > 0 && p.settings.LinkMbps < thinLinkMbps {
		return thinLinkHandicap
	}
	return 0
}

// member returns this process's registration. Its address is the first internal port.
func (p *process) member(role member.Role) member.Member {
	return member.Member{Name: p.settings.Node, Address: fmt.Sprintf("%s:%d", p.settings.IP, p.settings.FirstPort), Role: role,
		Zone: p.settings.Zone, Incarnation: uint64(time.Now().UnixNano())}
}

// listen opens an address. An address that another process has just left may
// need a moment.
func (p *process) listen(ctx context.Context, addr string) (net.Listener, error) {
	const tries, pause = 20, 100 * time.Millisecond
	var lc net.ListenConfig
	var err error
	for range tries {
		var l net.Listener
		if l, err = lc.Listen(ctx, "tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(pause)
	}
	events.AddressUnavailable.Log(p.log).Str("address", addr).Err(err).Send()
	return nil, errors.Wrapf(err, "listen on %s", addr)
}

// serveHTTP serves a handler until the server is closed.
func (p *process) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		events.AddressUnavailable.Log(p.log).Str("address", l.Addr().String()).Err(err).Send()
	}
}

// serveMetrics serves the metrics. The process runs without them when the port is taken.
func (p *process) serveMetrics(ctx context.Context, r *prometheus.Registry) {
	l, err := p.listen(ctx, fmt.Sprintf("%s:%d", p.settings.IP, MetricsPort))
	if err != nil {
		return // listen has logged the reason
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	p.serveHTTP(&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, l)
}

// signals returns a context that ends with SIGTERM. SIGHUP reads the settings again.
func (p *process) signals() (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			if _, err := platform.LoadSettings(); err != nil {
				events.ReloadFailed.Log(p.log).Err(err).Send()
				continue
			}
			events.Reloaded.Log(p.log).Send()
		}
	}()
	return ctx, cancel
}
