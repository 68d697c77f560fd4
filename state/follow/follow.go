// Package follow keeps a process up to date with a table of the store. It reads
// the whole table, follows its changes, and reads the table again whenever the
// store has compacted the history in between.
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
	// changesWait is how long one call waits for changes. An unresponsive connection
	// is detected after this time plus the timeout of a call.
	changesWait = time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Sink receives rows. It is called from one goroutine.
type Sink interface {
	// Row is called for each row that was read or has changed. The same version of a
	// row may be delivered more than once.
	Row(c store.Change)
}

// Follower follows one table.
type Follower struct {
	store store.Follower
	table string
	sink  Sink
	log   zerolog.Logger
	clock clock.Clock
	// lastAnswer is the time of the store's last reply, 0 before the first.
	lastAnswer atomic.Int64
	failing    bool
}

// New returns a follower. Run starts it.
func New(s store.Follower, name string, sink Sink, c clock.Clock, log zerolog.Logger) *Follower {
	return &Follower{store: s, table: name, sink: sink, log: log, clock: c}
}

// Age returns the time since the store's last reply; ok is false before the first.
func (t *Follower) Age() (age time.Duration, ok bool) {
	at := t.lastAnswer.Load()
	return t.clock.Now() - time.Duration(at), at != 0
}

// LastAnswer returns the time of the store's last reply, 0 before the first.
func (t *Follower) LastAnswer() time.Duration { return time.Duration(t.lastAnswer.Load()) }

// Run follows the table until ctx ends, starting from the given version or, when it
// is 0, with a full read.
func (t *Follower) Run(ctx context.Context, version uint64) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		next, err := t.poll(ctx, version)
		if err == nil {
			version, delay = next, minRetryDelay
			t.lastAnswer.Store(int64(t.clock.Now()))
			t.logTransition(nil)
			continue
		}
		if errkind.Of(err) == errkind.NotFound && version != 0 {
			// The store has compacted the history since this version.
			version = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.logTransition(err)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

func (t *Follower) poll(ctx context.Context, version uint64) (uint64, error) {
	if version != 0 {
		page, err := t.store.Changes(ctx, t.table, version, changesWait)
		for _, c := range page.Changes {
			t.sink.Row(c)
		}
		return max(version, page.Version), err
	}
	rows, version, err := store.ReadAll(ctx, t.store, t.table)
	if err != nil {
		return 0, err
	}
	for _, r := range rows {
		t.sink.Row(store.Change{Row: r})
	}
	return version, nil
}

func (t *Follower) logTransition(err error) {
	switch {
	case err != nil && !t.failing:
		events.FollowFailed.Log(t.log).Str("table", t.table).Err(err).Send()
	case err == nil && t.failing:
		events.FollowRecovered.Log(t.log).Str("table", t.table).Send()
	}
	t.failing = err != nil
}
