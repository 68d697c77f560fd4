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
	// watchInterval is the time between two reads of the owner row by an entry that
	// receives no heartbeats from the owner.
	watchInterval = 150 * time.Millisecond
	// takeoverAfter is how long the owner row must stay unchanged before another
	// entry takes over. The owner writes it at least every maxCommitInterval.
	takeoverAfter = 1200 * time.Millisecond
	// staleOwnerThreshold is the time without a commit of the owner after which
	// candidates poll the owner row.
	staleOwnerThreshold = 900 * time.Millisecond
	// maxTakeoverJitter bounds the random delay that keeps entries from taking over at the same time.
	maxTakeoverJitter = 300 * time.Millisecond
	// resignTimeout bounds the last write of an owner that shuts down.
	resignTimeout = 500 * time.Millisecond
)

// OwnerView is a candidate's view of the current owner, based on the connection between them.
type OwnerView interface {
	// Staleness returns the time since the owner's last message or last commit, whichever is longer ago.
	Staleness() time.Duration
	// BeginTakeover stops acknowledging the known owner, AbortTakeover resumes it.
	BeginTakeover()
	AbortTakeover()
}

// States of a candidate.
const (
	// stateWatching: another entry owns the work or may own it.
	stateWatching = "watching"
	// stateClaiming: the outcome of a takeover attempt is not known yet.
	stateClaiming = "claiming"
	// stateOwning: this entry owns the work.
	stateOwning = "owning"
)

// Events of a candidate.
const (
	// eventClaim: a takeover attempt is sent.
	eventClaim = "claim"
	// eventClaimFailed: the attempt has had no effect and can have none later.
	eventClaimFailed = "miss"
	// eventClaimed: the attempt has taken effect.
	eventClaimed = "take"
	// eventLost: the ownership was lost.
	eventLost = "lose"
)

var candidateEvents = fsm.Events{
	{Name: eventClaim, Src: []string{stateWatching, stateClaiming}, Dst: stateClaiming},
	{Name: eventClaimFailed, Src: []string{stateClaiming}, Dst: stateWatching},
	{Name: eventClaimed, Src: []string{stateWatching, stateClaiming}, Dst: stateOwning},
	{Name: eventLost, Src: []string{stateOwning}, Dst: stateWatching},
}

// Candidate is an entry that owns the work or is ready to take it over when the owner fails.
type Candidate struct {
	cfg   Config
	owner OwnerView
	state *fsm.FSM
	// claimedVersion is the version of the owner row that the last takeover attempt replaces.
	claimedVersion uint64
	// servedEpoch is the epoch of the last ownership term of this process, 0 before the first.
	servedEpoch    uint64
	lastRow        ownerRow
	unchangedSince time.Duration
	jitter         time.Duration
	// handedOverAt is when this process last handed over the ownership, 0 for never.
	handedOverAt time.Duration
	// counters are the totals of all ownership terms of this process.
	counters counters
}

// NewCandidate returns a candidate. Run starts it.
func NewCandidate(cfg Config, owner OwnerView) *Candidate {
	c := &Candidate{cfg: cfg, owner: owner, jitter: rand.N(maxTakeoverJitter)}
	c.state = fsm.NewFSM(stateWatching, candidateEvents, fsm.Callbacks{
		"enter_" + stateClaiming: func(context.Context, *fsm.Event) { owner.BeginTakeover() },
		"leave_" + stateClaiming: func(_ context.Context, e *fsm.Event) {
			if e.Event == eventClaimFailed {
				owner.AbortTakeover()
			}
		},
	})
	return c
}

// Owning reports whether this entry owns the work.
func (c *Candidate) Owning() bool { return c.state.Is(stateOwning) }

// fire applies an event. A transition that candidateEvents does not list is a bug in this package.
func (c *Candidate) fire(name string) {
	err := c.state.Event(context.Background(), name)
	if err != nil && !errors.As(err, new(fsm.NoTransitionError)) {
		panic("coordinator: " + err.Error())
	}
}

// Counters returns the totals of this process's ownership terms.
func (c *Candidate) Counters() dispatch.Counters { return c.counters.load() }

