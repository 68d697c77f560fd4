package submission

import (
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// State is the state of a submission as reported to its requester.
type State uint8

// States. Completed, Failed and Cancelled are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }

// String returns the name of the state in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// TaskState is the durable state of a task.
type TaskState uint8

// Task states. A task is Assigned from the moment its start is recorded until
// its end is recorded or it is certain that the start has no effect.
const (
	TaskPending TaskState = iota
	TaskAssigned
	TaskDone
	TaskFailed
)

// Incarnation identifies one incarnation of an executor: the time from its start to its end.
type Incarnation struct {
	ID string `msgpack:"i"`
	// StartedAt is the start of the incarnation in Unix milliseconds.
	StartedAt int64 `msgpack:"b"`
}

// TaskRecord is the durable part of a task.
type TaskRecord struct {
	State TaskState
	// Run is the number of the last start, 0 before the first.
	Run uint32
	// Failures counts the runs that ended as failed.
	Failures uint16
	// Crashes counts the crashes of executors that are attributed to the task.
	Crashes uint16
	// CrashAge is the age of the task's run at the last crash of its executor, a millisecond at least, 0 for none.
	CrashAge time.Duration
	// Executor is the incarnation that the run is assigned to.
	Executor Incarnation
	// Address is the executor's address. A later incarnation at the same
	// address proves that this one has ended.
	Address string
	// Checkpoint is the last known checkpoint, empty for none.
	Checkpoint string
	// Confirmed is set once Executor has certainly executed the start of the run, and no call of it is left that a later incarnation
	// under the ID could execute.
	Confirmed bool
}

// Begun reports whether the record proves that a run of the task has begun. The record of a start does not:
// it is written before the start is ordered.
func (t *TaskRecord) Begun() bool {
	return t.State == TaskDone || t.State == TaskFailed || t.Failures > 0 || t.Crashes > 0 || t.Checkpoint != ""
}

// Record is the durable progress of a submission. Tasks holds all occurrences
// in order, and within one the steps in order.
type Record struct {
	State State
	// Ended is the time of the final state in Unix milliseconds, 0 before.
	Ended int64
	Tasks []TaskRecord
}

// executorRef is an executor and its address.
type executorRef struct {
	Incarnation
	Address string `msgpack:"a"`
}

// encodedRecord is the stored form: one array for each field, and executors as indexes into a
// list, since most tasks share a few of them.
type encodedRecord struct {
	//lint:ignore U1000 read by the encoder
	_msgpack    struct{} `msgpack:",as_array"`
	State       State
	Ended       int64
	States      []byte
	Runs        []uint32
	Failures    []uint16
	Executors   []executorRef
	Assigned    []uint16
	Checkpoints map[int]string
}

// encodedCrashes holds Crashes and CrashAge of a task. A map of them by task follows the record where there are
// any: a reader of an array rejects one with more elements than it knows, and ignores what follows it.
type encodedCrashes struct {
	Count uint16 `msgpack:"n"`
	AgeMS int64  `msgpack:"a"`
}

// bitmap is a set of tasks by their index. That of the tasks with a confirmed run follows the crashes where there are any.
type bitmap []byte

func (m bitmap) has(i int) bool { return i/8 < len(m) && m[i/8]&(1<<(i%8)) != 0 }

func (m bitmap) with(i int) bitmap {
	for i/8 >= len(m) {
		m = append(m, 0)
	}
	m[i/8] |= 1 << (i % 8)
	return m
}

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) {
	n := len(r.Tasks)
	e := encodedRecord{State: r.State, Ended: r.Ended, States: make([]byte, n), Runs: make([]uint32, n),
		Failures: make([]uint16, n), Assigned: make([]uint16, n)}
	crashes := make(map[int]encodedCrashes)
	var confirmed bitmap
	positions := make(map[executorRef]uint16)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		e.States[i], e.Runs[i], e.Failures[i] = byte(t.State), t.Run, t.Failures
		if t.State == TaskAssigned {
			e.Assigned[i] = executorIndex(positions, &e.Executors, executorRef{t.Executor, t.Address})
			if t.Confirmed {
				confirmed = confirmed.with(i)
			}
		}
		if (t.Crashes > 0 || t.CrashAge > 0) && t.State != TaskDone {
			crashes[i] = encodedCrashes{Count: t.Crashes, AgeMS: t.CrashAge.Milliseconds()}
		}
		if t.Checkpoint != "" && t.State != TaskDone {
			if e.Checkpoints == nil {
				e.Checkpoints = make(map[int]string)
			}
			e.Checkpoints[i] = t.Checkpoint
		}
	}
	values := []any{&e}
	if len(crashes) > 0 || len(confirmed) > 0 {
		values = append(values, crashes)
	}
	if len(confirmed) > 0 {
		values = append(values, []byte(confirmed))
	}
	var b bytes.Buffer
	err := msgpack.NewEncoder(&b).EncodeMulti(values...)
	return b.Bytes(), errkind.Wrap(errkind.Internal, err, "encode progress record")
}

