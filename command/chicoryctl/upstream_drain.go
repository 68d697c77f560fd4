package chicoryctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/gate"
	"github.com/chicorystand/chicorystand/wire"
)

// pollInterval is the time between requests while a command waits.
const pollInterval = 500 * time.Millisecond

func percent(f float64) string { return fmt.Sprintf("%.0f%%", 100*f) }

// drainGrace is how long an idle upstream may still receive requests that were already in transit.
const drainGrace = gate.DrainGrace + pollInterval

func newUpstreamDrain(o *options) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "drain VM",
		Short: "Drain an upstream and wait until its VM is idle",
		Long: "Drain an upstream and wait until no request is in progress and no task is left on its VM.\n" +
			"If the wait is interrupted, the upstream keeps draining.",
		Example:           "  chicoryctl upstream drain vm-00 --wait 2m",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: o.completeUpstreams,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			if _, err := c.setDraining(cmd.Context(), args[0], true); err != nil {
				return err
			}
			v, err := c.awaitIdle(cmd, args[0], wait)
			if err != nil {
				return err
			}
			return o.print(cmd, v, func(t table) { t.row("drained", v.VM, "configuration", v.ConfigGen) })
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 5*time.Minute, "maximum time to wait")
	return cmd
}

func (c *client) awaitIdle(cmd *cobra.Command, vm string, wait time.Duration) (wire.AgentStatusReply, error) {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	start := time.Now()
	for {
		var v wire.AgentStatusReply
		err := c.call(ctx, http.MethodGet, "/v1/upstreams/"+url.PathEscape(vm), nil, &v)
		switch {
		case cmd.Context().Err() != nil:
			return v, errkind.New(errkind.Cancelled, "interrupted; %s keeps draining", vm)
		case ctx.Err() != nil:
			return v, errkind.New(errkind.DeadlineExceeded, "%s is still draining after %v", vm, wait)
		case err != nil && !errkind.Of(err).Attributes().Retryable:
			return v, err
		case err == nil && !v.Draining:
			return v, errkind.New(errkind.Conflict, "%s was returned to service by another operator", vm)
		case err == nil && v.InUse == 0 && v.Tasks == 0 && time.Since(start) >= drainGrace:
			return v, nil
		}
		progressf(cmd, "%s: %d requests and %d tasks left", vm, v.InUse, v.Tasks)
		sleep(ctx, pollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
