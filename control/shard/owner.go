// Package shard manages shards, each a set of VMs and a queue of tasks. The owner of a shard holds it
// through a lease row with a fencing epoch, keeps the scheduling tables in memory, commits task records
// in batches, and starts and stops task attempts through the agents.
package shard

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of the owner loop.
const (
	// TickInterval is the interval between scheduling passes.
	TickInterval = 100 * time.Millisecond
	// commitRetryDelay separates retries while the store is unavailable.
	commitRetryDelay = 250 * time.Millisecond
	// submitTickInterval is the minimum interval between scheduling passes triggered by submissions.
	submitTickInterval = 20 * time.Millisecond
	// reannounceWindow is the time within which every live agent has announced itself to a new
	// owner: a missed heartbeat is noticed after 4 s, and two attempts to reconnect follow.
	reannounceWindow = 10 * time.Second
	// callTimeout bounds a call to an agent.
	callTimeout = 2 * time.Second
	// stopTimeout bounds a call that stops an attempt, which includes writing a checkpoint.
	stopTimeout = 4 * time.Second
)

// Caller is the owner's view of the control connection to an agent.
type Caller interface {
	Call(ctx context.Context, m wire.Message) (wire.Message, error)
	Close()
}

// Config configures an owner.
type Config struct {
	Shard string
	Epoch uint64
	// EpochCond is the condition that fences every commit of this owner.
	EpochCond store.Cond
	Table     store.Table
	// Commits is the committer shared by all shards of the entry.
	Commits *Committer
	Clock   clock.Clock
	// Scheduler configures the scheduler; the zero value optimizes batch throughput only.
	Scheduler scheduler.Config
	Recorder  *history.Recorder
	Log       zerolog.Logger
	// Valid reports whether the shard lease is held now.
	Valid func() bool
	// OnMembers is called after the membership list has changed.
	OnMembers func(wire.Members)
	// OnLost is called when a commit shows that another entry owns the shard.
	OnLost func()
	// OnEvict is called for every eviction with its cause.
	OnEvict func(cause errkind.Kind)
	// ReassignFrom is the time on Clock before which tasks of unreachable VMs stay assigned,
	// because a previous owner may still extend VM grants; 0 means no restriction.
	ReassignFrom time.Duration
}

// Owner is the actor that owns one shard. Its state is accessed only by its event loop goroutine.
type Owner struct {
	// measuredUsage is the latest measured usage by VM and task, shown to operators.
	measuredUsage map[string]map[string]task.Resources
	cfg           Config
	inbox         chan func()
	tables        *tables.Tables
	sched         *scheduler.Scheduler
	agents        map[string]*agentLink

	dirty          map[string]*dirtyRow
	inFlight       map[string]*dirtyRow
	source         *commitSource
	membersVersion uint64
	configDoc      plan.Document
	lost           bool
	stopping       bool
	// drained is set once Drain has found no pending change. A change after that is refused, because
	// it could become durable without its caller being told.
	drained bool
	// newSubmissions is set while a submission awaits its first scheduling pass.
	newSubmissions bool
	lastScheduled  time.Duration

	// pendingCommits counts the commits of each task that have been requested but are not finished.
	pendingCommits map[string]int
	// durableRecords holds the last durable record of each task with uncommitted changes.
	durableRecords map[string]task.Record
	// resizing holds the tasks with a resize call to an agent in flight.
	resizing      map[string]bool
	pendingStops  map[stopKey]*pendingStop
	grantExpiries grantExpiryQueue
	// orphans holds the tasks of VMs that have not announced themselves since takeover.
	orphans  map[string]map[string]struct{}
	loadedAt time.Duration
	finished retentionQueue
}

type agentLink struct {
	caller   Caller
	upstream wire.Upstream
	// configGen is the configuration generation that the agent has acknowledged.
	configGen uint64
	// sentInterference is the learnt interference last sent to the agent, by job class, in millionths.
	sentInterference map[string]uint32
}

// dirtyRow is a task record with changes to be written.
type dirtyRow struct {
	// isSubmission marks a submission that has not been accepted yet.
	isSubmission bool
	callbacks    []func(error)
}

// NewOwner returns an owner that has not loaded its tables.
func NewOwner(cfg Config) *Owner {
	return &Owner{cfg: cfg, inbox: make(chan func(), 256), tables: tables.New(), sched: scheduler.New(cfg.Scheduler),
		agents: make(map[string]*agentLink), dirty: make(map[string]*dirtyRow),
		inFlight: make(map[string]*dirtyRow), source: &commitSource{shard: cfg.Shard, epoch: cfg.EpochCond},
		pendingCommits: make(map[string]int), durableRecords: make(map[string]task.Record), resizing: make(map[string]bool), pendingStops: make(map[stopKey]*pendingStop), orphans: make(map[string]map[string]struct{})}
}

