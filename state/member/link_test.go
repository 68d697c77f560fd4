package member

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

// After a suspension, messages of a connection that the owner has given up used to displace the connection that it uses,
// so that its orders were dropped and results were lost until its next heartbeat.
func TestOlderConnectionDoesNotDisplaceNewerOne(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	link := NewOwnerLink(clock.Boottime{}, zerolog.Nop())
	go Serve(l, link, link.Handle)
	connect := func() *wire.Peer {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		p := wire.NewPeer(conn, nil)
		t.Cleanup(p.Close)
		return p
	}
	lead := func(p *wire.Peer, epoch uint64) error {
		_, err := p.Call(t.Context(), &wire.Lead{Epoch: epoch, Owner: "owner"})
		return err
	}
	older := connect()
	assert.NilError(t, lead(older, 1))
	newer := connect()
	assert.NilError(t, lead(newer, 1))
	current := link.Peer()
	assert.Assert(t, lead(older, 1) != nil, "a message of the older connection is accepted")
	assert.Assert(t, link.Peer() == current, "the older connection displaces the newer one")
	older.Close()
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, link.Peer() == current, "the end of the older connection ends the link")
	}
	assert.NilError(t, lead(newer, 1))
	next := connect()
	assert.NilError(t, lead(next, 1), "a new connection of the same owner is accepted")
	assert.NilError(t, lead(newer, 2), "a new owner is accepted on any connection")
}

// failingListener fails once, as a listener does while the process has no file descriptor left.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// One failed accept used to end the loop for good, so that no owner could reach the process any more.
func TestMemberAcceptsConnectionsAfterAFailure(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	link := NewOwnerLink(clock.Boottime{}, zerolog.Nop())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Serve(&failingListener{Listener: l}, link, link.Handle)
	}()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	p := wire.NewPeer(conn, nil)
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err = p.Call(ctx, &wire.Lead{Epoch: 1, Owner: "owner"})
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	<-ended
}

// Guards against refusals by the estimate of an owner that was replaced: the next one may know of other work.
func TestBacklogOfAReplacedOwnerIsNotUsed(t *testing.T) {
	link := NewOwnerLink(clock.Boottime{}, zerolog.Nop())
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	p := wire.NewPeer(near, nil)
	defer p.Close()
	reply := func(wire.Message) {}
	link.Handle(p, &wire.Backlog{Epoch: 1}, reply)
	m, _ := link.Backlog()
	assert.Assert(t, m == nil, "an estimate of a process that is not the owner is used")
	link.Handle(p, &wire.Lead{Epoch: 1}, reply)
	link.Handle(p, &wire.Backlog{Epoch: 1, Entries: 3}, reply)
	m, age := link.Backlog()
	assert.Assert(t, m != nil && m.Entries == 3 && age < time.Minute)
	link.Handle(p, &wire.Lead{Epoch: 2}, reply)
	m, _ = link.Backlog()
	assert.Assert(t, m == nil, "the estimate of the previous owner is used")
}

// Guards against a member that never gets the newer messages, and against a row that an earlier build cannot read.
func TestRowStatesWhichMessagesAreDecoded(t *testing.T) {
	table := standin.NewTable(1000, 1000)
	assert.NilError(t, Register(t.Context(), table, Member{Name: "m", Zone: "z"}))
	rows, err := table.Get(t.Context(), Table+"/m")
	assert.NilError(t, err)
	m, err := Decode(rows[0].Value)
	assert.NilError(t, err)
	assert.Assert(t, m.Understands(wire.TypeBacklog))
	assert.Assert(t, !Member{}.Understands(wire.TypeBacklog) && Member{}.Understands(wire.TypeCreateRow))
	var earlier struct {
		Name string `msgpack:"n"`
		Zone string `msgpack:"z"`
	}
	assert.NilError(t, msgpack.Unmarshal(rows[0].Value, &earlier))
	assert.Equal(t, earlier.Zone, "z")
}

// Guards against connections that nobody needs and that take all memory or descriptors of a member, and against an owner that cannot reach it
// because of them.
func TestUnneededConnectionsGiveWayToTheOwner(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	link := NewOwnerLink(clock.Boottime{}, zerolog.Nop())
	go Serve(l, link, link.Handle)
	connect := func() *wire.Peer {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		p := wire.NewPeer(conn, nil)
		t.Cleanup(p.Close)
		return p
	}
	lead := func(p *wire.Peer, epoch uint64) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := p.Call(ctx, &wire.Lead{Epoch: epoch, Owner: "owner"})
		assert.NilError(t, err)
	}
	owner := connect()
	lead(owner, 1)
	var others []*wire.Peer
	for range 3 * maxConns {
		p := connect()
		assert.NilError(t, p.Notify(&wire.Ack{}))
		others = append(others, p)
	}
	lead(owner, 1)
	lead(connect(), 2)
	open := func() (n int) {
		for _, p := range others {
			select {
			case <-p.Done():
			default:
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(5 * time.Second); open() >= maxConns && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	assert.Assert(t, open() < maxConns, "%d connections are open", open())
}
