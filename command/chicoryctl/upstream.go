package chicoryctl

import (
	"context"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/wire"
)

func newUpstream(o *options) *cobra.Command {
	return newCommandGroup("upstream", "The upstreams of services",
		newUpstreamList(o), newUpstreamDescribe(o), newUpstreamStart(o), newUpstreamStop(o), newUpstreamDrain(o))
}

func (c *client) upstreams(ctx context.Context) ([]wire.Upstream, error) {
	var list []wire.Upstream
	err := c.call(ctx, http.MethodGet, "/v1/upstreams", nil, &list)
	return list, err
}

func (c *client) status(ctx context.Context) (entry.SystemStatus, error) {
	var s entry.SystemStatus
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// vm returns the status of a VM as the owner of its shard reports it.
func (c *client) vm(ctx context.Context, name string) (wire.VMStatus, error) {
	s, err := c.status(ctx)
	if err != nil {
		return wire.VMStatus{}, err
	}
	for _, sh := range s.Shards {
		for _, v := range sh.VMs {
			if v.VM == name {
				return v, nil
			}
		}
	}
	return wire.VMStatus{}, errkind.New(errkind.NotFound, "VM %s", name)
}

// setDraining starts or ends the drain of an upstream.
func (c *client) setDraining(ctx context.Context, vm string, draining bool) (wire.Upstream, error) {
	path := "/v1/upstreams/" + url.PathEscape(vm) + "/drain"
	if !draining {
		path += "?undo=true"
	}
	var u wire.Upstream
	err := c.call(ctx, http.MethodPost, path, nil, &u)
	return u, err
}

// completeUpstreams provides shell completion of upstream names.
func (o *options) completeUpstreams(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	c, err := o.client()
	if err != nil || len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	list, err := c.upstreams(cmd.Context())
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.VM
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func upstreamRows(list ...wire.Upstream) func(table) {
	return func(t table) {
		t.row("VM", "ZONE", "SERVICE", "SLOTS", "CONNECTIONS", "DRAINING", "ADDRESS")
		for _, u := range list {
			t.row(u.VM, u.Zone, u.Service, u.Slots, u.Conns, u.Draining, u.DataAddr)
		}
	}
}