// TaskKeyPrefix returns the key prefix of the shard's task rows.
func TaskKeyPrefix(shard string) string { return "task/" + shard + "/" }

// scanPageSize is the number of rows read per scan request.
const scanPageSize = 500

// Load reads the shard's task rows. It must be called before Run.
func (o *Owner) Load(ctx context.Context) error {
	now := o.cfg.Clock.Now()
	after := ""
	for {
		rows, err := o.cfg.Table.Scan(ctx, TaskKeyPrefix(o.cfg.Shard), after, scanPageSize)
		if err != nil {
			return err
		}
		for _, r := range rows {
			rec, err := decodeRecord(r.Value)
			if err != nil {
				return err
			}
			o.addLoadedTask(&tables.Task{Record: rec, Version: r.Version, Submitted: now, Reserved: rec.Reserved})
		}
		if len(rows) < scanPageSize {
			break
		}
		after = rows[len(rows)-1].Key
	}
	o.loadedAt = now
	for vm := range o.orphans {
		o.grantExpiries.push(vm, now+lease.ObserverWait(lease.GrantTTL))
	}
	return nil
}

// addLoadedTask adds a task record read from the store to the tables.
func (o *Owner) addLoadedTask(tk *tables.Task) {
	o.tables.Put(tk)
	id := tk.Record.Spec.ID
	switch {
	case tables.OccupiesVM(tk.Record.State):
		if o.orphans[tk.Record.VM] == nil {
			o.orphans[tk.Record.VM] = make(map[string]struct{})
		}
		o.orphans[tk.Record.VM][id] = struct{}{}
	case task.Terminal(tk.Record.State):
		o.cfg.Recorder.Record(history.Event{Kind: history.FinalStateRead, Task: id, Attempt: tk.Record.Attempt, Outcome: tk.Record.State})
		o.finished.add(id, tk.Record.EndedUnixMilli)
	}
}

// Run executes the owner's event loop until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			o.shutdown()
			return
		case f := <-o.inbox:
			f()
			if o.newSubmissions && o.cfg.Clock.Now() >= o.lastScheduled+submitTickInterval {
				o.schedule(ctx)
			}
		case <-tick.C:
			o.tick(ctx)
		}
		o.flush(ctx)
	}
}

func (o *Owner) shutdown() {
	for _, row := range o.dirty {
		row.complete(errkind.New(errkind.NotOwner, "shard %s is being released", o.cfg.Shard))
	}
	for _, l := range o.agents {
		go l.caller.Close()
	}
}

func (r *dirtyRow) complete(err error) {
	for _, f := range r.callbacks {
		f(err)
	}
	r.callbacks = nil
}

// Do runs f on the owner's event loop and waits for it to return.
func (o *Owner) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case o.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "shard %s is busy", o.cfg.Shard)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "call to shard %s was abandoned", o.cfg.Shard)
	}
}

// Ask runs f on the owner's event loop and returns its result. If ctx ends first, f may still be
// running, and its result is discarded.
func Ask[T any](ctx context.Context, o *Owner, f func() (T, error)) (T, error) {
	var result T
	var callErr error
	if err := o.Do(ctx, func() { result, callErr = f() }); err != nil {
		var zero T
		return zero, err
	}
	return result, callErr
}

func (o *Owner) post(ctx context.Context, f func()) {
	select {
	case o.inbox <- f:
	case <-ctx.Done():
	}
}

func (o *Owner) tick(ctx context.Context) {
	if o.lost || o.stopping || !o.cfg.Valid() {
		return
	}
	now := o.cfg.Clock.Now()
	o.expireGrants(now)
	o.resendDueStops(ctx, now)
	o.deleteExpired(ctx)
	o.schedule(ctx)
}

// schedule runs a scheduling pass. It does nothing while commits fail, as no decision could be made durable.
func (o *Owner) schedule(ctx context.Context) {
	if o.lost || o.stopping || !o.cfg.Valid() || o.cfg.Commits.Failing() {
		return
	}
	now := o.cfg.Clock.Now()
	o.newSubmissions, o.lastScheduled = false, now
	for _, e := range o.sched.Tick(o.tables, now) {
		o.apply(ctx, e)
	}
}

// apply validates a decision against the current state and stages it. The agent is contacted only
// after the record is durable.
func (o *Owner) apply(ctx context.Context, e scheduler.Decision) {
	if e.Kind == scheduler.Quarantine {
		events.VMQuarantined.Log(o.cfg.Log).Str("shard", o.cfg.Shard).Str("vm", e.VM).Str("task", e.Task).Send()
		return
	}
	tk, ok := o.tables.Tasks[e.Task]
	if !ok {
		return
	}
	switch e.Kind {
	case scheduler.Assign:
		o.assign(ctx, tk, e)
	case scheduler.Reject:
		// Until every VM has had time to announce itself, a task that fits no known VM may still fit
		// one that is about to announce itself.
		if o.cfg.Clock.Now() >= o.loadedAt+reannounceWindow || e.Reason != errkind.Infeasible {
			o.finishTask(tk, task.EventReject, e.Reason, e.Detail, nil)
		}
	case scheduler.Park:
		o.finishTask(tk, task.EventPark, e.Reason, e.Detail, nil)
	case scheduler.Evict:
		o.evict(ctx, tk, e.Reason)
	case scheduler.ReservationExceeded:
		o.resize(ctx, tk, e)
	}
}

