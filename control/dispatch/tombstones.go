package dispatch

import (
	"time"

	"github.com/chicorystand/chicorystand/base/events"
)

// tombstone is a submission that was cancelled and has no row. Its rows stay for the retention time: as long as they do, no
// write of the submission that has no answer yet can start it.
type tombstone struct {
	id string
	// seen is when this owner first read a row of it.
	seen time.Duration
	// submission is set if the tombstone has the key of the submission, cancellation if there is a cancellation.
	submission, cancellation bool
}

// tombstones is the table of tombstones, in the order in which they were seen.
type tombstones struct {
	byID  map[string]*tombstone
	order []*tombstone
}

// add returns the row of a submission.
func (t *tombstones) add(id string, now time.Duration) *tombstone {
	row := t.byID[id]
	if row == nil {
		row = &tombstone{id: id, seen: now}
		t.byID[id] = row
		t.order = append(t.order, row)
	}
	return row
}

// take removes and returns the row of a submission, nil if there is none.
func (t *tombstones) take(id string) *tombstone {
	row := t.byID[id]
	delete(t.byID, id)
	return row
}

// expired removes and returns the rows that were seen up to the given time.
func (t *tombstones) expired(until time.Duration) []*tombstone {
	var rows []*tombstone
	for len(t.order) > 0 && t.order[0].seen <= until {
		row := t.order[0]
		t.order = t.order[1:]
		if t.byID[row.id] == row {
			delete(t.byID, row.id)
			rows = append(rows, row)
		}
	}
	return rows
}

// AddTombstone adds the tombstone of a submission, which has the submission's key.
func (o *Owner) AddTombstone(id string, now time.Duration) {
	o.tombstones.add(id, now).submission = true
}

// rows returns the keys of the rows of a tombstone.
func (t *tombstone) rows() []string {
	var keys []string
	if t.submission {
		keys = append(keys, WorkKey(t.id))
	}
	if t.cancellation {
		keys = append(keys, CancelKey(t.id))
	}
	return keys
}

// removeTombstones removes the tombstones whose retention time is over.
func (o *Owner) removeTombstones(now time.Duration) {
	expired := o.tombstones.expired(now - o.bounds.Retention)
	if len(expired) == 0 {
		return
	}
	for _, t := range expired {
		o.uncommitted.removed = append(o.uncommitted.removed, t.rows())
	}
	events.TombstonesRemoved.Log(o.log).Int("removed", len(expired)).Int("left", len(o.tombstones.byID)).Send()
}
