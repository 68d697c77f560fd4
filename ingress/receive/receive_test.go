package receive

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchange sends text on a connection of its own, which stays open, and returns the answer.
func exchange(t *testing.T, url, text string) string {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte(text))
	assert.NilError(t, err)
	answer, err := io.ReadAll(c)
	assert.NilError(t, err)
	return string(answer)
}

// Guards against a server that waits for ever for the rest of a body that it has refused before reading it.
func TestRefusalDoesNotWaitForTheRest(t *testing.T) {
	answer := exchange(t, serve(t, newReceiver(184*mebi, 0)), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262145\r\n\r\nabc")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 503"), answer)
}

// Guards against a body that is cut off without an answer when it comes too slowly.
func TestSlowBodyIsAnswered(t *testing.T) {
	r := newReceiver(184*mebi, 0)
	r.cfg.Limits.Pace.Stall = time.Millisecond
	r = New(r.cfg)
	answer := exchange(t, serve(t, r), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 503") && strings.Contains(answer, "Connection: close"), answer)
}

// Guards against races between clients that displace each other, and against charges that remain after the clients have gone.
func TestManyClientsOnSmallMachine(t *testing.T) {
	const clients, requests = 40, 20
	r := newReceiver(4*mebi, 0)
	url := serve(t, r)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, wrong, unanswered, unexpected := 0, 0, 0, 0
	for i := range clients {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := range requests {
				body := bytes.Repeat([]byte("a"), 1+(i*requests+k)*300)
				var in io.Reader = bytes.NewReader(body)
				if k%2 == 0 {
					// The length of another kind of reader is not known, so that the body is sent in chunks.
					in = io.MultiReader(in)
				}
				resp, err := client.Post(url, "", in)
				if err != nil {
					mu.Lock()
					unanswered++
					mu.Unlock()
					continue
				}
				text, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				mu.Lock()
				switch resp.StatusCode {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
				default:
					unexpected++
				}
				if resp.StatusCode == http.StatusOK && string(text) != fmt.Sprint(len(body)) {
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("of %d requests %d served, %d unanswered", clients*requests, served, unanswered)
	assert.Assert(t, served > 0)
	assert.Equal(t, unexpected, 0, "refusals are answered 503")
	assert.Equal(t, wrong, 0, "bodies that were cut off count as whole")
	awaitUse(t, r, func(connections int, held int64) bool { return connections == 0 && held == 0 })
}
