package intake

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	kibi = 1 << 10
	mebi = 1 << 20
	// largest is the largest legal body.
	largest = 256 * kibi
)

var limits = Limits{Bytes: 4 * mebi, LargeBytes: 3 * mebi, SmallBody: 16 * kibi, Connections: 1000,
	Pace: Pace{Stall: 30 * time.Second, Grace: time.Minute, BytesPerSecond: kibi}, ScarcePace: Pace{Stall: 3 * time.Second, Grace: 10 * time.Second, BytesPerSecond: 8 * kibi}}

// send opens a connection whose body comes at once up to the given number of bytes, and returns it and the victims.
func send(b *Budget, size, received int64, now time.Duration) (c *Conn, victims []*Conn, ok bool) {
	c = new(Conn)
	if _, ok = b.Open(c, now); !ok {
		return c, nil, false
	}
	b.Handle(c, now)
	victims, ok = b.Body(c, size, largest, min(size, received), now)
	b.Receive(c, received, now)
	return c, victims, ok
}

// Guards against limits that exceed the machine, or that leave a small machine without connections.
func TestLimitsFollowTheMachine(t *testing.T) {
	o := Options{BodyPercent: 10, ConnectionPercent: 30, SmallBody: 16 * kibi, SmallPercent: 25, ReceiveBuffer: 16 * kibi}
	small := Derive(184*mebi, 4100, o)
	assert.Equal(t, small.Connections, 883)
	assert.Equal(t, small.Bytes, int64(19293798))
	assert.Equal(t, Derive(4<<30, 4100, o).Connections, (4100-200-256)/2)
	assert.Equal(t, Derive(184*mebi, 210, o).Connections, minConnections)
	assert.Equal(t, Derive(0, 4100, o).Bytes, int64(0))
	assert.Assert(t, !Derive(0, 0, o).Limited())
}

// Guards against stalled large bodies that take the memory of ordinary requests.
func TestSmallBodiesKeepTheirShare(t *testing.T) {
	b := NewBudget(limits)
	refused := 0
	for range 100 {
		if _, _, ok := send(b, largest, largest-1, 0); !ok {
			refused++
		}
	}
	assert.Equal(t, b.Bytes(), int64(12*(largest-1)))
	assert.Equal(t, refused, 88)
	_, victims, ok := send(b, 600, 600, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, len(victims), 0)
}

// Guards against evicting a body that is nearly there before one of which most is missing, or a request that is being stored.
func TestMostMissingIsEvictedFirst(t *testing.T) {
	b := NewBudget(limits)
	stored, _, _ := send(b, mebi, mebi, 0)
	assert.Assert(t, b.Handle(stored, 0))
	far, _, _ := send(b, 2*mebi, mebi, 0)
	old, _, _ := send(b, mebi, mebi-9, 0)
	growing, _, _ := send(b, 40*kibi, 20*kibi, time.Second)
	assert.Assert(t, far.Evicted() && !old.Evicted() && !growing.Evicted())
	_, victims, ok := send(b, mebi, mebi-1, 2*time.Second)
	assert.Assert(t, !ok && len(victims) == 0, "a new body takes no memory of one with less missing")
	victims, ok = b.Grow(growing, mebi, 4*time.Second)
	assert.Assert(t, ok)
	assert.Assert(t, len(victims) == 1 && victims[0] == old, "a stalled one is evicted although less is missing")
	assert.Assert(t, !b.Handle(old, 4*time.Second), "an evicted body is not stored")
}

// Guards against refusing a body within the limits on an idle machine that is too small for its share.
func TestSingleLargeBodyIsRead(t *testing.T) {
	b := NewBudget(Limits{Bytes: 64 * kibi, LargeBytes: 48 * kibi, SmallBody: 16 * kibi, Pace: limits.Pace, ScarcePace: limits.ScarcePace})
	c, _, ok := send(b, largest, 4*kibi, 0)
	assert.Assert(t, ok)
	_, ok = b.Grow(c, largest, 0)
	assert.Assert(t, ok)
	_, _, ok = send(b, largest, 4*kibi, 0)
	assert.Assert(t, !ok)
}

