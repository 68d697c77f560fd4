package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func roundTrip(t testing.TB, tr http.RoundTripper, url, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func newEchoServer(conns *atomic.Int64) *httptest.Server {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	return s
}

// Guards against opening a connection per request, and against sending a request on a connection
// that the upstream has closed, which would leave its outcome unknown.
func TestUpstreamConnections(t *testing.T) {
	var conns atomic.Int64
	s := newEchoServer(&conns)
	defer s.Close()
	tr := newUpstreamTransport(4)
	defer tr.CloseIdleConnections()
	for range 5 {
		got, err := roundTrip(t, tr, s.URL, "body")
		assert.NilError(t, err)
		assert.Equal(t, got, "body")
	}
	assert.Equal(t, conns.Load(), int64(1))
	s.CloseClientConnections()
	got, err := roundTrip(t, tr, s.URL, strings.Repeat("x", 100_000))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 100_000)
	assert.Equal(t, conns.Load(), int64(2))
}

// Guards against retries by the transport itself: the upstream may have run the request before it
// closed the connection.
func TestUpstreamRequestIsNotRepeated(t *testing.T) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	tr := newUpstreamTransport(4)
	defer tr.CloseIdleConnections()
	_, err := roundTrip(t, tr, s.URL, "")
	assert.NilError(t, err)
	_, err = roundTrip(t, tr, s.URL, "")
	assert.Assert(t, err != nil)
	assert.Equal(t, runs.Load(), int64(2))
}

// Guards against exceeding the connection limit of the upstream, and against waiting for a free
// connection beyond the deadline.
func TestUpstreamConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	tr := newUpstreamTransport(1)
	go func() { _, _ = roundTrip(t, tr, s.URL, "") }()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	assert.NilError(t, err)
	_, err = tr.RoundTrip(req)
	assert.ErrorContains(t, err, "dial")
}

func BenchmarkUpstreamTransport(b *testing.B) {
	var conns atomic.Int64
	s := newEchoServer(&conns)
	defer s.Close()
	for name, tr := range map[string]http.RoundTripper{
		"own":      newUpstreamTransport(64),
		"net_http": &http.Transport{MaxConnsPerHost: 64, MaxIdleConnsPerHost: 64, DisableCompression: true},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(3)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := roundTrip(b, tr, s.URL, "body"); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
