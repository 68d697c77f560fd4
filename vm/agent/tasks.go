package agent

import (
	"context"
	"slices"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/ledger"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/vm/worker"
	"github.com/chicorystand/chicorystand/wire"
)

// Timing of task events.
const (
	// outboxInterval is the retry interval of unacknowledged task events.
	outboxInterval = 2 * time.Second
	// eventTimeout bounds the wait for an acknowledgement. It exceeds the owner's commit time on a
	// slow store.
	eventTimeout = 10 * time.Second
)

func (a *Agent) handleControl(ctx context.Context, p *wire.Peer, m wire.Message, reply wire.Reply) {
	switch msg := m.(type) {
	case *wire.StartTask:
		reply(ackOrError(a.startTask(p, msg)))
	case *wire.StopTask:
		go func() { reply(a.stopTask(msg)) }()
	case *wire.ResizeTask:
		reply(ackOrError(a.resizeTask(p, msg)))
	case *wire.ConfigPush:
		a.applyConfig(msg)
		reply(&wire.Ack{})
	default:
		a.handleData(ctx, m, reply)
	}
}

// applyConfigGeneration puts a configuration generation into force. Several connections may deliver
// the same one.
func (a *Agent) applyConfigGeneration(generation uint64) {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	a.gate.RaiseGeneration(generation)
	a.cfg.Recorder.Record(history.Event{Kind: history.ConfigInForce, Process: a.cfg.VM, Generation: a.gate.MinGeneration()})
}

// applyConfig puts a configuration that the owner has pushed into force.
func (a *Agent) applyConfig(m *wire.ConfigPush) {
	a.configMu.Lock()
	if m.Generation >= a.zonesGeneration {
		a.zonesGeneration, a.evacuatedZones = m.Generation, m.EvacuatedZones
	}
	a.configMu.Unlock()
	a.applyConfigGeneration(m.Generation)
}

// evacuated reports whether the VM's zone is under evacuation.
func (a *Agent) evacuated() bool {
	a.configMu.Lock()
	defer a.configMu.Unlock()
	return slices.Contains(a.evacuatedZones, a.cfg.Zone)
}

func ackOrError(err error) wire.Message {
	if err != nil {
		return wire.ErrorReply(err)
	}
	return &wire.Ack{}
}

// startTask starts an attempt. Only the connection of the current session may start attempts: one
// that arrived late on an older connection would be missing from the announced ledger.
func (a *Agent) startTask(p *wire.Peer, m *wire.StartTask) error {
	a.startMu.Lock()
	defer a.startMu.Unlock()
	if a.control != p {
		return errkind.New(errkind.NotReady, "start order arrived on a replaced control connection")
	}
	if a.gate.Draining() {
		return errkind.New(errkind.Draining, "VM %s is draining", a.cfg.VM)
	}
	if a.evacuated() {
		return errkind.New(errkind.Draining, "zone %s is under evacuation", a.cfg.Zone)
	}
	a.interference.set(m.JobClass, m.InterferencePPM)
	if err := a.ledger.Admit(m.Epoch, ledger.Reservation{ID: m.ID, Attempt: m.Attempt, Reserved: m.Reserved}); err != nil {
		return err
	}
	err := a.cfg.Worker.Start(worker.Start{
		ID: m.ID, Customer: m.Customer, JobClass: m.JobClass, Class: m.Class, Attempt: m.Attempt, Reserved: m.Reserved, Declared: m.Declared,
		Duration: time.Duration(m.DurationMS) * time.Millisecond, Progress: time.Duration(m.ProgressMS) * time.Millisecond,
		Checkpoint: m.Checkpoint,
	})
	if err != nil {
		a.ledger.End(m.ID, m.Attempt, a.cfg.Clock.Now())
	}
	a.recordCommitment()
	return err
}

// resizeTask changes the reservation of a running attempt if the VM has enough free capacity. Only the
// connection of the current session may do so: an older one may deliver a value that was raised since.
func (a *Agent) resizeTask(p *wire.Peer, m *wire.ResizeTask) error {
	a.startMu.Lock()
	defer a.startMu.Unlock()
	if a.control != p {
		return errkind.New(errkind.NotReady, "resize order arrived on a replaced control connection")
	}
	err := a.ledger.Resize(m.Epoch, ledger.Reservation{ID: m.ID, Attempt: m.Attempt, Reserved: m.Reserved})
	a.recordCommitment()
	return err
}

// running returns the attempts on the worker with their reservations from the ledger.
func (a *Agent) running() []worker.Running {
	reserved := make(map[string]ledger.Reservation)
	for _, e := range a.ledger.Reservations() {
		reserved[e.ID] = e
	}
	out := a.cfg.Worker.List()
	for i, r := range out {
		if e, ok := reserved[r.ID]; ok && e.Attempt == r.Attempt {
			out[i].Reserved = e.Reserved
		}
	}
	return out
}

func (a *Agent) recordCommitment() {
	a.cfg.Recorder.Record(history.Event{Kind: history.Commitment, VM: a.cfg.VM, Reserved: a.ledger.Reserved(), Capacity: a.ledger.Capacity()})
}

