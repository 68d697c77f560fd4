package faultmatrix

import (
	"time"

	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// step is a point of the system's work at which a fault begins.
type step struct {
	name string
	// from is the earliest time in the scenario.
	from  time.Duration
	match func(event, seenBefore) bool
	// reply is the type of the step's call; 0 when the step has no message.
	reply wire.Type
	// replyWhen limits the answers to those after the step's call.
	replyWhen func(seenBefore) bool
	takeover  bool
	// local explains why the step exchanges no message; empty when it does.
	local string
}

func (s step) replyOf(b seenBefore) bool { return s.replyWhen == nil || s.replyWhen(b) }

// seenBefore is what had happened before an event.
type seenBefore struct {
	owners   map[string]string
	newOwner bool
	retry    bool
	resumed  bool
	stopped  bool
	finished bool
	checked  bool
}

func newSeen() *seenBefore { return &seenBefore{owners: make(map[string]string)} }

// note records the event and returns what it means.
func (s *seenBefore) note(e event) seenBefore {
	out := *s
	out.newOwner, out.retry = false, false
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
			_, out.retry = s.owners["request "+r.Name]
			s.owners["request "+r.Name] = "sent"
		}
	case wire.TypeStartTask:
		var st wire.StartTask
		out.resumed = e.msg.decode(&st) && st.Attempt > 1
		s.resumed = s.resumed || out.resumed
	case wire.TypeTaskEvent:
		var ev wire.TaskEvent
		if e.msg.call == 0 && e.msg.decode(&ev) {
			out.stopped, out.finished, out.checked = ev.Event == wire.TaskStopped, ev.Event == wire.TaskSucceeded, ev.Event == wire.TaskCheckpointed
			s.stopped, s.finished, s.checked = s.stopped || out.stopped, s.finished || out.finished, s.checked || out.checked
		}
	}
	return out
}

func onCall(t wire.Type) func(event, seenBefore) bool {
	return func(e event, _ seenBefore) bool { return e.isCall(t) }
}

func onState(state string) func(event, seenBefore) bool {
	return func(e event, _ seenBefore) bool { return e.op != nil && e.op.writesState(state) }
}

func onWrite(prefix string) func(event, seenBefore) bool {
	return func(e event, _ seenBefore) bool { return e.op != nil && e.op.writes(prefix) }
}

const (
	oneTransaction = "the step is one store transaction and exchanges no message between the system's processes"
	inMemory       = "the step is a decision in the memory of one process and exchanges no message"
)

// steps in the order of the page.
var steps = []step{
	{name: "submit", from: submitAt, match: onCall(wire.TypeSubmit), reply: wire.TypeSubmit},
	{name: "assign", from: submitAt, match: onState(task.Assigned), local: oneTransaction},
	{name: "start", from: submitAt, match: onCall(wire.TypeStartTask), reply: wire.TypeStartTask},
	{name: "renew", from: submitAt + 3*time.Second, match: onCall(wire.TypeHeartbeat), reply: wire.TypeHeartbeat},
	{name: "checkpoint", from: submitAt, match: func(e event, s seenBefore) bool { return e.isCall(wire.TypeTaskEvent) && s.checked },
		reply: wire.TypeTaskEvent, replyWhen: func(s seenBefore) bool { return s.checked }},
	{name: "evict", from: drainAt, match: func(e event, s seenBefore) bool { return e.isCall(wire.TypeTaskEvent) && s.stopped },
		reply: wire.TypeTaskEvent, replyWhen: func(s seenBefore) bool { return s.stopped }},
	{name: "resume", from: drainAt, match: func(e event, s seenBefore) bool { return e.isCall(wire.TypeStartTask) && s.resumed },
		reply: wire.TypeStartTask, replyWhen: func(s seenBefore) bool { return s.resumed }},
	{name: "complete", from: submitAt, match: func(e event, s seenBefore) bool { return e.isCall(wire.TypeTaskEvent) && s.finished },
		reply: wire.TypeTaskEvent, replyWhen: func(s seenBefore) bool { return s.finished }},
	{name: "cancel", from: cancelAt, match: onCall(wire.TypeStopTask), reply: wire.TypeStopTask},
	{name: "route", from: requestsAt, match: onCall(wire.TypeRequest), local: inMemory},
	{name: "queue", from: burstAt, match: func(e event, _ seenBefore) bool { return e.mark == "burst" }, local: inMemory},
	{name: "send", from: requestsAt + 5*time.Second, match: onCall(wire.TypeRequest), reply: wire.TypeRequest},
	{name: "answer", from: requestsAt + 5*time.Second, match: func(e event, _ seenBefore) bool { return e.isReply(wire.TypeRequest) }, reply: wire.TypeRequest},
	{name: "retry", from: requestsAt, match: func(e event, s seenBefore) bool { return e.isCall(wire.TypeRequest) && s.retry }, reply: wire.TypeRequest,
		replyWhen: func(seenBefore) bool { return true }},
	{name: "announce", from: joinAt, match: onCall(wire.TypeAnnounce), reply: wire.TypeAnnounce},
	{name: "drain", from: drainAt, match: onCall(wire.TypeDrain)},
	{name: "leave", from: drainAt, match: func(e event, _ seenBefore) bool { return e.mark == "leave" }, local: "the agent leaves by closing its connections"},
	{name: "acquire", match: onWrite(shard.LeasePrefix), local: oneTransaction},
	{name: "take over", from: takeoverAt, takeover: true, match: func(_ event, s seenBefore) bool { return s.newOwner }, local: oneTransaction},
	{name: "rebuild", from: takeoverAt, takeover: true, match: func(e event, _ seenBefore) bool {
		return e.op != nil && len(e.op.scan) > 5 && e.op.scan[:5] == "task/"
	}, local: "the new owner reads the store and exchanges no message"},
	{name: "propose", from: changeAt, match: onWrite("config/"), local: oneTransaction},
	{name: "accept", from: changeAt, match: onWrite("config/current"), local: oneTransaction},
	{name: "propagate", from: changeAt, match: onCall(wire.TypeConfigPush), reply: wire.TypeConfigPush},
}
