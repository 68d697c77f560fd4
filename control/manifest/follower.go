package manifest

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/state/store"
)

// Follower holds the newest manifest read from the store. Within a process the version in force
// never decreases. It is the sink of a follower of the table that holds the manifest.
type Follower struct {
	key     string
	decode  func([]byte) (*Manifest, error)
	log     zerolog.Logger
	current atomic.Pointer[Manifest]
}

// NewFollower returns a follower of the row with the key.
func NewFollower(key string, decode func([]byte) (*Manifest, error), log zerolog.Logger) *Follower {
	return &Follower{key: key, decode: decode, log: log}
}

// Current returns the manifest in force, nil before the first.
func (f *Follower) Current() *Manifest { return f.current.Load() }

// Row applies a change of a row of the table. It must be called from one goroutine only.
func (f *Follower) Row(c store.Change) {
	if c.Key != f.key || c.Deleted {
		return
	}
	m, err := f.decode(c.Value)
	if err != nil {
		events.ManifestInvalid.Log(f.log).Uint64("row_version", c.Version).Err(err).Send()
		return
	}
	before := f.current.Load()
	if before != nil && m.Version <= before.Version {
		return
	}
	f.current.Store(m)
	events.ManifestApplied.Log(f.log).Int64("version", m.Version).Int("routes", len(m.Routes)).
		Int("services", len(m.Services)).Uint64("row_version", c.Version).Send()
}
