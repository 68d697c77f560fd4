// Package follow keeps a process up to date with a table of the store. It
// reads the table as a whole, follows its changes, and reads it again whenever
// the store no longer has the history in between.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/state/store"
)

const (
	// pollWait is how long one call waits for changes. A connection that has gone
	// silent is noticed after this time and the time-out of a call.
	pollWait = time.Second
	// firstRetry and lastRetry bound the pause after a failure.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// Sink receives rows. It is called from one goroutine.
type Sink interface {
	// Row is called with each row that was read or has changed. The same version
	// of a row may come more than once.
	Row(c store.Change)
}

// Follower follows one table.
type Follower struct {
	store store.Follower
	name  string
	sink  Sink
	log   zerolog.Logger
	clock clock.Clock
	// confirmed is the time of the last answer of the store, 0 before the first.
	confirmed atomic.Int64
	failing   bool
}

// New returns a follower that is started by Run.
func New(s store.Follower, name string, sink Sink, c clock.Clock, log zerolog.Logger) *Follower {
	return &Follower{store: s, name: name, sink: sink, log: log, clock: c}
}

// Age returns how long ago the store last answered; ok is false before the first answer.
func (t *Follower) Age() (age time.Duration, ok bool) {
	at := t.confirmed.Load()
	return t.clock.Now() - time.Duration(at), at != 0
}

// LastAnswer returns the time of the last answer of the store, 0 before the first.
func (t *Follower) LastAnswer() time.Duration { return time.Duration(t.confirmed.Load()) }

// Run follows the table until ctx ends, from the given version or, when it is
// 0, from a complete reading.
func (t *Follower) Run(ctx context.Context, version uint64) {
	pause := firstRetry
	for ctx.Err() == nil {
		next, err := t.step(ctx, version)
		if err == nil {
			version, pause = next, firstRetry
			t.confirmed.Store(int64(t.clock.Now()))
			t.report(nil)
			continue
		}
		if errkind.Of(err) == errkind.NotFound && version != 0 {
			// The store has dropped the history since this version.
			version = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.report(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			pause = min(2*pause, lastRetry)
		}
	}
}

func (t *Follower) step(ctx context.Context, version uint64) (uint64, error) {
	if version != 0 {
		page, err := t.store.Changes(ctx, t.name, version, pollWait)
		for _, c := range page.Changes {
			t.sink.Row(c)
		}
		return max(version, page.Version), err
	}
	rows, version, err := store.ReadAll(ctx, t.store, t.name)
	if err != nil {
		return 0, err
	}
	for _, r := range rows {
		t.sink.Row(store.Change{Row: r})
	}
	return version, nil
}

func (t *Follower) report(err error) {
	switch {
	case err != nil && !t.failing:
		events.FollowFailed.Log(t.log).Str("table", t.name).Err(err).Send()
	case err == nil && t.failing:
		events.FollowRecovered.Log(t.log).Str("table", t.name).Send()
	}
	t.failing = err != nil
}
