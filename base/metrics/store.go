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
	// Latency is by operation: get, scan, commit.
	Latency *prometheus.HistogramVec
	// Errors counts failed calls by operation and error kind.
	Errors *prometheus.CounterVec
	ok     stamp
	failed stamp
}

func newStore() *Store {
	return &Store{Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "chicory_store_duration_seconds", Help: "Duration of calls to the table service.",
		Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5},
	}, []string{"operation"}), Errors: counter("chicory_store_errors_total", "Failed calls to the table service by error kind. Conflicts are failed conditions of writes.", "operation", "kind")}
}

func (s *Store) observe(op string, start time.Time, err error) {
	s.Latency.WithLabelValues(op).Observe(time.Since(start).Seconds())
	kind := errkind.Of(err)
	if kind != errkind.None {
		s.Errors.WithLabelValues(op, kind.String()).Inc()
	}
	switch kind {
	case errkind.StoreUnavailable, errkind.StoreAmbiguous:
		s.failed.set()
	default:
		s.ok.set()
	}
}

// Reachable reports whether the latest call reached the table service.
func (s *Store) Reachable() bool {
	ok, failed := s.ok.age(), s.failed.age()
	return ok >= 0 && (failed < 0 || ok <= failed)
}

// Answered returns the time since the table service last answered, or a negative
// duration when it never did.
func (s *Store) Answered() time.Duration { return s.ok.age() }

// ConfigReadAge returns the time since the configuration row was last read.
func (m *Entry) ConfigReadAge() time.Duration { return m.readAt.age() }

// Table returns a table that measures the calls to t.
func (m *Entry) Table(t store.Table) store.Table { return &measuredTable{t, m} }

type measuredTable struct {
	store.Table
	m *Entry
}

// Key prefixes whose successful reads and writes date the configuration and the leases.
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
		t.m.readAt.set()
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
			t.m.renewedAt.set()
		}
	}
	return versions, err
}
