package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/entry"
)

// BenchmarkRequest compares one request at a time through entry and agent with a
// direct call, without service time.
func BenchmarkRequest(b *testing.B) {
	c := start(b, options{entries: 1, agents: 1, slots: 8})
	for _, path := range []struct{ name, url string }{
		{"direct", c.agents[0].config.UpstreamURL + "/x"},
		{"routed", c.entries[0].url + "/v1/services/" + serviceName + "/x"},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req, err := http.NewRequest(http.MethodPost, path.url, strings.NewReader("body"))
				if err != nil {
					b.Fatal(err)
				}
				req.Header.Set(entry.HeaderName, fmt.Sprint(i))
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
