// Package shard runs the owner of a shard: a set of VMs and a queue of tasks. An
// owner holds the shard through a lease row with a fencing epoch, keeps the
// scheduling tables in memory, commits task records in groups, and starts and
// stops attempts through the agents.
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
	// TickInterval separates scheduling ticks.
	TickInterval = 100 * time.Millisecond
	// commitRetryDelay separates commit attempts while the store is unavailable.
	commitRetryDelay = 250 * time.Millisecond
	// submitTickInterval bounds the ticks that submissions cause between regular ones.
	submitTickInterval = 20 * time.Millisecond
	// announceWait is the time in which every live agent has announced itself to a new
	// owner: a missed heartbeat is noticed after 4 s, and two attempts to reconnect follow.
	announceWait = 10 * time.Second
	// callTimeout bounds a call to an agent.
	callTimeout = 2 * time.Second
	// stopTimeout bounds a stop, which includes the write of a checkpoint.
	stopTimeout = 4 * time.Second
)

// Caller is the control connection to an agent, as the owner uses it.
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
	// Commits is the commit loop shared by all shards of the entry.
	Commits *Committer
	Clock   clock.Clock
	// Scheduler configures the decisions; the zero value weighs batch throughput only.
	Scheduler scheduler.Config
	Recorder  *history.Recorder
	Log       zerolog.Logger
	// Valid reports whether the shard lease is held at this moment.
	Valid func() bool
	// OnMembers is called after the membership list changed.
	OnMembers func(wire.Members)
	// OnLost is called when a commit shows that another entry owns the shard.
	OnLost func()
	// OnEvict is called for every eviction with its cause.
	OnEvict func(cause errkind.Kind)
	// ReassignFrom is the time on Clock before which tasks of unreachable VMs stay
	// assigned, because an earlier owner may still extend grants; 0 is no limit.
	ReassignFrom time.Duration
}

// Owner is the actor that owns one shard. All state is used by its loop goroutine only.
type Owner struct {
	// used is the measured use by VM and task, for operators.
	used   map[string]map[string]task.Resources
	cfg    Config
	inbox  chan func()
	tables *tables.Tables
	sched  *scheduler.Scheduler
	agents map[string]*agentLink

	dirty     map[string]*dirtyRow
	busy      map[string]*dirtyRow
	source    *commitSource
	memberVer uint64
	doc       plan.Document
	lost      bool
	stopping  bool
	// closed is set when the owner is drained. A change after that could become
	// durable without anybody being told.
	closed bool
	// submitted is set while a submission has not been considered by the scheduler.
	submitted   bool
	scheduledAt time.Duration

	// unsettled counts the registered commits of each task that are not finished.
	unsettled map[string]int
	// before holds the last durable records of tasks with changes that are not durable.
	before map[string]task.Record
	// growing holds the tasks whose growth an agent is asked for.
	growing map[string]bool
	stops   map[stopKey]*pendingStop
	grants  grantQueue
	// orphans holds the tasks of VMs that have not announced themselves since takeover.
	orphans  map[string]map[string]struct{}
	rebuilt  time.Duration
	terminal retention
}

type agentLink struct {
	caller   Caller
	upstream wire.Upstream
	// configGen is the generation that the agent has acknowledged.
	configGen uint64
	// harms holds the learnt effects that the agent was sent, in millionths.
	harms map[string]uint32
}

// dirtyRow is a task whose record must be written.
type dirtyRow struct {
	// created marks a submission that is not accepted yet.
	created bool
	done    []func(error)
}

// NewOwner returns an owner that has not loaded its tables.
func NewOwner(cfg Config) *Owner {
	return &Owner{cfg: cfg, inbox: make(chan func(), 256), tables: tables.New(), sched: scheduler.New(cfg.Scheduler),
		agents: make(map[string]*agentLink), dirty: make(map[string]*dirtyRow),
		busy: make(map[string]*dirtyRow), source: &commitSource{shard: cfg.Shard, epoch: cfg.EpochCond},
		unsettled: make(map[string]int), before: make(map[string]task.Record), growing: make(map[string]bool), stops: make(map[stopKey]*pendingStop), orphans: make(map[string]map[string]struct{})}
}

