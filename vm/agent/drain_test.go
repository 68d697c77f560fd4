package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// send passes a message to the agent, as its connections do, and returns the kind of the reply.
func send(t *testing.T, a *Agent, m wire.Message) errkind.Kind {
	t.Helper()
	var got wire.Message
	a.handleData(t.Context(), m, func(r wire.Message) { got = r })
	if e, ok := got.(*wire.Error); ok {
		return e.Kind
	}
	return errkind.None
}

// Guards against a planned stop that leaves the upstream in service and cuts off requests, because an operator's start arrived meanwhile.
func TestStartDoesNotUndoAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTaskAgent(t, &slowObjects{delays: []time.Duration{5 * time.Second}})
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { a.Leave(ctx); close(stopped) }()
		defer func() { cancel(); time.Sleep(10 * time.Second) }()
		time.Sleep(time.Second)
		kind := send(t, a, &wire.Drain{VM: "vm", Undo: true})
		synctest.Wait()
		select {
		case <-stopped:
			t.Fatal("the stop has ended before the drain")
		default:
		}
		assert.Assert(t, a.gate.Draining())
		assert.Equal(t, kind, errkind.Conflict)
	})
}
