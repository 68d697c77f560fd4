// Package chicoryagent implements the chicory-agent command.
package chicoryagent

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/command/daemon"
	"github.com/chicorystand/chicorystand/command/deployed"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/identity"
	"github.com/chicorystand/chicorystand/state/store/httpstore"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/agent"
)

// New returns the root command.
func New() *cobra.Command {
	root := daemon.Command(daemon.Spec{
		Name: "chicory-agent", Short: "Admit requests to the upstream of a VM and run its tasks",
		NewSettings: func() any { return new(settings.Agent) },
		Common: func(v any) daemon.CommonSettings {
			s := v.(*settings.Agent)
			return daemon.CommonSettings{Log: s.Log, Security: s.Security, Connections: s.Connections, MemoryLimit: s.MemoryLimit, StopTimeout: s.StopTimeout}
		},
		Open: open,
	})
	root.AddCommand(deployed.NewAgentCommand())
	return root
}

// standinServiceTime is the service time of the stand-in upstream.
const standinServiceTime = 20 * time.Millisecond

type server struct {
	agent       *agent.Agent
	worker      *standin.Worker
	process     *daemon.Process
	metrics     *metrics.Agent
	data, admin net.Listener
	// upstream is the listener of the stand-in upstream, nil if the settings name an upstream.
	upstream        net.Listener
	upstreamHandler http.Handler
}

func resources(cpu int64, memory settings.Bytes, accelerators int64) task.Resources {
	return task.Resources{CPU: cpu, Memory: int64(memory >> 20), Accelerators: accelerators}
}

func open(ctx context.Context, v any, p *daemon.Process) (daemon.Server, error) {
	s := v.(*settings.Agent)
	p.Log = p.Log.With().Str("vm", s.VM).Logger()
	incarnation := uint64(time.Now().UnixNano())
	srv := &server{process: p}
	srv.worker = standin.NewWorker(standin.WorkerConfig{VM: s.VM, Capacity: resources(s.Capacity.CPUMilli, s.Capacity.Memory, s.Capacity.Accelerators),
		Clock: clock.Boottime{}, Objects: httpstore.New(s.Platform, nil).Objects(), UsageReportAge: 2 * time.Second})
	url := s.Upstream.URL
	if s.Upstream.Service != "" && url == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "listen for the stand-in upstream")
		}
		srv.upstream, url = l, "http://"+l.Addr().String()
		srv.upstreamHandler = &standin.Upstream{VM: s.VM, Incarnation: incarnation, ServiceTime: standinServiceTime, Slowdown: srv.worker.Slowdown}
	}
	cfg := agent.Config{VM: s.VM, Zone: s.Zone, Rack: s.Rack, Incarnation: incarnation, Entries: []string{s.Entries},
		Service: s.Upstream.Service, UpstreamURL: url, Slots: s.Upstream.Slots, UpstreamConns: s.Upstream.Connections,
		LatencyTarget: s.Upstream.Latency, TailWeight: s.Objective.TailWeight, CheckpointInterval: s.Checkpoint,
		Clock: clock.Boottime{}, Worker: srv.worker, Log: p.Log, Dial: identity.Dialer(p.Identity, identity.Entry)}
	if s.Upstream.Service != "" {
		cfg.ServiceReserved = resources(s.Upstream.CPUMilli, s.Upstream.Memory, s.Upstream.Accelerators)
	} else {
		cfg.Slots = 0
	}
	srv.agent = agent.New(cfg)
	srv.metrics = metrics.NewAgent(srv.stateFunc(cfg.Slots))
	if err := srv.listen(ctx, s); err != nil {
		return nil, err
	}
	events.ProcessStarted.Log(p.Log).Str("data", srv.data.Addr().String()).Str("operators", srv.admin.Addr().String()).
		Str("worker", s.Worker).Str("version", daemon.Version()).Send()
	return srv, nil
}

func (s *server) listen(ctx context.Context, cfg *settings.Agent) error {
	var err error
	if s.data, err = s.process.Listen(ctx, "listen.data", cfg.Listen.Data, s.metrics.Connections, identity.Entry); err != nil {
		return err
	}
	s.admin, err = s.process.Listen(ctx, "listen.operators", cfg.Listen.Operators, s.metrics.Connections,
		identity.Reader, identity.Operator, identity.Administrator)
	if err != nil {
		_ = s.data.Close()
	}
	return err
}

func (s *server) stateFunc(slots int) func() metrics.AgentState {
	return func() metrics.AgentState {
		g, l := s.agent.Gate(), s.agent.Ledger()
		return metrics.AgentState{CapacityCPU: l.Capacity().CPU, CapacityMemory: l.Capacity().Memory, ReservedCPU: l.Reserved().CPU,
			ReservedMemory: l.Reserved().Memory, FreeSlots: g.FreeSlots(), Slots: slots, Generation: g.MinGeneration(), Draining: g.Draining()}
	}
}

// operatorsHandler returns the handler for health checks, metrics and profiles.
func (s *server) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case s.agent.Gate().Draining():
			http.Error(w, "draining", http.StatusServiceUnavailable)
		case s.agent.Gate().MinGeneration() == 0:
			http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
		default:
			_, _ = io.WriteString(w, "ok\n")
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.Registry, promhttp.HandlerOpts{}))
	entry.RegisterPprof(mux, func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if id, ok := identity.FromConnectionState(r.TLS); ok && id.Role == identity.Reader {
				http.Error(w, "permission_denied: profiles require the role operator", http.StatusForbidden)
				return
			}
			h(w, r)
		}
	})
	return mux
}

// Serve implements daemon.Server.
func (s *server) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, f := range []func(){
		func() { s.worker.Run(ctx) },
		func() { _ = daemon.ServeHTTP(ctx, s.admin, s.operatorsHandler()) },
		func() {
			if s.upstream != nil {
				_ = daemon.ServeHTTP(ctx, s.upstream, s.upstreamHandler)
			}
		},
	} {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	err := s.agent.Run(ctx, s.data)
	wg.Wait()
	return err
}

// Stop implements daemon.Server.
func (s *server) Stop(ctx context.Context) {
	events.UpstreamDraining.Log(s.process.Log).Send()
	s.agent.Leave(ctx)
	events.UpstreamLeft.Log(s.process.Log).Send()
}
