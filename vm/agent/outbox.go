package agent

import (
	"context"
	"sync"

	"github.com/chicorystand/chicorystand/wire"
)

// outbox keeps task events until the owner has acknowledged them. The events of one task are sent
// in order and one at a time, so that a delayed retry of an older event cannot arrive after a newer one.
type outbox struct {
	send    func(context.Context, *wire.TaskEvent) error
	onAcked func(*wire.TaskEvent)

	mu     sync.Mutex
	queues map[string]*eventQueue
}

type eventQueue struct {
	events  []*wire.TaskEvent
	sending bool
}

func newOutbox(send func(context.Context, *wire.TaskEvent) error, acked func(*wire.TaskEvent)) *outbox {
	return &outbox{send: send, onAcked: acked, queues: make(map[string]*eventQueue)}
}

// post queues an event and starts sending. Any event replaces unsent checkpoints of its task. The
// end of an attempt is queued once; later events of that attempt are dropped.
func (o *outbox) post(ctx context.Context, ev *wire.TaskEvent) {
	o.mu.Lock()
	q, ok := o.queues[ev.ID]
	if !ok {
		q = &eventQueue{}
		o.queues[ev.ID] = q
	}
	if !q.hasEndEvent(ev.Attempt) {
		q.dropUnsentCheckpoints()
		q.events = append(q.events, ev)
	}
	o.mu.Unlock()
	o.startSending(ctx, ev.ID)
}

func (q *eventQueue) hasEndEvent(attempt uint32) bool {
	for _, e := range q.events {
		if e.Attempt == attempt && e.Event != wire.TaskCheckpointed {
			return true
		}
	}
	return false
}

func (q *eventQueue) dropUnsentCheckpoints() {
	first := 0
	if q.sending {
		first = 1
	}
	for len(q.events) > first && q.events[len(q.events)-1].Event == wire.TaskCheckpointed {
		q.events = q.events[:len(q.events)-1]
	}
}

// startSending sends the queued events of a task unless they are being sent already.
func (o *outbox) startSending(ctx context.Context, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[id]
	if !ok || q.sending || len(q.events) == 0 {
		return
	}
	q.sending = true
	go o.sendQueued(ctx, id, q)
}

func (o *outbox) sendQueued(ctx context.Context, id string, q *eventQueue) {
	for {
		o.mu.Lock()
		if len(q.events) == 0 {
			q.sending = false
			delete(o.queues, id)
			o.mu.Unlock()
			return
		}
		head := q.events[0]
		o.mu.Unlock()
		err := o.send(ctx, head)
		o.mu.Lock()
		if err != nil {
			q.sending = false
			o.mu.Unlock()
			return
		}
		q.events = q.events[1:]
		o.mu.Unlock()
		o.onAcked(head)
	}
}

// flush retries every unacknowledged event.
func (o *outbox) flush(ctx context.Context) {
	o.mu.Lock()
	ids := make([]string, 0, len(o.queues))
	for id := range o.queues {
		ids = append(ids, id)
	}
	o.mu.Unlock()
	for _, id := range ids {
		o.startSending(ctx, id)
	}
}

// endEvent returns the queued event that ends the attempt, or nil.
func (o *outbox) endEvent(id string, attempt uint32) *wire.TaskEvent {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[id]
	if !ok {
		return nil
	}
	for _, e := range q.events {
		if e.Attempt == attempt && e.Event != wire.TaskCheckpointed {
			return e
		}
	}
	return nil
}

// empty reports whether every event has been acknowledged.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queues) == 0
}
