package receive

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/intake"
)

const mebi = 1 << 20

// options are the defaults of the settings.
var options = intake.Options{BodyPercent: 10, ConnectionPercent: 30, SmallBody: 16 << 10, SmallPercent: 25, ReceiveBuffer: 16 << 10,
	Pace:       intake.Pace{Stall: 30 * time.Second, Grace: time.Minute, BytesPerSecond: 1 << 10},
	ScarcePace: intake.Pace{Stall: 3 * time.Second, Grace: 10 * time.Second, BytesPerSecond: 8 << 10}}

// serve starts a server that answers with the length of a body. Without a receiver it reads bodies without limits.
func serve(tb testing.TB, r *Receiver) string {
	tb.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(tb.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	s := &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		const limit = 256 << 10
		read := func() ([]byte, error) { return ReadAll(req.Body, limit) }
		if r != nil {
			read = func() ([]byte, error) { return r.ReadBody(w, req, limit) }
		}
		b, err := read()
		if err != nil {
			status := http.StatusServiceUnavailable
			if errkind.Of(err) == errkind.InvalidArgument {
				status = http.StatusBadRequest
			}
			http.Error(w, err.Error(), status)
			return
		}
		_, _ = fmt.Fprintf(w, "%d", len(b))
	})}
	if r != nil {
		r.Attach(s)
		l, err = r.Listen(l)
		assert.NilError(tb, err)
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx)
		tb.Cleanup(cancel)
	}
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String()
}

func newReceiver(memory int64, descriptors int) *Receiver {
	return New(Config{Limits: intake.Derive(memory, descriptors, options), ReceiveBuffer: int(options.ReceiveBuffer), MaxHeaderBytes: 64 << 10,
		Clock: clock.NewRuntime(), Log: zerolog.Nop(), Observe: func(string) {}})
}

// processorTime returns the processor time of the process, which other work on the machine disturbs less than elapsed time.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var use syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkRequest measures requests on one connection with and without a budget.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{600, 8 << 10, 256 << 10} {
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("bytes=%d/budget=%t", size, limited), func(b *testing.B) {
				var r *Receiver
				if limited {
					r = newReceiver(184*mebi, 4100)
				}
				url, client, body := serve(b, r), &http.Client{Transport: &http.Transport{}}, bytes.Repeat([]byte("a"), size)
				before := processorTime(b)
				for b.Loop() {
					resp, err := client.Post(url, "application/json", bytes.NewReader(body))
					assert.NilError(b, err)
					_, err = io.Copy(io.Discard, resp.Body)
					assert.NilError(b, err)
					_ = resp.Body.Close()
				}
				b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
			})
		}
	}
}
