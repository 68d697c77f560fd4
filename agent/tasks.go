package agent

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/history"
	"github.com/chicorystand/chicorystand/ledger"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/task"
	"github.com/chicorystand/chicorystand/wire"
)

// outboxInterval separates repeats of unacknowledged task events.
const outboxInterval = 2 * time.Second

func (a *Agent) handleControl(ctx context.Context, m wire.Message, reply wire.Reply) {
	switch msg := m.(type) {
	case *wire.StartTask:
		reply(ackOrError(a.startTask(msg)))
	case *wire.StopTask:
		go func() { reply(a.stopTask(msg)) }()
	case *wire.ConfigPush:
		a.gate.Raise(msg.Generation)
		a.cfg.Recorder.Record(history.Event{Kind: history.ConfigInForce, Process: a.cfg.VM, Generation: a.gate.Generation()})
		reply(&wire.Ack{})
	default:
		a.handleData(ctx, m, reply)
	}
}

func ackOrError(err error) wire.Message {
	if err != nil {
		return wire.ErrorReply(err)
	}
	return &wire.Ack{}
}

func (a *Agent) startTask(m *wire.StartTask) error {
	if a.gate.Draining() {
		return errkind.New(errkind.Draining, "VM %s is draining", a.cfg.VM)
	}
	if err := a.ledger.Admit(m.Epoch, ledger.Entry{ID: m.ID, Attempt: m.Attempt, Reserved: m.Reserved}); err != nil {
		return err
	}
	err := a.cfg.Worker.Start(platform.Start{
		ID: m.ID, Customer: m.Customer, JobClass: m.JobClass, Class: m.Class, Attempt: m.Attempt, Reserved: m.Reserved,
		Duration: time.Duration(m.DurationMS) * time.Millisecond, Progress: time.Duration(m.ProgressMS) * time.Millisecond,
		Checkpoint: m.Checkpoint,
	})
	if err != nil {
		a.ledger.End(m.ID, m.Attempt)
	}
	a.recordCommitment()
	return err
}

func (a *Agent) recordCommitment() {
	a.cfg.Recorder.Record(history.Event{Kind: history.Commitment, VM: a.cfg.VM, Reserved: a.ledger.Reserved(), Capacity: a.ledger.Capacity()})
}

// stopTask ends an attempt and answers with a TaskEvent that carries the last checkpoint.
func (a *Agent) stopTask(m *wire.StopTask) wire.Message {
	if !a.ledger.Observe(m.Epoch) {
		return wire.ErrorReply(errkind.New(errkind.StaleEpoch, "epoch %d", m.Epoch))
	}
	ev := &wire.TaskEvent{VM: a.cfg.VM, ID: m.ID, Attempt: m.Attempt, Event: wire.TaskStopped}
	if m.Mode == wire.StopEvict {
		if cp, err := a.cfg.Worker.Checkpoint(m.ID, m.Attempt); err == nil {
			ev.Checkpoint, ev.ProgressMS = cp.Ref, cp.Progress.Milliseconds()
		}
	}
	a.cfg.Worker.Stop(m.ID, m.Attempt)
	a.ledger.End(m.ID, m.Attempt)
	a.recordCommitment()
	return ev
}

// taskLoop reports finished attempts and takes periodic checkpoints.
func (a *Agent) taskLoop(ctx context.Context) {
	retry := time.NewTicker(outboxInterval)
	defer retry.Stop()
	var checkpoints <-chan time.Time
	if a.cfg.CheckpointInterval > 0 {
		t := time.NewTicker(a.cfg.CheckpointInterval)
		defer t.Stop()
		checkpoints = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.cfg.Worker.Finished():
			a.finished(ctx, f)
		case <-retry.C:
			a.flushOutbox(ctx)
		case <-checkpoints:
			a.checkpointAll(ctx)
		}
	}
}

func (a *Agent) finished(ctx context.Context, f platform.Finished) {
	a.ledger.End(f.ID, f.Attempt)
	a.recordCommitment()
	ev := &wire.TaskEvent{VM: a.cfg.VM, ID: f.ID, Attempt: f.Attempt, Event: wire.TaskSucceeded}
	if f.Err != nil {
		ev.Event, ev.Reason, ev.Detail = wire.TaskFailed, errkind.Of(f.Err), f.Err.Error()
	}
	a.post(ctx, ev)
}

func (a *Agent) checkpointAll(ctx context.Context) {
	for _, r := range a.cfg.Worker.List() {
		if r.Class != task.Batch || r.Suspended {
			continue
		}
		if cp, err := a.cfg.Worker.Checkpoint(r.ID, r.Attempt); err == nil {
			a.post(ctx, &wire.TaskEvent{VM: a.cfg.VM, ID: r.ID, Attempt: r.Attempt, Event: wire.TaskCheckpointed,
				Checkpoint: cp.Ref, ProgressMS: cp.Progress.Milliseconds()})
		}
	}
}

// post queues an event until the owner acknowledges it and sends it at once.
func (a *Agent) post(ctx context.Context, ev *wire.TaskEvent) {
	key := outboxKey{ev.ID, ev.Attempt, ev.Event}
	a.mu.Lock()
	a.outbox[key] = ev
	a.mu.Unlock()
	go a.send(ctx, key, ev)
}

func (a *Agent) flushOutbox(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, ev := range a.outbox {
		go a.send(ctx, key, ev)
	}
}

func (a *Agent) send(ctx context.Context, key outboxKey, ev *wire.TaskEvent) {
	a.mu.Lock()
	owner := a.owner
	a.mu.Unlock()
	if owner == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, outboxInterval)
	defer cancel()
	if _, err := owner.Call(ctx, ev); err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outbox[key] == ev {
		delete(a.outbox, key)
	}
}
