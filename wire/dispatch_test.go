package wire

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Guards against a message type that the receiver can't decode, which closes the
// connection. It comes about when two ranges of type values overlap.
func TestAllMessageTypesAreKnown(t *testing.T) {
	for _, m := range []Message{&Lead{}, &Report{}, &Orders{}, &OrderResults{}, &StateQuery{}, &StateReply{}, &QueueCounts{}, &CreateRow{}, &Backlog{},
		&Explain{}, &ShardStatus{}, &EntryStatus{}, &ExplainRequest{}, &AgentStatus{}, &AgentStatusReply{}, &Lookup{}, &Drain{}} {
		known := newMessage(m.Type())
		assert.Assert(t, known != nil, "type %d", m.Type())
		assert.Equal(t, known.Type(), m.Type())
	}
}

// Guards against losing the executor's incarnation, an embedded struct, in the encoding.
func TestReportRoundTrip(t *testing.T) {
	r := &Report{Epoch: 3, Agent: "a", FullSnapshot: true, Info: executor.Info{Incarnation: submission.Incarnation{ID: "i", StartedAt: 7}, Rack: "r", Clock: 9},
		Running: []executor.Run{{Task: "t", Number: 2, ProgressPercent: 4, Load: 5}}, Ended: []executor.End{{Number: 1, Task: "u", Cause: executor.Failed}}}
	buf, err := encodeFrame(flagNotify, 0, r)
	assert.NilError(t, err)
	f, err := readFrame(buf)
	assert.NilError(t, err)
	m, err := decodeBody(f)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, Message(r))
}