func (o *Owner) assign(ctx context.Context, tk *tables.Task, e scheduler.Decision) {
	v, ok := o.tables.VMs[e.VM]
	if !ok || !v.Connected || v.Draining || v.Evacuated || !v.Reserved.Add(e.Reservation).Fits(v.Capacity) {
		return
	}
	attempt := tk.Record.Attempt + 1
	o.transition(tk, task.EventAssign, func(t *tables.Task) {
		t.Record.Attempt = attempt
		t.Record.VM = e.VM
		t.Record.Reserved = e.Reservation
		t.Reserved = e.Reservation
	}, func(err error) {
		// The task is gone from the tables if another shard had already accepted the same submission.
		if err == nil && tk.Record.Attempt == attempt && o.tables.Tasks[e.Task] == tk {
			o.startAttempt(ctx, tk)
		}
	})
}

// transition applies a life cycle event to the task and marks its row dirty.
func (o *Owner) transition(tk *tables.Task, event string, mutate func(*tables.Task), done func(error)) bool {
	if _, err := task.Next(tk.Record.State, event); err != nil || o.drained {
		return false
	}
	if _, ok := o.durableRecords[tk.Record.Spec.ID]; !ok {
		o.durableRecords[tk.Record.Spec.ID] = tk.Record
	}
	o.tables.Update(tk, func(t *tables.Task) {
		_ = t.Record.Apply(event)
		if mutate != nil {
			mutate(t)
		}
	})
	o.markDirty(tk, false, done)
	return true
}

func (o *Owner) markDirty(tk *tables.Task, created bool, done func(error)) {
	id := tk.Record.Spec.ID
	row, ok := o.dirty[id]
	if !ok {
		row = &dirtyRow{isSubmission: created}
		o.dirty[id] = row
	}
	o.pendingCommits[id]++
	row.callbacks = append(row.callbacks, func(err error) {
		if o.pendingCommits[id]--; o.pendingCommits[id] == 0 {
			delete(o.pendingCommits, id)
			delete(o.durableRecords, id)
		}
		if done != nil {
			done(err)
		}
	})
}

// visibleRecord returns the record shown to clients: a final state is shown only once it is durable.
func (o *Owner) visibleRecord(tk *tables.Task) task.Record {
	if rec, ok := o.durableRecords[tk.Record.Spec.ID]; ok && task.Terminal(tk.Record.State) {
		return rec
	}
	return tk.Record
}

// whenDurable calls done after the task's current record is committed, so that the repeat of an event
// whose commit is in flight is not acknowledged early.
func (o *Owner) whenDurable(id string, done func(error)) {
	tk, ok := o.tables.Tasks[id]
	if !ok || o.pendingCommits[id] == 0 {
		done(nil)
		return
	}
	o.markDirty(tk, false, done)
}

// finishTask records a final state or the parked state.
func (o *Owner) finishTask(tk *tables.Task, event string, reason errkind.Kind, detail string, done func(error)) bool {
	return o.transition(tk, event, func(t *tables.Task) {
		t.Record.Reason, t.Record.Detail = reason, detail
		if task.Terminal(t.Record.State) {
			t.Record.EndedUnixMilli = time.Now().UnixMilli()
		}
	}, func(err error) {
		// The task is gone from the tables if another shard had already accepted the same submission.
		if err == nil && o.tables.Tasks[tk.Record.Spec.ID] == tk {
			o.recordTerminal(tk)
			o.logFinished(tk)
			if task.Terminal(tk.Record.State) {
				o.finished.add(tk.Record.Spec.ID, tk.Record.EndedUnixMilli)
			}
		}
		if done != nil {
			done(err)
		}
	})
}

func (o *Owner) recordTerminal(tk *tables.Task) {
	kind := history.TaskTerminal
	switch {
	case tk.Record.State == task.Succeeded:
		kind = history.TaskCompleted
	case !task.Terminal(tk.Record.State):
		return
	}
	o.cfg.Recorder.Record(history.Event{Kind: kind, Task: tk.Record.Spec.ID, Attempt: tk.Record.Attempt, Outcome: tk.Record.State})
}

// requeue makes the task pending; its next start gets a new attempt number.
func (o *Owner) requeue(tk *tables.Task, done func(error)) {
	o.transition(tk, task.EventRequeue, func(t *tables.Task) {
		t.Record.VM = ""
		t.Reserved, t.Record.Reserved = task.Resources{}, task.Resources{}
	}, done)
}
