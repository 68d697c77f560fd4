package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
)

// Tables of the store. Entries write submissions and cancellations, the owner writes progress.
const (
	// WorkTable holds a row for each submission, and one with the suffix CancelSuffix once it is
	// cancelled.
	WorkTable = "work"
	// ProgressTable holds a record for each submission that has started, in one row or divided into parts.
	ProgressTable = "progress"
	// ContentionModelKey is the row of the exported contention model.
	ContentionModelKey = "learnt/contention"
	// CancelSuffix marks the row of a cancellation.
	CancelSuffix = "/cancel"
)

// WorkKey returns the key of a submission's row.
func WorkKey(id string) string { return WorkTable + "/" + id }

// CancelKey returns the key of the row that cancels a submission.
func CancelKey(id string) string { return WorkKey(id) + CancelSuffix }

// ProgressKey returns the key of a submission's record, or of its first part, which holds the state.
func ProgressKey(id string) string { return ProgressTable + "/" + id }

// modelWriteInterval is the time between two writes of the contention model.
const modelWriteInterval = 3 * time.Second

// effects are consequences of decisions that wait for a commit.
type effects struct {
	starts []*taskEntry
	// acks are the executors with ends that are applied to the tables but not committed.
	acks map[*node]uncommittedEnd
	// removed are the keys of the rows to be deleted, by submission.
	removed [][]string
}

func newEffects() effects { return effects{acks: make(map[*node]uncommittedEnd)} }

// uncommittedEnd is an end that may be acknowledged once all parts of records are committed that had become dirty
// by then, at positions up to dirtySequence.
type uncommittedEnd struct {
	number        int64
	dirtySequence uint64
}

// Batch is one commit and the actions that follow once it is durable.
type Batch struct {
	changes []change
	starts  []start
	acks    map[*node]int64
	// refused is set for the empty commit after a change was refused alone: if the store accepts it, the change is at fault.
	refused *refusal
}

// change is what is written as a whole or not at all: a part of a record, the contention model, or the removal of a
// submission.
type change struct {
	writes []store.Write
	// part is set for a part of a record. dirtySince is its position among the dirty parts before the batch.
	part       *recordPart
	dirtySince uint64
	// state is that of the part's job.
	state submission.State
}

// Writes returns the writes of the commit.
func (b *Batch) Writes() []store.Write {
	var writes []store.Write
	for i := range b.changes {
		writes = append(writes, b.changes[i].writes...)
	}
	return writes
}

// start is a run whose start is recorded in a batch.
type start struct {
	task *taskEntry
	run  uint32
}

// Dirty reports whether a commit is needed.
func (o *Owner) Dirty() bool {
	return len(o.dirty) > 0 || len(o.uncommitted.acks) > 0 || len(o.uncommitted.removed) > 0 || len(o.retries) > 0
}

// changedParts returns the dirty parts of records, those that have waited longest first.
func (o *Owner) changedParts() []*recordPart {
	parts := slices.Collect(maps.Keys(o.dirty))
	slices.SortFunc(parts, func(a, b *recordPart) int { return cmp.Compare(a.dirtySince, b.dirtySince) })
	return parts
}

// Prepare returns the next commit. The caller commits one batch at a time, and calls Committed or Refused.
func (o *Owner) Prepare() (*Batch, error) {
	if len(o.retries) > 0 {
		return o.nextRetry(), nil
	}
	b := &Batch{acks: make(map[*node]int64)}
	if err := o.addParts(b); err != nil {
		return nil, err
	}
	o.addStarts(b)
	if err := o.addContentionModel(b); err != nil {
		return nil, err
	}
	later := o.changedParts()
	o.addAcks(b, later)
	if len(later) == 0 {
		o.addRemovals(b)
	}
	return b, nil
}

// addParts adds the dirty parts that fit into the batch, those that have waited longest first. A part that the store has
// refused before is alone in its batch; the next one is for the others.
func (o *Owner) addParts(b *Batch) error {
	if p := o.dueRefused(); p != nil && !o.refusedTried {
		o.refusedTried = true
		_, err := o.addPart(b, p, 0)
		return err
	}
	o.refusedTried = false
	size := 0
	for _, p := range o.changedParts() {
		if p.refusals > 0 || p.blocked() {
			continue
		}
		added, err := o.addPart(b, p, size)
		if err != nil {
			return err
		}
		if added == 0 || len(b.changes) == maxBatchWrites {
			return nil
		}
		size += added
	}
	return nil
}

// addPart adds a part to a batch of size bytes and returns the size of its row, 0 if that does not fit.
func (o *Owner) addPart(b *Batch, p *recordPart, size int) (int, error) {
	r := p.record()
	value, err := r.EncodeWithin(o.bounds.MaxRowBytes)
	if err != nil {
		return 0, err
	}
	if size > 0 && size+len(value) > maxBatchBytes {
		return 0, nil
	}
	b.changes = append(b.changes, change{writes: []store.Write{{Key: p.key(), Value: value}}, part: p, dirtySince: p.dirtySince, state: p.job.state})
	delete(o.dirty, p)
	return len(value), nil
}

