package coordinator

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	dialTimeout = time.Second
	// heartbeatInterval is the time between two heartbeat calls on a connection.
	heartbeatInterval = 700 * time.Millisecond
	// heartbeatTimeout is the time without a reply after which a connection is closed.
	heartbeatTimeout = 2 * time.Second
	// minRedialDelay and maxRedialDelay bound the backoff between two connection attempts.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// maxQueuedForMember bounds the bytes that wait for a member, whose link may be slow. What does not fit is not sent, and orders are
	// due again as after the loss of the connection.
	maxQueuedForMember = 1 << 20
	// absentEntryAge is the time without an acknowledgement after which an entry counts as gone.
	absentEntryAge = 30 * time.Second
	// absentMemberAge is the time after which the row of a member is deleted that has neither acknowledged this owner nor
	// written its row. A member that is only cut off from the owner writes its row every few seconds.
	absentMemberAge = 10 * time.Minute
	// memberCleanupInterval is the time between two searches for such rows.
	memberCleanupInterval = time.Minute
)

// memberConns are the owner's connections to all members.
type memberConns struct {
	// leadMessage returns the heartbeat message.
	leadMessage func() *wire.Lead
	clock       clock.Clock
	log         zerolog.Logger
	dial        func(ctx context.Context, address string) (net.Conn, error)
	// handler receives the members' messages; onDisconnect is called when a connection has ended.
	handler      wire.Handler
	onDisconnect func(m member.Member)

	mu      sync.Mutex
	peers   map[string]*wire.Peer
	cancels map[string]context.CancelFunc
	// ended is closed by the end of the last connection under each name.
	ended   map[string]chan struct{}
	members map[string]member.Member
	// membersRead is set once all members' rows have been read, so that no entry is missing.
	membersRead bool
	// versions are those of the members' rows.
	versions map[string]uint64
	// registeredAt is when this owner last received each member's row.
	registeredAt map[string]time.Duration
	// lastAcked holds the send time of the last heartbeat that each member answered.
	lastAcked map[string]time.Duration
	// connectedAt is when the connections in peers were established.
	connectedAt map[string]time.Duration
	wg          sync.WaitGroup
}

// setMember adds or updates a member, whose row has the given version, and starts to connect to its address.
func (l *memberConns) setMember(ctx context.Context, m member.Member, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[m.Name], l.registeredAt[m.Name] = version, l.clock.Now()
	if l.members[m.Name] == m || !l.claimAddressLocked(m) {
		return
	}
	if stop := l.cancels[m.Name]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	previous, ended := l.ended[m.Name], make(chan struct{})
	l.members[m.Name], l.cancels[m.Name], l.ended[m.Name] = m, cancel, ended
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer close(ended)
		if previous != nil {
			// Otherwise the end of the previous connection could be handled after messages of this one.
			<-previous
		}
		l.maintain(ctx, m)
	}()
}

// claimAddressLocked removes members that have registered with the member's address before it. It returns false
// when another one has registered with it since: the row of a removed VM stays in the store, and its address
// may be assigned to a new one. A member without a connection registers again. The caller holds mu.
func (l *memberConns) claimAddressLocked(m member.Member) bool {
	for name, other := range l.members {
		switch {
		case name == m.Name || other.Address != m.Address:
		case l.versions[name] > l.versions[m.Name]:
			return false
		default:
			l.removeMemberLocked(name)
		}
	}
	return true
}

// removeMemberLocked closes the connection to a member and stops reconnecting. The caller holds mu.
func (l *memberConns) removeMemberLocked(name string) {
	if stop := l.cancels[name]; stop != nil {
		stop()
	}
	delete(l.members, name)
	delete(l.cancels, name)
}

// forgetMember closes the connection to a member whose row was deleted.
func (l *memberConns) forgetMember(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeMemberLocked(name)
	delete(l.versions, name)
	delete(l.registeredAt, name)
	delete(l.lastAcked, name)
}

// maintain keeps a member connected, reconnecting with backoff until ctx ends.
func (l *memberConns) maintain(ctx context.Context, m member.Member) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		if l.runSession(ctx, m) {
			delay = minRedialDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			delay = min(2*delay, maxRedialDelay)
		}
	}
}

