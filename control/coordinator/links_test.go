package coordinator

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/wire"
)

// The row of a VM that was removed stays in the store. When a new VM got its address, the owner used to keep two
// connections to that one, which displaced each other, and orders on the older one were dropped.
func TestRemovedMemberGetsNoConnectionAtTheAddressOfItsSuccessor(t *testing.T) {
	// The clocks of VMs differ, so that the incarnations do not tell which is the newer one.
	removed := member.Member{Name: "vm-1", Address: "10.0.0.1:7720", Role: member.Agent, Incarnation: 9}
	successor := member.Member{Name: "vm-2", Address: "10.0.0.1:7720", Role: member.Agent, Incarnation: 2}
	versions := map[string]uint64{removed.Name: 5, successor.Name: 8}
	for name, rows := range map[string][]member.Member{"older row first": {removed, successor}, "newer row first": {successor, removed}} {
		t.Run(name, func(t *testing.T) {
			c := clock.Boottime{}
			link := member.NewOwnerLink(c, zerolog.Nop())
			l := &memberConns{leadMessage: func() *wire.Lead { return &wire.Lead{Epoch: 1} }, clock: c, log: zerolog.Nop(), registeredAt: make(map[string]time.Duration), lastAcked: make(map[string]time.Duration), connectedAt: make(map[string]time.Duration),
				onDisconnect: func(member.Member) {}, peers: make(map[string]*wire.Peer), cancels: make(map[string]context.CancelFunc), ended: make(map[string]chan struct{}), members: make(map[string]member.Member),
				versions: make(map[string]uint64)}
			l.dial = func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				wire.NewPeer(far, link.Handle)
				return near, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			for _, m := range rows {
				l.setMember(ctx, m, versions[m.Name])
			}
			eventually(t, "connection to the successor", func() bool { return l.send(successor.Name, &wire.Ack{}) == nil })
			assert.DeepEqual(t, slices.Collect(maps.Keys(l.members)), []string{successor.Name})
			assert.Assert(t, l.send(removed.Name, &wire.Ack{}) != nil, "the removed VM is connected")
			cancel()
			l.wg.Wait()
		})
	}
}

// The end of a member's connection used to be handled after messages of its next one, so that the owner held back its
// orders and sent those in progress twice.
func TestEndOfConnectionIsHandledBeforeMessagesOfTheNextOne(t *testing.T) {
	c := clock.Boottime{}
	link := member.NewOwnerLink(c, zerolog.Nop())
	events := make(chan string, 10)
	l := &memberConns{leadMessage: func() *wire.Lead { return &wire.Lead{Epoch: 1} }, clock: c, log: zerolog.Nop(), registeredAt: make(map[string]time.Duration), lastAcked: make(map[string]time.Duration), connectedAt: make(map[string]time.Duration),
		handler: func(*wire.Peer, wire.Message, wire.Reply) { events <- "message" },
		peers:   make(map[string]*wire.Peer), cancels: make(map[string]context.CancelFunc), ended: make(map[string]chan struct{}), members: make(map[string]member.Member),
		versions: make(map[string]uint64)}
	l.onDisconnect = func(member.Member) {
		time.Sleep(100 * time.Millisecond)
		events <- "end"
	}
	l.dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		p := wire.NewPeer(far, link.Handle)
		go func() { _ = p.Notify(&wire.Ack{}) }()
		return near, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	m := member.Member{Name: "vm-1", Address: "10.0.0.1:7720", Role: member.Agent, Incarnation: 1}
	l.setMember(ctx, m, 1)
	assert.Equal(t, <-events, "message")
	eventually(t, "connection", func() bool { return l.send(m.Name, &wire.Ack{}) == nil })
	m.Incarnation = 2
	l.setMember(ctx, m, 2)
	assert.Equal(t, <-events, "end")
	assert.Equal(t, <-events, "message")
	cancel()
	l.wg.Wait()
}

