package deployed

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/vm/vmagent"
)

// NewAgentCommand returns the subcommand that runs the agent on the users' platform.
func NewAgentCommand() *cobra.Command {
	return newPlatformCommand("Run the agent of an executor on the users' platform until SIGTERM", (*process).runAgent)
}

// ordersGracePeriod is how long orders in progress may take to finish after SIGTERM. It is short because
// the executor keeps running and needs the next agent process soon.
const ordersGracePeriod = 100 * time.Millisecond

func (p *process) runAgent() error {
	ctx, cancel := p.signalContext()
	defer cancel()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	m := metrics.NewDeployment(metrics.DeploymentSources{Owning: func() bool { return false },
		ManifestVersion: func() int64 { return 0 }, ManifestAge: func() time.Duration { return 0 },
		EvacuatedZones: func() int { return 0 }, OwnerSilence: p.link.SinceLastMessage,
		OwnerCounters: func() dispatch.Counters { return dispatch.Counters{} }})
	a := vmagent.New(workCtx, vmagent.Config{Name: p.settings.Node, Client: platform.NewExecutorClient(), Clock: p.clock, Log: p.log,
		Link: p.link, Observe: m.ObserveOrder})
	heartbeats, err := p.listen(ctx, p.settings.HeartbeatAddress)
	if err != nil {
		return err
	}
	self := p.registration(member.Agent)
	control, err := p.listen(ctx, self.Address)
	if err != nil {
		return err
	}
	go p.serveInternal("heartbeats", platform.HeartbeatHandler(a), heartbeats, m.Connections)
	go member.Serve(control, p.link, a.Handle)
	go p.serveMetrics(ctx, m)
	go member.KeepRegistered(workCtx, p.store, self, p.link.SinceLastMessage)
	events.ProcessStarted.Log(p.log).Str("role", "agent").Str("heartbeats", p.settings.HeartbeatAddress).Str("control", self.Address).
		Uint64("incarnation", self.Incarnation).Send()
	<-ctx.Done()
	events.ProcessStopping.Log(p.log).Send()
	time.Sleep(ordersGracePeriod)
	events.ProcessStopped.Log(p.log).Send()
	return nil
}
