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
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/ingress/gateway"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/member"
)

// NewEntryCommand returns the subcommand that runs the entry on the users' platform.
func NewEntryCommand() *cobra.Command {
	return newPlatformCommand("Serve requesters and schedule work on the users' platform until SIGTERM", (*process).runEntry)
}

const (
	// maxStoreSilence is the time without a reply of the store after which the entry reports itself not ready.
	maxStoreSilence = 2200 * time.Millisecond
	// rotationExitDelay is how long the platform takes to stop sending new connections here: two
	// readiness probes, one second apart, and a margin.
	rotationExitDelay = 2500 * time.Millisecond
	// shutdownMargin is reserved at the end of the grace period for the final shutdown.
	shutdownMargin = time.Second
	// idleCheckInterval is the interval between checks for open connections during a stop.
	idleCheckInterval = 50 * time.Millisecond
	// headerTimeout and idleTimeout are the timeouts of requester connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// entryProcess is the entry process, its readiness and its open connections.
type entryProcess struct {
	*process
	manifest    *manifest.Follower
	evacuations *evacuation.Follower
	// follower follows the operators' table for manifest and evacuations.
	follower  *follow.Follower
	stopping  atomic.Bool
	openConns atomic.Int64
}

func (p *process) runEntry() error {
	ctx, cancel := p.signalContext()
	defer cancel()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	e := &entryProcess{process: p, manifest: manifest.NewFollower(platform.ManifestKey, platform.DecodeManifest, p.log),
		evacuations: evacuation.NewFollower(platform.EvacuatedZone, p.log)}
	e.follower = follow.New(p.store, platform.OperatorTable, follow.Sinks{e.manifest, e.evacuations}, p.clock, p.log)
	self := p.registration(member.Entry)
	var adviceClient advice.Client
	if p.settings.AdviceAddress != "" {
		adviceClient = platform.NewAdviceClient(p.settings.AdviceAddress)
	}
	candidate := coordinator.NewCandidate(coordinator.Config{Advice: adviceClient, Store: p.store, Clock: p.clock, Log: p.log, Bounds: p.bounds(),
		Member: self, TakeoverDelay: p.takeoverDelay(), Manifest: e.manifest.Current, Evacuations: e.evacuationState, HighestEpoch: p.link.Epoch}, p.link)
	m := metrics.NewDeployment(metrics.DeploymentSources{Owning: candidate.Owning, EvacuatedZones: func() int { return len(e.evacuations.Current()) },
		ManifestVersion: e.manifestVersion, ManifestAge: e.manifestAge, OwnerSilence: p.link.SinceLastMessage, OwnerCounters: candidate.Counters})
	g := gateway.New(gateway.Config{Store: p.store, Clock: p.clock, Log: p.log, Owner: p.link, Manifest: e.manifest.Current,
		ManifestAge: e.manifestAge, MaxManifestAge: p.settings.Bounds.ConfigApply, MaxRowBytes: p.settings.MaxRowBytes,
		StoreLastResponse: e.follower.LastAnswer, Observe: m.ObserveResponse, ObserveForward: m.ObserveForward})
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
	server := &http.Server{Handler: platform.RequestHandler(g), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: e.trackConn}
	if requests, err = p.limitRequests(workCtx, server, requests, g, m.Registry); err != nil {
		return err
	}
	readinessServer := &http.Server{Handler: platform.ReadinessHandler(e.ready), ReadHeaderTimeout: headerTimeout}
	go e.follower.Run(workCtx, 0)
	go member.Serve(control, p.link, p.link.Handle)
	go member.KeepRegistered(workCtx, p.store, self, p.link.SinceLastMessage)
	go p.serveHTTP(server, requests)
	go p.serveHTTP(readinessServer, readiness)
	go p.serveMetrics(ctx, m.Registry)
	candidateDone := make(chan struct{})
	go func() {
		defer close(candidateDone)
		candidate.Run(ctx)
	}()
	events.ProcessStarted.Log(p.log).Str("role", "entry").Str("requests", p.settings.RequestAddress).Str("control", self.Address).
		Uint64("incarnation", self.Incarnation).Send()
	<-ctx.Done()
	e.shutdown(server, candidateDone)
	return nil
}

// evacuationState returns the evacuated zones. The time is read first, since the zones may only be
// newer than it.
func (e *entryProcess) evacuationState() evacuation.State {
	asOf := e.follower.CurrentAsOf()
	return evacuation.State{Zones: e.evacuations.Current(), AsOf: asOf}
}

func (e *entryProcess) manifestVersion() int64 {
	if m := e.manifest.Current(); m != nil {
		return m.Version
	}
	return 0
}

// manifestAge returns the time since the manifest was last known to be the newest.
func (e *entryProcess) manifestAge() time.Duration { return e.clock.Now() - e.follower.CurrentAsOf() }

// ready reports whether the platform should send new connections here.
func (e *entryProcess) ready() bool {
	age, ok := e.follower.Age()
	return !e.stopping.Load() && e.manifest.Current() != nil && ok && age < maxStoreSilence
}

func (e *entryProcess) trackConn(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		e.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.openConns.Add(-1)
	default:
	}
}

// shutdown releases the ownership, reports the entry as not ready, and serves open connections
// until they are closed or the grace period is nearly over.
func (e *entryProcess) shutdown(server *http.Server, candidateDone <-chan struct{}) {
	start := time.Now()
	e.stopping.Store(true)
	events.ProcessStopping.Log(e.log).Int64("connections", e.openConns.Load()).Send()
	server.SetKeepAlivesEnabled(false)
	<-candidateDone
	end := start.Add(e.settings.Bounds.GracePeriod - shutdownMargin)
	for time.Now().Before(end) && (time.Since(start) < rotationExitDelay || e.openConns.Load() > 0) {
		time.Sleep(idleCheckInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownMargin/2)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		events.StopTimedOut.Log(e.log).Int64("connections", e.openConns.Load()).Err(err).Send()
	}
	events.ProcessStopped.Log(e.log).Send()
}
