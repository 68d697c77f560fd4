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
	// ProgressTable holds a record for each submission that has started.
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

// ProgressKey returns the key of a submission's record.
func ProgressKey(id string) string { return ProgressTable + "/" + id }

// modelWriteInterval is the time between two writes of the contention model.
const modelWriteInterval = 3 * time.Second

// effects are consequences of decisions that wait for a commit.
type effects struct {
	starts []*taskEntry
	// acks are the executors with ends that are applied to the tables but not committed.
	acks map[*node]uncommittedEnd
	// removed are the submissions whose rows are to be deleted.
	removed []string
}

func newEffects() effects { return effects{acks: make(map[*node]uncommittedEnd)} }

// uncommittedEnd is an end that may be acknowledged once all records are committed that had become dirty
// by then, at positions up to dirtySequence.
type uncommittedEnd struct {
	number        int64
	dirtySequence uint64
}

// Batch is one commit and the actions that follow once it is durable.
type Batch struct {
	Writes []store.Write
	starts []start
	acks   map[*node]int64
	states map[*job]submission.State
}

// start is a run whose start is recorded in a batch.
type start struct {
	task *taskEntry
	run  uint32
}

// Dirty reports whether a commit is needed.
func (o *Owner) Dirty() bool {
	return len(o.dirty) > 0 || len(o.uncommitted.acks) > 0 || len(o.uncommitted.removed) > 0
}

// markDirty records that the job has changed since its record was last prepared for a commit.
func (o *Owner) markDirty(j *job) {
	if _, ok := o.dirty[j.sub.ID]; ok {
		return
	}
	o.dirtySequence++
	j.dirtySince = o.dirtySequence
	o.dirty[j.sub.ID] = j
}

// changedJobs returns the dirty jobs, those that have waited longest first.
func (o *Owner) changedJobs() []*job {
	jobs := slices.Collect(maps.Values(o.dirty))
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.dirtySince, b.dirtySince) })
	return jobs
}

// Prepare returns the next commit. The caller commits one batch at a time.
func (o *Owner) Prepare() (*Batch, error) {
	b := &Batch{acks: make(map[*node]int64), states: make(map[*job]submission.State)}
	changed := o.changedJobs()
	size := 0
	for _, j := range changed[:min(len(changed), maxBatchWrites)] {
		r := j.record()
		value, err := r.Encode()
		if err != nil {
			return nil, err
		}
		if size += len(value); size > maxBatchBytes && len(b.Writes) > 0 {
			break
		}
		b.Writes = append(b.Writes, store.Write{Key: ProgressKey(j.sub.ID), Value: value})
		b.states[j] = j.state
		delete(o.dirty, j.sub.ID)
	}
	o.addStarts(b)
	if err := o.addContentionModel(b); err != nil {
		return nil, err
	}
	later := changed[len(b.states):]
	o.addAcks(b, later)
	if len(later) == 0 {
		o.addRemovals(b)
	}
	return b, nil
}

// addAcks adds the ends that may be acknowledged: every record that reflects them is in this batch or an
// earlier one. later are the dirty jobs that are not in the batch, those that have waited longest first.
func (o *Owner) addAcks(b *Batch, later []*job) {
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
	if o.now-o.modelWrittenAt < modelWriteInterval {
		return nil
	}
	o.modelWrittenAt = o.now
	value, err := msgpack.Marshal(o.contention.Export())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode contention model")
	}
	b.Writes = append(b.Writes, store.Write{Key: ContentionModelKey, Value: value})
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
		if _, ok := b.states[t.job]; !ok {
			later = append(later, t)
			continue
		}
		b.starts = append(b.starts, start{t, t.rec.Run})
	}
	o.uncommitted.starts = later
}

// rowsPerJob is the number of rows of an ended submission: its work, cancellation and progress.
const rowsPerJob = 3

func (o *Owner) addRemovals(b *Batch) {
	for len(o.uncommitted.removed) > 0 && len(b.Writes)+rowsPerJob <= maxBatchWrites {
		id := o.uncommitted.removed[0]
		o.uncommitted.removed = o.uncommitted.removed[1:]
		for _, key := range []string{WorkKey(id), CancelKey(id), ProgressKey(id)} {
			b.Writes = append(b.Writes, store.Write{Key: key, Delete: true})
		}
	}
}

// Committed applies the effects of a durable batch. sent is when its commit was sent.
func (o *Owner) Committed(b *Batch, sent, now time.Duration) {
	o.OwnershipConfirmed(sent)
	for j, state := range b.states {
		j.durableState = state
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
			if o.evacuated(s.task.node) || !o.knowsEvacuations(now) || !s.task.mayOrder(now) {
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