// Guards against deadlines that cut off a legal slow client on an idle machine, and against bodies that stay for ever on a busy one.
func TestPace(t *testing.T) {
	b := NewBudget(limits)
	slow, _, _ := send(b, largest, 0, 0)
	const step, each = 5 * time.Second, 10 * kibi
	now := time.Duration(0)
	for ; slow.Missing() > 0; now += step {
		b.Receive(slow, each, now)
		assert.Equal(t, len(b.Overdue(now)), 0, "at %v", now)
	}
	stalled, _, _ := send(b, 2*mebi, 2*mebi-1, now)
	assert.Equal(t, len(b.Overdue(now+2*time.Second)), 1, "the slow one has used up its time, the other has not")
	assert.Equal(t, len(b.Overdue(now+4*time.Second)), 1)
	assert.Assert(t, stalled.Evicted())
	dripping, _, _ := send(b, largest, 0, 0)
	for now = 0; !dripping.Evicted(); now += time.Second {
		b.Receive(dripping, 1, now)
		b.Overdue(now)
		assert.Assert(t, now <= 2*time.Minute)
	}
}

// Guards against a crowd of connections that keeps others out: idle ones, and ones that wait for an answer again and again.
func TestNewConnectionReplacesEvictionCandidate(t *testing.T) {
	l := limits
	l.Connections = 3
	b := NewBudget(l)
	reading, _, _ := send(b, 100, 1, 0)
	idleConn, unused := new(Conn), new(Conn)
	b.Open(idleConn, 0)
	b.Idle(idleConn, 0)
	b.Open(unused, time.Second)
	for _, want := range []*Conn{unused, idleConn, reading} {
		c := new(Conn)
		victim, ok := b.Open(c, 3*time.Second)
		assert.Assert(t, ok && victim == want)
		b.Handle(c, 3*time.Second)
	}
	oldest := b.conns[0]
	_, ok := b.Open(new(Conn), 3*time.Second)
	assert.Assert(t, !ok)
	assert.Assert(t, !b.Idle(oldest, 3*time.Second), "one of them ends with its answer")
	b.Answer(b.conns[1], 3*time.Second)
	victim, ok := b.Open(new(Conn), 7*time.Second)
	assert.Assert(t, ok && victim != nil)
	b.Handle(b.conns[0], 7*time.Second)
	b.Answer(b.conns[0], 7*time.Second)
	assert.Equal(t, len(b.Overdue(8*time.Second)), 0)
	assert.Equal(t, len(b.Overdue(time.Minute)), 1, "a client that does not read its answer")
}

// Guards against closing a connection after its answer for a pressure that is over, while its client sends the next request.
func TestConnectionStaysOnceThereAreFewer(t *testing.T) {
	l := limits
	l.Connections = 3
	b := NewBudget(l)
	conns := []*Conn{new(Conn), new(Conn), new(Conn)}
	for _, c := range conns {
		b.Open(c, 0)
		b.Handle(c, 0)
	}
	for range conns {
		_, ok := b.Open(new(Conn), time.Second)
		assert.Assert(t, !ok)
	}
	assert.Assert(t, !b.Idle(conns[0], time.Second))
	b.Close(conns[0])
	assert.Assert(t, b.Idle(conns[1], time.Second))
	b.Open(new(Conn), time.Second)
	b.Handle(conns[1], time.Second)
	assert.Assert(t, b.Idle(conns[1], time.Second), "the mark has ended with the pressure")
}

// Guards against idle connections that make the pace of bodies stricter.
func TestIdleConnectionsAreNotScarcity(t *testing.T) {
	b := NewBudget(limits)
	for range limits.Connections - 1 {
		c := new(Conn)
		b.Open(c, 0)
		b.Idle(c, 0)
	}
	send(b, 100, 1, 0)
	assert.Assert(t, !b.Scarce())
	assert.Equal(t, len(b.Overdue(4*time.Second)), 0)
	for _, c := range b.conns[:limits.Connections/2] {
		b.Handle(c, 0)
	}
	assert.Assert(t, b.Scarce())
}

