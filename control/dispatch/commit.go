package dispatch

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/store"
)

// Tables of the store. Entries write work; the owner writes progress.
const (
	// WorkTable holds a row for each submission, and one with the suffix CancelSuffix once it is cancelled.
	WorkTable = "work"
	// ProgressTable holds a record for each submission that has started.
	ProgressTable = "progress"
	// KnowledgeKey is the row of what was learnt of contention.
	KnowledgeKey = "learnt/contention"
	// CancelSuffix marks the row of a cancellation.
	CancelSuffix = "/cancel"
)

// WorkKey returns the key of a submission's row.
func WorkKey(id string) string { return WorkTable + "/" + id }

// CancelKey returns the key of the row that cancels a submission.
func CancelKey(id string) string { return WorkKey(id) + CancelSuffix }

// ProgressKey returns the key of a submission's record.
func ProgressKey(id string) string { return ProgressTable + "/" + id }

// knowledgeInterval is the time between two writes of what was learnt.
const knowledgeInterval = 3 * time.Second

// effects are consequences of decisions that wait for a commit.
type effects struct {
	starts []*taskEntry
	// acks are executors with ends that the tables reflect and the store does not.
	acks map[*node]struct{}
	// removed are submissions whose rows are to be deleted.
	removed []string
}

func newEffects() effects { return effects{acks: make(map[*node]struct{})} }

// Batch is one commit and what follows from it.
type Batch struct {
	Writes []store.Write
	starts []start
	acks   map[*node]int64
	shown  map[*job]submission.State
}

// start is a recorded run.
type start struct {
	task *taskEntry
	run  uint32
}

// Dirty reports whether a commit is needed.
func (o *Owner) Dirty() bool {
	return len(o.dirty) > 0 || len(o.pending.acks) > 0 || len(o.pending.removed) > 0
}

// Prepare returns the next commit. The caller commits one batch at a time.
func (o *Owner) Prepare() (*Batch, error) {
	b := &Batch{acks: make(map[*node]int64), shown: make(map[*job]submission.State)}
	ids := make([]string, 0, len(o.dirty))
	for id := range o.dirty {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	complete := len(ids) <= maxBatch
	ids = ids[:min(len(ids), maxBatch)]
	for _, id := range ids {
		j := o.dirty[id]
		r := j.record()
		value, err := r.Encode()
		if err != nil {
			return nil, err
		}
		b.Writes = append(b.Writes, store.Write{Key: ProgressKey(id), Value: value})
		b.shown[j] = j.state
		delete(o.dirty, id)
	}
	o.takeStarts(b)
	if err := o.takeKnowledge(b); err != nil {
		return nil, err
	}
	if complete {
		// An end may be forgotten only when every record that reflects it is in this batch or an earlier one.
		for n := range o.pending.acks {
			b.acks[n] = n.lastEnd
		}
		clear(o.pending.acks)
		o.takeRemovals(b)
	}
	return b, nil
}

// takeKnowledge adds what was learnt of contention to a commit, now and then.
func (o *Owner) takeKnowledge(b *Batch) error {
	if o.now-o.knowledgeAt < knowledgeInterval {
		return nil
	}
	o.knowledgeAt = o.now
	value, err := msgpack.Marshal(o.contention.Export())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode what was learnt of contention")
	}
	b.Writes = append(b.Writes, store.Write{Key: KnowledgeKey, Value: value})
	return nil
}

// Learnt takes in what an earlier owner has learnt of contention.
func (o *Owner) Learnt(value []byte) error {
	var list []contention.ImageModel
	if err := msgpack.Unmarshal(value, &list); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "decode what was learnt of contention")
	}
	o.contention.Import(list, o.now)
	return nil
}

func (o *Owner) takeStarts(b *Batch) {
	later := o.pending.starts[:0]
	for _, t := range o.pending.starts {
		if t.phase != phaseRecorded {
			continue
		}
		if _, ok := b.shown[t.job]; !ok {
			later = append(later, t)
			continue
		}
		b.starts = append(b.starts, start{t, t.rec.Run})
	}
	o.pending.starts = later
}

// rowsOfJob is the number of rows of an ended submission: its work, cancellation and progress.
const rowsOfJob = 3

func (o *Owner) takeRemovals(b *Batch) {
	for len(o.pending.removed) > 0 && len(b.Writes)+rowsOfJob <= maxBatch {
		id := o.pending.removed[0]
		o.pending.removed = o.pending.removed[1:]
		for _, key := range []string{WorkKey(id), CancelKey(id), ProgressKey(id)} {
			b.Writes = append(b.Writes, store.Write{Key: key, Delete: true})
		}
	}
}

// Committed tells that the batch is durable. sent is when its commit was sent.
func (o *Owner) Committed(b *Batch, sent, now time.Duration) {
	o.Renewed(sent)
	for j, state := range b.shown {
		j.shown = state
	}
	for n, end := range b.acks {
		n.durableEnd = max(n.durableEnd, end)
		if !n.gone {
			o.out(n).touched = true
		}
	}
	for _, s := range b.starts {
		if s.task.phase == phaseRecorded && s.task.rec.Run == s.run {
			s.task.phase, s.task.changedAt = phaseOrdered, now
			o.sendStart(s.task, now)
		}
	}
}

// Renewed tells that the ownership was confirmed by a commit that was sent at the given time.
func (o *Owner) Renewed(sent time.Duration) { o.lastCommit = max(o.lastCommit, sent) }

// Consent tells when all other entries were last known to follow this owner.
func (o *Owner) Consent(at time.Duration) { o.consentAt = at }
