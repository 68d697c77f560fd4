package entry

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/plan"
)

// ZoneView is the state of an availability zone.
type ZoneView struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// VMs, Tasks and Requests count the zone's VMs, the tasks on them and their busy upstream slots.
	VMs      int `json:"vms"`
	Tasks    int `json:"tasks"`
	Requests int `json:"requests"`
	// Generation is the configuration generation in force at the entry.
	Generation uint64 `json:"config_generation"`
}

// zones returns the zones that have an entry, a shard or a VM, or are under evacuation, in order.
func (e *Entry) zones(ctx context.Context) []ZoneView {
	doc := e.config()
	var list []ZoneView
	view := func(zone string) *ZoneView {
		i, ok := slices.BinarySearchFunc(list, zone, func(v ZoneView, name string) int { return strings.Compare(v.Zone, name) })
		if !ok {
			list = slices.Insert(list, i, ZoneView{Zone: zone, Evacuated: doc.Evacuated(zone), Generation: doc.Generation})
		}
		return &list[i]
	}
	for _, z := range doc.EvacuatedZones {
		view(z)
	}
	for _, id := range e.manager.Shards() {
		view(zoneOfShard(id))
	}
	status := e.systemStatus(ctx)
	for i := range status.Entries {
		view(status.Entries[i].Zone)
	}
	slots := make(map[string]int)
	for _, u := range e.upstreams() {
		slots[u.VM] = int(u.Slots)
	}
	for i := range status.Shards {
		for _, vm := range status.Shards[i].VMs {
			v := view(vm.Zone)
			v.VMs++
			v.Tasks += vm.Tasks
			v.Requests += int(math.Round(vm.Load * float64(slots[vm.VM])))
		}
	}
	return list
}

func (e *Entry) listZones(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, e.zones(r.Context()))
}

// changeZone returns the handler that evacuates a zone or restores it. It is idempotent, and
// responds once the change is accepted.
func (e *Entry) changeZone(evacuated bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("zone")
		if err := e.checkZone(r.Context(), zone); err != nil {
			writeError(w, err)
			return
		}
		if err := e.setZone(r, zone, evacuated); err != nil {
			writeError(w, err)
			return
		}
		for _, v := range e.zones(r.Context()) {
			if v.Zone == zone {
				writeJSON(w, http.StatusOK, v)
				return
			}
		}
		writeJSON(w, http.StatusOK, ZoneView{Zone: zone, Evacuated: evacuated, Generation: e.config().Generation})
	}
}

// checkZone returns errkind.NotFound for a zone that no process is in, and names those that exist.
func (e *Entry) checkZone(ctx context.Context, zone string) error {
	var names []string
	for _, v := range e.zones(ctx) {
		if v.Zone == zone {
			return nil
		}
		names = append(names, v.Zone)
	}
	return errkind.New(errkind.NotFound, "zone %q; the zones are %s; nothing was changed", zone, strings.Join(names, ", "))
}

// setZone changes the configuration so that the zone is under evacuation or not. Changes of other
// operators are kept: after a conflict the zone is changed in the generation that won.
func (e *Entry) setZone(r *http.Request, zone string, evacuated bool) error {
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	for {
		before, err := e.proposer.Current(ctx)
		if err != nil {
			return err
		}
		if before.Evacuated(zone) == evacuated {
			e.awaitInForce(ctx, before.Generation)
			return nil
		}
		accepted, err := e.applyConfig(ctx, before.WithZone(zone, evacuated))
		if err == nil {
			events.ZoneChanged.Log(e.cfg.Log).Str("zone", zone).Bool("evacuated", evacuated).Uint64("generation", accepted.Generation).
				Str("by", callerOf(r).Name).Send()
			e.awaitInForce(ctx, accepted.Generation)
			e.recordChange(r, before, before.Generation, accepted)
			return nil
		}
		if errkind.Of(err) != errkind.Conflict {
			return err
		}
		// Another change is in progress, or was accepted first.
		select {
		case <-ctx.Done():
			return err
		case <-time.After(acceptInterval):
		}
	}
}

// keepZones returns a change of plans and limits with the evacuated zones of the generation that it
// is based on, so that it cannot restore a zone by leaving it out.
func (e *Entry) keepZones(ctx context.Context, doc plan.Document) (plan.Document, error) {
	current, err := e.proposer.Current(ctx)
	if err != nil {
		return doc, err
	}
	if doc.EvacuatedZones != nil && current.Generation == doc.Generation && !slices.Equal(doc.EvacuatedZones, current.EvacuatedZones) {
		return doc, errkind.New(errkind.InvalidArgument, "evacuated_zones is changed with the operations of /v1/zones; nothing was changed")
	}
	doc.EvacuatedZones = current.EvacuatedZones
	return doc, nil
}
