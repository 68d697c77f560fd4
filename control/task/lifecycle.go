package task

import (
	"context"

	"github.com/looplab/fsm"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// States of a task. Terminal states are never left.
const (
	Pending   = "pending"
	Assigned  = "assigned"
	Running   = "running"
	Suspended = "suspended"
	Parked    = "parked"
	Succeeded = "succeeded"
	Failed    = "failed"
	Cancelled = "cancelled"
	Rejected  = "rejected"
)

// Events of the life cycle.
const (
	EventAssign  = "assign"
	EventStart   = "start"
	EventSuspend = "suspend"
	EventResume  = "resume"
	EventRequeue = "requeue"
	EventPark    = "park"
	EventUnpark  = "unpark"
	EventSucceed = "succeed"
	EventFail    = "fail"
	EventCancel  = "cancel"
	EventReject  = "reject"
)

var transitions = fsm.Events{
	{Name: EventAssign, Src: []string{Pending}, Dst: Assigned},
	{Name: EventStart, Src: []string{Assigned}, Dst: Running},
	{Name: EventSuspend, Src: []string{Running, Assigned}, Dst: Suspended},
	{Name: EventResume, Src: []string{Suspended}, Dst: Running},
	{Name: EventRequeue, Src: []string{Assigned, Running, Suspended}, Dst: Pending},
	{Name: EventPark, Src: []string{Pending, Assigned, Running, Suspended}, Dst: Parked},
	{Name: EventUnpark, Src: []string{Parked}, Dst: Pending},
	{Name: EventSucceed, Src: []string{Assigned, Running, Suspended}, Dst: Succeeded},
	{Name: EventFail, Src: []string{Pending, Assigned, Running, Suspended, Parked}, Dst: Failed},
	{Name: EventCancel, Src: []string{Pending, Assigned, Running, Suspended, Parked}, Dst: Cancelled},
	{Name: EventReject, Src: []string{Pending}, Dst: Rejected},
}

// Terminal reports whether the state is terminal.
func Terminal(state string) bool {
	switch state {
	case Succeeded, Failed, Cancelled, Rejected:
		return true
	}
	return false
}

// Next returns the state after event, or errkind.Conflict when the life cycle
// does not allow the event in this state.
func Next(state, event string) (string, error) {
	m := fsm.NewFSM(state, transitions, nil)
	if err := m.Event(context.Background(), event); err != nil {
		return state, errkind.Wrap(errkind.Conflict, err, "event %q in state %q", event, state)
	}
	return m.Current(), nil
}

// Apply applies the event to the record's state. The record is unchanged on error.
func (r *Record) Apply(event string) error {
	next, err := Next(r.State, event)
	if err != nil {
		return err
	}
	r.State = next
	return nil
}
