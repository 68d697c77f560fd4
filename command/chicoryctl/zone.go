package chicoryctl

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
)

func newZone(o *options) *cobra.Command {
	return newCommandGroup("zone", "The availability zones and their evacuation", newZoneList(o), newZoneEvacuate(o), newZoneRestore(o))
}

func (c *client) zones(ctx context.Context) ([]entry.ZoneView, error) {
	var list []entry.ZoneView
	err := c.call(ctx, http.MethodGet, "/v1/zones", nil, &list)
	return list, err
}

// changeZone evacuates a zone or restores it.
func (c *client) changeZone(ctx context.Context, zone, operation string) (entry.ZoneView, error) {
	var v entry.ZoneView
	err := c.call(ctx, http.MethodPost, "/v1/zones/"+url.PathEscape(zone)+"/"+operation, nil, &v)
	return v, err
}

// completeZones provides shell completion of zone names.
func (o *options) completeZones(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	c, err := o.client()
	if err != nil || len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	list, err := c.zones(cmd.Context())
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.Zone
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func zoneRows(list ...entry.ZoneView) func(table) {
	return func(t table) {
		t.row("ZONE", "EVACUATED", "VMS", "TASKS", "REQUESTS", "GENERATION")
		for _, v := range list {
			t.row(v.Zone, v.Evacuated, v.VMs, v.Tasks, v.Requests, v.Generation)
		}
	}
}

func newZoneList(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the availability zones",
		Example: "  chicoryctl zone list -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			list, err := c.zones(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd, list, zoneRows(list...))
		},
	}
}

// zoneCommand returns a command that changes a zone and prints it.
func (o *options) zoneCommand(verb, short string, change func(cmd *cobra.Command, c *client, zone string) (entry.ZoneView, error)) *cobra.Command {
	return &cobra.Command{
		Use:               verb + " ZONE",
		Short:             short,
		Example:           "  chicoryctl zone " + verb + " z1",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: o.completeZones,
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			v, err := change(cmd, c, args[0])
			if err != nil {
				return err
			}
			return o.print(cmd, v, zoneRows(v))
		},
	}
}

func newZoneEvacuate(o *options) *cobra.Command {
	var wait time.Duration
	cmd := o.zoneCommand("evacuate", "Start nothing new in an availability zone until it is restored",
		func(cmd *cobra.Command, c *client, zone string) (entry.ZoneView, error) {
			v, err := c.changeZone(cmd.Context(), zone, "evacuate")
			if err != nil || wait == 0 {
				return v, err
			}
			return c.awaitEmptyZone(cmd, zone, wait)
		})
	cmd.Long = "Start nothing new in an availability zone until it is restored. Tasks and requests in progress there go on to their end.\n" +
		"The command returns once the change is accepted; with --wait it returns when nothing is left in the zone."
	cmd.Example = "  chicoryctl zone evacuate z1 --wait 5m"
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until no task and no request is left in the zone; 0 does not wait")
	return cmd
}

func newZoneRestore(o *options) *cobra.Command {
	return o.zoneCommand("restore", "Withdraw the evacuation of an availability zone",
		func(cmd *cobra.Command, c *client, zone string) (entry.ZoneView, error) {
			return c.changeZone(cmd.Context(), zone, "restore")
		})
}

// awaitEmptyZone waits until no task and no request is left in an evacuated zone.
func (c *client) awaitEmptyZone(cmd *cobra.Command, zone string, wait time.Duration) (entry.ZoneView, error) {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	start := time.Now()
	for {
		v, err := c.zone(ctx, zone)
		switch {
		case cmd.Context().Err() != nil:
			return v, errkind.New(errkind.Cancelled, "interrupted; %s stays under evacuation", zone)
		case ctx.Err() != nil:
			return v, errkind.New(errkind.DeadlineExceeded, "work is left in %s after %v; it stays under evacuation", zone, wait)
		case err != nil && !errkind.Of(err).Attributes().Retryable:
			return v, err
		case err == nil && !v.Evacuated:
			return v, errkind.New(errkind.Conflict, "%s was restored by another operator", zone)
		case err == nil && v.Tasks == 0 && v.Requests == 0 && time.Since(start) >= drainGrace:
			return v, nil
		}
		progressf(cmd, "%s: %d tasks and %d requests left", zone, v.Tasks, v.Requests)
		sleep(ctx, pollInterval)
	}
}

func (c *client) zone(ctx context.Context, name string) (entry.ZoneView, error) {
	list, err := c.zones(ctx)
	if err != nil {
		return entry.ZoneView{}, err
	}
	for _, v := range list {
		if v.Zone == name {
			return v, nil
		}
	}
	return entry.ZoneView{}, errkind.New(errkind.NotFound, "zone %s", name)
}
