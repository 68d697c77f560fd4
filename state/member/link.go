package member

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/wire"
)

// firstFrame bounds the time until an accepted connection sends something.
const firstFrame = 2 * time.Second

// Serve accepts the owner's connections on l until l is closed.
func Serve(l net.Listener, link *OwnerLink, handle wire.Handler) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p := wire.Accept(conn, handle, firstFrame)
		go func() {
			<-p.Done()
			link.Lost(p)
		}()
	}
}

// OwnerLink is a member's connection from the owner with the highest epoch.
type OwnerLink struct {
	clock clock.Clock
	log   zerolog.Logger
	heard atomic.Int64

	mu    sync.Mutex
	epoch uint64
	// claiming tells that this process tries to become the owner itself.
	claiming bool
	// commitAge is the age of the owner's last commit when it was heard last.
	commitAge time.Duration
	peer      *wire.Peer
	counts    map[string]int
	countsAt  time.Duration
}

// NewOwnerLink returns a link that has not heard an owner.
func NewOwnerLink(c clock.Clock, log zerolog.Logger) *OwnerLink {
	return &OwnerLink{clock: c, log: log}
}

// Silent returns how long the owner was not heard.
func (l *OwnerLink) Silent() time.Duration {
	at := l.heard.Load()
	if at == 0 {
		return neverHeard
	}
	return l.clock.Now() - time.Duration(at)
}

// neverHeard stands for the silence of an owner that is not connected.
const neverHeard = time.Hour

// Stale returns how long the owner has not been heard, or has not been able to
// commit, whichever is longer. It is long when the connection has ended.
func (l *OwnerLink) Stale() time.Duration {
	l.mu.Lock()
	age, connected := l.commitAge, l.peer != nil
	l.mu.Unlock()
	if !connected {
		return neverHeard
	}
	return max(age, l.Silent())
}

// Epoch returns the highest epoch that was heard.
func (l *OwnerLink) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Peer returns the connection from the owner, nil when there is none.
func (l *OwnerLink) Peer() *wire.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// Counts returns the last queue counts and their age.
func (l *OwnerLink) Counts() (map[string]int, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		return nil, neverHeard
	}
	return l.counts, l.clock.Now() - l.countsAt
}

// Accept takes in a Lead message. It reports whether the epoch is the highest
// so far, and whether it or the connection is new.
func (l *OwnerLink) Accept(p *wire.Peer, m *wire.Lead) (accepted, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Epoch < l.epoch || (l.claiming && m.Epoch == l.epoch) {
		return false, false
	}
	l.claiming = l.claiming && m.Epoch == l.epoch
	changed = m.Epoch != l.epoch || l.peer != p
	if m.Epoch != l.epoch {
		events.OwnerSeen.Log(l.log).Uint64("epoch", m.Epoch).Str("owner", m.Owner).Uint64("before", l.epoch).Send()
	}
	l.epoch, l.peer = m.Epoch, p
	l.commitAge = time.Duration(m.CommitAgeMS) * time.Millisecond
	l.heard.Store(int64(l.clock.Now()))
	return true, changed
}

// Claim withholds the consent to the owner that is known, until Unclaim or an
// owner with a higher epoch. It is called before an attempt to take over.
func (l *OwnerLink) Claim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claiming = true
}

// Unclaim gives consent again, after an attempt that has no effect now or later.
func (l *OwnerLink) Unclaim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claiming = false
}

// Current reports whether the connection is that of the owner, and notes that it was heard.
func (l *OwnerLink) Current(p *wire.Peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p != l.peer {
		return false
	}
	l.heard.Store(int64(l.clock.Now()))
	return true
}

// Lost forgets the connection.
func (l *OwnerLink) Lost(p *wire.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer == p {
		l.peer = nil
	}
}

// Handle serves the owner's messages to an entry.
func (l *OwnerLink) Handle(p *wire.Peer, msg wire.Message, reply wire.Reply) {
	switch m := msg.(type) {
	case *wire.Lead:
		if ok, _ := l.Accept(p, m); !ok {
			reply(wire.ErrorReply(errkind.New(errkind.StaleEpoch, "epoch %d is known", l.Epoch())))
			return
		}
		reply(&wire.Ack{})
	case *wire.QueueCounts:
		if l.Current(p) {
			l.mu.Lock()
			l.counts, l.countsAt = m.Counts, l.clock.Now()
			l.mu.Unlock()
		}
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", msg.Type())))
	}
}
