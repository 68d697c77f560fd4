package deployed

import (
	"context"
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
	// shutdownMargin is reserved at the end of the grace period to answer the requests in progress.
	shutdownMargin = drainTime + maxRequestTime + exitMargin
	// drainTime is how long connections are accepted after that, so that none waits when the socket is closed. A process may be
	// held off its processor for one period of the operating system's quota, 100 ms.
	drainTime = 200 * time.Millisecond
	// maxRequestTime is the longest time for a request while the store does not answer.
	maxRequestTime = 700 * time.Millisecond
	// exitMargin is left of the grace period for the end of the process, three periods of that quota.
	exitMargin = 300 * time.Millisecond
	// drainDivisor and exitDivisor bound these times to parts of a short grace period.
	drainDivisor = 4
	exitDivisor  = 2
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
	follower *follow.Follower
	stopping atomic.Bool
	conns    requestConns
}

func (p *process) runEntry() error {
	ctx, cancel := p.signalContext()
	defer cancel()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	e := &entryProcess{process: p, manifest: manifest.NewFollower(platform.ManifestKey, platform.DecodeManifest, p.log),
		evacuations: evacuation.NewFollower(platform.EvacuatedZone, p.log)}
	e.follower = follow.New(p.store, platform.OperatorTable, follow.Sinks{e.manifest, e.evacuations}, p.clock, p.log)
	self := p.entryRegistration()
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
		TombstoneRetention: p.bounds().Retention, StoreLastResponse: e.follower.LastAnswer, Observe: m.ObserveResponse, ObserveForward: m.ObserveForward,
		ForwardEarly: p.options.EarlyForward.Enabled, Owning: candidate.Owning, Admission: p.admission(self, m)})
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
	server := &http.Server{Handler: platform.RequestHandler(g), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: e.conns.track}
	drainable := newDrainListener(requests)
	limited, err := p.limitRequests(workCtx, server, drainable, g, m.Registry)
	if err != nil {
		return err
	}
	server.Handler = closeWhenStopping(server.Handler, &e.stopping)
	go e.follower.Run(workCtx, 0)
	go member.Serve(control, p.link, p.link.Handle)
	go member.KeepRegistered(workCtx, p.store, self, p.link.SinceLastMessage)
	go p.serveHTTP(server, limited)
	go p.serveInternal("readiness", platform.ReadinessHandler(e.ready), readiness, m.Connections)
	go p.serveMetrics(ctx, m)
	candidateDone := make(chan struct{})
	go func() {
		defer close(candidateDone)
		candidate.Run(ctx)
	}()
	events.ProcessStarted.Log(p.log).Str("role", "entry").Str("requests", p.settings.RequestAddress).Str("control", self.Address).
		Uint64("incarnation", self.Incarnation).Send()
	<-ctx.Done()
	e.shutdown(server, drainable, candidateDone)
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

// shutdown releases the ownership, reports the entry as not ready, and serves requests as before until no more arrive or the
// grace period is nearly over. Each response then ends its connection.
func (e *entryProcess) shutdown(server *http.Server, requests *drainListener, candidateDone <-chan struct{}) {
	start := time.Now()
	e.stopping.Store(true)
	events.ProcessStopping.Log(e.log).Int("connections", e.conns.count()).Send()
	end := start.Add(e.settings.Bounds.GracePeriod)
	for time.Until(end) > shutdownMargin && (time.Since(start) < rotationExitDelay || e.conns.busy()) {
		time.Sleep(min(idleCheckInterval, time.Until(end)-shutdownMargin))
	}
	grace := e.settings.Bounds.GracePeriod
	if err := requests.drain(min(drainTime, grace/drainDivisor)); err != nil {
		events.ListenerNotDrained.Log(e.log).Err(err).Send()
	}
	e.conns.closeUnused()
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(end)-min(exitMargin, grace/exitDivisor))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		events.StopTimedOut.Log(e.log).Int("connections", e.conns.count()).Err(err).Send()
	}
	select {
	case <-candidateDone:
	case <-ctx.Done():
	}
	events.ProcessStopped.Log(e.log).Send()
}
