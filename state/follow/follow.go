// Package follow keeps a process up to date with a table of the store. It reads
// the whole table, follows its changes, and reads the table again whenever the
// store has compacted the history in between.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/state/store"
)

const (
	// maxChangesWait is how long one call waits for changes. An unresponsive connection
	// is detected after this time plus the timeout of a call.
	maxChangesWait = time.Second
	// callsWithinAge is the number of calls within the age that rows may have.
	callsWithinAge = 3
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

// TableSink is a sink that also learns which rows do not exist. Deletions that the store
// has compacted away are not delivered as changes.
type TableSink interface {
	Sink
	// Table is called in place of Row after a full read, with all rows of the table as
	// of the given version of the store.
	Table(rows []store.Row, version uint64)
}

// CurrentSink is a sink that is told how recent the rows are.
type CurrentSink interface {
	Sink
	// Current is called after all changes before a time have been delivered.
	Current(asOf time.Duration)
}

// Sinks passes the rows of one table on to several sinks.
type Sinks []Sink

// Row implements Sink.
func (s Sinks) Row(c store.Change) {
	for _, sink := range s {
		sink.Row(c)
	}
}

// Table implements TableSink.
func (s Sinks) Table(rows []store.Row, version uint64) {
	for _, sink := range s {
		deliverTable(sink, rows, version)
	}
}

// deliverTable passes the result of a full read to a sink.
func deliverTable(s Sink, rows []store.Row, version uint64) {
	if t, ok := s.(TableSink); ok {
		t.Table(rows, version)
		return
	}
	for _, r := range rows {
		s.Row(store.Change{Row: r})
	}
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
	// currentAsOf is the time as of which all changes have been delivered, 0 before the first full read.
	currentAsOf atomic.Int64
	failing     bool
	// behind is set if the last call has failed, or has not delivered all changes.
	behind bool
	// maxAge is the age that the rows are to have at most, 0 for no bound.
	maxAge time.Duration
	// latency is the time for which the store's last answer was on its way.
	latency time.Duration

	mu      sync.Mutex
	pending pendingPoll
}

// pendingPoll is a call for changes in progress.
type pendingPoll struct {
	// due is when its answer is due if the store answers at once.
	due    time.Duration
	cancel context.CancelFunc
}

// New returns a follower. Run starts it.
func New(s store.Follower, name string, sink Sink, c clock.Clock, log zerolog.Logger) *Follower {
	return &Follower{store: s, table: name, sink: sink, log: log, clock: c}
}

// KeepWithin makes the follower poll often enough for the rows to be at most maxAge old while the store answers as fast as it last
// did. It must be called before Run.
func (t *Follower) KeepWithin(maxAge time.Duration) { t.maxAge = maxAge }

// RetryOverdue repeats the poll in progress over a new connection if its answer is overdue by more than late. The caller knows that
// the store answers other calls faster.
func (t *Follower) RetryOverdue(late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending.cancel != nil && t.clock.Now() > t.pending.due+late {
		t.pending.cancel()
	}
}

// Age returns the time since the store's last reply; ok is false before the first.
func (t *Follower) Age() (age time.Duration, ok bool) {
	at := t.lastAnswer.Load()
	return t.clock.Now() - time.Duration(at), at != 0
}

// LastAnswer returns the time of the store's last reply, 0 before the first.
func (t *Follower) LastAnswer() time.Duration { return time.Duration(t.lastAnswer.Load()) }

// CurrentAsOf returns the time as of which all changes have been delivered to the sink, 0 before
// the first full read. A store whose answers are linearizable has applied every change that it
// acknowledged before a call was sent, so this is the time of sending the last successful call.
func (t *Follower) CurrentAsOf() time.Duration { return time.Duration(t.currentAsOf.Load()) }

// Run follows the table until ctx ends, starting from the given version or, when it
// is 0, with a full read.
func (t *Follower) Run(ctx context.Context, version uint64) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		sent := t.clock.Now()
		next, complete, err := t.poll(ctx, version)
		if err == nil {
			t.behind = !complete
			if complete {
				t.setCurrent(sent)
			}
			version, delay = next, minRetryDelay
			t.lastAnswer.Store(int64(t.clock.Now()))
			t.logTransition(nil)
			continue
		}
		t.behind = true
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

// poll delivers the next changes, or all rows when version is 0, and returns the version to continue
// from. complete is false when the store has held back changes for the next call.
func (t *Follower) poll(ctx context.Context, version uint64) (next uint64, complete bool, err error) {
	if version != 0 {
		page, err := t.changes(ctx, version)
		for _, c := range page.Changes {
			t.sink.Row(c)
		}
		return max(version, page.Version), !page.More, err
	}
	rows, version, err := store.ReadAll(ctx, t.store, t.table)
	if err != nil {
		return 0, false, err
	}
	deliverTable(t.sink, rows, version)
	return version, true, nil
}

// changes makes one call for the changes after a version.
func (t *Follower) changes(ctx context.Context, version uint64) (store.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := t.changesWait()
	sent := t.clock.Now()
	t.setPending(pendingPoll{due: sent + wait, cancel: cancel})
	defer t.setPending(pendingPoll{})
	page, err := t.store.Changes(ctx, t.table, version, wait)
	took := t.clock.Now() - sent
	if len(page.Changes) == 0 {
		t.latency = max(0, took-wait)
	} else {
		t.latency = min(t.latency, took)
	}
	return page, err
}

// changesWait returns how long the next call waits for changes. What a call delivers is as old as the call at its end, and is
// followed by the next one only when that has ended: rows are up to twice as old as a call takes, and a little older if it is late.
func (t *Follower) changesWait() time.Duration {
	switch {
	case t.maxAge == 0:
		return maxChangesWait
	case t.behind:
		return 0
	}
	return min(max(0, t.maxAge/callsWithinAge-t.latency), maxChangesWait)
}

func (t *Follower) setPending(p pendingPoll) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = p
}

// setCurrent records that all changes before a time have been delivered.
func (t *Follower) setCurrent(asOf time.Duration) {
	t.currentAsOf.Store(int64(asOf))
	if s, ok := t.sink.(CurrentSink); ok {
		s.Current(asOf)
	}
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
