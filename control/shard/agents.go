package shard

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/wire"
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkHeld returns errkind.NotOwner when the shard lease is not held.
func (o *Owner) checkHeld() error {
	if o.lost || !o.cfg.Valid() {
		return errkind.New(errkind.NotOwner, "shard %s is not held", o.cfg.Shard)
	}
	return nil
}

// Announce registers an agent's connection and reconciles the agent's ledger with the task records.
// It fails with errkind.NotOwner when the shard lease is not held.
func (o *Owner) Announce(ctx context.Context, m *wire.Announce, c Caller) (*wire.AnnounceReply, error) {
	if err := o.checkHeld(); err != nil {
		return nil, err
	}
	if old, ok := o.agents[m.VM]; ok && old.caller != c {
		go old.caller.Close()
	}
	o.agents[m.VM] = &agentLink{caller: c, upstream: wire.Upstream{
		VM: m.VM, Incarnation: m.Incarnation, Zone: m.Zone, Service: m.Service, Slots: m.Slots,
		Conns: m.Conns, DataAddr: m.DataAddr, Draining: m.Draining,
	}}
	v := &tables.VM{
		ID: m.VM, Incarnation: m.Incarnation, Zone: m.Zone, Rack: m.Rack, Capacity: m.Capacity, Service: m.Service,
		ServiceReserved: m.ServiceReserved, Draining: m.Draining, Connected: true,
		GrantedUntil: o.cfg.Clock.Now() + lease.ObserverWait(lease.GrantTTL),
	}
	o.grantExpiries.push(m.VM, v.GrantedUntil)
	o.tables.PutVM(v)
	delete(o.orphans, m.VM)
	reply := &wire.AnnounceReply{Shard: o.cfg.Shard, Epoch: o.cfg.Epoch, Stop: o.reconcile(ctx, m, v)}
	o.publishMembers()
	return reply, nil
}

// reconcile compares the agent's complete ledger with the task records. It returns the attempts
// that the agent must stop because no record matches them; recorded attempts that the agent does
// not have are fenced and requeued.
func (o *Owner) reconcile(ctx context.Context, m *wire.Announce, v *tables.VM) []wire.AttemptRef {
	present := make(map[string]bool, len(m.Tasks))
	var stop []wire.AttemptRef
	for _, st := range m.Tasks {
		tk, ok := o.tables.Tasks[st.ID]
		if !ok || tk.Record.VM != m.VM || tk.Record.Attempt != st.Attempt || !tables.OccupiesVM(tk.Record.State) {
			stop = append(stop, wire.AttemptRef{ID: st.ID, Attempt: st.Attempt})
			continue
		}
		present[st.ID] = true
		if !task.Terminal(st.State) {
			o.tables.Update(tk, func(t *tables.Task) { t.Record.State = task.Running })
			if st.Reserved != tk.Record.Reserved {
				// A process of the agent that was replaced had accepted a larger reservation. The worker knows that of the start only.
				o.resize(ctx, tk, scheduler.Decision{Task: st.ID, VM: m.VM, Reservation: tk.Record.Reserved})
			}
		}
		// The result of a finished attempt arrives separately as a task event.
	}
	for id := range v.Tasks {
		if !present[id] {
			o.fenceAttempt(ctx, o.tables.Tasks[id])
		}
	}
	for key, p := range o.pendingStops {
		if key.vm == m.VM {
			o.sendStop(ctx, key, p)
		}
	}
	return stop
}

// fenceAttempt ensures, before the task is started elsewhere, that the agent refuses the attempt
// or has reported that the attempt ended by itself.
func (o *Owner) fenceAttempt(ctx context.Context, tk *tables.Task) {
	vm, id, attempt := tk.Record.VM, tk.Record.Spec.ID, tk.Record.Attempt
	o.stopAttempt(ctx, vm, id, attempt, wire.StopCancel, func(ev *wire.TaskEvent) {
		if !o.isCurrent(tk, vm, attempt) {
			return
		}
		if ev.Event != wire.TaskStopped {
			o.TaskEvent(ctx, ev, func(error) {})
			return
		}
		if ev.Checkpoint != "" {
			// The agent has evicted the attempt, and its report has not arrived yet.
			o.recordEviction(tk, ev, ev.Reason, nil)
			return
		}
		o.requeue(tk, nil)
	})
}

// isCurrent reports whether the task's record still names this attempt on this VM.
func (o *Owner) isCurrent(tk *tables.Task, vm string, attempt uint32) bool {
	return tk.Record.VM == vm && tk.Record.Attempt == attempt && tables.OccupiesVM(tk.Record.State)
}

