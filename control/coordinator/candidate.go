package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
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

// States of a candidate.
const (
	// stateWatching: another entry owns the work, or may.
	stateWatching = "watching"
	// stateClaiming: an attempt to take over has an outcome that is not known yet.
	stateClaiming = "claiming"
	// stateOwning: this entry owns the work.
	stateOwning = "owning"
)

// Events of a candidate.
const (
	// eventClaim: an attempt to take over is sent.
	eventClaim = "claim"
	// eventMiss: the attempt has no effect now or later.
	eventMiss = "miss"
	// eventTake: the attempt has taken effect.
	eventTake = "take"
	// eventLose: the ownership has ended.
	eventLose = "lose"
)

var candidateEvents = fsm.Events{
	{Name: eventClaim, Src: []string{stateWatching, stateClaiming}, Dst: stateClaiming},
	{Name: eventMiss, Src: []string{stateClaiming}, Dst: stateWatching},
	{Name: eventTake, Src: []string{stateWatching, stateClaiming}, Dst: stateOwning},
	{Name: eventLose, Src: []string{stateOwning}, Dst: stateWatching},
}

// Candidate is an entry that owns the work, or takes it over when the owner is gone.
type Candidate struct {
	cfg   Config
	owner OwnerView
	state *fsm.FSM
	// claimed is the version of the row that the last attempt to take over replaces.
	claimed uint64
	seen    head
	seenAt  time.Duration
	spread  time.Duration
	// counters are the totals of all periods of ownership of this process.
	counters counters
}

// NewCandidate returns a candidate that is started by Run.
func NewCandidate(cfg Config, owner OwnerView) *Candidate {
	c := &Candidate{cfg: cfg, owner: owner, spread: rand.N(takeoverSpread)}
	c.state = fsm.NewFSM(stateWatching, candidateEvents, fsm.Callbacks{
		"enter_" + stateClaiming: func(context.Context, *fsm.Event) { owner.Claim() },
		"leave_" + stateClaiming: func(_ context.Context, e *fsm.Event) {
			if e.Event == eventMiss {
				owner.Unclaim()
			}
		},
	})
	return c
}

// Owning reports whether this entry owns the work.
func (c *Candidate) Owning() bool { return c.state.Is(stateOwning) }

// event changes the state. A change that the table does not have is a fault of this package.
func (c *Candidate) event(name string) {
	err := c.state.Event(context.Background(), name)
	if err != nil && !errors.As(err, new(fsm.NoTransitionError)) {
		panic("coordinator: " + err.Error())
	}
}

// Counters returns the totals of this process's periods of ownership.
func (c *Candidate) Counters() dispatch.Counters { return c.counters.load() }

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
	if c.owner.Stale() < staleOwner && c.state.Is(stateWatching) {
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
		c.event(eventTake)
		return h, true
	}
	if h.version != c.seen.version || c.seenAt == 0 {
		c.seen, c.seenAt = h, now
	}
	if c.state.Is(stateClaiming) && h.version != c.claimed {
		c.event(eventMiss)
	}
	if now-c.seenAt < c.takeoverWait(&h) {
		return head{}, false
	}
	to := Head{Epoch: h.Epoch + 1, Owner: c.cfg.Member.Name, Incarnation: c.cfg.Member.Incarnation}
	c.claimed = h.version
	c.event(eventClaim)
	taken, err := writeHead(ctx, c.cfg.Store, h, to, nil)
	if err == nil {
		c.event(eventTake)
	}
	return taken, err == nil
}

// takeoverWait returns how long the row has to be unchanged before this entry takes over.
func (c *Candidate) takeoverWait(h *head) time.Duration {
	switch {
	case h.version == 0 || h.Owner == c.cfg.Member.Name:
		// Nobody has owned the work yet, or an earlier life of this process has.
		return 0
	case h.Owner == "":
		return c.cfg.Handicap
	}
	return takeoverAfter + c.spread + c.cfg.Handicap
}

// own serves as the owner until the ownership is lost.
func (c *Candidate) own(ctx context.Context, h head) {
	events.OwnershipTaken.Log(c.cfg.Log).Uint64("epoch", h.Epoch).Str("after", c.seen.Owner).
		Dur("unchanged", c.cfg.Clock.Now()-c.seenAt).Send()
	defer c.event(eventLose)
	o := newOwner(c.cfg, h, c.earlierOwner())
	o.counters = &c.counters
	err := o.run(ctx)
	c.counters.endPeriod()
	events.OwnershipLost.Log(c.cfg.Log).Uint64("epoch", h.Epoch).AnErr("cause", err).Send()
	if ctx.Err() != nil && errkind.Of(err) != errkind.NotOwner {
		c.resign(o)
	}
	c.seenAt = 0
}

// earlierOwner returns how long after this takeover the owner before may have
// extended leases. It needs the consent of the entries in its row; an entry that
// is not among them has to wait for the longest time without a commit. An earlier life
// of this process has ended and extends none; its row does not name itself.
func (c *Candidate) earlierOwner() time.Duration {
	name := c.cfg.Member.Name
	if c.seen.version == 0 || c.seen.Owner == name || slices.Contains(c.seen.Entries, name) {
		return c.cfg.Bounds.AckValidity
	}
	return c.cfg.Bounds.MaxStoreOutage
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
