package confsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/state/store"
)

// Proposer writes changes and accepts them when every registered entry is
// prepared or has expired. Any entry may accept a pending change, so a change
// completes even if its proposer has crashed. It is safe for concurrent use.
type Proposer struct {
	entryID         string
	table           store.Table
	writer          *store.Writer
	clock           clock.Clock
	extensionGrants *lease.ExtensionGrants

	mu sync.Mutex
	// observations tracks the registrations since observedGeneration was first seen pending.
	observedGeneration uint64
	observations       map[string]*lease.Observation
}

// NewProposer returns the proposer of an entry. grants is shared with the entry's shard manager.
func NewProposer(entryID string, table store.Table, c clock.Clock, grants *lease.ExtensionGrants) *Proposer {
	return &Proposer{entryID: entryID, table: table, clock: c, extensionGrants: grants, writer: store.NewWriter(table, entryID+"/config")}
}

func (p *Proposer) read(ctx context.Context) (configState, error) {
	rows, err := p.table.Get(ctx, KeyCurrent, KeyPending, KeyGenerations)
	if err != nil {
		return configState{}, err
	}
	return decodeConfigState(rows)
}

// Current returns the accepted document.
func (p *Proposer) Current(ctx context.Context) (plan.Document, error) {
	s, err := p.read(ctx)
	return s.current, err
}

// Propose writes doc as the pending successor of the generation it names. It
// returns the document with its new generation, and whether that is already
// accepted, since a repeated proposal finds its first submission. On errkind.Conflict
// the returned document is the current one.
func (p *Proposer) Propose(ctx context.Context, doc plan.Document) (plan.Document, bool, error) {
	if err := doc.Validate(); err != nil {
		return plan.Document{}, false, err
	}
	next := doc
	next.Generation++
	value, err := msgpack.Marshal(next)
	if err != nil {
		return plan.Document{}, false, errkind.Wrap(errkind.Internal, err, "encode configuration")
	}
	s, err := p.read(ctx)
	if err != nil {
		return plan.Document{}, false, err
	}
	if found, accepted, err := s.matchProposal(next); found || err != nil {
		return s.documentFor(next, err), accepted, err
	}
	gens, err := msgpack.Marshal(generations{Current: s.current.Generation, Pending: next.Generation})
	if err != nil {
		return plan.Document{}, false, errkind.Wrap(errkind.Internal, err, "encode generations")
	}
	_, err = p.writer.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: KeyCurrent, Version: s.currentVersion}, {Key: KeyPending}, {Key: KeyGenerations, Version: s.generationsVersion}},
		Writes: []store.Write{{Key: KeyPending, Value: value}, {Key: KeyGenerations, Value: gens}},
	})
	if errkind.Of(err) != errkind.Conflict {
		return next, false, err
	}
	if s, err = p.read(ctx); err != nil {
		return plan.Document{}, false, err
	}
	found, accepted, err := s.matchProposal(next)
	if !found && err == nil {
		err = errkind.New(errkind.Conflict, "another change is in progress; the current generation is %d", s.current.Generation)
	}
	return s.documentFor(next, err), accepted, err
}

// matchProposal reports whether next is already pending or accepted, or errkind.Conflict
// when its base is not current or another change is pending.
func (s configState) matchProposal(next plan.Document) (found, accepted bool, err error) {
	switch {
	case s.current.Generation == next.Generation && sameContent(s.current, next):
		return true, true, nil
	case s.current.Generation != next.Generation-1:
		return false, false, errkind.New(errkind.Conflict, "the change is based on generation %d, the current one is %d", next.Generation-1, s.current.Generation)
	case s.pendingVersion == 0:
		return false, false, nil
	case sameContent(s.pending, next):
		return true, false, nil
	}
	return false, false, errkind.New(errkind.Conflict, "another change to generation %d is pending", s.pending.Generation)
}

func (s configState) documentFor(next plan.Document, err error) plan.Document {
	if err != nil {
		return s.current
	}
	return next
}

// TryAccept tries once to accept the change to generation. It returns true when the
// generation is in config/current, and the document if this call accepted it.
func (p *Proposer) TryAccept(ctx context.Context, generation uint64) (bool, *plan.Document, error) {
	s, err := p.read(ctx)
	if err != nil {
		return false, nil, err
	}
	if s.current.Generation >= generation {
		return true, nil, nil
	}
	if s.pendingVersion == 0 || s.pending.Generation != generation {
		return false, nil, errkind.New(errkind.Conflict, "generation %d is not pending", generation)
	}
	// The registrations are read after the pending row: an entry that registers later
	// reads the pending row before it admits a request.
	rows, err := p.table.Scan(ctx, RegistrationPrefix, "", maxEntries)
	if err != nil {
		return false, nil, err
	}
	expired, ready := p.checkRegistrations(generation, rows)
	if !ready {
		return false, nil, nil
	}
	if !p.beginActions(expired) {
		return false, nil, nil
	}
	err = p.commitAcceptance(ctx, s)
	if errkind.Of(err) != errkind.StoreAmbiguous {
		for _, id := range expired {
			p.extensionGrants.EndAction(id)
		}
	}
	if err != nil {
		if errkind.Of(err) == errkind.Conflict {
			err = nil // Another entry has accepted it; the next call sees that.
		}
		return false, nil, err
	}
	return true, &s.pending, nil
}

// checkRegistrations returns the expired registrations, and whether all others are prepared.
func (p *Proposer) checkRegistrations(generation uint64, rows []store.Row) (expired []string, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observedGeneration != generation {
		p.observedGeneration, p.observations = generation, make(map[string]*lease.Observation)
	}
	now := p.clock.Now()
	ready = true
	for _, r := range rows {
		reg, err := DecodeRegistration(r)
		if err != nil {
			return nil, false
		}
		if reg.Prepared >= generation {
			continue
		}
		o, ok := p.observations[reg.ID]
		if !ok {
			o = &lease.Observation{}
			p.observations[reg.ID] = o
		}
		if !o.Observe(Fingerprint(r), now, p.expiryWait(reg)) {
			ready = false
			continue
		}
		expired = append(expired, reg.ID)
	}
	return expired, ready
}

// expiryWait returns the time after which the entry of an unchanged registration has
// certainly stopped admitting requests. An entry that does not list this one as a
// member may extend its lease without asking this one.
func (p *Proposer) expiryWait(reg Registration) time.Duration {
	if slices.Contains(reg.Members, p.entryID) {
		return LeaseTTL
	}
	return lease.MaxExtension
}

func (p *Proposer) beginActions(ids []string) bool {
	now := p.clock.Now()
	for i, id := range ids {
		if p.extensionGrants.BeginAction(id, now) {
			continue
		}
		for _, begun := range ids[:i] {
			p.extensionGrants.EndAction(begun)
		}
		return false
	}
	return true
}

func (p *Proposer) commitAcceptance(ctx context.Context, s configState) error {
	value, err := msgpack.Marshal(s.pending)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode configuration")
	}
	gens, err := msgpack.Marshal(generations{Current: s.pending.Generation})
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode generations")
	}
	_, err = p.writer.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: KeyCurrent, Version: s.currentVersion}, {Key: KeyPending, Version: s.pendingVersion}, {Key: KeyGenerations, Version: s.generationsVersion}},
		Writes: []store.Write{{Key: KeyCurrent, Value: value}, {Key: KeyGenerations, Value: gens}, {Key: KeyPending, Delete: true}},
	})
	return err
}
