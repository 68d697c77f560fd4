package entry

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// acceptInterval is the interval between attempts to accept a change while entries prepare.
	acceptInterval = 100 * time.Millisecond
	// acceptTimeout bounds how long an operator waits for the acceptance of a change. With
	// a failed entry the acceptance takes 11.1 s.
	acceptTimeout = 20 * time.Second
)

// config returns the configuration in force.
func (e *Entry) config() plan.Document { return e.follower.Document() }

// PollConfig requests an immediate read of the configuration.
func (e *Entry) PollConfig() {
	select {
	case e.pollNow <- struct{}{}:
	default:
	}
}

// configLoop polls the configuration, prepares for pending changes, puts accepted ones in
// force, and completes a pending change whose proposer has not within confsync.AdoptAfter.
func (e *Entry) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if c, err := e.follower.Poll(ctx); err == nil {
			e.configChanged(ctx, c)
		}
		if gen, age := e.follower.Pending(); gen != 0 && age >= confsync.AdoptAfter {
			_, _ = e.accept(ctx, gen)
		}
		select {
		case <-ctx.Done():
		case <-e.pollNow:
		case <-time.After(e.follower.PollInterval()):
		}
	}
}

func (e *Entry) configChanged(ctx context.Context, c confsync.Change) {
	if e.follower.Admit() == nil {
		e.mu.Lock()
		e.ready = !e.shuttingDown
		e.mu.Unlock()
	}
	if c.Prepare {
		e.manager.RenewNow()
	}
	if c.InForce == nil {
		return
	}
	doc := *c.InForce
	e.cfg.Recorder.Record(history.Event{Kind: history.ConfigInForce, Process: e.cfg.ID, Generation: doc.Generation})
	events.ConfigInForce.Log(e.cfg.Log).Uint64("generation", doc.Generation).Strs("evacuated_zones", doc.EvacuatedZones).Send()
	e.table.SetEvacuated(doc.EvacuatedZones)
	for _, o := range e.manager.Owners() {
		go func() { _ = o.Do(ctx, func() { o.SetConfig(ctx, doc) }) }()
	}
}

// ownerStarted passes the configuration in force to a new owner.
func (e *Entry) ownerStarted(o *shard.Owner) {
	o.SetConfig(e.ctx, e.config())
	// The other entries learn of the new owner now instead of at the next periodic digest.
	go e.sendDigests(e.ctx)
}

// accept tries once to accept a pending generation and notifies the other entries on success.
func (e *Entry) accept(ctx context.Context, generation uint64) (bool, error) {
	done, doc, err := e.proposer.TryAccept(ctx, generation)
	if doc != nil {
		e.cfg.Recorder.Record(history.Event{Kind: history.ConfigAccepted, Process: e.cfg.ID, Generation: generation})
		events.ConfigAccepted.Log(e.cfg.Log).Uint64("generation", generation).Send()
		e.pushConfig(generation)
	}
	return done, err
}

// pushConfig notifies every entry, including this one, to read the configuration.
func (e *Entry) pushConfig(generation uint64) {
	e.notifyPeers(&wire.ConfigPush{Generation: generation})
	e.PollConfig()
}

// applyConfig proposes a document based on the generation that it names and waits for its
// acceptance. On errkind.Conflict the returned document is the current one.
func (e *Entry) applyConfig(ctx context.Context, doc plan.Document) (plan.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	next, accepted, err := e.proposer.Propose(ctx, doc)
	if err != nil || accepted {
		return next, err
	}
	e.pushConfig(next.Generation)
	for {
		done, err := e.accept(ctx, next.Generation)
		if done {
			return next, nil
		}
		if errkind.Of(err) == errkind.Conflict {
			return e.config(), err
		}
		select {
		case <-ctx.Done():
			return next, errkind.New(errkind.OutcomeUnknown, "generation %d is pending until the registrations of unprepared entries expire; repeat the change to learn its outcome", next.Generation)
		case <-time.After(acceptInterval):
		}
	}
}

// GenerationStatus is the configuration generation that a process has in force.
type GenerationStatus struct {
	Process string `json:"process"`
	// Kind is "entry" or "agent".
	Kind       string `json:"kind"`
	Generation uint64 `json:"generation"`
	Prepared   uint64 `json:"prepared,omitempty"`
	// Lags reports whether the generation is older than the one in force in this entry.
	Lags bool `json:"lags"`
}

// configStatus lists the generation of this entry, of the other entries, and of
// the agents whose shards this entry owns.
func (e *Entry) configStatus(w http.ResponseWriter, r *http.Request) {
	prepared, generation := e.follower.Generations()
	list := []GenerationStatus{{Process: e.cfg.ID, Kind: "entry", Generation: generation, Prepared: prepared}}
	e.mu.Lock()
	for id, reg := range e.entries {
		list = append(list, GenerationStatus{Process: id, Kind: "entry", Generation: reg.InForce, Prepared: reg.Prepared, Lags: reg.InForce < generation})
	}
	e.mu.Unlock()
	for _, o := range e.manager.Owners() {
		var agents map[string]uint64
		if o.Do(r.Context(), func() { agents = o.ConfigGenerations() }) != nil {
			continue
		}
		for vm, g := range agents {
			list = append(list, GenerationStatus{Process: vm, Kind: "agent", Generation: g, Lags: g < generation})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Kind > list[j].Kind || list[i].Kind == list[j].Kind && list[i].Process < list[j].Process
	})
	writeJSON(w, http.StatusOK, list)
}