// Heartbeat ingests the agent's measurements and renews the VM grant while the shard lease is held.
func (o *Owner) Heartbeat(vm string, m *wire.Heartbeat) (*wire.Grant, error) {
	v, ok := o.tables.VMs[vm]
	if !ok || !v.Connected {
		return nil, errkind.New(errkind.NotOwner, "VM %s has not announced itself", vm)
	}
	if err := o.checkHeld(); err != nil {
		return nil, err
	}
	o.tables.Ingest(tablesReport(vm, m, o.cfg.Clock.Now()))
	v.ConfigGen = m.ConfigGen
	o.recordUsage(vm, m.Usage)
	v.GrantedUntil = o.cfg.Clock.Now() + lease.ObserverWait(lease.GrantTTL)
	return &wire.Grant{Seq: m.Seq, Epoch: o.cfg.Epoch, TTLMS: uint32(lease.GrantTTL.Milliseconds()), ConfigGen: o.configDoc.Generation, Interference: o.changedInterference(v)}, nil
}

// tablesReport converts the measurements of a heartbeat to a report for the scheduling tables.
func tablesReport(vm string, m *wire.Heartbeat, now time.Duration) tables.Report {
	r := tables.Report{VM: vm, At: now, Lag: time.Duration(m.LagMS) * time.Millisecond,
		Tail: float64(m.TailPermille) / 1000, Load: float64(m.LoadPermille) / 1000}
	for _, u := range m.Usage {
		r.Usage = append(r.Usage, tables.TaskUsage{Task: u.ID, Used: task.Resources{CPU: int64(u.CPU), Memory: int64(u.MemMiB)},
			Fraction: float64(u.SpeedLimitPermille) / 1000})
	}
	return r
}

// Disconnected marks the VM as disconnected, unless a newer connection has replaced c.
func (o *Owner) Disconnected(vm string, c Caller) {
	l, ok := o.agents[vm]
	if !ok || l.caller != c {
		return
	}
	delete(o.agents, vm)
	if v, ok := o.tables.VMs[vm]; ok {
		v.Connected = false
		o.tables.Reindex(v)
	}
	o.publishMembers()
}

// SetDraining records whether an upstream is draining, as reported on the connection c. A report on a replaced
// connection is ignored: the announcement on the new one is newer. The agent evicts its own tasks and
// reports each eviction, so no eviction depends on this message.
func (o *Owner) SetDraining(vm string, c Caller, draining bool) {
	v, known := o.tables.VMs[vm]
	l, ok := o.agents[vm]
	if !known || !ok || l.caller != c {
		return
	}
	v.Draining = draining
	o.tables.Reindex(v)
	l.upstream.Draining = draining
	o.publishMembers()
}

func (o *Owner) publishMembers() {
	o.membersVersion++
	if o.cfg.OnMembers != nil {
		o.cfg.OnMembers(o.Members())
	}
}

// Members returns the membership list.
func (o *Owner) Members() wire.Members {
	m := wire.Members{Digest: wire.ShardDigest{Shard: o.cfg.Shard, Epoch: o.cfg.Epoch, Version: o.membersVersion}}
	for _, l := range o.agents {
		if l.upstream.Service != "" {
			m.Upstreams = append(m.Upstreams, l.upstream)
		}
	}
	return m
}

// SetConfig applies a configuration and pushes it to the agents.
func (o *Owner) SetConfig(ctx context.Context, doc plan.Document) {
	if doc.Generation < o.configDoc.Generation {
		return
	}
	o.configDoc = doc
	o.tables.SetConfig(doc)
	for vm := range o.agents {
		o.pushConfig(ctx, vm)
	}
}

// pushConfig sends the configuration to an agent until the agent acknowledges it,
// its connection ends, or a newer generation is pushed.
func (o *Owner) pushConfig(ctx context.Context, vm string) {
	l, ok := o.agents[vm]
	if !ok || o.configDoc.Generation == 0 {
		return
	}
	msg := &wire.ConfigPush{Generation: o.configDoc.Generation, Limits: o.configDoc.Limits, EvacuatedZones: o.configDoc.EvacuatedZones}
	go func() {
		for ctx.Err() == nil && o.pushOnce(ctx, vm, l, msg) {
			sleep(ctx, configPushRetry)
		}
	}()
}

// configPushRetry separates attempts to push a configuration to an agent.
const configPushRetry = 250 * time.Millisecond

