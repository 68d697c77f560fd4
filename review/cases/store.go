package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings of the processes.
const (
	storeWritesPerSecond    = 800
	storeReadsPerSecond     = 2000
	storeTransactionTime    = 3 * time.Millisecond
	storePartWritesPerS     = 300
	storeMaxRowBytes        = 65536
	storeMaxEntries         = 100
	storeMaxCallBytes       = 1 << 20
	storeMaxRowsPerResponse = 500
	storeMaxKeyBytes        = 200
	storeMaxWait            = 30 * time.Second
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type transaction struct {
	Conditions     []row `json:"expectedRevision"`
	Upserts        []row `json:"upserts"`
	Remove         []row `json:"remove"`
	CrossPartition bool  `json:"crossPartition"`
}

type rowsResponse struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"schemaVersion"`
	NowMS   int64  `json:"nowMs"`
}

// metadataStore is a stand-in of the platform's metadata store, with the limits that the platform
// documents. It keeps its whole history.
type metadataStore struct {
	rec   *record
	start time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	// busyUntil is when the last transaction of each part is done.
	busyUntil map[string]time.Time
	writes    rateLimit
	reads     rateLimit
	// rejected counts the calls that were refused for their size.
	rejected int
}

// rateLimit counts the calls in the current second.
type rateLimit struct {
	perSecond int
	second    int64
	count     int
}

func (l *rateLimit) allow(now time.Time) bool {
	if s := now.Unix(); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= l.perSecond
}

func newMetadataStore(rec *record) *metadataStore {
	return &metadataStore{rec: rec, start: time.Now(), rows: make(map[string]row), changed: make(chan struct{}), busyUntil: make(map[string]time.Time),
		writes: rateLimit{perSecond: storeWritesPerSecond}, reads: rateLimit{perSecond: storeReadsPerSecond}}
}

// put writes a row of the operator.
func (s *metadataStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&transaction{Upserts: []row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)}}})
}

// ServeHTTP implements http.Handler.
func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	limit := &s.reads
	if r.URL.Path == "/rows-tx" {
		limit = &s.writes
	}
	allowed := limit.allow(time.Now())
	s.mu.Unlock()
	switch {
	case !allowed:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
	case r.URL.Path == "/rows-tx":
		s.commit(w, r)
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *metadataStore) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := t.invalid(len(body)); reason != "" {
		s.rec.line("store: transaction of %d bytes with %d upserts refused: %s", len(body), len(t.Upserts), reason)
		s.mu.Lock()
		s.rejected++
		s.mu.Unlock()
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	if !s.awaitParts(&t) {
		http.Error(w, "part is busy", http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range t.Conditions {
		if s.rows[t.Conditions[i].id()].Version != t.Conditions[i].Version {
			writeJSON(w, http.StatusPreconditionFailed, s.currentRows(t.Conditions))
			return
		}
	}
	s.apply(&t)
	writeJSON(w, http.StatusOK, s.response())
}

func (t *transaction) keys() []row { return slices.Concat(t.Conditions, t.Upserts, t.Remove) }

// invalid returns why a transaction is not allowed, empty if it is.
func (t *transaction) invalid(size int) string {
	entries := t.keys()
	if len(entries) > storeMaxEntries {
		return "more than 100 entries"
	}
	if size > storeMaxCallBytes {
		return "call is larger than 1 MB"
	}
	for i := range entries {
		e := &entries[i]
		if len(e.Table) > storeMaxKeyBytes || len(e.Part) > storeMaxKeyBytes || len(e.Key) > storeMaxKeyBytes {
			return "key is longer than 200 bytes"
		}
		if e.Part != entries[0].Part && !t.CrossPartition {
			return "several parts without crossPartition"
		}
	}
	for i := range t.Upserts {
		value, err := base64.StdEncoding.DecodeString(t.Upserts[i].Value)
		if err != nil {
			return "value is not base64"
		}
		if len(value) > storeMaxRowBytes {
			return "value of " + t.Upserts[i].Table + "/" + t.Upserts[i].Key + " has " + strconv.Itoa(len(value)) + " bytes, more than maxRowBytes"
		}
		if t.Upserts[i].Table == "op" || t.Upserts[i].Table == "servers" {
			return "table is read-only"
		}
	}
	return ""
}

// awaitParts waits until the parts of a transaction have taken it. It returns false if more than a
// second of transactions waits there.
func (s *metadataStore) awaitParts(t *transaction) bool {
	took := storeTransactionTime
	if t.CrossPartition {
		took *= 2
	}
	s.mu.Lock()
	done := time.Now()
	for _, e := range t.keys() {
		if at := s.busyUntil[e.Part]; at.After(done) {
			done = at
		}
	}
	if time.Until(done) > time.Second {
		s.mu.Unlock()
		return false
	}
	for _, e := range t.keys() {
		s.busyUntil[e.Part] = done.Add(time.Second / storePartWritesPerS)
	}
	s.mu.Unlock()
	time.Sleep(time.Until(done) + took)
	return true
}

// apply carries out a transaction. The caller holds mu.
func (s *metadataStore) apply(t *transaction) {
	s.version++
	for _, r := range t.Upserts {
		r.Version = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		delete(s.rows, r.id())
		r.Version, r.Deleted, r.Value = s.version, true, ""
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// response returns a response without rows. The caller holds mu.
func (s *metadataStore) response() *rowsResponse {
	return &rowsResponse{Rows: []row{}, Version: s.version, NowMS: time.Since(s.start).Milliseconds()}
}

func (s *metadataStore) currentRows(keys []row) *rowsResponse {
	out := s.response()
	for i := range keys {
		if r, ok := s.rows[keys[i].id()]; ok {
			out.Rows = append(out.Rows, r)
		}
	}
	return out
}

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTransactionTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > storeMaxRowsPerResponse {
		limit = storeMaxRowsPerResponse
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") && (q.Get("target") == "" || c.Key < q.Get("target")) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	out, size := s.response(), 0
	for _, c := range found {
		size += len(c.Value)
		if len(out.Rows) == limit || size > storeMaxCallBytes && len(out.Rows) > 0 {
			out.HasMore = true
			break
		}
		out.Rows = append(out.Rows, c)
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *metadataStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("dependsOn"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "dependsOn and waitMs are needed", http.StatusBadRequest)
		return
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, storeMaxWait))
	for waiting := true; ; {
		s.mu.Lock()
		out, changed := s.response(), s.changed
		for _, c := range s.history {
			if c.Version > after && c.Table == q.Get("table") {
				out.Rows = append(out.Rows, c)
			}
		}
		s.mu.Unlock()
		if len(out.Rows) > 0 || !waiting {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone notices by itself.
	_ = json.NewEncoder(w).Encode(body)
}
