package wire

import (
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against orders that are lost, change their order or don't fit a message when they are divided.
func TestSplitKeepsOrdersWithinTheLimit(t *testing.T) {
	const count = 10_000
	m := &Orders{Epoch: math.MaxUint64, Executor: strings.Repeat("e", 200), StartedAt: math.MinInt64, LeaseEnd: math.MinInt64, LastSeen: math.MinInt64}
	for i := range count {
		name := strings.Repeat("n", i%70)
		m.Stops = append(m.Stops, StopOrder{Task: name, Run: math.MaxUint32 - uint32(i)})
		m.Throttles = append(m.Throttles, ThrottleOrder{Task: name, Run: math.MaxUint32 - uint32(i), Percent: math.MinInt64})
		m.Starts = append(m.Starts, StartOrder{Task: name, Run: math.MaxUint32 - uint32(i), Specification: strings.Repeat("s", i%4001),
			Checkpoint: strings.Repeat("c", i%300), Ticket: strings.Repeat("t", i%500), Deadline: math.MinInt64})
	}
	joined := *m
	joined.Starts, joined.Stops, joined.Throttles = nil, nil, nil
	for _, part := range m.Split() {
		buf, err := encodeFrame(flagNotify, 0, part)
		assert.NilError(t, err)
		assert.Assert(t, buf.Len()-headerSize <= maxOrdersBytes, "%d bytes", buf.Len())
		releaseBuffer(buf)
		header := *part
		header.Starts, header.Stops, header.Throttles = nil, nil, nil
		assert.DeepEqual(t, header, Orders{Epoch: m.Epoch, Executor: m.Executor, StartedAt: m.StartedAt, LeaseEnd: m.LeaseEnd, LastSeen: m.LastSeen})
		assert.Assert(t, len(part.Stops) == 0 || len(joined.Throttles)+len(joined.Starts) == 0, "a stop after other orders")
		assert.Assert(t, len(part.Throttles) == 0 || len(joined.Starts) == 0, "a speed limit after starts")
		joined.Stops = append(joined.Stops, part.Stops...)
		joined.Throttles = append(joined.Throttles, part.Throttles...)
		joined.Starts = append(joined.Starts, part.Starts...)
	}
	assert.Assert(t, slices.Equal(joined.Stops, m.Stops))
	assert.Assert(t, slices.Equal(joined.Throttles, m.Throttles))
	assert.Assert(t, slices.Equal(joined.Starts, m.Starts))
}

// Guards against orders that wait for ever, and stops with them, beside one that fits no message.
func TestSplitGivesAnOversizedOrderItsOwnMessage(t *testing.T) {
	large := StartOrder{Task: "b", Ticket: strings.Repeat("t", MaxBody)}
	m := &Orders{Stops: []StopOrder{{Task: "x"}}, Starts: []StartOrder{{Task: "a"}, large, {Task: "c"}}}
	parts := m.Split()
	assert.Equal(t, len(parts), 3)
	assert.DeepEqual(t, parts[0], &Orders{Stops: m.Stops, Starts: m.Starts[:1]})
	assert.DeepEqual(t, parts[1].Starts[0].Task, "b")
	assert.DeepEqual(t, parts[2], &Orders{Starts: m.Starts[2:]})
}

// Guards against an executor whose lease is not extended when no orders wait for it.
func TestSplitWithoutOrdersIsOneMessage(t *testing.T) {
	m := &Orders{Epoch: 1, Executor: "e", LeaseEnd: 2}
	assert.DeepEqual(t, m.Split(), []*Orders{m})
}
