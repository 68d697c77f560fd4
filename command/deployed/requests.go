package deployed

import (
	"context"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/base/settings"
	"github.com/chicorystand/chicorystand/ingress/intake"
	"github.com/chicorystand/chicorystand/ingress/receive"
	"github.com/chicorystand/chicorystand/platform"
)

// limitRequests makes a server read requests within the memory and the descriptors of the VM, and returns the listener to serve.
// Where the platform's settings name neither, the server stays as it is.
func (p *process) limitRequests(ctx context.Context, s *http.Server, l net.Listener, g platform.SubmissionService, reg prometheus.Registerer) (net.Listener, error) {
	const mebi = 1 << 20
	o := &p.options.Requests
	limits := intake.Derive(int64(p.settings.MemoryMB)*mebi, p.settings.FileDescriptors, intakeOptions(o))
	if !o.Enabled || !limits.Limited() {
		return l, nil
	}
	var m *metrics.Intake
	r := receive.New(receive.Config{Limits: limits, ReceiveBuffer: int(o.ReceiveBuffer), MaxHeaderBytes: int(o.MaxHeaderBytes), Clock: clock.NewRuntime(), Log: p.log,
		Observe: func(reason string) { m.Observe(reason) }})
	m = metrics.NewIntake(reg, receive.Reasons(), r.Use)
	s.Handler = platform.LimitedRequestHandler(g, r)
	r.Attach(s)
	go r.Run(ctx)
	return r.Listen(l)
}

func intakeOptions(o *settings.Requests) intake.Options {
	return intake.Options{BodyPercent: o.BodyMemoryPercent, ConnectionPercent: o.ConnectionMemoryPercent, SmallBody: int64(o.SmallBody),
		SmallPercent: o.SmallBodyPercent, ReceiveBuffer: int64(o.ReceiveBuffer),
		Pace:       intake.Pace{Stall: o.BodyStall, Grace: o.BodyGrace, BytesPerSecond: int64(o.BodyRate)},
		ScarcePace: intake.Pace{Stall: o.ScarceBodyStall, Grace: o.ScarceBodyGrace, BytesPerSecond: int64(o.ScarceBodyRate)}}
}
