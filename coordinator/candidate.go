package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
)

const (
	// watchInterval is the time between two readings of the owner row by an entry
	// that does not hear the owner.
	watchInterval = 150 * time.Millisecond
	// takeoverAfter is how long the owner row must stay unchanged before another
	// entry takes over. The owner writes it every renewInterval.
	takeoverAfter = 1200 * time.Millisecond
	// staleOwner is the time without a commit of the owner after which the row is watched.
	staleOwner = 900 * time.Millisecond
	// takeoverSpread spreads the attempts of several entries.
	takeoverSpread = 300 * time.Millisecond
	// resignTimeout bounds the last write of an owner that stops.
	resignTimeout = 500 * time.Millisecond
)

// OwnerView is what a candidate knows of the owner from its connection.
type OwnerView interface {
	// Stale returns how long no owner was heard that could commit.
	Stale() time.Duration
	// Claim withholds the consent to the known owner, Unclaim gives it again.
	Claim()
	Unclaim()
}

// Candidate is an entry that owns the work, or takes it over when the owner is gone.
type Candidate struct {
	cfg   Config
	owner OwnerView
	// claimed is the version of the row that the last attempt to take over replaces, 0 for none.
	claimed uint64
	seen    head
	seenAt  time.Duration
	spread  time.Duration
	owning  atomic.Bool
}

// NewCandidate returns a candidate that is started by Run.
func NewCandidate(cfg Config, owner OwnerView) *Candidate {
	return &Candidate{cfg: cfg, owner: owner, spread: rand.N(takeoverSpread)}
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
	if c.owner.Stale() < staleOwner && c.claimed == 0 {
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
		c.claimed = 0
		return h, true
	}
	if h.version != c.seen.version || c.seenAt == 0 {
		c.seen, c.seenAt = h, now
	}
	if c.claimed != 0 && h.version != c.claimed {
		// The attempt can not take effect any more.
		c.claimed = 0
		c.owner.Unclaim()
	}
	restarted := h.Owner == c.cfg.Member.Name
	if h.version != 0 && h.Owner != "" && !restarted && now-c.seenAt < takeoverAfter+c.spread {
		return head{}, false
	}
	to := Head{Epoch: h.Epoch + 1, Owner: c.cfg.Member.Name, Incarnation: c.cfg.Member.Incarnation}
	c.owner.Claim()
	c.claimed = h.version
	taken, err := writeHead(ctx, c.cfg.Store, h, to, nil)
	if err == nil {
		c.claimed = 0
	}
	return taken, err == nil
}

// own serves as the owner until the ownership is lost.
func (c *Candidate) own(ctx context.Context, h head) {
	events.OwnerTaken.Log(c.cfg.Log).Uint64("epoch", h.Epoch).Str("after", c.seen.Owner).
		Dur("unchanged", c.cfg.Clock.Now()-c.seenAt).Send()
	c.owning.Store(true)
	defer c.owning.Store(false)
	o := newOwner(c.cfg, h, c.earlierOwner())
	err := o.run(ctx)
	events.OwnerLost.Log(c.cfg.Log).Uint64("epoch", h.Epoch).AnErr("cause", err).Send()
	if ctx.Err() != nil && errkind.Of(err) != errkind.NotOwner {
		c.resign(o)
	}
	c.seenAt = 0
}

// earlierOwner returns how long after this takeover the owner before may have
// extended leases. It needs the consent of the entries in its row; an entry that
// is not among them has to wait for the longest time without a commit.
func (c *Candidate) earlierOwner() time.Duration {
	if c.seen.version == 0 || slices.Contains(c.seen.Entries, c.cfg.Member.Name) {
		return c.cfg.Bounds.Consent
	}
	return c.cfg.Bounds.StoreLoss
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
