package chicorybench

import (
	"context"
	"os"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/bench"
	"github.com/chicorystand/chicorystand/verify/bench/route"
)

func newRoute() *cobra.Command {
	var profile string
	var serviceTime time.Duration
	cmd := newBenchCommand("route", "Measure added latency and goodput of the request path",
		func(ctx context.Context, seed uint64) (*bench.Result, error) {
			if profile == "" {
				return route.Run(ctx, seed, serviceTime)
			}
			f, err := os.Create(profile)
			if err != nil {
				return nil, errkind.Wrap(errkind.InvalidArgument, err, "--cpu-profile")
			}
			defer func() { _ = f.Close() }()
			if err := pprof.StartCPUProfile(f); err != nil {
				return nil, errkind.Wrap(errkind.Internal, err, "start profile")
			}
			defer pprof.StopCPUProfile()
			return route.Run(ctx, seed, serviceTime)
		})
	cmd.Flags().DurationVar(&serviceTime, "service-time", route.DefaultServiceTime, "processing time of one request on an upstream")
	cmd.Flags().StringVar(&profile, "cpu-profile", "", "write a CPU profile to this file")
	return cmd
}
