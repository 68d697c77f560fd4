// Package daemon implements what chicory-entry and chicory-agent share: the subcommands run,
// validate and version, settings, logging, listeners, reloads and the graceful stop.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/command/run"
	"github.com/chicorystand/chicorystand/state/identity"
)

// Process holds the resources that a running daemon shares between its parts.
type Process struct {
	Log    zerolog.Logger
	Events *events.Ring
	// Identity is nil when the settings disable TLS.
	Identity  *identity.Source
	connLimit int
}

// CommonSettings are the settings that every daemon has.
type CommonSettings struct {
	Log         settings.Log
	Security    settings.Security
	Connections int
	MemoryLimit settings.Bytes
	StopTimeout time.Duration
}

// Server is a daemon with open listeners.
type Server interface {
	// Serve serves until ctx is cancelled.
	Serve(ctx context.Context) error
	// Stop waits for the work in progress, at most until ctx is cancelled.
	Stop(ctx context.Context)
}

// Spec describes a daemon.
type Spec struct {
	Name, Short string
	// NewSettings returns empty settings for Load.
	NewSettings func() any
	// Common returns the common part of loaded settings.
	Common func(any) CommonSettings
	// Open opens the daemon's listeners.
	Open func(ctx context.Context, s any, p *Process) (Server, error)
}

// Command returns the root command of the daemon.
func Command(spec Spec) *cobra.Command {
	root := &cobra.Command{Use: spec.Name, Short: spec.Short, SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newRunCommand(spec), newValidateCommand(spec), newVersionCommand(spec))
	return root
}

// newLogger returns a logger that writes to standard error and to the ring that operators read.
func newLogger(ring *events.Ring) zerolog.Logger {
	return zerolog.New(zerolog.MultiLevelWriter(os.Stderr, ring)).With().Timestamp().Logger()
}

func applyLogSettings(c CommonSettings) {
	level, err := zerolog.ParseLevel(c.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	events.SetSampling(c.Log.Sample)
}

// start loads the certificates, opens the listeners and serves until ctx is cancelled.
func start(ctx context.Context, spec Spec, s any, load func() (any, error)) error {
	c := spec.Common(s)
	ring := events.NewRing()
	p := &Process{Log: newLogger(ring), Events: ring, connLimit: c.Connections}
	applyLogSettings(c)
	debug.SetMemoryLimit(int64(c.MemoryLimit))
	if !c.Security.Plaintext {
		src, err := identity.Load(identity.Files{Cert: c.Security.Cert, Key: c.Security.Key, CA: c.Security.CA})
		if err != nil {
			events.SettingsInvalid.Log(p.Log).Err(err).Send()
			return run.Reported(err)
		}
		p.Identity = src
	}
	srv, err := spec.Open(ctx, s, p)
	if err != nil {
		return err
	}
	return serve(ctx, spec, c, p, srv, load)
}

func serve(ctx context.Context, spec Spec, c CommonSettings, p *Process, srv Server, load func() (any, error)) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- srv.Serve(runCtx) }()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case err := <-done:
			return err
		case <-hup:
			p.reload(spec, load)
			continue
		case <-ctx.Done():
		}
		break
	}
	events.ProcessStopping.Log(p.Log).Send()
	stopCtx, cancelStop := context.WithTimeout(runCtx, c.StopTimeout)
	srv.Stop(stopCtx)
	if stopCtx.Err() != nil {
		events.StopTimedOut.Log(p.Log).Dur("timeout", c.StopTimeout).Send()
	}
	cancelStop()
	cancel()
	err := <-done
	events.ProcessStopped.Log(p.Log).Send()
	return err
}

// reload applies changed log settings and certificates. Other settings require a restart.
func (p *Process) reload(spec Spec, load func() (any, error)) {
	s, err := load()
	if err == nil && p.Identity != nil {
		err = p.Identity.Reload()
	}
	if err != nil {
		events.ReloadFailed.Log(p.Log).Err(err).Send()
		return
	}
	applyLogSettings(spec.Common(s))
	events.Reloaded.Log(p.Log).Send()
}

// Listen opens a listener. It logs a failure itself and returns an error marked as reported.
func (p *Process) Listen(ctx context.Context, field, addr string, counters *metrics.Connections, roles ...identity.Role) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		kind := errkind.InvalidArgument
		if errors.Is(err, syscall.EADDRINUSE) {
			kind = errkind.Conflict
		}
		err = errkind.Wrap(kind, err, "%s", field)
		events.ListenError(err).Log(p.Log).Str("field", field).Str("address", addr).Err(err).Send()
		return nil, run.Reported(err)
	}
	var config = p.serverConfig(roles)
	return identity.Listen(l, config, p.connLimit, func(reason string, remote net.Addr, err error) {
		counters.Refused.WithLabelValues(field, reason).Inc()
		events.ConnectionRefused.Log(p.Log).Str("listener", field).Str("reason", reason).Str("remote", remote.String()).Err(err).Send()
	}), nil
}

// ServeHTTP serves h on l until ctx is cancelled.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	// There is no read timeout: net/http cancels a handler that goes on for longer, such as that of a long profile.
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); <-ctx.Done(); _ = s.Close() }()
	err := s.Serve(l)
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return errkind.Wrap(errkind.Internal, err, "serve %s", l.Addr())
}

// problemLines returns the lines of a report of invalid settings, without the error kind.
func problemLines(err error) []string {
	return strings.Split(strings.TrimPrefix(err.Error(), errkind.Of(err).String()+": "), "\n")
}
