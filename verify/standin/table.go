// Package standin contains in-memory stand-ins for the platform: the transactional table
// service, the object store, executors, workers and upstreams. They implement the same
// interfaces as the real services, and the failures of those can be injected.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// Faults selects the failures of a store stand-in.
type Faults struct {
	// Down makes every operation fail without effect.
	Down bool
	// Latency is added to every operation.
	Latency time.Duration
	// LoseResponses is the number of next commits whose response is lost after the write has taken effect.
	LoseResponses int
	// DelayCommits is the number of next commits that fail immediately as ambiguous and
	// are applied after CommitDelay if their conditions hold then.
	DelayCommits int
	CommitDelay  time.Duration
	// Refuse, if not nil, is called for the key of each write and reports whether its commit is refused.
	Refuse func(key string) bool
}

// Counts holds the numbers of operations served so far; Refused counts those that failed while the store was down.
type Counts struct {
	Commits   int64
	Rows      int64
	Reads     int64
	Conflicts int64
	Refused   int64
}

// Table is an in-memory transactional table. A row has the version of the transaction
// that last wrote it. Table is safe for concurrent use.
type Table struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	rows   map[string]store.Row
	faults Faults
	counts Counts
	// history holds all changes since the last compaction; versions[i] is the version of history[i].
	history  []store.Change
	versions []uint64
	version  uint64
	// compacted is the version up to which the history has been dropped.
	compacted uint64
	changed   chan struct{}
}

// Rate limits of the platform's table service, in operations per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// MaxRowBytes is the size of the largest value of a row.
const MaxRowBytes = 64 << 10

// NewTable returns an empty table limited to the given operations per second.
func NewTable(writesPerSecond, readsPerSecond float64) *Table {
	return &Table{
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond)),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), int(readsPerSecond)),
		rows:   make(map[string]store.Row), changed: make(chan struct{}),
	}
}

// SetFaults replaces the active faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the operations served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// begin waits for the injected latency and the rate limit.
func (t *Table) begin(ctx context.Context, limiter *rate.Limiter) error {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.Latency > 0 {
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "table service timed out")
		case <-time.After(f.Latency):
		}
	}
	if err := limiter.Wait(ctx); err != nil {
		return errkind.Wrap(errkind.StoreUnavailable, err, "table service rate limit")
	}
	return nil
}

func (t *Table) checkUp() error {
	if t.faults.Down {
		t.counts.Refused++
		return errkind.New(errkind.StoreUnavailable, "table service is down")
	}
	return nil
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.begin(ctx, t.reads); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkUp(); err != nil {
		return nil, err
	}
	t.counts.Reads++
	var out []store.Row
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

// Scan implements store.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.begin(ctx, t.reads); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkUp(); err != nil {
		return nil, err
	}
	t.counts.Reads++
	var keys []string
	for k := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	out := make([]store.Row, 0, len(keys))
	for _, k := range keys {
		out = append(out, t.rows[k])
	}
	return out, nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if len(txn.Writes) > store.MaxTxnRows+1 {
		return nil, errkind.New(errkind.InvalidArgument, "transaction writes %d rows, at most %d", len(txn.Writes), store.MaxTxnRows+1)
	}
	for _, w := range txn.Writes {
		if len(w.Value) > MaxRowBytes {
			return nil, errkind.New(errkind.TooLarge, "the value of row %s has %d bytes, at most %d", w.Key, len(w.Value), MaxRowBytes)
		}
	}
	if err := t.begin(ctx, t.writes); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkUp(); err != nil {
		return nil, err
	}
	for _, w := range txn.Writes {
		if t.faults.Refuse != nil && t.faults.Refuse(w.Key) {
			return nil, errkind.New(errkind.InvalidArgument, "row %s is refused", w.Key)
		}
	}
	if t.faults.DelayCommits > 0 {
		t.faults.DelayCommits--
		time.AfterFunc(t.faults.CommitDelay, func() { t.applyDelayed(txn) })
		return nil, errkind.New(errkind.StoreAmbiguous, "commit is delayed")
	}
	if err := t.checkConds(txn.Conds); err != nil {
		return nil, err
	}
	versions := t.apply(txn.Writes)
	if t.faults.LoseResponses > 0 {
		t.faults.LoseResponses--
		return nil, errkind.New(errkind.StoreAmbiguous, "response lost")
	}
	return versions, nil
}

// Apply writes rows at once and whatever the active faults, as the operators' own access to the
// store does.
func (t *Table) Apply(writes ...store.Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(writes)
}

func (t *Table) applyDelayed(txn store.Txn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checkConds(txn.Conds) == nil {
		t.apply(txn.Writes)
	}
}

func (t *Table) checkConds(conds []store.Cond) error {
	for _, c := range conds {
		if t.rows[c.Key].Version != c.Version {
			t.counts.Conflicts++
			return errkind.Wrap(errkind.Conflict, &store.ConflictError{Rows: t.currentRows(conds)}, "row %s has version %d, not %d", c.Key, t.rows[c.Key].Version, c.Version)
		}
	}
	return nil
}

// currentRows returns the rows that exist among those in conditions.
func (t *Table) currentRows(conds []store.Cond) []store.Row {
	var rows []store.Row
	for _, c := range conds {
		if r, ok := t.rows[c.Key]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func (t *Table) apply(writes []store.Write) []uint64 {
	t.counts.Commits++
	t.counts.Rows += int64(len(writes))
	versions := make([]uint64, len(writes))
	t.version++
	for i, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			t.recordChange(store.Change{Row: store.Row{Key: w.Key, Version: t.version}, Deleted: true})
			continue
		}
		r := store.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: t.version}
		t.rows[w.Key] = r
		t.recordChange(store.Change{Row: r})
		versions[i] = r.Version
	}
	return versions
}
