package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/store"
)

// slowStore answers each wait for changes after a second, as of the time at which it was asked.
type slowStore struct {
	store.Follower
	clock clock.Clock
	// asked is when the last call was received. partial makes the store hold back changes.
	asked   atomic.Int64
	partial atomic.Bool
}

func (s *slowStore) List(context.Context, string, string) (store.Page, error) {
	s.asked.Store(int64(s.clock.Now()))
	return store.Page{Version: 1}, nil
}

func (s *slowStore) Changes(ctx context.Context, _ string, version uint64, _ time.Duration) (store.Page, error) {
	s.asked.Store(int64(s.clock.Now()))
	select {
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	case <-time.After(time.Second):
		return store.Page{Version: version, More: s.partial.Load()}, nil
	}
}

type noSink struct{}

func (noSink) Row(store.Change) {}

// An answer may have been given long before it arrives. What it says is complete only as of the time
// at which the call was sent, and not at all while the store holds back changes: a later time would
// let the owner start tasks in a zone that was evacuated meanwhile.
func TestKnowledgeIsAsOfTheCallNotTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &slowStore{clock: clock.NewRuntime()}
		f := follow.New(s, "t", noSink{}, s.clock, zerolog.Nop())
		go f.Run(ctx, 0)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, f.CurrentAsOf(), time.Duration(s.asked.Load())-time.Second)
		complete := f.CurrentAsOf()
		s.partial.Store(true)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, f.CurrentAsOf(), complete)
		cancel()
		synctest.Wait()
	})
}
