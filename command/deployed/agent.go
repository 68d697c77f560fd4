package deployed

import (
	"context"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/vm/vmagent"
)

// NewAgent returns the verb that runs the agent on the platform.
func NewAgent() *cobra.Command {
	return newVerb("Run beside an executor on the users' platform until SIGTERM", (*process).runAgent)
}

// agentStop is how long orders in progress may end after SIGTERM. The executor
// goes on, so the next process should start soon.
const agentStop = 100 * time.Millisecond

func (p *process) runAgent() error {
	ctx, cancel := p.signals()
	defer cancel()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	m := metrics.NewDeployment(metrics.DeploymentSources{Owning: func() bool { return false },
		ManifestVersion: func() int64 { return 0 }, OwnerSilence: p.link.SinceLastMessage,
		OwnerCounters: func() dispatch.Counters { return dispatch.Counters{} }})
	a := vmagent.New(work, vmagent.Config{Name: p.settings.Node, Client: platform.NewExecutorClient(), Clock: p.clock, Log: p.log,
		Link: p.link, Observe: m.ObserveOrder})
	beats, err := p.listen(ctx, p.settings.HeartbeatAddress)
	if err != nil {
		return err
	}
	self := p.member(member.Agent)
	control, err := p.listen(ctx, self.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.HeartbeatHandler(a), ReadHeaderTimeout: time.Second}
	go p.serveHTTP(server, beats)
	go member.Serve(control, p.link, a.Handle)
	go p.serveMetrics(ctx, m.Registry)
	go member.KeepRegistered(work, p.store, self, p.link.SinceLastMessage)
	events.ProcessStarted.Log(p.log).Str("role", "agent").Str("heartbeats", p.settings.HeartbeatAddress).Str("control", self.Address).
		Uint64("incarnation", self.Incarnation).Send()
	<-ctx.Done()
	events.ProcessStopping.Log(p.log).Send()
	time.Sleep(agentStop)
	events.ProcessStopped.Log(p.log).Send()
	return nil
}
