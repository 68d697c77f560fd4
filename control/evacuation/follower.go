package evacuation

import (
	"maps"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/state/store"
)

// Follower holds the evacuations that were last read from the store. It is the sink of a follower
// of the table that holds one row for each evacuated zone. The row's existence is the request; its
// value does not matter.
type Follower struct {
	zoneOf  func(key string) (zone string, ok bool)
	log     zerolog.Logger
	current atomic.Pointer[Zones]
	// version is the highest version of the store that is reflected in current.
	version uint64
}

// NewFollower returns a follower. zoneOf returns the zone that a row's key evacuates, and false for
// rows of other kinds.
func NewFollower(zoneOf func(key string) (zone string, ok bool), log zerolog.Logger) *Follower {
	f := &Follower{zoneOf: zoneOf, log: log}
	f.current.Store(&Zones{})
	return f
}

// Current returns the evacuated zones, which are none before the first read.
func (f *Follower) Current() Zones { return *f.current.Load() }

// Row implements follow.Sink. It must be called from one goroutine only.
func (f *Follower) Row(c store.Change) {
	zone, ok := f.zoneOf(c.Key)
	if !ok || c.Version < f.version {
		return
	}
	f.version = c.Version
	next := maps.Clone(f.Current())
	if c.Deleted {
		delete(next, zone)
	} else {
		next[zone] = c.Version
	}
	f.replace(next)
}

// Table implements follow.TableSink: zones without a row were restored while the history of changes
// was not available. A table older than what is known is ignored.
func (f *Follower) Table(rows []store.Row, version uint64) {
	if version < f.version {
		return
	}
	f.version = version
	next := make(Zones)
	for _, r := range rows {
		if zone, ok := f.zoneOf(r.Key); ok {
			next[zone] = r.Version
		}
	}
	f.replace(next)
}

// replace puts the next set of zones in force and logs the differences.
func (f *Follower) replace(next Zones) {
	before := f.Current()
	f.current.Store(&next)
	for zone, version := range next {
		if !before.Contains(zone) {
			events.ZoneEvacuated.Log(f.log).Str("zone", zone).Uint64("row_version", version).Send()
		}
	}
	for zone := range before {
		if !next.Contains(zone) {
			events.ZoneRestored.Log(f.log).Str("zone", zone).Uint64("version", f.version).Send()
		}
	}
}
