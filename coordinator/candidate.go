package coordinator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
)

const (
	// watchInterval is the time between two readings of the owner row by an entry
	// that does not hear the owner.
	watchInterval = 300 * time.Millisecond
	// takeoverAfter is how long the owner row must stay unchanged before another
	// entry takes over. The owner writes it every renewInterval.
	takeoverAfter = 1800 * time.Millisecond
	// takeoverSpread spreads the attempts of several entries.
	takeoverSpread = 400 * time.Millisecond
	// resignTimeout bounds the last write of an owner that stops.
	resignTimeout = 500 * time.Millisecond
)

// Candidate is an entry that owns the work, or takes it over when the owner is gone.
type Candidate struct {
	cfg Config
	// ownerSilent returns how long no owner was heard on a connection.
	ownerSilent func() time.Duration
	seen        head
	seenAt      time.Duration
	spread      time.Duration
	owning      atomic.Bool
}

// NewCandidate returns a candidate that is started by Run.
func NewCandidate(cfg Config, ownerSilent func() time.Duration) *Candidate {
	return &Candidate{cfg: cfg, ownerSilent: ownerSilent, spread: rand.N(takeoverSpread)}
}

// Owning reports whether this entry owns the work.
func (c *Candidate) Owning() bool { return c.owning.Load() }

// Run watches the owner, and owns the work when nobody else does, until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if h, ok := c.watch(ctx); ok {
			c.own(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

// watch reads the owner row and takes over when it may. It reports whether this
// process is the owner now.
func (c *Candidate) watch(ctx context.Context) (head, bool) {
	if c.ownerSilent() < takeoverAfter/2 {
		c.seenAt = 0
		return head{}, false
	}
	h, err := readHead(ctx, c.cfg.Store)
	if err != nil {
		// Without the store nobody can take over; the wait starts again.
		c.seenAt = 0
		return head{}, false
	}
	now := c.cfg.Clock.Now()
	if h.Incarnation == c.cfg.Member.Incarnation && h.Owner == c.cfg.Member.Name {
		// An earlier attempt has taken effect after its answer was lost.
		return h, true
	}
	if h.version != c.seen.version || c.seenAt == 0 {
		c.seen, c.seenAt = h, now
	}
	restarted := h.Owner == c.cfg.Member.Name
	if h.version != 0 && h.Owner != "" && !restarted && now-c.seenAt < takeoverAfter+c.spread {
		return head{}, false
	}
	to := Head{Epoch: h.Epoch + 1, Owner: c.cfg.Member.Name, Incarnation: c.cfg.Member.Incarnation}
	taken, err := writeHead(ctx, c.cfg.Store, h, to, nil)
	return taken, err == nil
}

// own serves as the owner until the ownership is lost.
func (c *Candidate) own(ctx context.Context, h head) {
	events.OwnerTaken.Log(c.cfg.Log).Uint64("epoch", h.Epoch).Str("after", c.seen.Owner).
		Dur("unchanged", c.cfg.Clock.Now()-c.seenAt).Send()
	c.owning.Store(true)
	defer c.owning.Store(false)
	o := newOwner(c.cfg, h)
	err := o.run(ctx)
	events.OwnerLost.Log(c.cfg.Log).Uint64("epoch", h.Epoch).AnErr("cause", err).Send()
	if ctx.Err() != nil && errkind.Of(err) != errkind.NotOwner {
		c.resign(o)
	}
	c.seenAt = 0
}

// resign lets another entry take over without a wait.
func (c *Candidate) resign(o *owner) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	to := o.commit.head.Head
	to.Owner, to.Sequence = "", to.Sequence+1
	// Without an answer the others take over after the row has been unchanged for a while.
	_, _ = writeHead(ctx, c.cfg.Store, o.commit.head, to, nil)
}
