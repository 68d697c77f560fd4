package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/state/store"
)

const (
	historyPrefix = "config-history/"
	// maxHistory is the number of configuration changes that the history retains.
	maxHistory = 100
	// maxHistoryLines bounds the diff lines that are stored for one change.
	maxHistoryLines     = 200
	historyTimeout      = 2 * time.Second
	inForceTimeout      = 2 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

// ConfigChange is the history entry of an accepted change of plans or limits.
type ConfigChange struct {
	Generation uint64 `json:"generation"`
	// BasedOn is the generation that the operator edited.
	BasedOn uint64 `json:"based_on"`
	By      string `json:"by"`
	// UnixMilli is the wall-clock time at the entry, for display.
	UnixMilli int64    `json:"unix_milli"`
	Changes   []string `json:"changes"`
}

// getConfig returns the accepted document from the store, so that an operator edits the
// latest generation even when this entry has not read it yet. While the store is
// unreachable it returns the document in force.
func (e *Entry) getConfig(w http.ResponseWriter, r *http.Request) {
	doc, err := e.proposer.Current(r.Context())
	if err != nil {
		doc = e.config()
	}
	writeJSON(w, http.StatusOK, doc)
}

func (e *Entry) putConfig(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAPIBody))
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	doc, err := plan.Parse("request", data)
	if err != nil {
		writeError(w, err)
		return
	}
	if doc, err = e.keepZones(r.Context(), doc); err != nil {
		writeError(w, err)
		return
	}
	before := e.config()
	accepted, err := e.applyConfig(r.Context(), doc)
	if errkind.Of(err) == errkind.Conflict && alreadyAccepted(doc, e.config()) {
		accepted, err = e.config(), nil
	}
	if err != nil {
		events.ConfigRefused.Log(e.cfg.Log).Uint64("based_on", doc.Generation).Str("by", callerOf(r).Name).Str("kind", errkind.Of(err).String()).Send()
		writeError(w, err)
		return
	}
	events.ConfigApplied.Log(e.cfg.Log).Uint64("generation", accepted.Generation).Str("by", callerOf(r).Name).Send()
	e.awaitInForce(r.Context(), accepted.Generation)
	e.recordChange(r, before, doc.Generation, accepted)
	writeJSON(w, http.StatusOK, accepted)
}

// alreadyAccepted reports whether doc is the retry of a change that was accepted but whose
// response was lost: the current lists equal the requested ones and were accepted on top
// of the generation that the request names.
func alreadyAccepted(doc, current plan.Document) bool {
	return current.Generation == doc.Generation+1 && plan.SameLists(doc, current)
}

// awaitInForce waits up to inForceTimeout until the generation is in force in this entry,
// so that the operator's next call sees the accepted change.
func (e *Entry) awaitInForce(ctx context.Context, generation uint64) {
	for end := time.Now().Add(inForceTimeout); e.config().Generation < generation && ctx.Err() == nil && time.Now().Before(end); {
		e.PollConfig()
		select {
		case <-ctx.Done():
		case <-time.After(inForcePollInterval):
		}
	}
}

// recordChange stores the change in the history on a best-effort basis: the change is in
// force even when the write fails.
func (e *Entry) recordChange(r *http.Request, before plan.Document, basedOn uint64, after plan.Document) {
	ctx, cancel := context.WithTimeout(r.Context(), historyTimeout)
	defer cancel()
	c := ConfigChange{Generation: after.Generation, BasedOn: basedOn, By: callerOf(r).Name, UnixMilli: time.Now().UnixMilli()}
	if before.Generation == basedOn {
		c.Changes = plan.Diff(before, after)
		if n := len(c.Changes); n > maxHistoryLines {
			c.Changes = append(c.Changes[:maxHistoryLines], fmt.Sprintf("and %d more", n-maxHistoryLines))
		}
	}
	value, err := msgpack.Marshal(c)
	if err != nil {
		return
	}
	txn := store.Txn{Conds: []store.Cond{{Key: historyKey(c.Generation)}}, Writes: []store.Write{{Key: historyKey(c.Generation), Value: value}}}
	if c.Generation > maxHistory {
		txn.Writes = append(txn.Writes, store.Write{Key: historyKey(c.Generation - maxHistory), Delete: true})
	}
	_, _ = e.cfg.Table.Commit(ctx, txn)
}

func historyKey(generation uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, generation) }

func (e *Entry) getConfigHistory(w http.ResponseWriter, r *http.Request) {
	rows, err := e.cfg.Table.Scan(r.Context(), historyPrefix, "", maxHistory)
	if err != nil {
		writeError(w, err)
		return
	}
	changes := make([]ConfigChange, 0, len(rows))
	for _, row := range rows {
		var c ConfigChange
		if err := msgpack.Unmarshal(row.Value, &c); err != nil {
			writeError(w, errkind.Wrap(errkind.Internal, err, "decode change"))
			return
		}
		changes = append(changes, c)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Generation > changes[j].Generation })
	writeJSON(w, http.StatusOK, changes)
}
