package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/state/member"
)

// Guards against a 404 for a queue that a newer manifest has added, which the entry has not read in time.
func TestStaleManifestDoesNotDenyQueues(t *testing.T) {
	const maxAge = 2 * time.Second
	c := clock.Boottime{}
	m := &manifest.Manifest{Version: 1}
	m.BuildIndex()
	for _, test := range []struct {
		age    time.Duration
		status int
	}{{maxAge / 2, http.StatusNotFound}, {maxAge + time.Millisecond, http.StatusServiceUnavailable}} {
		g := New(Config{Store: newTable(), Clock: c, Log: zerolog.Nop(), Owner: member.NewOwnerLink(c, zerolog.Nop()),
			Manifest: func() *manifest.Manifest { return m }, ManifestAge: func() time.Duration { return test.age }, MaxManifestAge: maxAge,
			StoreLastResponse: noResponse, Observe: func(string, int, time.Duration, error) {}, ObserveForward: func(error) {}})
		w := httptest.NewRecorder()
		platform.RequestHandler(g).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/added/", nil))
		assert.Equal(t, w.Code, test.status, "%v", test.age)
		assert.Equal(t, w.Header().Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
	}
}