// addAcks adds the ends that may be acknowledged: every record that reflects them is in this batch or an
// earlier one. later are the dirty parts that are not in the batch, those that have waited longest first.
func (o *Owner) addAcks(b *Batch, later []*recordPart) {
	for n, end := range o.uncommitted.acks {
		if len(later) == 0 {
			b.acks[n] = n.lastEnd
			delete(o.uncommitted.acks, n)
			continue
		}
		if end.dirtySequence >= later[0].dirtySince {
			continue
		}
		b.acks[n] = end.number
		delete(o.uncommitted.acks, n)
		if n.lastEnd > end.number {
			o.awaitCommit(n)
		}
	}
}

// awaitCommit records that the node's last end waits for the records that are dirty now.
func (o *Owner) awaitCommit(n *node) {
	if _, ok := o.uncommitted.acks[n]; !ok {
		o.uncommitted.acks[n] = uncommittedEnd{n.lastEnd, o.dirtySequence}
	}
}

// addContentionModel adds the contention model to the batch once every modelWriteInterval.
func (o *Owner) addContentionModel(b *Batch) error {
	if o.modelRefused || o.now-o.modelWrittenAt < modelWriteInterval {
		return nil
	}
	o.modelWrittenAt = o.now
	value, err := msgpack.Marshal(o.contention.Export(o.bounds.MaxRowBytes))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode contention model")
	}
	b.changes = append(b.changes, change{writes: []store.Write{{Key: ContentionModelKey, Value: value}}})
	return nil
}

// ImportContentionModel loads the contention model that a previous owner has stored.
func (o *Owner) ImportContentionModel(value []byte) error {
	var list []contention.ImageModel
	if err := msgpack.Unmarshal(value, &list); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "decode contention model")
	}
	o.contention.Import(list, o.now)
	return nil
}

func (o *Owner) addStarts(b *Batch) {
	later := o.uncommitted.starts[:0]
	for _, t := range o.uncommitted.starts {
		if t.phase != phaseCommitPending {
			continue
		}
		if !o.startRecorded(t) {
			later = append(later, t)
			continue
		}
		b.starts = append(b.starts, start{t, t.rec.Run})
	}
	o.uncommitted.starts = later
}

// startRecorded reports whether the record of a start is in the batch that is being prepared or an earlier one. The
// members of a gang start together, so the records of all of them are needed.
func (o *Owner) startRecorded(t *taskEntry) bool {
	first, last := t, t
	if t.step().Gang {
		members := t.job.stepTasks(t.stepKey())
		first, last = members[0], members[len(members)-1]
	}
	for _, p := range t.job.parts[t.job.partOf(first).number : t.job.partOf(last).number+1] {
		if _, dirty := o.dirty[p]; dirty {
			return false
		}
	}
	return true
}

// addRemovals adds the removal of ended submissions and of tombstones, of which each takes a few rows: its work, its cancellation and the
// parts of its record, at most submission.MaxTasks/partTasks.
func (o *Owner) addRemovals(b *Batch) {
	rows := len(b.Writes())
	for len(o.uncommitted.removed) > 0 {
		keys := o.uncommitted.removed[0]
		if rows += len(keys); rows > maxBatchWrites {
			return
		}
		o.uncommitted.removed = o.uncommitted.removed[1:]
		var removal change
		for _, key := range keys {
			removal.writes = append(removal.writes, store.Write{Key: key, Delete: true})
		}
		b.changes = append(b.changes, removal)
	}
}

// rowsOf returns the keys of all rows of a submission.
func rowsOf(j *job) []string {
	keys := []string{WorkKey(j.sub.ID), CancelKey(j.sub.ID)}
	for number := range partCount(len(j.tasks)) {
		keys = append(keys, partKey(j.sub.ID, number))
	}
	return keys
}

// Committed applies the effects of a durable batch. sent is when its commit was sent.
func (o *Owner) Committed(b *Batch, sent, now time.Duration) {
	o.OwnershipConfirmed(sent)
	if b.refused != nil {
		o.applyRefusal(b, now)
	}
	for i := range b.changes {
		p := b.changes[i].part
		if p == nil {
			continue
		}
		p.refusals = 0
		if p.number == 0 {
			p.job.durableState = b.changes[i].state
		}
	}
	for n, end := range b.acks {
		n.durableEnd = max(n.durableEnd, end)
		if !n.gone {
			o.outboxFor(n).pending = true
		}
	}
	for _, s := range b.starts {
		if s.task.phase == phaseCommitPending && s.task.rec.Run == s.run {
			s.task.phase, s.task.changedAt = phaseStartSent, now
			if o.evacuated(s.task.node) || !o.mayStart(now) || !s.task.mayOrder(now) {
				// A later pass withdraws the start, or orders it once that is possible.
				s.task.orderedAt = 0
				continue
			}
			o.sendStart(s.task, now)
		}
	}
}

// OwnershipConfirmed records that a commit sent at the given time has confirmed the ownership.
func (o *Owner) OwnershipConfirmed(sent time.Duration) { o.lastCommit = max(o.lastCommit, sent) }

// EntriesAcknowledged records when all other entries were last known to acknowledge this owner.
func (o *Owner) EntriesAcknowledged(at time.Duration) { o.acknowledgedAt = at }
