package coordinator

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against a connected executor that gets neither orders nor leases any more after a message that was too large.
func TestMessageThatIsTooLargeDoesNotCountAsLostConnection(t *testing.T) {
	const agent = "agent-1"
	c := clock.Boottime{}
	bounds := dispatch.Bounds{LeaseDuration: 2 * time.Second, AckValidity: 2 * time.Second, MaxStoreOutage: 15 * time.Second, Retention: time.Hour}
	o := newOwner(Config{Store: newTable(), Clock: c, Log: zerolog.Nop(), Bounds: bounds, HighestEpoch: func() uint64 { return 0 },
		Manifest: func() *manifest.Manifest { return nil }}, ownerRow{OwnerRecord: OwnerRecord{Epoch: 1}}, 0)
	near, far := net.Pipe()
	received := make(chan *wire.Orders, 10)
	receiver := wire.NewPeer(far, func(_ *wire.Peer, m wire.Message, _ wire.Reply) { received <- m.(*wire.Orders) })
	defer receiver.Close()
	sender := wire.NewPeer(near, nil)
	defer sender.Close()
	o.conns.peers[agent], o.conns.members[agent] = sender, member.Member{Name: agent, Role: member.Agent}
	o.lastStatus = c.Now()
	o.dispatcher.ApplyReport(&wire.Report{Epoch: 1, Agent: agent, FullSnapshot: true, Info: executor.Info{Service: "pool", Clock: 1,
		Incarnation: submission.Incarnation{ID: "i-1", StartedAt: 1}, Capacity: task.Resources{CPU: 4000, Memory: 4000}}}, c.Now())
	s := &submission.Submission{ID: "00000000000000c1", Queue: "q", Service: "pool", Accepted: time.Now().UnixMilli(), MaxAttempts: 3,
		Specification: strings.Repeat("x", wire.MaxBody), Steps: []submission.Step{{Count: 1, Request: task.Resources{CPU: 500}}}}
	assert.NilError(t, o.dispatcher.Add(s, nil, c.Now()))

	assert.NilError(t, o.schedulingPass(t.Context()))
	assert.Equal(t, len((<-received).Starts), 0)
	r := <-o.commitResults
	assert.NilError(t, r.err)
	o.pendingBatch = nil
	o.dispatcher.Committed(r.batch, r.sent, c.Now())
	assert.NilError(t, o.schedulingPass(t.Context()))
	assert.Equal(t, o.dispatcher.Counters().Starts, uint64(1))
	assert.Equal(t, len(o.dispatcher.Flush(c.Now(), true)), 1, "the agent counts as disconnected")
}