// Prefix returns the key prefix of the shard's task rows.
func Prefix(shard string) string { return "task/" + shard + "/" }

// scanPage is the number of rows read at once while loading a shard.
const scanPage = 500

// Load reads the shard's task rows. It must be called before Run.
func (o *Owner) Load(ctx context.Context) error {
	now := o.cfg.Clock.Now()
	after := ""
	for {
		rows, err := o.cfg.Table.Scan(ctx, Prefix(o.cfg.Shard), after, scanPage)
		if err != nil {
			return err
		}
		for _, r := range rows {
			rec, err := decodeRecord(r.Value)
			if err != nil {
				return err
			}
			o.loaded(&tables.Task{Record: rec, Version: r.Version, Submitted: now, Reserved: rec.Reserved})
		}
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	o.rebuilt = now
	for vm := range o.orphans {
		o.grants.push(vm, now+lease.ObserverWait(lease.GrantTTL))
	}
	return nil
}

// loaded adds a task read from the store.
func (o *Owner) loaded(tk *tables.Task) {
	o.tables.Put(tk)
	id := tk.Record.Spec.ID
	switch {
	case tables.OccupiesVM(tk.Record.State):
		if o.orphans[tk.Record.VM] == nil {
			o.orphans[tk.Record.VM] = make(map[string]struct{})
		}
		o.orphans[tk.Record.VM][id] = struct{}{}
	case task.Terminal(tk.Record.State):
		o.cfg.Recorder.Record(history.Event{Kind: history.TaskFound, Task: id, Attempt: tk.Record.Attempt, Outcome: tk.Record.State})
		o.terminal.add(id, tk.Record.EndedUnixMilli)
	}
}

// Run executes the owner until ctx ends.
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
			if o.submitted && o.cfg.Clock.Now() >= o.scheduledAt+submitTickInterval {
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
		row.finish(errkind.New(errkind.NotOwner, "shard %s is being released", o.cfg.Shard))
	}
	for _, l := range o.agents {
		go l.caller.Close()
	}
}

func (r *dirtyRow) finish(err error) {
	for _, f := range r.done {
		f(err)
	}
	r.done = nil
}

// Do runs f on the owner's goroutine.
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
		return errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "shard %s", o.cfg.Shard)
	}
}

// Ask runs f on the owner's loop and returns what it returns. When the call ends
// before f has, f may still be at work; what it returns then is not read.
func Ask[T any](ctx context.Context, o *Owner, f func() (T, error)) (T, error) {
	var result T
	var refused error
	if err := o.Do(ctx, func() { result, refused = f() }); err != nil {
		var none T
		return none, err
	}
	return result, refused
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
	o.repeatStops(ctx, now)
	o.deleteExpired(ctx)
	o.schedule(ctx)
}

// schedule runs the decisions. While commits fail no decision can be made durable.
func (o *Owner) schedule(ctx context.Context) {
	if o.lost || o.stopping || !o.cfg.Valid() || o.cfg.Commits.Failing() {
		return
	}
	now := o.cfg.Clock.Now()
	o.submitted, o.scheduledAt = false, now
	for _, e := range o.sched.Tick(o.tables, now) {
		o.apply(ctx, e)
	}
}

