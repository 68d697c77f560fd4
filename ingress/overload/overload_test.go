package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/backlog"
	"github.com/chicorystand/chicorystand/ingress/unsettled"
	"github.com/chicorystand/chicorystand/wire"
)

const testNow = time.Hour

// desk is a controller with an estimate that a test sets.
type desk struct {
	*Controller
	message *wire.Backlog
	age     time.Duration
}

// newDesk returns a controller of four entries whose owner estimates the same delay for submissions of all sizes of the queue q.
func newDesk(delay, least time.Duration) *desk {
	d := &desk{}
	d.Controller = NewController(func() (*wire.Backlog, time.Duration) { return d.message, d.age }, 7)
	d.set(delay, least)
	return d
}

func (d *desk) set(delay, least time.Duration) {
	q := backlog.Queue{CPU: 100_000}
	for i := range backlog.Classes {
		q.Delay[i], q.Least[i] = delay, least
	}
	d.message = &wire.Backlog{Entries: 4, Queues: []wire.QueueBacklog{message(backlog.Key{Queue: "q"}, &q)}}
}

// request returns one for a task of 4 s on 10 processors that is on time within 8 s.
func request(id string) *Request {
	return &Request{ID: id, Queue: "q", Work: 40, TaskCPU: 10_000, Chain: 4 * time.Second, Objective: 8 * time.Second}
}

// Guards against refusals without sufficient grounds.
func TestNeverRefused(t *testing.T) {
	for name, change := range map[string]func(d *desk, r *Request){
		"no estimate":                       func(d *desk, _ *Request) { d.message = nil },
		"an estimate that is too old":       func(d *desk, _ *Request) { d.age = maxEstimateAge + time.Millisecond },
		"a queue without backlog":           func(_ *desk, r *Request) { r.Queue = "other" },
		"other capacity":                    func(_ *desk, r *Request) { r.BestEffort = true },
		"long-running or scheduled":         func(_ *desk, r *Request) { r.Exempt = true },
		"no objective":                      func(_ *desk, r *Request) { r.Objective = 0 },
		"a task that fits at once":          func(_ *desk, r *Request) { r.TaskCPU = 0 },
		"ranges of another build":           func(d *desk, _ *Request) { d.message.Queues[0].LateMS = nil },
		"the lower bound is within the end": func(d *desk, _ *Request) { d.set(time.Minute, 20*time.Second) },
		"an attempt in progress":            func(d *desk, r *Request) { d.AdmitAccepted(r, testNow) },
		"an attempt of unknown outcome": func(d *desk, r *Request) {
			d.AdmitAccepted(r, testNow)
			d.Settle(r.ID, true, testNow)
		},
	} {
		d, r := newDesk(time.Minute, 40*time.Second), request("a")
		assert.Equal(t, d.Admit(r, testNow).Reason, TooLate, "the test refuses nothing")
		change(d, r)
		assert.Equal(t, d.Admit(r, testNow).Reason, Admitted, name)
	}
	d := newDesk(time.Minute, 40*time.Second)
	d.AdmitAccepted(request("a"), testNow)
	d.Settle("a", false, testNow)
	assert.Equal(t, d.Admit(request("a"), testNow).Reason, TooLate, "an attempt that certainly failed")
}

// Guards against refusals of submissions with an unknown outcome after so many of them that they can't be kept.
func TestManyUnknownOutcomes(t *testing.T) {
	d := newDesk(time.Minute, 40*time.Second)
	for i := range unsettled.MaxIDs + 1 {
		id := fmt.Sprint(i)
		d.AdmitAccepted(request(id), testNow)
		d.Settle(id, true, testNow)
	}
	assert.Assert(t, d.Admit(request(fmt.Sprint(unsettled.MaxIDs)), testNow).OK())
	assert.Equal(t, d.unsettled.Unknown(), unsettled.MaxIDs)
	assert.Equal(t, d.Admit(request("0"), testNow+unsettled.Retention).Reason, TooLate, "ids are kept for ever")
}

// Guards against callers that all return at one moment, or faster than the capacity can serve them: one submission takes
// 0.4 s of the capacity, and each of four entries gets a quarter of it.
func TestEqualClientsReturnOneAfterTheOther(t *testing.T) {
	d := newDesk(20*time.Second, 40*time.Second)
	perSecond := make(map[time.Duration]int)
	last := time.Duration(0)
	for i := range 25 {
		got := d.Admit(request(fmt.Sprint(i)), testNow)
		assert.Equal(t, got.Reason, TooLate)
		assert.Assert(t, got.RetryAfter >= 16*time.Second && got.RetryAfter >= last, "%s after %s", got.RetryAfter, last)
		assert.Equal(t, got.RetryAfter%time.Second, time.Duration(0))
		last = got.RetryAfter
		perSecond[last]++
		assert.Assert(t, perSecond[last] <= 2)
	}
	assert.Assert(t, last > 45*time.Second, "the last one returns after %s", last)
	var told []time.Duration
	for i := range 2 * maxPlaces {
		got := d.Admit(request(fmt.Sprint("more", i)), testNow).RetryAfter
		assert.Assert(t, got <= maxRetryAfter)
		told = append(told, got)
	}
	slices.Sort(told)
	assert.Assert(t, len(slices.Compact(told)) > 8, "callers without a place return at %v", told)
	assert.Assert(t, len(d.lines[request("").line()].places) <= maxPlaces)
}

// Guards against admitting a later submission before one that was told to return, and against a line that holds up others
// although its callers do not come back, the size is another one, or there is room for all.
func TestLaterSubmissionsWaitTheirTurn(t *testing.T) {
	d := newDesk(21*time.Second, 40*time.Second)
	first := d.Admit(request("first"), testNow)
	second := d.Admit(request("second"), testNow)
	assert.Assert(t, first.Reason == TooLate && second.Reason == TooLate)
	d.set(10*time.Second, 5*time.Second)
	later := testNow + time.Second
	assert.Equal(t, d.Admit(request("third"), later).Reason, OutOfTurn)
	assert.Equal(t, d.Admit(request("second"), later).Reason, OutOfTurn, "before the first and its own time")
	small := request("small")
	small.Work = 1
	assert.Assert(t, d.Admit(small, later).OK(), "another size")
	assert.Assert(t, d.Admit(request("first"), testNow+first.RetryAfter).OK())
	assert.Assert(t, d.Admit(request("second"), testNow+second.RetryAfter).OK())
	gone := testNow + maxRetryAfter + returnGrace + time.Second
	assert.Assert(t, d.Admit(request("fourth"), gone).OK(), "the third does not return")

	d.set(21*time.Second, 40*time.Second)
	assert.Equal(t, d.Admit(request("fifth"), gone).Reason, TooLate)
	d.set(time.Second, 0)
	assert.Assert(t, d.Admit(request("sixth"), gone).OK(), "all are on time")
}
