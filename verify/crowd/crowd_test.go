package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// largestBody is the largest legal body, bodyBytes what the clients send of it.
	largestBody = 256 << 10
	bodyBytes   = largestBody - 1
	// clients is the number of connections of a crowd. Their bodies are several times the memory of the machine.
	clients = 1000
	// heldFor is how long a crowd stays before its use is compared with the limits.
	heldFor = 2 * time.Second
)

// Limits of the machine. An idle entry has about 20 MB and 20 descriptors. The crowds of connections get a machine with fewer
// descriptors than clients.
var (
	smallMemory     = bounds{memoryMB: 96, descriptors: 4100}
	fewDescriptors  = bounds{memoryMB: 96, descriptors: 600}
	unfinishedBody  = `{"specification":"` + strings.Repeat("a", bodyBytes-len(`{"specification":"`))
	declaredLength  = fmt.Sprintf("Content-Length: %d\r\n", largestBody)
	inChunks        = "Transfer-Encoding: chunked\r\n"
	chunkOfOneByte  = "1\r\na\r\n"
	ordinaryRequest = "GET /q/00000000000000aa HTTP/1.1\r\nHost: " + hostName + "\r\n\r\n"
)

func post(client int, header string) string {
	return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n", client+1<<20, hostName, header)
}

// write sends text in parts of the given size, until all is sent or the connection ends.
func write(c net.Conn, text string, part int) {
	for len(text) > 0 {
		n, err := c.Write([]byte(text[:min(part, len(text))]))
		if err != nil {
			return
		}
		text = text[n:]
	}
}

// hold runs a crowd and checks the entry during and after it.
func hold(t *testing.T, limits bounds, send func(ctx context.Context, c net.Conn, client int)) {
	t.Helper()
	e := startEntry(t, limits)
	e.crowd(clients, send)
	time.Sleep(heldFor)
	e.submit()
	e.check(limits)
}

// Guards against bodies that are sent whole but for the last byte and are all kept in memory.
func TestWholeBodies(t *testing.T) {
	hold(t, smallMemory, func(_ context.Context, c net.Conn, client int) {
		write(c, post(client, declaredLength)+unfinishedBody, 2*largestBody)
	})
}

// Guards against bodies that come in many pieces, each of which is little, and are all kept in memory.
func TestBodiesPieceByPiece(t *testing.T) {
	hold(t, smallMemory, func(_ context.Context, c net.Conn, client int) {
		write(c, post(client, declaredLength)+unfinishedBody, 1400)
	})
}

// Guards against chunked bodies, whose length nobody knows before their end.
func TestLargeChunks(t *testing.T) {
	const chunk = 32 << 10
	hold(t, smallMemory, func(_ context.Context, c net.Conn, client int) {
		write(c, post(client, inChunks), 1<<10)
		for rest := unfinishedBody; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
			part := rest[:min(chunk, len(rest))]
			write(c, fmt.Sprintf("%x\r\n%s\r\n", len(part), part), 2*chunk)
		}
	})
}

// Guards against chunks of one byte, which take six bytes of the connection each.
func TestChunksOfOneByte(t *testing.T) {
	const chunks = 100_000
	body := strings.Repeat(chunkOfOneByte, chunks)
	hold(t, smallMemory, func(_ context.Context, c net.Conn, client int) {
		write(c, post(client, inChunks)+body, 32<<10)
	})
}

// Guards against bodies that go on for hours and take up the descriptors of the machine.
func TestByteASecond(t *testing.T) {
	const seconds = 5
	hold(t, fewDescriptors, func(ctx context.Context, c net.Conn, client int) {
		write(c, post(client, declaredLength), 1<<10)
		for range seconds {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Second):
				write(c, "a", 1)
			}
		}
	})
}

// Guards against requests that are sent without reading the answers, and wait in the buffers of the kernel.
func TestPipelinedRequests(t *testing.T) {
	const requests = 20_000
	body := strings.Repeat(ordinaryRequest, requests)
	hold(t, smallMemory, func(_ context.Context, c net.Conn, _ int) {
		_ = c.SetWriteDeadline(time.Now().Add(heldFor))
		write(c, body, 32<<10)
	})
}

// Guards against connections that are opened and never used.
func TestIdleConnections(t *testing.T) {
	hold(t, fewDescriptors, func(context.Context, net.Conn, int) {})
}

// Guards against headers that never end, large ones and such with many lines.
func TestHeadersThatNeverEnd(t *testing.T) {
	const bytes = 512 << 10
	lines := strings.Repeat("X-A: b\r\n", bytes/len("X-A: b\r\n"))
	hold(t, smallMemory, func(_ context.Context, c net.Conn, client int) {
		start := strings.TrimSuffix(post(client, ""), "\r\n")
		if client%2 == 0 {
			write(c, start+"X-Long: "+strings.Repeat("a", bytes), 1<<20)
			return
		}
		write(c, start+lines, 1<<20)
	})
}

// Guards against a graceful stop that waits for clients that never finish, and against their bodies during it.
func TestCrowdDuringShutdown(t *testing.T) {
	e := startEntry(t, smallMemory)
	e.crowd(clients, func(_ context.Context, c net.Conn, client int) {
		write(c, post(client, declaredLength)+unfinishedBody, 2*largestBody)
	})
	time.Sleep(heldFor)
	e.submit()
	e.check(smallMemory)
	e.terminate()
	e.checkUse(smallMemory)
}
