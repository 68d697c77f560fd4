package shard

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/history"
	"github.com/chicorystand/chicorystand/lease"
	"github.com/chicorystand/chicorystand/plan"
	"github.com/chicorystand/chicorystand/scheduler/tables"
	"github.com/chicorystand/chicorystand/task"
	"github.com/chicorystand/chicorystand/wire"
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Announce adds an agent to the shard and reconciles its ledger with the records.
func (o *Owner) Announce(ctx context.Context, m *wire.Announce, c Caller) *wire.AnnounceReply {
	if old, ok := o.agents[m.VM]; ok && old.caller != c {
		go old.caller.Close()
	}
	o.agents[m.VM] = &agentLink{caller: c, upstream: wire.Upstream{
		VM: m.VM, Incarnation: m.Incarnation, Zone: m.Zone, Service: m.Service, Slots: m.Slots,
		Conns: m.Conns, DataAddr: m.DataAddr, Draining: m.Draining,
	}}
	o.tables.PutVM(&tables.VM{
		ID: m.VM, Incarnation: m.Incarnation, Zone: m.Zone, Rack: m.Rack, Capacity: m.Capacity, Service: m.Service,
		ServiceHeld: m.ServiceHeld, Draining: m.Draining, Connected: true,
		GrantedUntil: o.cfg.Clock.Now() + lease.ObserverWait(lease.GrantTTL),
	})
	o.reconcile(ctx, m)
	o.publishMembers()
	return &wire.AnnounceReply{Shard: o.cfg.Shard, Epoch: o.cfg.Epoch}
}

// reconcile compares the agent's full ledger with the records: attempts the
// records do not know are stopped, recorded attempts the agent lacks are requeued.
func (o *Owner) reconcile(ctx context.Context, m *wire.Announce) {
	present := make(map[string]bool, len(m.Tasks))
	for _, st := range m.Tasks {
		tk, ok := o.tables.Tasks[st.ID]
		if ok && tk.Record.VM == m.VM && tk.Record.Attempt == st.Attempt && tables.Holds(tk.Record.State) {
			present[st.ID] = true
			o.tables.Update(tk, func(t *tables.Task) { t.Record.State = task.Running })
			continue
		}
		o.stop(ctx, m.VM, st.ID, st.Attempt, wire.StopCancel, nil)
	}
	for _, tk := range o.tables.Tasks {
		if tk.Record.VM == m.VM && tables.Holds(tk.Record.State) && !present[tk.Record.Spec.ID] {
			o.fenceAndRequeue(ctx, tk)
		}
	}
}

// fenceAndRequeue makes the agent refuse the attempt before the task is started elsewhere.
func (o *Owner) fenceAndRequeue(ctx context.Context, tk *tables.Task) {
	attempt := tk.Record.Attempt
	o.stop(ctx, tk.Record.VM, tk.Record.Spec.ID, attempt, wire.StopCancel, func(*wire.TaskEvent) {
		if tk.Record.Attempt == attempt && tables.Holds(tk.Record.State) {
			o.requeue(tk)
		}
	})
}

// Heartbeat answers with a grant while the shard lease is held.
func (o *Owner) Heartbeat(vm string, m *wire.Heartbeat) (*wire.Grant, error) {
	v, ok := o.tables.VMs[vm]
	if !ok || !v.Connected {
		return nil, errkind.New(errkind.NotOwner, "VM %s is not announced", vm)
	}
	if o.lost || !o.cfg.Valid() {
		return nil, errkind.New(errkind.NotOwner, "shard %s is not held", o.cfg.Shard)
	}
	v.Load = float64(m.LoadPermille) / 1000
	v.Tail = float64(m.TailPermille) / 1000
	v.GrantedUntil = o.cfg.Clock.Now() + lease.ObserverWait(lease.GrantTTL)
	return &wire.Grant{Seq: m.Seq, Epoch: o.cfg.Epoch, TTLMS: uint32(lease.GrantTTL.Milliseconds()), ConfigGen: o.doc.Generation}, nil
}

// Disconnected marks the VM of a lost control connection.
func (o *Owner) Disconnected(vm string, c Caller) {
	l, ok := o.agents[vm]
	if !ok || l.caller != c {
		return
	}
	delete(o.agents, vm)
	o.tables.VMs[vm].Connected = false
	o.publishMembers()
}

// SetDraining records that an upstream is leaving and evicts its batch tasks.
func (o *Owner) SetDraining(ctx context.Context, vm string, draining bool) {
	v, ok := o.tables.VMs[vm]
	if !ok {
		return
	}
	v.Draining = draining
	if l, ok := o.agents[vm]; ok {
		l.upstream.Draining = draining
	}
	o.publishMembers()
	if !draining {
		return
	}
	for id := range v.Tasks {
		o.evict(ctx, o.tables.Tasks[id], errkind.Draining)
	}
}

