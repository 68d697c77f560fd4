// Package chicoryentry implements the chicory-entry command.
package chicoryentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/command/daemon"
	"github.com/chicorystand/chicorystand/command/deployed"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/identity"
	"github.com/chicorystand/chicorystand/state/store/httpstore"
)

// New returns the root command.
func New() *cobra.Command {
	root := daemon.Command(daemon.Spec{
		Name: "chicory-entry", Short: "Serve callers and operators, route requests and own shards",
		NewSettings: func() any { return new(settings.Entry) },
		Common: func(v any) daemon.CommonSettings {
			s := v.(*settings.Entry)
			return daemon.CommonSettings{Log: s.Log, Security: s.Security, Connections: s.Connections, MemoryLimit: s.MemoryLimit, StopTimeout: s.StopTimeout}
		},
		Open: open,
	})
	root.AddCommand(deployed.NewEntryCommand())
	return root
}

type server struct {
	entry               *entry.Entry
	control, api, admin net.Listener
}

func open(ctx context.Context, v any, p *daemon.Process) (daemon.Server, error) {
	s := v.(*settings.Entry)
	log := p.Log.With().Str("entry", s.ID).Logger()
	p.Log = log
	client := httpstore.New(s.Platform, nil)
	dial := identity.Dialer(p.Identity, identity.Entry, identity.Agent)
	en := entry.New(entry.Config{ID: s.ID, Zone: s.Zone, Incarnation: uint64(time.Now().UnixNano()), ShardsPerZone: s.ShardsPerZone, TailWeight: s.Objective.TailWeight,
		Table: client, Clock: clock.Boottime{}, Log: log, Dial: dial, RequireIdentity: p.Identity != nil, Events: p.Events})
	srv := &server{entry: en}
	callerRoles := []identity.Role{identity.Customer, identity.Reader, identity.Operator, identity.Administrator}
	for _, l := range []struct {
		field, addr string
		listener    *net.Listener
		roles       []identity.Role
	}{
		{"listen.control", s.Listen.Control, &srv.control, []identity.Role{identity.Entry, identity.Agent}},
		{"listen.api", s.Listen.API, &srv.api, callerRoles},
		{"listen.operators", s.Listen.Operators, &srv.admin, callerRoles[1:]},
	} {
		var err error
		if *l.listener, err = p.Listen(ctx, l.field, l.addr, en.Metrics().Connections, l.roles...); err != nil {
			srv.closeListeners()
			return nil, err
		}
	}
	probeCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := client.Get(probeCtx, "config/current"); err != nil {
		events.PlatformUnreachable.Log(log).Str("platform", s.Platform).Err(err).Send()
	}
	events.ProcessStarted.Log(log).Str("control", srv.control.Addr().String()).Str("api", srv.api.Addr().String()).
		Str("operators", srv.admin.Addr().String()).Str("version", daemon.Version()).Send()
	return srv, nil
}

func (s *server) closeListeners() {
	for _, l := range []net.Listener{s.control, s.api, s.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Serve implements daemon.Server.
func (s *server) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(1)
	var adminErr error
	go func() {
		defer wg.Done()
		adminErr = daemon.ServeHTTP(ctx, s.admin, http.Handler(s.entry.OperatorHandler()))
	}()
	err := s.entry.Run(ctx, s.control, s.api)
	wg.Wait()
	if err == nil {
		err = adminErr
	}
	return err
}

// Stop implements daemon.Server.
func (s *server) Stop(ctx context.Context) { s.entry.Shutdown(ctx) }
