package metrics

import (
	"context"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// Store holds the metrics of the calls to the table service.
type Store struct {
	// Latency is the duration of calls by operation: get, scan or commit.
	Latency *prometheus.HistogramVec
	// Errors counts failed calls by operation and error kind.
	Errors      *prometheus.CounterVec
	lastSuccess timestamp
	lastFailure timestamp
}

func newStore() *Store {
	return &Store{Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "chicory_store_duration_seconds", Help: "Duration of calls to the table service.",
		Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5},
	}, []string{"operation"}), Errors: counter("chicory_store_errors_total", "Failed calls to the table service by error kind. Conflicts are writes whose condition failed.", "operation", "kind")}
}

func (s *Store) observe(op string, start time.Time, err error) {
	s.Latency.WithLabelValues(op).Observe(time.Since(start).Seconds())
	kind := errkind.Of(err)
	if kind != errkind.None {
		s.Errors.WithLabelValues(op, kind.String()).Inc()
	}
	switch kind {
	case errkind.StoreUnavailable, errkind.StoreAmbiguous:
		s.lastFailure.set()
	default:
		s.lastSuccess.set()
	}
}

// Reachable reports whether the latest call reached the table service.
func (s *Store) Reachable() bool {
	ok, failed := s.lastSuccess.age(), s.lastFailure.age()
	return ok >= 0 && (failed < 0 || ok <= failed)
}

// SinceLastResponse returns the time since the table service last responded, or a
// negative duration if it never did.
func (s *Store) SinceLastResponse() time.Duration { return s.lastSuccess.age() }

// ConfigReadAge returns the time since the configuration row was last read.
func (m *Entry) ConfigReadAge() time.Duration { return m.configReadAt.age() }

// Table returns a wrapper of t that records metrics of the calls.
func (m *Entry) Table(t store.Table) store.Table { return &measuredTable{t, m} }

type measuredTable struct {
	store.Table
	m *Entry
}

// A successful read below configPrefix resets the age of the configuration, a
// successful write below leasePrefix the age of the leases.
const (
	configPrefix = "config/"
	leasePrefix  = "shard/"
)

// Get implements store.Table.
func (t *measuredTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	start := time.Now()
	rows, err := t.Table.Get(ctx, keys...)
	t.m.Store.observe("get", start, err)
	if err == nil && len(keys) > 0 && strings.HasPrefix(keys[0], configPrefix) {
		t.m.configReadAt.set()
	}
	return rows, err
}

// Scan implements store.Table.
func (t *measuredTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	start := time.Now()
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.m.Store.observe("scan", start, err)
	return rows, err
}

// Commit implements store.Table.
func (t *measuredTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	start := time.Now()
	versions, err := t.Table.Commit(ctx, txn)
	t.m.Store.observe("commit", start, err)
	for _, w := range txn.Writes {
		if err == nil && strings.HasPrefix(w.Key, leasePrefix) {
			t.m.leaseRenewedAt.set()
		}
	}
	return versions, err
}
