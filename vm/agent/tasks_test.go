package agent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/ledger"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/worker"
	"github.com/chicorystand/chicorystand/wire"
)

// slowObjects stores each object after the next delay, or fails if the delay is negative.
type slowObjects struct {
	mu     sync.Mutex
	delays []time.Duration
}

func (s *slowObjects) nextDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.delays[0]
	s.delays = s.delays[1:]
	return d
}

func (s *slowObjects) Put(context.Context, string, []byte) error {
	d := s.nextDelay()
	if d < 0 {
		return errkind.New(errkind.StoreUnavailable, "the object store is down")
	}
	time.Sleep(d)
	return nil
}

func (s *slowObjects) Delete(context.Context, string) error { return nil }

func (s *slowObjects) Get(context.Context, string) ([]byte, error) { return nil, nil }

// newTaskAgent returns an agent with attempt 1 of task "t" running and no connection to an owner.
func newTaskAgent(t *testing.T, objects *slowObjects) *Agent {
	t.Helper()
	size := task.Resources{CPU: 1000, Memory: 1000}
	clk := clock.NewRuntime()
	w := standin.NewWorker(standin.WorkerConfig{VM: "vm", Capacity: size, Clock: clk, Objects: objects})
	w.Renew(clk.Now() + time.Hour)
	a := New(Config{VM: "vm", Zone: "z", Incarnation: 1, Clock: clk, Worker: w, Log: zerolog.Nop()})
	assert.NilError(t, a.ledger.Admit(1, ledger.Reservation{ID: "t", Attempt: 1, Reserved: size}))
	assert.NilError(t, w.Start(worker.Start{ID: "t", Attempt: 1, Reserved: size, Duration: time.Hour}))
	return a
}

// Guards against a task that no owner starts again: the second copy of an eviction order was refused, the first ended the attempt.
func TestEvictionIsReportedAfterItsOrderWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTaskAgent(t, &slowObjects{delays: []time.Duration{2 * time.Second, -1}})
		order := &wire.StopTask{Epoch: 1, ID: "t", Attempt: 1, Mode: wire.StopEvict}
		go a.stopTask(order)
		time.Sleep(time.Second)
		refusal, ok := a.stopTask(order).(*wire.Error)
		assert.Assert(t, ok)
		assert.Equal(t, refusal.Kind, errkind.StoreUnavailable, "the owner gives the eviction up")
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(a.taskStatuses()), 0, "the first copy has ended the attempt")
		ev := a.outbox.endEvent("t", 1)
		assert.Assert(t, ev != nil, "the end of the attempt is not reported")
		assert.Equal(t, ev.Event, wire.TaskStopped)
		assert.Assert(t, ev.Checkpoint != "")
	})
}

// Guards against a ledger that counts less than the owner has reserved, because a replaced connection delivers an older resize.
func TestLateResizeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTaskAgent(t, nil)
		old, current := new(wire.Peer), new(wire.Peer)
		a.control = current
		resize := func(p *wire.Peer, cpu int64) errkind.Kind {
			var got wire.Message
			order := &wire.ResizeTask{Epoch: 1, ID: "t", Attempt: 1, Reserved: task.Resources{CPU: cpu, Memory: 1000}}
			a.handleControl(t.Context(), p, order, func(m wire.Message) { got = m })
			if e, ok := got.(*wire.Error); ok {
				return e.Kind
			}
			return errkind.None
		}
		assert.Equal(t, resize(current, 900), errkind.None)
		late := resize(old, 500)
		assert.Equal(t, a.ledger.Reserved().CPU, int64(900))
		assert.Equal(t, late, errkind.NotReady)
	})
}
