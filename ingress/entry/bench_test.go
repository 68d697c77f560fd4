package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/ingress/entry"
)

// cpuTime returns the CPU time that the process has used. On a machine with other load it
// varies less than the elapsed time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest compares sequential requests through entry and agent with direct calls
// to the upstream, without service time.
func BenchmarkRequest(b *testing.B) {
	c := startCluster(b, options{entries: 1, agents: 1, slots: 8})
	for _, path := range []struct{ name, url string }{
		{"direct", c.agents[0].config.UpstreamURL + "/x"},
		{"routed", c.entries[0].url + "/v1/services/" + serviceName + "/x"},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			cpu := cpuTime()
			defer func() { b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/op") }()
			for i := 0; b.Loop(); i++ {
				req, err := http.NewRequest(http.MethodPost, path.url, strings.NewReader("body"))
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set(entry.HeaderRequestName, fmt.Sprint(i))
				req.Header.Set(entry.HeaderCustomer, "urgent")
				req.Header.Set(entry.HeaderDeadline, time.Second.String())
				resp, err := c.client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
