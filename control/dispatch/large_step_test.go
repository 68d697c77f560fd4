package dispatch

import (
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against a step of which nothing starts, and a lease that ends, as the starts exceed one message to the agent.
func TestStartsOfLargeStepAreSent(t *testing.T) {
	const tasks = 300
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(submission.Step{Count: tasks, Request: task.Resources{CPU: 10, Memory: 10}})
	s.Specification = strings.Repeat("x", submission.MaxSpecificationBytes)
	f.add(s)
	f.pass()

	near, far := net.Pipe()
	received := make(chan *wire.Orders, len(f.messages))
	receiver := wire.NewPeer(far, func(_ *wire.Peer, m wire.Message, _ wire.Reply) { received <- m.(*wire.Orders) })
	defer receiver.Close()
	sender := wire.NewPeer(near, nil)
	defer sender.Close()
	for _, m := range f.messages {
		assert.NilError(t, sender.Notify(m.Orders))
	}
	started := make(map[string]int)
	for _, sent := range f.messages {
		m := <-received
		assert.DeepEqual(t, m, sent.Orders)
		assert.Equal(t, m.LeaseEnd, (f.now + testBounds().LeaseDuration).Milliseconds())
		for _, o := range m.Starts {
			started[o.Task]++
		}
	}
	assert.Equal(t, len(started), tasks)
	for name, n := range started {
		assert.Equal(t, n, 1, name)
	}
}