// Guards against closing connections that were just accepted, and not read yet, for each other: stalled ones stayed instead.
func TestBurstOfConnectionsReplacesStalledOnes(t *testing.T) {
	l := limits
	l.Connections = 20
	b := NewBudget(l)
	var stalled []*Conn
	for range l.Connections {
		c, _, _ := send(b, kibi, kibi-1, 0)
		stalled = append(stalled, c)
	}
	for range l.Connections {
		victim, ok := b.Open(new(Conn), 2*time.Second)
		assert.Assert(t, ok && slices.Contains(stalled, victim))
	}
}

// Guards against charges that are lost or counted twice, after which the budget would be used up or unlimited for ever.
func TestSumsHoldUnderRandomUse(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	b := NewBudget(limits)
	var all []*Conn
	for step := range 4_000 {
		now := time.Duration(step) * 10 * time.Millisecond
		switch n := r.IntN(8); {
		case n == 0 || len(all) == 0:
			size := r.Int64N(largest)
			c, _, _ := send(b, size, size/2, now)
			all = append(all, c)
		default:
			c := all[r.IntN(len(all))]
			switch {
			case !c.open:
			case n == 1:
				b.Close(c)
			case n == 2:
				b.Idle(c, now)
			case n == 3:
				b.Head(c, r.Int64N(64*kibi), 16*kibi, now)
			case n == 4:
				b.Overdue(now)
			case n == 5:
				b.Shrink(c, r.Int64N(largest))
			default:
				b.Grow(c, r.Int64N(largest), now)
			}
		}
		var bytes, large int64
		for _, c := range b.conns {
			bytes += c.charged
			if c.large {
				large += c.charged
			}
		}
		assert.Equal(t, b.bytes, bytes)
		assert.Equal(t, b.large, large)
		assert.Assert(t, len(b.conns) <= limits.Connections)
		assert.Assert(t, bytes <= limits.Bytes+largest, "more than the memory and one large body")
	}
}

// Guards against a small body that decodes to thousands of steps or to deep nesting, and against refusing a legal one.
func TestJSONLimits(t *testing.T) {
	l := JSONLimits{Depth: 4, Elements: 3, Members: 2, StringBytes: 8}
	for doc, legal := range map[string]bool{
		`{"steps":[{},{},{}],"a":"12345678"}`:  true,
		`{"steps":[{},{},{},{}]}`:              false,
		`{"a":1,"b":2,"c":3}`:                  false,
		`{"a":"123456789"}`:                    false,
		`{"a":"[[[[[\""}`:                      true,
		`[[[[]]]]`:                             true,
		`[[[[[]]]]]`:                           false,
		`[1,2,[3,4,5],[1,2,3]]`:                false,
		`{"a":[1,2,3],"b":[[1,2,3],[4,5,6]]}`:  true,
		`"unclosed\`:                           false,
		`]]]],{{`:                              true,
		strings.Repeat("[", 1000):              false,
		`{"a":[1,2,3` + strings.Repeat(",", 9): false,
	} {
		assert.Equal(t, l.Check([]byte(doc)) == nil, legal, doc)
	}
}

// BenchmarkOrdinaryRequest measures what the budget does for one small request, beside 1,000 other connections.
func BenchmarkOrdinaryRequest(b *testing.B) {
	l := limits
	l.Connections = 2000
	budget, c := NewBudget(l), new(Conn)
	for range 1000 {
		budget.Open(new(Conn), 0)
	}
	budget.Open(c, 0)
	for b.Loop() {
		budget.Head(c, kibi, 16*kibi, 1)
		budget.Handle(c, 2)
		budget.Body(c, 600, largest, 600, 2)
		budget.Handle(c, 3)
		budget.Answer(c, 4)
		budget.Idle(c, 5)
	}
}

// BenchmarkCheck measures the check of an ordinary submission.
func BenchmarkCheck(b *testing.B) {
	l := JSONLimits{Depth: 32, Elements: 256, Members: 64, StringBytes: 24_000}
	doc := []byte(`{"specification":"` + strings.Repeat("x", 200) + `","steps":[{"count":2,"cpu":5,"memoryRequestMb":100,"estimatedMs":1200,"image":"a"},` +
		`{"count":1,"cpu":500,"memoryRequestMb":100,"estimatedMs":1200,"dependsOn":[0],"image":"b","checkpointing":true}]}`)
	for b.Loop() {
		if l.Check(doc) != nil {
			b.Fatal("refused")
		}
	}
}
