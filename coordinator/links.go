package coordinator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
	"github.com/chicorystand/chicorystand/member"
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
	lead wire.Lead
	log  zerolog.Logger
	// received handles messages of members; lost tells of connections that ended.
	received wire.Handler
	lost     func(m member.Member)

	mu    sync.Mutex
	peers map[string]*wire.Peer
	stops map[string]context.CancelFunc
	known map[string]member.Member
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
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return false
	}
	p := wire.NewPeer(conn, l.received)
	defer p.Close()
	lead := l.lead
	if err := beat(ctx, p, &lead); err != nil {
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
	l.watch(ctx, p, &lead)
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

func beat(ctx context.Context, p *wire.Peer, lead *wire.Lead) error {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	_, err := p.Call(ctx, lead)
	return err
}

// watch returns when the connection has ended or gone silent.
func (l *links) watch(ctx context.Context, p *wire.Peer, lead *wire.Lead) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Done():
			return
		case <-ticker.C:
			if p.Idle() > silentAfter {
				return
			}
			if _, err := p.Start(lead); err != nil {
				return
			}
		}
	}
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