// pushOnce reports whether the push must be repeated.
func (o *Owner) pushOnce(ctx context.Context, vm string, l *agentLink, msg *wire.ConfigPush) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.caller.Call(callCtx, msg)
	if errkind.Of(err) == errkind.NotReady {
		return false // The connection is closed; the next announcement repeats the push.
	}
	obsolete := false
	if o.Do(ctx, func() {
		if err == nil {
			l.configGen = max(l.configGen, msg.Generation)
			o.configConfirmed(vm, msg.Generation)
		}
		obsolete = o.agents[vm] != l || msg.Generation < o.configDoc.Generation
	}) != nil {
		return false
	}
	return err != nil && !obsolete
}

// ConfigGenerations returns the generation that each connected agent has acknowledged.
func (o *Owner) ConfigGenerations() map[string]uint64 {
	out := make(map[string]uint64, len(o.agents))
	for vm, l := range o.agents {
		out[vm] = l.configGen
	}
	return out
}

// PushConfig pushes the current configuration to one agent after its announcement.
func (o *Owner) PushConfig(ctx context.Context, vm string) { o.pushConfig(ctx, vm) }

// startAttempt asks the agent to run the recorded attempt.
func (o *Owner) startAttempt(ctx context.Context, tk *tables.Task) {
	l, ok := o.agents[tk.Record.VM]
	if tk.Record.State != task.Assigned || o.lost || !o.cfg.Valid() {
		return
	}
	if v, ok := o.tables.VMs[tk.Record.VM]; ok && v.Evacuated {
		// The zone was evacuated while the record was being committed. No order was sent.
		events.TaskWithdrawn.Log(o.cfg.Log).Str("task", tk.Record.Spec.ID).Str("vm", v.ID).Str("zone", v.Zone).Send()
		o.requeue(tk, nil)
		return
	}
	if !ok {
		// The agent is reconnecting. Its next announcement, or the expiry of the VM's grant, decides
		// whether the attempt runs.
		return
	}
	rec := tk.Record
	msg := &wire.StartTask{
		Epoch: o.cfg.Epoch, ID: rec.Spec.ID, Customer: rec.Spec.Customer, JobClass: rec.Spec.JobClass, Class: rec.Spec.Class,
		Attempt: rec.Attempt, Reserved: rec.Reserved, DurationMS: rec.Spec.Duration.Milliseconds(),
		ProgressMS: rec.Progress.Milliseconds(), Checkpoint: rec.Checkpoint, Declared: rec.Spec.Declared,
	}
	if v, ok := o.tables.VMs[rec.VM]; ok {
		msg.InterferencePPM = l.recordSentInterference(rec.Spec.JobClass, o.interferencePPM(v, rec.Spec.JobClass))
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := l.caller.Call(callCtx, msg)
		o.post(ctx, func() { o.startAnswered(ctx, tk, rec, l, err) })
	}()
}

func (o *Owner) startAnswered(ctx context.Context, tk *tables.Task, rec task.Record, l *agentLink, err error) {
	if !o.isCurrent(tk, rec.VM, rec.Attempt) || tk.Record.State != task.Assigned {
		return
	}
	switch errkind.Of(err) {
	case errkind.None:
		o.tables.Update(tk, func(t *tables.Task) { t.Record.State, t.Started = task.Running, o.cfg.Clock.Now() })
	case errkind.OutcomeUnknown, errkind.NotReady:
		// The attempt may be running. The announcement on a new connection, or the expiry of the VM's
		// grant, decides.
		go l.caller.Close()
		o.Disconnected(rec.VM, l.caller)
	default:
		// A repeated start can be refused even though the first one took effect.
		o.fenceAttempt(ctx, tk)
	}
}

// evict checkpoints and stops the attempt, then requeues the task.
func (o *Owner) evict(ctx context.Context, tk *tables.Task, cause errkind.Kind) {
	if !tables.OccupiesVM(tk.Record.State) {
		return
	}
	vm, attempt := tk.Record.VM, tk.Record.Attempt
	o.stopAttempt(ctx, vm, tk.Record.Spec.ID, attempt, wire.StopEvict, func(ev *wire.TaskEvent) {
		if !o.isCurrent(tk, vm, attempt) {
			return
		}
		if ev.Event != wire.TaskStopped {
			o.TaskEvent(ctx, ev, func(error) {})
			return
		}
		o.recordEviction(tk, ev, cause, nil)
	})
}

