package vmagent

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/wire"
)

// throttledExecutor answers the first speed limit once release is closed, and applies it then.
type throttledExecutor struct {
	*fakeExecutor
	answer  executor.Answer
	mu      sync.Mutex
	calls   int
	limits  []int
	release chan struct{}
}

func (e *throttledExecutor) Throttle(_ context.Context, _ executor.Info, _ string, _ uint32, _ uint64, percent int) executor.Answer {
	e.mu.Lock()
	e.calls++
	first := e.calls == 1
	e.mu.Unlock()
	if first {
		<-e.release
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = append(e.limits, percent)
	if first {
		return e.answer
	}
	return executor.Answer{}
}

func (e *throttledExecutor) called() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

func (e *throttledExecutor) last() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.limits) == 0 {
		return -1
	}
	return e.limits[len(e.limits)-1]
}

// A speed limit that was executed or sent again after a newer one used to replace it: a paused task went on at the old
// speed.
func TestOlderSpeedLimitDoesNotReplaceNewerOne(t *testing.T) {
	for name, answer := range map[string]executor.Answer{"without an answer": {Outcome: executor.Unknown}, "executed late": {}} {
		t.Run(name, func(t *testing.T) { testOlderSpeedLimit(t, answer) })
	}
}

func testOlderSpeedLimit(t *testing.T, answer executor.Answer) {
	f := &fakeExecutor{hold: func(executor.PollRequest) executor.Snapshot { return executor.Snapshot{StartedAt: 7} }}
	e := &throttledExecutor{fakeExecutor: f, answer: answer, release: make(chan struct{})}
	a := newTestAgent(t, f)
	a.cfg.Client = e
	o := connectOwner(t, a, 1)
	a.Heartbeat(testInfo())
	order := func(percent int) {
		assert.NilError(t, o.peer.Notify(&wire.Orders{Epoch: 1, Executor: "i-1", StartedAt: 7, LeaseEnd: 5000,
			Throttles: []wire.ThrottleOrder{{Task: "a.0.0.0", Run: 1, Percent: percent}}}))
	}
	order(60)
	waitUntil(t, "first speed limit", func() bool { return e.called() == 1 })
	order(0)
	waitUntil(t, "second speed limit", func() bool { return e.last() == 0 })
	close(e.release)
	waitUntil(t, "end of the calls", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return e.called() > 2 && len(a.executors[testInfo().Incarnation].throttles) == 0
	})
	assert.Equal(t, e.last(), 0, "the older limit is in force")
}