// stopTask ends an attempt and replies with a TaskEvent: the result if the attempt has ended by
// itself, the agent's own eviction if that came first, otherwise the last checkpoint. An end that the
// order caused is reported as an event too: the owner may have taken back the order, or have been
// replaced, while the checkpoint was stored, and then discards the reply.
func (a *Agent) stopTask(m *wire.StopTask) wire.Message {
	if !a.ledger.ObserveEpoch(m.Epoch) {
		return wire.ErrorReply(errkind.New(errkind.StaleEpoch, "stop order has stale epoch %d", m.Epoch))
	}
	ev := &wire.TaskEvent{VM: a.cfg.VM, ID: m.ID, Attempt: m.Attempt, Event: wire.TaskStopped}
	if m.Mode == wire.StopEvict {
		if err := a.storeCheckpoint(ev); err != nil {
			return wire.ErrorReply(err)
		}
	}
	a.endMu.Lock()
	defer a.endMu.Unlock()
	held := a.ledger.Holds(m.ID, m.Attempt)
	if result := a.endAttempt(m.ID, m.Attempt); result != nil {
		return result
	}
	if posted := a.outbox.endEvent(m.ID, m.Attempt); posted != nil {
		return posted
	}
	if held {
		a.post(ev)
	}
	return ev
}

// storeCheckpoint stores a checkpoint of the attempt and records it in ev. It does nothing for an
// attempt that is not running.
func (a *Agent) storeCheckpoint(ev *wire.TaskEvent) error {
	cp, err := a.cfg.Worker.Checkpoint(ev.ID, ev.Attempt)
	switch errkind.Of(err) {
	case errkind.None:
		ev.Checkpoint, ev.ProgressMS = cp.Ref, cp.Progress.Milliseconds()
		return nil
	case errkind.NotFound:
		return nil
	}
	return err
}

// endAttempt stops an attempt permanently and releases its reservation. It returns the result if
// the attempt has ended by itself.
func (a *Agent) endAttempt(id string, attempt uint32) *wire.TaskEvent {
	a.cfg.Worker.Stop(id, attempt)
	a.ledger.End(id, attempt, a.cfg.Clock.Now())
	a.recordCommitment()
	for _, f := range a.cfg.Worker.Results() {
		if f.ID == id && f.Attempt == attempt {
			return a.resultEvent(f)
		}
	}
	return nil
}

// evict ends an attempt with a checkpoint, without an order from the owner, and reports it. The
// attempt keeps running if the checkpoint cannot be stored.
func (a *Agent) evict(id string, attempt uint32, reason errkind.Kind) error {
	ev := &wire.TaskEvent{VM: a.cfg.VM, ID: id, Attempt: attempt, Event: wire.TaskStopped, Reason: reason}
	if err := a.storeCheckpoint(ev); err != nil {
		return err
	}
	a.endMu.Lock()
	defer a.endMu.Unlock()
	if a.endAttempt(id, attempt) == nil {
		a.post(ev)
	}
	return nil
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
			a.handleFinished(ctx, f)
		case <-retry.C:
			a.outbox.flush(ctx)
		case <-checkpoints:
			a.checkpointAll()
		}
	}
}

func (a *Agent) handleFinished(ctx context.Context, f worker.Finished) {
	a.ledger.End(f.ID, f.Attempt, a.cfg.Clock.Now())
	a.recordCommitment()
	a.outbox.post(ctx, a.resultEvent(f))
}

func (a *Agent) resultEvent(f worker.Finished) *wire.TaskEvent {
	ev := &wire.TaskEvent{VM: a.cfg.VM, ID: f.ID, Attempt: f.Attempt, Event: wire.TaskSucceeded}
	if f.Err != nil {
		ev.Event, ev.Reason, ev.Detail = wire.TaskFailed, errkind.Of(f.Err), f.Err.Error()
	}
	return ev
}

// checkpointAll starts a checkpoint of every running batch attempt that has none in progress.
func (a *Agent) checkpointAll() {
	for _, r := range a.cfg.Worker.List() {
		if r.Class != task.Batch || r.Suspended || !a.beginCheckpoint(r.ID) {
			continue
		}
		go func() {
			defer a.endCheckpoint(r.ID)
			ev := &wire.TaskEvent{VM: a.cfg.VM, ID: r.ID, Attempt: r.Attempt, Event: wire.TaskCheckpointed}
			if err := a.storeCheckpoint(ev); err == nil && ev.Checkpoint != "" {
				a.post(ev)
			}
		}()
	}
}

func (a *Agent) beginCheckpoint(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checkpoints[id] {
		return false
	}
	a.checkpoints[id] = true
	return true
}

func (a *Agent) endCheckpoint(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.checkpoints, id)
}

// post sends an event and keeps it queued until the owner acknowledges it.
func (a *Agent) post(ev *wire.TaskEvent) {
	a.mu.Lock()
	ctx := a.ctx
	a.mu.Unlock()
	a.outbox.post(ctx, ev)
}

// sendEvent sends one event to the owner. The owner acknowledges it after its commit, which a store
// outage delays.
func (a *Agent) sendEvent(ctx context.Context, ev *wire.TaskEvent) error {
	a.mu.Lock()
	owner := a.owner
	a.mu.Unlock()
	if owner == nil {
		return errkind.New(errkind.NotReady, "no control connection to an owner")
	}
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	_, err := owner.Call(ctx, ev)
	return err
}

// eventAcked lets the worker drop a result that the owner has recorded.
func (a *Agent) eventAcked(ev *wire.TaskEvent) {
	if ev.Event == wire.TaskSucceeded || ev.Event == wire.TaskFailed {
		a.cfg.Worker.Acknowledge(ev.ID, ev.Attempt)
	}
}