func (o *Owner) publishMembers() {
	o.memberVer++
	if o.cfg.OnMembers != nil {
		o.cfg.OnMembers(o.Members())
	}
}

// Members returns the membership list.
func (o *Owner) Members() wire.Members {
	m := wire.Members{Digest: wire.ShardDigest{Shard: o.cfg.Shard, Epoch: o.cfg.Epoch, Version: o.memberVer}}
	for _, l := range o.agents {
		if l.upstream.Service != "" {
			m.Upstreams = append(m.Upstreams, l.upstream)
		}
	}
	return m
}

// SetConfig applies a configuration and pushes it to the agents.
func (o *Owner) SetConfig(ctx context.Context, doc plan.Document) {
	if doc.Generation < o.doc.Generation {
		return
	}
	o.doc = doc
	o.tables.SetLimits(doc)
	for vm := range o.agents {
		o.pushConfig(ctx, vm)
	}
}

// pushConfig sends the configuration to an agent until the agent acknowledges it,
// its connection ends, or a newer generation is pushed.
func (o *Owner) pushConfig(ctx context.Context, vm string) {
	l, ok := o.agents[vm]
	if !ok || o.doc.Generation == 0 {
		return
	}
	msg := &wire.ConfigPush{Generation: o.doc.Generation, Limits: o.doc.Limits}
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
		return false // The connection is closed; the next announcement pushes again.
	}
	obsolete := false
	if o.Do(ctx, func() {
		if err == nil {
			l.configGen = max(l.configGen, msg.Generation)
		}
		obsolete = o.agents[vm] != l || msg.Generation < o.doc.Generation
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

// ConfigPushAll pushes the configuration in force to one agent, after it announced itself.
func (o *Owner) ConfigPushAll(ctx context.Context, vm string) { o.pushConfig(ctx, vm) }

// start asks the agent to run the recorded attempt.
func (o *Owner) start(ctx context.Context, tk *tables.Task) {
	l, ok := o.agents[tk.Record.VM]
	if !ok || tk.Record.State != task.Assigned {
		return
	}
	rec := tk.Record
	msg := &wire.StartTask{
		Epoch: o.cfg.Epoch, ID: rec.Spec.ID, Customer: rec.Spec.Customer, JobClass: rec.Spec.JobClass, Class: rec.Spec.Class,
		Attempt: rec.Attempt, Reserved: rec.Reserved, DurationMS: rec.Spec.Duration.Milliseconds(),
		ProgressMS: rec.Progress.Milliseconds(), Checkpoint: rec.Checkpoint,
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := l.caller.Call(ctx, msg)
		o.post(context.WithoutCancel(ctx), func() { o.started(tk, rec.Attempt, err) })
	}()
}

func (o *Owner) started(tk *tables.Task, attempt uint32, err error) {
	if tk.Record.Attempt != attempt || tk.Record.State != task.Assigned {
		return
	}
	switch errkind.Of(err) {
	case errkind.None:
		o.tables.Update(tk, func(t *tables.Task) { t.Record.State, t.Started = task.Running, o.cfg.Clock.Now() })
	case errkind.OutcomeUnknown, errkind.NotReady:
		// The attempt may run. The announcement after a reconnect, or the end of the VM's grant, decides.
		if l, ok := o.agents[tk.Record.VM]; ok {
			go l.caller.Close()
		}
	default:
		o.requeue(tk)
	}
}

// stop ends an attempt on a VM and passes the agent's answer to done on the owner's goroutine.
func (o *Owner) stop(ctx context.Context, vm, id string, attempt uint32, mode wire.StopMode, done func(*wire.TaskEvent)) {
	l, ok := o.agents[vm]
	if !ok {
		return
	}
	msg := &wire.StopTask{Epoch: o.cfg.Epoch, ID: id, Attempt: attempt, Mode: mode}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		m, err := l.caller.Call(callCtx, msg)
		ev, ok := m.(*wire.TaskEvent)
		if err != nil || !ok || done == nil {
			return
		}
		o.post(ctx, func() { done(ev) })
	}()
}

func (o *Owner) evict(ctx context.Context, tk *tables.Task, cause errkind.Kind) {
	attempt := tk.Record.Attempt
	o.stop(ctx, tk.Record.VM, tk.Record.Spec.ID, attempt, wire.StopEvict, func(ev *wire.TaskEvent) {
		if tk.Record.Attempt != attempt || !tables.Holds(tk.Record.State) {
			return
		}
		if o.cfg.OnEvict != nil {
			o.cfg.OnEvict(cause)
		}
		o.tables.Update(tk, func(t *tables.Task) {
			t.Record.Evictions++
			applyCheckpoint(&t.Record, ev)
		})
		o.requeue(tk)
	})
}

func applyCheckpoint(rec *task.Record, ev *wire.TaskEvent) {
	progress := time.Duration(ev.ProgressMS) * time.Millisecond
	if ev.Checkpoint != "" && progress >= rec.Progress {
		rec.Checkpoint, rec.Progress = ev.Checkpoint, progress
	}
}

// TaskEvent applies an agent's report; done is called when it may be acknowledged.
func (o *Owner) TaskEvent(ctx context.Context, ev *wire.TaskEvent, done func(error)) {
	tk, ok := o.tables.Tasks[ev.ID]
	if !ok || tk.Record.Attempt != ev.Attempt || tk.Record.VM != ev.VM || !tables.Holds(tk.Record.State) {
		// The report is about an attempt that the records have moved past.
		done(nil)
		return
	}
	switch ev.Event {
	case wire.TaskSucceeded:
		o.end(tk, task.EventSucceed, errkind.None, "", done)
	case wire.TaskFailed:
		o.failed(tk, ev, done)
	case wire.TaskCheckpointed:
		o.tables.Update(tk, func(t *tables.Task) { applyCheckpoint(&t.Record, ev) })
		o.markDirty(tk, false, done)
	default:
		done(nil)
	}
}

// MaxFailedVMs is the number of distinct VMs after which a failing task is parked.
const MaxFailedVMs = 3

func (o *Owner) failed(tk *tables.Task, ev *wire.TaskEvent, done func(error)) {
	rec := &tk.Record
	if !contains(rec.FailedVMs, ev.VM) {
		rec.FailedVMs = append(rec.FailedVMs, ev.VM)
	}
	if len(rec.FailedVMs) >= MaxFailedVMs {
		o.end(tk, task.EventPark, ev.Reason, ev.Detail, done)
		return
	}
	o.change(tk, task.EventRequeue, func(t *tables.Task) {
		t.Record.VM, t.Record.Reason, t.Record.Detail = "", ev.Reason, ev.Detail
		t.Reserved, t.Record.Reserved = task.Resources{}, task.Resources{}
	}, done)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Cancel stages cancellations. done is called once for each id.
func (o *Owner) Cancel(ctx context.Context, customer string, ids []string, done func(string, error)) {
	for _, id := range ids {
		tk, ok := o.tables.Tasks[id]
		switch {
		case !ok || (customer != "" && tk.Record.Spec.Customer != customer):
			done(id, errkind.New(errkind.NotFound, "task %s", id))
		case tk.Record.State == task.Cancelled:
			done(id, nil)
		case task.Terminal(tk.Record.State):
			done(id, errkind.New(errkind.Conflict, "task %s is %s", id, tk.Record.State))
		default:
			o.cancel(ctx, tk, done)
		}
	}
}

func (o *Owner) cancel(ctx context.Context, tk *tables.Task, done func(string, error)) {
	id, vm, attempt, held := tk.Record.Spec.ID, tk.Record.VM, tk.Record.Attempt, tables.Holds(tk.Record.State)
	o.end(tk, task.EventCancel, errkind.Cancelled, "", func(err error) {
		if err == nil && held {
			o.stop(ctx, vm, id, attempt, wire.StopCancel, nil)
		}
		done(id, err)
	})
}

// Lookup returns records and the reasons why pending tasks wait.
func (o *Owner) Lookup(customer string, ids []string, limit int) *wire.LookupReply {
	reply := &wire.LookupReply{}
	add := func(tk *tables.Task) {
		if customer != "" && tk.Record.Spec.Customer != customer {
			return
		}
		reply.Records = append(reply.Records, tk.Record)
		if tk.Record.State == task.Pending {
			reply.Waiting = append(reply.Waiting, wire.TaskResult{ID: tk.Record.Spec.ID, Kind: tk.Waiting})
		}
	}
	if len(ids) > 0 {
		for _, id := range ids {
			if tk, ok := o.tables.Tasks[id]; ok {
				add(tk)
			}
		}
		return reply
	}
	for _, tk := range o.tables.Tasks {
		if len(reply.Records) >= limit {
			break
		}
		add(tk)
	}
	return reply
}

// RecordAccepted records the acknowledgement of a submission for the history checker.
func (o *Owner) RecordAccepted(id string) {
	o.cfg.Recorder.Record(history.Event{Kind: history.TaskAccepted, Task: id})
}
