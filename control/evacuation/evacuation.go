// Package evacuation knows which availability zones operators have evacuated. The executors of an
// evacuated zone get no new work until the zone is restored.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Zones is the set of evacuated zones. It maps each zone to the version of the store at which it
// was evacuated. A Zones value is not changed once it is shared.
type Zones map[string]uint64

// Contains reports whether the zone is evacuated.
func (z Zones) Contains(zone string) bool {
	_, ok := z[zone]
	return ok
}

// Names returns the names of the zones in order.
func (z Zones) Names() []string { return slices.Sorted(maps.Keys(z)) }

// State is what a process knows of the evacuations.
type State struct {
	Zones Zones
	// AsOf is the time, on the process's clock, as of which Zones is complete. It is 0 while
	// nothing is known.
	AsOf time.Duration
}
