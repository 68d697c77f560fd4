package dispatch

import (
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/submission"
)

const (
	// maxRefusals is the number of times that the store refuses a part of a record alone until the submission fails.
	maxRefusals = 4
	// refusalRetryInterval is the time between two attempts to write a part of a record that the store has refused.
	refusalRetryInterval = 200 * time.Millisecond
)

// refusal is a change that the store has refused alone.
type refusal struct {
	change change
	cause  error
}

// Refused handles a batch that the store refuses for good. It divides the batch, whose halves are prepared next, until the
// change at fault is alone. That one is left out, and the others take effect. Refused returns the cause if nothing is left to
// divide: the store refuses any commit of this owner.
func (o *Owner) Refused(b *Batch, cause error) error {
	if len(b.changes) == 0 {
		return cause
	}
	events.CommitRefused.Log(o.log).Err(cause).Int("changes", len(b.changes)).Send()
	o.delayEffects(b)
	if len(b.changes) == 1 {
		// A commit without the change tells whether the store accepts others.
		o.retries = append([]*Batch{{refused: &refusal{b.changes[0], cause}}}, o.retries...)
		return nil
	}
	half := len(b.changes) / 2
	o.retries = append([]*Batch{{changes: b.changes[:half]}, {changes: b.changes[half:]}}, o.retries...)
	return nil
}

// delayEffects lets the starts and the ends of a refused batch wait until the records of all of them are committed.
func (o *Owner) delayEffects(b *Batch) {
	for _, s := range b.starts {
		o.uncommitted.starts = append(o.uncommitted.starts, s.task)
	}
	for n, end := range b.acks {
		if newer, ok := o.uncommitted.acks[n]; ok {
			end = newer.number
		}
		o.uncommitted.acks[n] = uncommittedEnd{end, o.dirtySequence}
	}
}

// nextRetry returns the next part of a batch that was refused.
func (o *Owner) nextRetry() *Batch {
	b := o.retries[0]
	o.retries = o.retries[1:]
	b.changes = slices.DeleteFunc(b.changes, func(c change) bool {
		if c.part == nil || !c.part.blocked() {
			return false
		}
		if !c.part.job.recordRefused {
			o.putBack(&c)
		}
		return true
	})
	return b
}

// putBack makes a part dirty that was in a batch, at the position that it had before: ends that wait for it go on waiting.
func (o *Owner) putBack(c *change) {
	o.dirty[c.part] = struct{}{}
	c.part.dirtySince = c.dirtySince
}

// blocked reports whether the part must not be written now: the store has refused the first part of the record, without which
// the others count as none, or the record has been replaced.
func (p *recordPart) blocked() bool {
	first := p.job.parts[0]
	return p != first && (first.refusals > 0 || p.job.recordRefused)
}

// applyRefusal handles the change that the store has refused, after it has accepted a commit without it. A part of a record is
// tried again, alone, since the refusal may have been temporary.
func (o *Owner) applyRefusal(b *Batch, now time.Duration) {
	c := &b.refused.change
	if p := c.part; p != nil {
		if p.refusals++; p.refusals < maxRefusals {
			p.retryAt = now + refusalRetryInterval
			o.putBack(c)
		} else {
			o.reject(b.refused)
			o.rejectRecord(p, now)
		}
		return
	}
	o.reject(b.refused)
	if c.writes[0].Key == ContentionModelKey {
		o.modelRefused = true
	}
}

// reject counts and logs a change that is given up.
func (o *Owner) reject(r *refusal) {
	o.counters.RefusedWrites++
	line := events.WriteRefused.Log(o.log).Err(r.cause).Str("key", r.change.writes[0].Key).Int("bytes", len(r.change.writes[0].Value))
	if r.change.part != nil {
		line = line.Str("id", r.change.part.job.sub.ID)
	}
	line.Send()
}

// dueRefused returns a part that was refused before and is to be tried again, nil when there is none.
func (o *Owner) dueRefused() *recordPart {
	for p := range o.dirty {
		if p.refusals > 0 && o.now >= p.retryAt && !p.blocked() {
			return p
		}
	}
	return nil
}

// rejectRecord fails the submission of a record that the store refuses. The final state replaces the record in the first row,
// which is then small, so that no later owner starts its tasks.
func (o *Owner) rejectRecord(p *recordPart, now time.Duration) {
	j := p.job
	if j.recordRefused {
		// The store refuses the final state as well, which is then kept in memory only.
		j.durableState = j.state
		return
	}
	for _, part := range j.parts {
		delete(o.dirty, part)
	}
	j.refuseRecord()
	if !j.state.Final() {
		o.finishJob(j, submission.Failed, now)
	}
	o.markPartDirty(j.parts[0])
	// All ends wait for the final state, since those of the refused record may be among them. Otherwise a new owner would take a
	// run for lost of which the executor has forgotten the end.
	j.parts[0].dirtySince = 0
}

// refuseRecord replaces the record by a single part with the final state.
func (j *job) refuseRecord() {
	j.recordRefused = true
	j.parts = []*recordPart{{job: j}}
}
