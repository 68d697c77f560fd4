package connlimit

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against clients that hold connections open and so keep others out, against the loss of the connection in use, and
// against a count that grows with each connection.
func TestSilentConnectionsGiveWay(t *testing.T) {
	const limit = 4
	var lc net.ListenConfig
	tcp, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	evicted := 0
	l := New(tcp, limit, func(net.Addr) { evicted++ })
	defer func() { _ = l.Close() }()
	connect := func() (net.Conn, net.Conn) {
		client, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		server, err := l.Accept()
		assert.NilError(t, err)
		return client, server
	}
	used, usedServer := connect()
	echo := func() {
		_, err := used.Write([]byte("x"))
		assert.NilError(t, err)
		_, err = io.ReadFull(usedServer, make([]byte, 1))
		assert.NilError(t, err)
	}
	for range 3 * limit {
		silent, _ := connect()
		defer func() { _ = silent.Close() }()
		echo()
	}
	assert.Equal(t, evicted, 2*limit+1)
	assert.Equal(t, l.open.Len(), limit)
	for range limit {
		client, server := connect()
		_, _ = client.Close(), server.Close()
	}
	assert.Equal(t, l.open.Len(), limit-1)
}