// Run monitors the owner and takes over when there is none, until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if h, ok := c.tryTakeover(ctx); ok {
			c.serve(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

// tryTakeover reads the owner row and takes over if that is allowed. It reports
// whether this process is the owner now.
func (c *Candidate) tryTakeover(ctx context.Context) (ownerRow, bool) {
	if c.owner.Staleness() < staleOwnerThreshold && c.state.Is(stateWatching) {
		c.unchangedSince = 0
		return ownerRow{}, false
	}
	h, err := readOwnerRow(ctx, c.cfg.Store)
	if err != nil {
		// No entry can take over while the store is unreachable, so the wait restarts.
		c.unchangedSince = 0
		return ownerRow{}, false
	}
	now := c.cfg.Clock.Now()
	if h.Incarnation == c.cfg.Member.Incarnation && h.Owner == c.cfg.Member.Name && h.Epoch > c.servedEpoch {
		// An earlier attempt took effect although its reply was lost.
		c.fire(eventClaimed)
		return h, true
	}
	if h.version != c.lastRow.version || c.unchangedSince == 0 {
		c.lastRow, c.unchangedSince = h, now
	}
	if c.state.Is(stateClaiming) && h.version != c.claimedVersion {
		c.fire(eventClaimFailed)
	}
	if now-c.unchangedSince < c.takeoverWait(&h) {
		return ownerRow{}, false
	}
	to := h.successor(c.cfg.Member.Name, c.cfg.Member.Incarnation)
	c.claimedVersion = h.version
	c.fire(eventClaim)
	taken, err := writeOwnerRow(ctx, c.cfg.Store, h, to, nil)
	if err == nil {
		c.fire(eventClaimed)
	}
	return taken, err == nil
}

// takeoverWait returns how long the owner row must stay unchanged before this entry takes over.
func (c *Candidate) takeoverWait(h *ownerRow) time.Duration {
	switch {
	case h.version == 0 || h.Owner == c.cfg.Member.Name:
		// The work has had no owner yet, or the owner was an earlier incarnation of this process.
		return 0
	case h.Owner == "":
		return c.takeoverDelay(h)
	}
	return takeoverAfter + c.jitter + c.takeoverDelay(h)
}

// serve runs the owner until the ownership is lost.
func (c *Candidate) serve(ctx context.Context, h ownerRow) {
	events.OwnershipTaken.Log(c.cfg.Log).Uint64("epoch", h.Epoch).Str("after", c.lastRow.Owner).
		Dur("unchanged", c.cfg.Clock.Now()-c.unchangedSince).Send()
	defer c.fire(eventLost)
	// A term that has ended may have orders on their way that the next one does not know, so each term
	// has an epoch of its own.
	c.servedEpoch = h.Epoch
	o := newOwner(c.cfg, h, c.previousOwnerWindow())
	o.counters, o.handedOverAt = &c.counters, c.handedOverAt
	err := o.run(ctx)
	handOver := errors.Is(err, errHandOver)
	if handOver {
		c.handedOverAt = c.cfg.Clock.Now()
	}
	c.counters.endTerm(handOver)
	events.OwnershipLost.Log(c.cfg.Log).Uint64("epoch", h.Epoch).AnErr("cause", err).Send()
	if handOver || ctx.Err() != nil && errkind.Of(err) != errkind.NotOwner {
		c.resign(o, handOver)
	}
	c.unchangedSince = 0
}

// previousOwnerWindow returns how long after this takeover a previous owner may have
// extended leases. The last one that granted leases needs acknowledgements from the entries in the
// row; an entry that is not among them must assume the longest time without a commit. One that has granted none
// adds nothing, and if an earlier incarnation or term of this process was the last to grant leases, it has ended and extends none.
func (c *Candidate) previousOwnerWindow() time.Duration {
	name := c.cfg.Member.Name
	if c.lastRow.version == 0 || c.lastRow.grantor() == name || slices.Contains(c.lastRow.Entries, name) {
		return c.cfg.Bounds.AckValidity
	}
	return c.cfg.Bounds.MaxStoreOutage
}

// resign clears the owner row, so that another entry can take over at once.
func (c *Candidate) resign(o *owner, handOver bool) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	to := o.committer.row.OwnerRecord
	to.Owner, to.Sequence, to.HandedOver = "", to.Sequence+1, to.HandedOver || handOver
	// On failure, another entry takes over once the row has been unchanged for takeoverAfter.
	_, _ = writeOwnerRow(ctx, c.cfg.Store, o.committer.row, to, nil)
}
