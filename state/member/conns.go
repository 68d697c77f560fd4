package member

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// maxConns bounds the accepted connections of a member. It needs one from the owner, and a few more while owners change.
	maxConns = 16
	// maxUnknownQueue bounds the bytes queued for a connection from which no owner has sent a message. Replies to it are short.
	maxUnknownQueue = 256 << 10
	// maxConnSilence is the time without a message after which a connection is closed. Owners send one every 0.7 s.
	maxConnSilence = 30 * time.Second
	// silenceCheckInterval is the time between two checks of it.
	silenceCheckInterval = 5 * time.Second
)

// connSet holds the accepted connections of a member.
type connSet struct {
	link *OwnerLink
	mu   sync.Mutex
	open map[*wire.Peer]struct{}
}

func newConnSet(link *OwnerLink) *connSet {
	return &connSet{link: link, open: make(map[*wire.Peer]struct{})}
}

// add adds a connection. Above maxConns it closes the one that has been silent for longest, but never the owner's.
func (c *connSet) add(p *wire.Peer) {
	c.mu.Lock()
	c.open[p] = struct{}{}
	var silent *wire.Peer
	if len(c.open) > maxConns {
		silent = c.mostSilentLocked()
		delete(c.open, silent)
	}
	c.mu.Unlock()
	if silent != nil {
		events.ConnectionRefused.Log(c.link.log).Str("listener", "control").Str("reason", "limit").Str("remote", silent.RemoteAddr()).Send()
		silent.Close()
	}
}

// mostSilentLocked returns the connection other than the owner's without a message for longest. The caller holds mu.
func (c *connSet) mostSilentLocked() *wire.Peer {
	owner := c.link.Peer()
	var silent *wire.Peer
	for p := range c.open {
		if p != owner && (silent == nil || p.Idle() > silent.Idle()) {
			silent = p
		}
	}
	return silent
}

// await returns when a connection has ended, and closes it after maxConnSilence without a message.
func (c *connSet) await(p *wire.Peer) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.Done():
			c.mu.Lock()
			delete(c.open, p)
			c.mu.Unlock()
			return
		case <-ticker.C:
			if p.Idle() > maxConnSilence {
				p.Close()
			}
		}
	}
}