// Guards against a list of entries in the owner's row that grows with each replaced VM, and against leases that end while the
// store is down since an entry that has left can't acknowledge the owner.
func TestEntryThatHasLeftIsNotListed(t *testing.T) {
	now := time.Hour
	l := &memberConns{members: make(map[string]member.Member), registeredAt: map[string]time.Duration{"left": now - 2*absentEntryAge, "present": now - 2*absentEntryAge, "new": now - time.Second},
		lastAcked: map[string]time.Duration{"left": now - absentEntryAge, "present": now - time.Second}}
	for name := range l.registeredAt {
		l.members[name] = member.Member{Name: name, Role: member.Entry}
	}
	l.members["agent"] = member.Member{Name: "agent", Role: member.Agent}
	l.registeredAt["agent"] = now
	assert.DeepEqual(t, l.presentEntries(now), []string{"new", "present"})
}

// Guards against rows of replaced VMs that stay for ever, to each of which the owner tries to connect, and against deleting that of
// a process that is only cut off from the owner.
func TestRowsOfMembersThatHaveLeftAreDeleted(t *testing.T) {
	table := newTable()
	for _, name := range []string{"left", "cut-off", "new", "present"} {
		assert.NilError(t, member.Register(t.Context(), table, member.Member{Name: name, Role: member.Entry}))
	}
	rows, _, err := store.ReadAll(t.Context(), table, member.Table)
	assert.NilError(t, err)
	o := newOwner(Config{Store: table, Clock: clock.Boottime{}, Log: zerolog.Nop()}, ownerRow{}, 0)
	now := time.Hour
	for _, r := range rows {
		name := strings.TrimPrefix(r.Key, member.Table+"/")
		o.conns.versions[name], o.conns.registeredAt[name] = r.Version, now-absentMemberAge
	}
	o.conns.registeredAt["new"] = now - absentMemberAge + time.Second
	o.conns.lastAcked["present"] = now - time.Second
	// The row that the process writes now is not known to the owner yet.
	assert.NilError(t, member.Register(t.Context(), table, member.Member{Name: "cut-off", Role: member.Entry}))
	// An owner that was suspended has heard of nobody, and another one may own the work.
	o.lastCommitSent.Store(int64(now - time.Minute))
	o.deleteAbsentMembers(t.Context(), now)
	o.wg.Wait()
	left, _, err := store.ReadAll(t.Context(), table, member.Table)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 4)

	o.lastCommitSent.Store(int64(now))
	o.deleteAbsentMembers(t.Context(), now)
	o.wg.Wait()
	left, _, err = store.ReadAll(t.Context(), table, member.Table)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 3)
	for _, r := range left {
		assert.Assert(t, r.Key != member.Table+"/left")
	}
}

// Guards against ending the connection to a member of an earlier build, which does not decode a new type of message.
func TestMessagesGoOnlyToMembersThatDecodeThem(t *testing.T) {
	l := &memberConns{peers: make(map[string]*wire.Peer), members: make(map[string]member.Member)}
	received := make(chan string, 4)
	for name, last := range map[string]wire.Type{"earlier": 0, "current": wire.LastDispatchType} {
		near, far := net.Pipe()
		l.members[name] = member.Member{Name: name, Role: member.Entry, LastMessage: uint8(last)}
		l.peers[name] = wire.NewPeer(near, nil)
		p := wire.NewPeer(far, func(_ *wire.Peer, m wire.Message, _ wire.Reply) { received <- fmt.Sprintf("%s %d", name, m.Type()) })
		defer l.peers[name].Close()
		defer p.Close()
	}
	l.broadcast(member.Entry, &wire.Backlog{})
	assert.Equal(t, <-received, fmt.Sprintf("current %d", wire.TypeBacklog))
	l.broadcast(member.Entry, &wire.QueueCounts{})
	both := []string{<-received, <-received}
	slices.Sort(both)
	assert.DeepEqual(t, both, []string{fmt.Sprintf("current %d", wire.TypeQueueCounts), fmt.Sprintf("earlier %d", wire.TypeQueueCounts)})
}