// recordEviction records an eviction together with the checkpoint from which the task resumes.
func (o *Owner) recordEviction(tk *tables.Task, ev *wire.TaskEvent, cause errkind.Kind, done func(error)) {
	events.TaskEvicted.Log(o.cfg.Log).Str("task", ev.ID).Str("kind", cause.String()).Send()
	if o.cfg.OnEvict != nil {
		o.cfg.OnEvict(cause)
	}
	o.tables.Update(tk, func(t *tables.Task) {
		t.Record.Evictions++
		applyCheckpoint(&t.Record, ev)
	})
	progress := tk.Record.Progress
	o.requeue(tk, func(err error) {
		if err == nil {
			o.cfg.Recorder.Record(history.Event{Kind: history.TaskEvicted, Task: ev.ID, Attempt: ev.Attempt, VM: ev.VM, Progress: progress})
		}
		if done != nil {
			done(err)
		}
	})
}

func applyCheckpoint(rec *task.Record, ev *wire.TaskEvent) {
	progress := time.Duration(ev.ProgressMS) * time.Millisecond
	if ev.Checkpoint != "" && progress >= rec.Progress {
		rec.Checkpoint, rec.Progress = ev.Checkpoint, progress
	}
}

// TaskEvent applies an agent's report. done is called when the report may be acknowledged.
func (o *Owner) TaskEvent(ctx context.Context, ev *wire.TaskEvent, done func(error)) {
	if o.drained {
		done(errkind.New(errkind.NotOwner, "shard %s is being released", o.cfg.Shard))
		return
	}
	tk, ok := o.tables.Tasks[ev.ID]
	if !ok || !o.isCurrent(tk, ev.VM, ev.Attempt) {
		// The record no longer names this attempt, possibly because this is a repeat of the event that
		// changed it.
		o.whenDurable(ev.ID, done)
		return
	}
	switch ev.Event {
	case wire.TaskSucceeded:
		o.tables.IngestAttemptEnd(tk, o.cfg.Clock.Now(), true)
		o.finishTask(tk, task.EventSucceed, errkind.None, "", done)
	case wire.TaskFailed:
		o.tables.IngestAttemptEnd(tk, o.cfg.Clock.Now(), false)
		o.taskFailed(tk, ev, done)
	case wire.TaskCheckpointed:
		o.tables.Update(tk, func(t *tables.Task) { applyCheckpoint(&t.Record, ev) })
		o.markDirty(tk, false, done)
	case wire.TaskStopped:
		o.stopReported(tk, ev, done)
	default:
		done(nil)
	}
}

// MaxFailedVMs is the number of distinct VMs on which a task may fail before it is parked.
const MaxFailedVMs = 3

func (o *Owner) taskFailed(tk *tables.Task, ev *wire.TaskEvent, done func(error)) {
	rec := &tk.Record
	if !contains(rec.FailedVMs, ev.VM) {
		rec.FailedVMs = append(rec.FailedVMs, ev.VM)
	}
	if len(rec.FailedVMs) >= MaxFailedVMs {
		o.finishTask(tk, task.EventPark, ev.Reason, ev.Detail, done)
		return
	}
	o.tables.Update(tk, func(t *tables.Task) { t.Record.Reason, t.Record.Detail = ev.Reason, ev.Detail })
	o.requeue(tk, done)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Cancel stages cancellations. done is called once for each id with its outcome.
func (o *Owner) Cancel(ctx context.Context, customer string, ids []string, done func(string, error)) {
	notHeld := o.checkHeld()
	for _, id := range ids {
		tk, ok := o.tables.Tasks[id]
		switch {
		case o.drained:
			done(id, errkind.New(errkind.NotOwner, "shard %s is being released", o.cfg.Shard))
		case notHeld != nil:
			done(id, notHeld)
		case !ok || (customer != "" && tk.Record.Spec.Customer != customer):
			done(id, errkind.New(errkind.NotFound, "task %s", id))
		case tk.Record.State == task.Cancelled:
			// The commit of an earlier cancellation may still be pending, and can fail.
			o.whenDurable(id, func(err error) { done(id, err) })
		case task.Terminal(tk.Record.State):
			done(id, errkind.New(errkind.Conflict, "task %s is %s", id, tk.Record.State))
		default:
			o.cancel(ctx, tk, done)
		}
	}
}

func (o *Owner) cancel(ctx context.Context, tk *tables.Task, done func(string, error)) {
	id, vm, attempt, held := tk.Record.Spec.ID, tk.Record.VM, tk.Record.Attempt, tables.OccupiesVM(tk.Record.State)
	o.finishTask(tk, task.EventCancel, errkind.Cancelled, "", func(err error) {
		if err == nil && held {
			o.stopAttempt(ctx, vm, id, attempt, wire.StopCancel, nil)
		}
		done(id, err)
	})
}

// RecordAccepted records the acknowledgement of a submission for the history checker.
func (o *Owner) RecordAccepted(id string) {
	o.cfg.Recorder.Record(history.Event{Kind: history.TaskAccepted, Task: id})
}
