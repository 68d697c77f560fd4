package dispatch

import (
	"strconv"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/submission"
)

// partTasks is the number of tasks in one part of a record. A row of the store holds 64 KiB, which is 128 bytes for each
// of them: about 30 for its counters, the others for the executor and the checkpoint. Earlier builds can't read a
// divided record, so that common submissions should need only one part.
const partTasks = 512

// recordPart is a row of a job's record: up to partTasks tasks and, in the first one, the state of the job. A
// record is divided, since a row is limited in size and a submission may have thousands of tasks. Each part is
// written only when it has changed; no part is written before the first one.
type recordPart struct {
	job    *job
	number int
	// dirtySince is the value of the owner's dirtySequence at the first change since the part was last prepared
	// for a commit.
	dirtySince uint64
	// refusals counts how often the store has refused the part alone since it last accepted it. The part is written
	// again at retryAt.
	refusals int
	retryAt  time.Duration
}

// newRecordParts returns the parts of the record of a job whose tasks are set.
func newRecordParts(j *job) []*recordPart {
	parts := make([]*recordPart, partCount(len(j.tasks)))
	for i := range parts {
		parts[i] = &recordPart{job: j, number: i}
	}
	return parts
}

// partCount returns the number of parts of a record.
func partCount(tasks int) int { return (tasks + partTasks - 1) / partTasks }

// key returns the key of the part's row.
func (p *recordPart) key() string { return partKey(p.job.sub.ID, p.number) }

// partKey returns the key of a part of a submission's record. The first part has the key of a record that is not
// divided.
func partKey(id string, number int) string {
	if number == 0 {
		return ProgressKey(id)
	}
	return ProgressKey(id) + "/" + strconv.Itoa(number)
}

// record returns the durable form of the part.
func (p *recordPart) record() submission.Record {
	tasks := p.tasks()
	r := submission.Record{State: p.job.state, Ended: p.job.endedUnixMS, Tasks: make([]submission.TaskRecord, len(tasks))}
	for i, t := range tasks {
		r.Tasks[i] = t.rec
		t.confirmationRecorded = t.rec.Confirmed
	}
	return r
}

// tasks returns the tasks in the part, none if the store has refused the record.
func (p *recordPart) tasks() []*taskEntry {
	if p.job.recordRefused {
		return nil
	}
	first := p.number * partTasks
	return p.job.tasks[first:min(first+partTasks, len(p.job.tasks))]
}

// partOf returns the part of the record that holds a task.
func (j *job) partOf(t *taskEntry) *recordPart {
	if j.recordRefused {
		return j.parts[0]
	}
	return j.parts[j.offset(t.id)/partTasks]
}

// storedRecord is the record of a submission as a previous owner has left it.
type storedRecord struct {
	submission.Record
	// undivided is set for one row with all tasks of several parts, as builds before wrote it.
	undivided bool
}

// decodeRecord reads the record of a job from the rows of the progress table. It returns nil if there is none. Parts
// that were not written hold tasks that have not changed, unless the first row is undivided and holds them.
func decodeRecord(j *job, rows map[string][]byte) (*storedRecord, error) {
	first, ok := rows[j.parts[0].key()]
	if !ok {
		return nil, nil
	}
	r, err := decodeFirstRow(first, j)
	if err != nil {
		return nil, err
	}
	for _, p := range j.parts[1:] {
		row, ok := rows[p.key()]
		if !ok {
			continue
		}
		part, err := submission.DecodeRecord(row, len(p.tasks()))
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidArgument, err, "part %d", p.number)
		}
		copy(r.Tasks[p.number*partTasks:], part.Tasks)
	}
	return r, nil
}

// decodeFirstRow reads the first part of a record. Instead, the row may hold a record that is not divided, or the final state alone,
// which replaces a record that the store has refused.
func decodeFirstRow(row []byte, j *job) (*storedRecord, error) {
	r, err := submission.DecodeRecord(row, len(j.parts[0].tasks()))
	undivided := false
	if err != nil {
		if final, finalErr := submission.DecodeRecord(row, 0); finalErr == nil && final.State.Final() {
			j.refuseRecord()
			r, err = final, nil
		}
	}
	if err != nil && len(j.parts) > 1 {
		r, err = submission.DecodeRecord(row, len(j.tasks))
		undivided = true
	}
	if err != nil {
		return nil, err
	}
	r.Tasks = append(r.Tasks, make([]submission.TaskRecord, len(j.tasks)-len(r.Tasks))...)
	return &storedRecord{r, undivided}, nil
}

// markDirty records that a task has changed since its part of the record was last prepared for a commit.
func (o *Owner) markDirty(t *taskEntry) { o.markPartDirty(t.job.partOf(t)) }

func (o *Owner) markPartDirty(p *recordPart) {
	if p.number != 0 && !p.job.recorded {
		// A record without its first part counts as none.
		o.markPartDirty(p.job.parts[0])
	}
	if p.number == 0 {
		p.job.recorded = true
	}
	if _, ok := o.dirty[p]; ok {
		return
	}
	o.dirtySequence++
	p.dirtySince = o.dirtySequence
	o.dirty[p] = struct{}{}
}

// divideRecord marks all parts of a record that is not divided yet. The first one comes last, since it replaces the row
// that holds the tasks of all others.
func (o *Owner) divideRecord(j *job) {
	for _, p := range j.parts[1:] {
		o.markPartDirty(p)
	}
	o.markPartDirty(j.parts[0])
}