// runSession connects to a member and returns when the connection has ended. It reports
// whether the connection was established.
func (l *memberConns) runSession(ctx context.Context, m member.Member) bool {
	conn, err := l.dialWithTimeout(ctx, m.Address)
	if err != nil {
		return false
	}
	p := wire.NewPeer(conn, l.handler)
	defer p.Close()
	// The owner's loop sends to all members and must not wait for any.
	p.WriteInBackground()
	p.LimitQueue(maxQueuedForMember)
	if err := l.heartbeat(ctx, m.Name, p); err != nil {
		return false
	}
	l.mu.Lock()
	if l.members[m.Name] != m {
		l.mu.Unlock()
		return false
	}
	l.peers[m.Name] = p
	l.connectedAt[m.Name] = l.clock.Now()
	l.mu.Unlock()
	events.MemberConnected.Log(l.log).Str("member", m.Name).Send()
	l.heartbeatLoop(ctx, m.Name, p)
	l.mu.Lock()
	if l.peers[m.Name] == p {
		delete(l.peers, m.Name)
		delete(l.connectedAt, m.Name)
	}
	l.mu.Unlock()
	if ctx.Err() == nil {
		events.MemberLost.Log(l.log).Str("member", m.Name).Dur("silent", p.Idle()).Send()
	}
	p.Close()
	l.onDisconnect(m)
	return true
}

func (l *memberConns) dialWithTimeout(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return l.dial(ctx, address)
}

// dialTCP is the default dial function.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// heartbeat sends the lead message and waits for the reply.
func (l *memberConns) heartbeat(ctx context.Context, name string, p *wire.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := l.clock.Now()
	if _, err := p.Call(ctx, l.leadMessage()); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAcked[name] = max(l.lastAcked[name], sent)
	return nil
}

// heartbeatLoop returns when the connection has ended or a heartbeat has timed out.
func (l *memberConns) heartbeatLoop(ctx context.Context, name string, p *wire.Peer) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Done():
			return
		case <-ticker.C:
			if err := l.heartbeat(ctx, name, p); err != nil {
				return
			}
		}
	}
}

// earliestAck returns the earliest time at which one of the named members last
// acknowledged this owner, 0 when one of them never did.
func (l *memberConns) earliestAck(names []string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	earliest := time.Duration(0)
	for i, name := range names {
		if at := l.lastAcked[name]; i == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}

// silentFor returns how long nothing was heard of a member, neither from it nor by its row. The caller holds mu.
func (l *memberConns) silentFor(name string, now time.Duration) time.Duration {
	return now - max(l.lastAcked[name], l.registeredAt[name])
}

// absentMembers returns the keys and versions of the rows of members that have left for good.
func (l *memberConns) absentMembers(now time.Duration) []store.Cond {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []store.Cond
	for name, version := range l.versions {
		if l.silentFor(name, now) >= absentMemberAge {
			rows = append(rows, store.Cond{Key: member.Table + "/" + name, Version: version})
		}
	}
	return rows
}

func (l *memberConns) setMembersRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.membersRead = true
}

// leaseGrant returns what the next commit says of the owner's leases, nil while not all entries are known.
func (l *memberConns) leaseGrant(now time.Duration) *grant {
	l.mu.Lock()
	read := l.membersRead
	l.mu.Unlock()
	if !read {
		return nil
	}
	return &grant{entries: l.presentEntries(now)}
}

// presentEntries returns the sorted names of the entries that have acknowledged this owner or registered within
// absentEntryAge. An entry that is not in the owner's row and takes over assumes the longest leases, so that leaving it
// out is safe.
func (l *memberConns) presentEntries(now time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, m := range l.members {
		if m.Role == member.Entry && l.silentFor(name, now) < absentEntryAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// send sends a message to a member. It fails when the member is not connected.
func (l *memberConns) send(name string, m wire.Message) error {
	l.mu.Lock()
	p := l.peers[name]
	l.mu.Unlock()
	if p == nil {
		return errkind.New(errkind.NotReady, "member %s is not connected", name)
	}
	return p.Notify(m)
}

// broadcast sends a message to all connected members of a role that can decode it.
func (l *memberConns) broadcast(role member.Role, m wire.Message) {
	l.mu.Lock()
	var peers []*wire.Peer
	for name, p := range l.peers {
		if recipient := l.members[name]; recipient.Role == role && recipient.Understands(m.Type()) {
			peers = append(peers, p)
		}
	}
	l.mu.Unlock()
	for _, p := range peers {
		// heartbeatLoop detects a connection that cannot be written to.
		_ = p.Notify(m)
	}
}
