package member

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// firstFrameTimeout bounds the time until the first frame on an accepted connection.
	firstFrameTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Serve accepts the owner's connections on l until l is closed.
func Serve(l net.Listener, link *OwnerLink, handle wire.Handler) {
	failing := false
	open := newConnSet(link)
	for number := uint64(1); ; number++ {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Such as no free file descriptor; the listener goes on.
			if !failing {
				events.ServeFailed.Log(link.log).Str("address", l.Addr().String()).Err(err).Send()
			}
			failing = true
			time.Sleep(acceptRetryDelay)
			continue
		}
		failing = false
		p := wire.Accept(conn, func(p *wire.Peer, msg wire.Message, reply wire.Reply) {
			p.Value.Store(number)
			handle(p, msg, reply)
		}, firstFrameTimeout)
		p.LimitQueue(maxUnknownQueue)
		open.add(p)
		go func() {
			open.await(p)
			link.Disconnected(p)
		}()
	}
}

// OwnerLink is a member's connection from the owner with the highest epoch.
type OwnerLink struct {
	clock         clock.Clock
	log           zerolog.Logger
	lastMessageAt atomic.Int64

	mu    sync.Mutex
	epoch uint64
	// takingOver is true while this process tries to become the owner itself.
	takingOver bool
	// commitAge is the age of the owner's last commit as of its last Lead message.
	commitAge time.Duration
	peer      *wire.Peer
	// connection is the number of the newest connection from the owner.
	connection    uint64
	queueCounts   map[string]int
	queueCountsAt time.Duration
	backlog       *wire.Backlog
	backlogAt     time.Duration
}

// NewOwnerLink returns a link without a connection.
func NewOwnerLink(c clock.Clock, log zerolog.Logger) *OwnerLink {
	return &OwnerLink{clock: c, log: log}
}

// SinceLastMessage returns the time since the owner's last message, unknownAge before the first.
func (l *OwnerLink) SinceLastMessage() time.Duration {
	at := l.lastMessageAt.Load()
	if at == 0 {
		return unknownAge
	}
	return l.clock.Now() - time.Duration(at)
}

// unknownAge is reported when no owner is connected or nothing has been received.
const unknownAge = time.Hour

// Staleness returns the time since the owner's last message or its last commit, whichever
// is longer. It is unknownAge when there is no connection.
func (l *OwnerLink) Staleness() time.Duration {
	l.mu.Lock()
	age, connected := l.commitAge, l.peer != nil
	l.mu.Unlock()
	if !connected {
		return unknownAge
	}
	return max(age, l.SinceLastMessage())
}

// Epoch returns the highest epoch received.
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

// QueueCounts returns the last queue counts received and their age.
func (l *OwnerLink) QueueCounts() (map[string]int, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queueCounts == nil {
		return nil, unknownAge
	}
	return l.queueCounts, l.clock.Now() - l.queueCountsAt
}

// Backlog returns the last backlog estimate of the current owner and the time since its arrival, nil when there is none. It
// must not be changed.
func (l *OwnerLink) Backlog() (*wire.Backlog, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.backlog == nil || l.backlog.Epoch != l.epoch {
		return nil, unknownAge
	}
	return l.backlog, l.clock.Now() - l.backlogAt
}

// connectionNumber returns the position of a connection in the order of acceptance, 0 when Serve has not accepted it.
func connectionNumber(p *wire.Peer) uint64 {
	number, _ := p.Value.Load().(uint64)
	return number
}

// AcceptLead processes a Lead message. It reports whether the message is accepted, which
// requires the highest epoch so far, and whether its epoch or the connection is new. An owner has
// one connection at a time, so a message on an older one than the newest was delayed.
func (l *OwnerLink) AcceptLead(p *wire.Peer, m *wire.Lead) (accepted, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := connectionNumber(p)
	if m.Epoch < l.epoch || (m.Epoch == l.epoch && (l.takingOver || number < l.connection)) {
		return false, false
	}
	l.connection = number
	l.takingOver = l.takingOver && m.Epoch == l.epoch
	changed = m.Epoch != l.epoch || l.peer != p
	if m.Epoch != l.epoch {
		events.OwnerSeen.Log(l.log).Uint64("epoch", m.Epoch).Str("owner", m.Owner).Uint64("before", l.epoch).Send()
	}
	if l.peer != p {
		p.LimitQueue(wire.MaxQueued)
	}
	l.epoch, l.peer = m.Epoch, p
	l.commitAge = time.Duration(m.CommitAgeMS) * time.Millisecond
	l.lastMessageAt.Store(int64(l.clock.Now()))
	return true, changed
}

// BeginTakeover stops acknowledging the known owner, until AbortTakeover or a Lead message
// with a higher epoch. It is called before a takeover attempt.
func (l *OwnerLink) BeginTakeover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takingOver = true
}

// AbortTakeover acknowledges the owner again, after a takeover attempt that can no longer take effect.
func (l *OwnerLink) AbortTakeover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takingOver = false
}

// RecordMessage reports whether the connection is the owner's, and if so records the time of the message.
func (l *OwnerLink) RecordMessage(p *wire.Peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p != l.peer {
		return false
	}
	l.lastMessageAt.Store(int64(l.clock.Now()))
	return true
}

// Disconnected clears the connection if it is the current one.
func (l *OwnerLink) Disconnected(p *wire.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer == p {
		l.peer = nil
	}
}

// Handle handles the owner's messages to an entry.
func (l *OwnerLink) Handle(p *wire.Peer, msg wire.Message, reply wire.Reply) {
	switch m := msg.(type) {
	case *wire.Lead:
		if ok, _ := l.AcceptLead(p, m); !ok {
			reply(wire.ErrorReply(errkind.New(errkind.StaleEpoch, "epoch %d has already been seen", l.Epoch())))
			return
		}
		reply(&wire.Ack{})
	case *wire.QueueCounts:
		if l.RecordMessage(p) {
			l.mu.Lock()
			l.queueCounts, l.queueCountsAt = m.Counts, l.clock.Now()
			l.mu.Unlock()
		}
	case *wire.Backlog:
		if l.RecordMessage(p) {
			l.mu.Lock()
			l.backlog, l.backlogAt = m, l.clock.Now()
			l.mu.Unlock()
		}
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", msg.Type())))
	}
}