// apply checks a decision against the current state and stages it. The agent is
// contacted after the record is durable.
func (o *Owner) apply(ctx context.Context, e scheduler.Decision) {
	if e.Kind == scheduler.Quarantine {
		events.VMQuarantined.Log(o.cfg.Log).Str("shard", o.cfg.Shard).Str("vm", e.VM).Send()
		return
	}
	if e.Kind == scheduler.Quarantine {
		events.VMQuarantined.Log(o.cfg.Log).Str("vm", e.VM).Str("task", e.Task).Send()
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
		// Before every VM has had the time to announce itself, a task that fits no
		// known VM may still fit another one.
		if o.cfg.Clock.Now() >= o.rebuilt+announceWait || e.Reason != errkind.Infeasible {
			o.end(tk, task.EventReject, e.Reason, e.Detail, nil)
		}
	case scheduler.Park:
		o.end(tk, task.EventPark, e.Reason, e.Detail, nil)
	case scheduler.Evict:
		o.evict(ctx, tk, e.Reason)
	case scheduler.ReservationExceeded:
		o.grow(ctx, tk, e)
	}
}

func (o *Owner) assign(ctx context.Context, tk *tables.Task, e scheduler.Decision) {
	v, ok := o.tables.VMs[e.VM]
	if !ok || !v.Connected || v.Draining || !v.Reserved.Add(e.Reservation).Fits(v.Capacity) {
		return
	}
	attempt := tk.Record.Attempt + 1
	o.change(tk, task.EventAssign, func(t *tables.Task) {
		t.Record.Attempt = attempt
		t.Record.VM = e.VM
		t.Record.Reserved = e.Reservation
		t.Reserved = e.Reservation
	}, func(err error) {
		// The same submission may have been accepted by another shard before.
		if err == nil && tk.Record.Attempt == attempt && o.tables.Tasks[e.Task] == tk {
			o.start(ctx, tk)
		}
	})
}

// change moves the task through a life cycle event and marks its row dirty.
func (o *Owner) change(tk *tables.Task, event string, mutate func(*tables.Task), done func(error)) bool {
	if _, err := task.Next(tk.Record.State, event); err != nil || o.closed {
		return false
	}
	if _, ok := o.before[tk.Record.Spec.ID]; !ok {
		o.before[tk.Record.Spec.ID] = tk.Record
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
		row = &dirtyRow{created: created}
		o.dirty[id] = row
	}
	o.unsettled[id]++
	row.done = append(row.done, func(err error) {
		if o.unsettled[id]--; o.unsettled[id] == 0 {
			delete(o.unsettled, id)
			delete(o.before, id)
		}
		if done != nil {
			done(err)
		}
	})
}

// visible returns the record that may be shown: a final state only once it is durable.
func (o *Owner) visible(tk *tables.Task) task.Record {
	if rec, ok := o.before[tk.Record.Spec.ID]; ok && task.Terminal(tk.Record.State) {
		return rec
	}
	return tk.Record
}

// whenDurable calls done after the current record of the task is committed. An
// event that repeats one whose commit is under way must not be acknowledged early.
func (o *Owner) whenDurable(id string, done func(error)) {
	tk, ok := o.tables.Tasks[id]
	if !ok || o.unsettled[id] == 0 {
		done(nil)
		return
	}
	o.markDirty(tk, false, done)
}

// end records a final or parked state.
func (o *Owner) end(tk *tables.Task, event string, reason errkind.Kind, detail string, done func(error)) bool {
	return o.change(tk, event, func(t *tables.Task) {
		t.Record.Reason, t.Record.Detail = reason, detail
		if task.Terminal(t.Record.State) {
			t.Record.EndedUnixMilli = time.Now().UnixMilli()
		}
	}, func(err error) {
		// The same submission may have been accepted by another shard before.
		if err == nil && o.tables.Tasks[tk.Record.Spec.ID] == tk {
			o.recordTerminal(tk)
			o.logEnd(tk)
			if task.Terminal(tk.Record.State) {
				o.terminal.add(tk.Record.Spec.ID, tk.Record.EndedUnixMilli)
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

// requeue makes the task pending; its next start has a new attempt number.
func (o *Owner) requeue(tk *tables.Task, done func(error)) {
	o.change(tk, task.EventRequeue, func(t *tables.Task) {
		t.Record.VM = ""
		t.Reserved, t.Record.Reserved = task.Resources{}, task.Resources{}
	}, done)
}