// EncodeWithin returns the stored form without as many checkpoints as needed to fit into limit bytes, the longest
// first. A task without one starts from its beginning if its run is lost. The form may still be larger. A limit of 0
// means none.
func (r *Record) EncodeWithin(limit int) ([]byte, error) {
	b, err := r.Encode()
	if err != nil || limit <= 0 || len(b) <= limit {
		return b, err
	}
	smaller := Record{State: r.State, Ended: r.Ended, Tasks: slices.Clone(r.Tasks)}
	longestFirst := make([]*TaskRecord, len(smaller.Tasks))
	for i := range smaller.Tasks {
		longestFirst[i] = &smaller.Tasks[i]
	}
	slices.SortStableFunc(longestFirst, func(a, b *TaskRecord) int { return cmp.Compare(len(b.Checkpoint), len(a.Checkpoint)) })
	excess := len(b) - limit
	for _, t := range longestFirst {
		if excess <= 0 {
			break
		}
		excess -= len(t.Checkpoint)
		t.Checkpoint = ""
	}
	return smaller.Encode()
}

func executorIndex(positions map[executorRef]uint16, list *[]executorRef, at executorRef) uint16 {
	p, ok := positions[at]
	if !ok {
		p = uint16(len(*list))
		positions[at] = p
		*list = append(*list, at)
	}
	return p
}

// DecodeRecord reads the stored form of a record with the given number of tasks.
func DecodeRecord(b []byte, tasks int) (Record, error) {
	var e encodedRecord
	var crashes map[int]encodedCrashes
	decoder := msgpack.NewDecoder(bytes.NewReader(b))
	if err := decoder.Decode(&e); err != nil {
		return Record{}, errkind.Wrap(errkind.InvalidArgument, err, "decode progress record")
	}
	if err := decoder.Decode(&crashes); err != nil && !errors.Is(err, io.EOF) {
		return Record{}, errkind.Wrap(errkind.InvalidArgument, err, "decode crashes of progress record")
	}
	var confirmed []byte
	if err := decoder.Decode(&confirmed); err != nil && !errors.Is(err, io.EOF) {
		return Record{}, errkind.Wrap(errkind.InvalidArgument, err, "decode confirmed runs of progress record")
	}
	if len(e.States) != tasks || len(e.Runs) != tasks || len(e.Failures) != tasks || len(e.Assigned) != tasks || e.State > Cancelled {
		return Record{}, errkind.New(errkind.InvalidArgument, "progress record has %d tasks, expected %d", len(e.States), tasks)
	}
	r := Record{State: e.State, Ended: e.Ended, Tasks: make([]TaskRecord, tasks)}
	for i := range r.Tasks {
		t := TaskRecord{State: TaskState(e.States[i]), Run: e.Runs[i], Failures: e.Failures[i], Checkpoint: e.Checkpoints[i],
			Crashes: crashes[i].Count, CrashAge: time.Duration(crashes[i].AgeMS) * time.Millisecond}
		if t.State > TaskFailed {
			return Record{}, errkind.New(errkind.InvalidArgument, "task state %d is not defined", t.State)
		}
		if t.State == TaskAssigned {
			if int(e.Assigned[i]) >= len(e.Executors) {
				return Record{}, errkind.New(errkind.InvalidArgument, "task %d refers to an executor that is not in the record", i)
			}
			at := e.Executors[e.Assigned[i]]
			t.Executor, t.Address, t.Confirmed = at.Incarnation, at.Address, bitmap(confirmed).has(i)
		}
		r.Tasks[i] = t
	}
	return r, nil
}

// DecodeState reads only the submission's state from the stored form of a record.
func DecodeState(b []byte) (State, error) {
	var e encodedRecord
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return 0, errkind.Wrap(errkind.InvalidArgument, err, "decode state of progress record")
	}
	if e.State > Cancelled {
		return 0, errkind.New(errkind.InvalidArgument, "state %d is not defined", e.State)
	}
	return e.State, nil
}

// Encode returns the stored form of the submission.
func (s *Submission) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(s)
	return b, errkind.Wrap(errkind.Internal, err, "encode submission")
}

// Decode reads the stored form of a submission and validates it.
func Decode(b []byte) (*Submission, error) {
	s := new(Submission)
	if err := msgpack.Unmarshal(b, s); err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "decode submission")
	}
	return s, s.Validate()
}
