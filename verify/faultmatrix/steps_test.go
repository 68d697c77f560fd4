package faultmatrix

import (
	"time"

	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// step is an operation of the system at which a fault is injected.
type step struct {
	name string
	// notBefore is the earliest time of the injection.
	notBefore time.Duration
	match     func(event, observations) bool
	// replyTo is the type of the step's call; 0 when the step has no call.
	replyTo wire.Type
	// replyWhen restricts which replies to that call type belong to the step.
	replyWhen func(observations) bool
	takeover  bool
	// noMessageReason explains why the step exchanges no message; empty when it exchanges one.
	noMessageReason string
}

func (s step) matchesReply(b observations) bool { return s.replyWhen == nil || s.replyWhen(b) }

// observations records what has happened up to an event. newOwner and requestRetried apply to the event alone.
type observations struct {
	// owners maps the key of each lease row to the host that wrote it last, and "request NAME" to "sent".
	owners         map[string]string
	newOwner       bool
	requestRetried bool
	resumed        bool
	stopped        bool
	finished       bool
	checkpointed   bool
}

func newObservations() *observations { return &observations{owners: make(map[string]string)} }

// observe records the event and returns the observations that include it.
func (s *observations) observe(e event) observations {
	out := *s
	out.newOwner, out.requestRetried = false, false
	if e.op != nil && e.op.txn != nil {
		for _, w := range e.op.txn.Writes {
			if len(w.Key) > len(shard.LeasePrefix) && w.Key[:len(shard.LeasePrefix)] == shard.LeasePrefix && !w.Delete {
				if last, ok := s.owners[w.Key]; ok && last != e.op.host {
					out.newOwner = true
				}
				s.owners[w.Key] = e.op.host
			}
		}
	}
	if e.msg == nil {
		return out
	}
	switch e.msg.typ {
	case wire.TypeRequest:
		var r wire.Request
		if e.msg.decode(&r) {
			_, out.requestRetried = s.owners["request "+r.Name]
			s.owners["request "+r.Name] = "sent"
		}
	case wire.TypeStartTask:
		var st wire.StartTask
		out.resumed = e.msg.decode(&st) && st.Attempt > 1
		s.resumed = s.resumed || out.resumed
	case wire.TypeTaskEvent:
		var ev wire.TaskEvent
		if e.msg.replyTo == 0 && e.msg.decode(&ev) {
			out.stopped, out.finished, out.checkpointed = ev.Event == wire.TaskStopped, ev.Event == wire.TaskSucceeded, ev.Event == wire.TaskCheckpointed
			s.stopped, s.finished, s.checkpointed = s.stopped || out.stopped, s.finished || out.finished, s.checkpointed || out.checkpointed
		}
	}
	return out
}

func matchCall(t wire.Type) func(event, observations) bool {
	return func(e event, _ observations) bool { return e.isCall(t) }
}

func matchStateWrite(state string) func(event, observations) bool {
	return func(e event, _ observations) bool { return e.op != nil && e.op.writesState(state) }
}

func matchRowWrite(prefix string) func(event, observations) bool {
	return func(e event, _ observations) bool { return e.op != nil && e.op.writesPrefix(prefix) }
}

const (
	reasonOneTransaction = "the step is one store transaction and exchanges no message between the system's processes"
	reasonInMemory       = "the step is a decision in the memory of one process and exchanges no message"
)

// steps lists the rows of docs/fault-matrix.md.
var steps = []step{
	{name: "submit", notBefore: submitAt, match: matchCall(wire.TypeSubmit), replyTo: wire.TypeSubmit},
	{name: "assign", notBefore: submitAt, match: matchStateWrite(task.Assigned), noMessageReason: reasonOneTransaction},
	{name: "start", notBefore: submitAt, match: matchCall(wire.TypeStartTask), replyTo: wire.TypeStartTask},
	{name: "renew", notBefore: submitAt + 3*time.Second, match: matchCall(wire.TypeHeartbeat), replyTo: wire.TypeHeartbeat},
	{name: "checkpoint", notBefore: submitAt, match: func(e event, s observations) bool { return e.isCall(wire.TypeTaskEvent) && s.checkpointed },
		replyTo: wire.TypeTaskEvent, replyWhen: func(s observations) bool { return s.checkpointed }},
	{name: "evict", notBefore: drainAt, match: func(e event, s observations) bool { return e.isCall(wire.TypeTaskEvent) && s.stopped },
		replyTo: wire.TypeTaskEvent, replyWhen: func(s observations) bool { return s.stopped }},
	{name: "resume", notBefore: drainAt, match: func(e event, s observations) bool { return e.isCall(wire.TypeStartTask) && s.resumed },
		replyTo: wire.TypeStartTask, replyWhen: func(s observations) bool { return s.resumed }},
	{name: "complete", notBefore: submitAt, match: func(e event, s observations) bool { return e.isCall(wire.TypeTaskEvent) && s.finished },
		replyTo: wire.TypeTaskEvent, replyWhen: func(s observations) bool { return s.finished }},
	{name: "cancel", notBefore: cancelAt, match: matchCall(wire.TypeStopTask), replyTo: wire.TypeStopTask},
	{name: "route", notBefore: requestsAt, match: matchCall(wire.TypeRequest), noMessageReason: reasonInMemory},
	{name: "queue", notBefore: burstAt, match: func(e event, _ observations) bool { return e.marker == "burst" }, noMessageReason: reasonInMemory},
	{name: "send", notBefore: requestsAt + 5*time.Second, match: matchCall(wire.TypeRequest), replyTo: wire.TypeRequest},
	{name: "answer", notBefore: requestsAt + 5*time.Second, match: func(e event, _ observations) bool { return e.isReply(wire.TypeRequest) }, replyTo: wire.TypeRequest},
	{name: "retry", notBefore: requestsAt, match: func(e event, s observations) bool { return e.isCall(wire.TypeRequest) && s.requestRetried }, replyTo: wire.TypeRequest,
		replyWhen: func(observations) bool { return true }},
	{name: "announce", notBefore: joinAt, match: matchCall(wire.TypeAnnounce), replyTo: wire.TypeAnnounce},
	{name: "drain", notBefore: drainAt, match: matchCall(wire.TypeDrain)},
	{name: "leave", notBefore: drainAt, match: func(e event, _ observations) bool { return e.marker == "leave" }, noMessageReason: "the agent leaves by closing its connections"},
	{name: "acquire", match: matchRowWrite(shard.LeasePrefix), noMessageReason: reasonOneTransaction},
	{name: "take over", notBefore: takeoverAt, takeover: true, match: func(_ event, s observations) bool { return s.newOwner }, noMessageReason: reasonOneTransaction},
	{name: "rebuild", notBefore: takeoverAt, takeover: true, match: func(e event, _ observations) bool {
		return e.op != nil && len(e.op.scanPrefix) > 5 && e.op.scanPrefix[:5] == "task/"
	}, noMessageReason: "the new owner reads the store and exchanges no message"},
	{name: "propose", notBefore: secondConfigAt, match: matchRowWrite("config/"), noMessageReason: reasonOneTransaction},
	{name: "accept", notBefore: secondConfigAt, match: matchRowWrite("config/current"), noMessageReason: reasonOneTransaction},
	{name: "propagate", notBefore: secondConfigAt, match: matchCall(wire.TypeConfigPush), replyTo: wire.TypeConfigPush},
}
