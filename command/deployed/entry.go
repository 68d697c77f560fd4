package deployed

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/coordinator"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/ingress/gateway"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/member"
)

// NewEntry returns the verb that runs the entry on the platform.
func NewEntry() *cobra.Command {
	return newVerb("Serve requesters on the users' platform and own the work, until SIGTERM", (*process).runEntry)
}

const (
	// storeSilence is how long the store may be silent before the entry asks for no new connections.
	storeSilence = 2200 * time.Millisecond
	// leaveRotation is how long the platform takes to send no new connections here:
	// two readings of the readiness, one second apart, and some margin.
	leaveRotation = 2500 * time.Millisecond
	// stopMargin is kept free at the end of the grace period.
	stopMargin = time.Second
	// idleCheck is the time between two looks at the open connections during a stop.
	idleCheck = 50 * time.Millisecond
	// headerTimeout and idleTimeout bound connections of requesters.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// entryProcess is the entry with its servers.
type entryProcess struct {
	*process
	manifest *manifest.Follower
	followed *follow.Follower
	stopping atomic.Bool
	open     atomic.Int64
}

func (p *process) runEntry() error {
	ctx, cancel := p.signals()
	defer cancel()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	e := &entryProcess{process: p, manifest: manifest.NewFollower(platform.ManifestKey, platform.DecodeManifest, p.log)}
	e.followed = follow.New(p.store, platform.ManifestTable, e.manifest, p.clock, p.log)
	self := p.member(member.Entry)
	var adviser advice.Client
	if p.settings.AdviceAddress != "" {
		adviser = platform.NewAdviceClient(p.settings.AdviceAddress)
	}
	candidate := coordinator.NewCandidate(coordinator.Config{Advice: adviser, Store: p.store, Clock: p.clock, Log: p.log, Bounds: p.bounds(),
		Member: self, TakeoverDelay: p.handicap(), Manifest: e.manifest.Current, HighestEpoch: p.link.Epoch}, p.link)
	m := metrics.NewDeployment(metrics.DeploymentSources{Owning: candidate.Owning, ManifestVersion: e.version, OwnerSilence: p.link.SinceLastMessage,
		OwnerCounters: candidate.Counters})
	g := gateway.New(gateway.Config{Store: p.store, Clock: p.clock, Log: p.log, Owner: p.link, Manifest: e.manifest.Current,
		StoreLastResponse: e.followed.LastAnswer, Observe: m.ObserveResponse})
	control, err := p.listen(ctx, self.Address)
	if err != nil {
		return err
	}
	requests, err := p.listen(ctx, p.settings.RequestAddress)
	if err != nil {
		return err
	}
	readiness, err := p.listen(ctx, p.settings.ReadinessAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.RequestHandler(g), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: e.connState}
	probe := &http.Server{Handler: platform.ReadinessHandler(e.ready), ReadHeaderTimeout: headerTimeout}
	go e.followed.Run(work, 0)
	go member.Serve(control, p.link, p.link.Handle)
	go member.KeepRegistered(work, p.store, self, p.link.SinceLastMessage)
	go p.serveHTTP(server, requests)
	go p.serveHTTP(probe, readiness)
	go p.serveMetrics(ctx, m.Registry)
	owned := make(chan struct{})
	go func() {
		defer close(owned)
		candidate.Run(ctx)
	}()
	events.ProcessStarted.Log(p.log).Str("role", "entry").Str("requests", p.settings.RequestAddress).Str("control", self.Address).
		Uint64("incarnation", self.Incarnation).Send()
	<-ctx.Done()
	e.shutdown(server, owned)
	return nil
}

func (e *entryProcess) version() int64 {
	if m := e.manifest.Current(); m != nil {
		return m.Version
	}
	return 0
}

// ready reports whether new connections should come here.
func (e *entryProcess) ready() bool {
	age, ok := e.followed.Age()
	return !e.stopping.Load() && e.manifest.Current() != nil && ok && age < storeSilence
}

func (e *entryProcess) connState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		e.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.open.Add(-1)
	default:
	}
}

// shutdown gives up the ownership, leaves the rotation, and serves open
// connections until they are gone or the grace period is nearly over.
func (e *entryProcess) shutdown(server *http.Server, owned <-chan struct{}) {
	start := time.Now()
	e.stopping.Store(true)
	events.ProcessStopping.Log(e.log).Int64("connections", e.open.Load()).Send()
	server.SetKeepAlivesEnabled(false)
	<-owned
	end := start.Add(e.settings.Bounds.GracePeriod - stopMargin)
	for time.Now().Before(end) && (time.Since(start) < leaveRotation || e.open.Load() > 0) {
		time.Sleep(idleCheck)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		events.StopTimedOut.Log(e.log).Int64("connections", e.open.Load()).Err(err).Send()
	}
	events.ProcessStopped.Log(e.log).Send()
}
