package receive

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/ingress/intake"
)

const (
	keepAlive = ""
	closing   = "Connection: close\r\n"
)

func post(body, header string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", len(body), header, body)
}

// shortLines returns a body of lines of three bytes.
func shortLines(size int) string { return strings.Repeat("a,\n", size/3) }

// fullReceiver returns a receiver whose memory for large bodies is in use.
func fullReceiver(t *testing.T) *Receiver {
	t.Helper()
	r := newReceiver(16*mebi, 0)
	r.cfg.Limits.ScarcePace = r.cfg.Limits.Pace
	r = New(r.cfg)
	fill(t, r)
	return r
}

// fill uses the memory for large bodies for a body that misses one byte.
func fill(t *testing.T, r *Receiver) {
	t.Helper()
	awaitUse(t, r, func(_ int, held int64) bool { return held == 0 })
	r.mu.Lock()
	defer r.mu.Unlock()
	c, now, size := new(intake.Conn), r.cfg.Clock.Now(), r.cfg.Limits.LargeBytes
	_, ok := r.budget.Open(c, now)
	assert.Assert(t, ok)
	r.budget.Handle(c, now)
	_, ok = r.budget.Body(c, size, size, size, now)
	assert.Assert(t, ok)
	r.budget.Receive(c, size-1, now)
}

// Guards against bytes of a body that count as a header, and against headers that end before their blank line.
func TestHeaderEndsAtBlankLine(t *testing.T) {
	for _, header := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\n\r\n"} {
		all := header + "body\r\n\r\nrest"
		for cut := range len(all) {
			var h headerReader
			first := h.read([]byte(all[:cut]))
			assert.Equal(t, h.ended, cut >= len(header), "%q", all[:cut])
			rest := h.read([]byte(all[cut:]))
			assert.Equal(t, string(first)+string(rest), "body\r\n\r\nrest")
			assert.Equal(t, h.size, len(header))
			assert.Equal(t, h.lines, strings.Count(header, "\n"))
		}
	}
}

// Guards against a legal body that is cut off without an answer because its lines count as lines of the header.
func TestBodyOfShortLinesInOneWrite(t *testing.T) {
	answer := exchange(t, serve(t, newReceiver(184*mebi, 0)), post(shortLines(4<<10), closing))
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), answer)
}

// Guards against small requests that get no memory beside large bodies because their lines count as a large header.
func TestSmallRequestWithLinesBesideLargeBodies(t *testing.T) {
	body := strings.Repeat("        \"count\": 1,\n", 3<<10/20)
	answer := exchange(t, serve(t, fullReceiver(t)), post(body, closing))
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 200"), answer)
}

// Guards against a small request that is cut off because the body before it counts as its header.
func TestSmallRequestAfterLargeBody(t *testing.T) {
	for _, large := range []string{post(shortLines(200<<10), keepAlive),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + shortLines(4095) + "x\r\n0\r\n\r\n"} {
		r := newReceiver(16*mebi, 0)
		r.cfg.Limits.ScarcePace = r.cfg.Limits.Pace
		r = New(r.cfg)
		c, answers := dial(t, serve(t, r))
		_, err := io.WriteString(c, large)
		assert.NilError(t, err)
		expectOK(t, answers)
		fill(t, r)
		_, err = io.WriteString(c, post("a", keepAlive))
		assert.NilError(t, err)
		expectOK(t, answers)
	}
}

// Guards against pipelined requests that are refused or lost because bytes of one count for another.
func TestPipelinedPosts(t *testing.T) {
	const requests = 8
	c, answers := dial(t, serve(t, fullReceiver(t)))
	_, err := io.WriteString(c, strings.Repeat(post(shortLines(1200), keepAlive)+post("a", keepAlive), requests/2))
	assert.NilError(t, err)
	for range requests {
		expectOK(t, answers)
	}
}

// Guards against headers of many lines that come with the request before and are not counted.
func TestLinesOfPipelinedHeaderCount(t *testing.T) {
	c, answers := dial(t, serve(t, newReceiver(184*mebi, 0)))
	_, err := io.WriteString(c, post("a", keepAlive)+"GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", maxHeaderLines)+"\r\n")
	assert.NilError(t, err)
	expectOK(t, answers)
	_, err = answers.ReadByte()
	assert.Assert(t, err != nil, "the connection is closed")
}

// awaitUse waits until the use of the budget satisfies ok.
func awaitUse(t *testing.T, r *Receiver, ok func(connections int, held int64) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(r.Use()); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "charges remain")
	}
}

func dial(t *testing.T, url string) (net.Conn, *bufio.Reader) {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

func expectOK(t *testing.T, answers *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
