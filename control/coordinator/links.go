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
	"github.com/chicorystand/chicorystand/wire"
)

const (
	dialTimeout = time.Second
	// beatInterval is the time between two calls that keep a connection alive.
	beatInterval = 700 * time.Millisecond
	// silentAfter ends a connection on which nothing arrives.
	silentAfter = 2 * time.Second
	// firstRedial and lastRedial bound the pause between two attempts to connect.
	firstRedial = 100 * time.Millisecond
	lastRedial  = time.Second
)

// links are the owner's connections to all members.
type links struct {
	// lead returns the message that a connection is kept alive with.
	lead  func() *wire.Lead
	clock clock.Clock
	log   zerolog.Logger
	dial  func(ctx context.Context, address string) (net.Conn, error)
	// received handles messages of members; lost tells of connections that ended.
	received wire.Handler
	lost     func(m member.Member)

	mu    sync.Mutex
	peers map[string]*wire.Peer
	stops map[string]context.CancelFunc
	known map[string]member.Member
	// acked is when the last call was sent that the member has answered.
	acked map[string]time.Duration
	wg    sync.WaitGroup
}

// set starts to connect to a member, or to its new address.
func (l *links) set(ctx context.Context, m member.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[m.Name] == m {
		return
	}
	if stop := l.stops[m.Name]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	l.known[m.Name], l.stops[m.Name] = m, cancel
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.keep(ctx, m)
	}()
}

// remove ends the connection to a member.
func (l *links) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop := l.stops[name]; stop != nil {
		stop()
	}
	delete(l.known, name)
	delete(l.stops, name)
}

// keep connects again and again until ctx ends.
func (l *links) keep(ctx context.Context, m member.Member) {
	pause := firstRedial
	for ctx.Err() == nil {
		if l.session(ctx, m) {
			pause = firstRedial
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			pause = min(2*pause, lastRedial)
		}
	}
}

// session reports whether a connection was established. It returns when the connection has ended.
func (l *links) session(ctx context.Context, m member.Member) bool {
	conn, err := l.connect(ctx, m.Address)
	if err != nil {
		return false
	}
	p := wire.NewPeer(conn, l.received)
	defer p.Close()
	if err := l.beat(ctx, m.Name, p); err != nil {
		return false
	}
	l.mu.Lock()
	if l.known[m.Name] != m {
		l.mu.Unlock()
		return false
	}
	l.peers[m.Name] = p
	l.mu.Unlock()
	events.MemberConnected.Log(l.log).Str("member", m.Name).Send()
	l.watch(ctx, m.Name, p)
	l.mu.Lock()
	if l.peers[m.Name] == p {
		delete(l.peers, m.Name)
	}
	l.mu.Unlock()
	if ctx.Err() == nil {
		events.MemberLost.Log(l.log).Str("member", m.Name).Dur("silent", p.Idle()).Send()
	}
	l.lost(m)
	return true
}

func (l *links) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return l.dial(ctx, address)
}

// dialTCP connects to a member over TCP.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// beat sends the lead message and waits for the answer.
func (l *links) beat(ctx context.Context, name string, p *wire.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	sent := l.clock.Now()
	if _, err := p.Call(ctx, l.lead()); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[name] = max(l.acked[name], sent)
	return nil
}

// watch returns when the connection has ended or gone silent.
func (l *links) watch(ctx context.Context, name string, p *wire.Peer) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Done():
			return
		case <-ticker.C:
			if err := l.beat(ctx, name, p); err != nil {
				return
			}
		}
	}
}

// consent returns the earliest of the times at which the named members were
// last known to follow this owner, 0 when one of them never was.
func (l *links) consent(names []string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	earliest := time.Duration(0)
	for i, name := range names {
		if at := l.acked[name]; i == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}

// names returns the known members of a role.
func (l *links) names(role member.Role) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, m := range l.known {
		if m.Role == role {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// send sends a message to a member. It reports an error when there is no connection.
func (l *links) send(name string, m wire.Message) error {
	l.mu.Lock()
	p := l.peers[name]
	l.mu.Unlock()
	if p == nil {
		return errkind.New(errkind.NotReady, "%s is not connected", name)
	}
	return p.Notify(m)
}

// broadcast sends a message to all connected members of a role.
func (l *links) broadcast(role member.Role, m wire.Message) {
	l.mu.Lock()
	var peers []*wire.Peer
	for name, p := range l.peers {
		if l.known[name].Role == role {
			peers = append(peers, p)
		}
	}
	l.mu.Unlock()
	for _, p := range peers {
		// A connection that cannot be written to is noticed by watch.
		_ = p.Notify(m)
	}
}
