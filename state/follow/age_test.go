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
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/store"
)

// delayedStore answers each call after a delay, and none while silent is set.
type delayedStore struct {
	store.Follower
	delay  time.Duration
	silent atomic.Bool
}

func (s *delayedStore) List(context.Context, string, string) (store.Page, error) {
	time.Sleep(s.delay)
	return store.Page{Version: 1}, nil
}

func (s *delayedStore) Changes(ctx context.Context, _ string, version uint64, wait time.Duration) (store.Page, error) {
	answer := time.After(wait + s.delay)
	if s.silent.Load() {
		answer = nil
	}
	select {
	case <-ctx.Done():
		return store.Page{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "no answer")
	case <-answer:
		return store.Page{Version: version}, nil
	}
}

// Rows that are read once a second are up to two seconds old, which is too old to act on.
func TestRowsAreKeptWithinAge(t *testing.T) {
	const maxAge = 1500 * time.Millisecond
	for _, delay := range []time.Duration{0, 240 * time.Millisecond, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &delayedStore{delay: delay}
			c := clock.NewRuntime()
			f := follow.New(s, "t", noSink{}, c, zerolog.Nop())
			f.KeepWithin(maxAge)
			go f.Run(ctx, 0)
			time.Sleep(4 * time.Second)
			for range 400 {
				time.Sleep(10 * time.Millisecond)
				age := c.Now() - f.CurrentAsOf()
				assert.Assert(t, age < maxAge, "the rows are %s old with a store that takes %s", age, delay)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// A call whose connection has gone silent used to be waited for while the store answered others. One that is not overdue is left alone.
func TestOverduePollIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := new(delayedStore)
		s.silent.Store(true)
		c := clock.NewRuntime()
		f := follow.New(s, "t", noSink{}, c, zerolog.Nop())
		f.KeepWithin(1500 * time.Millisecond)
		go f.Run(ctx, 1)
		time.Sleep(2 * time.Second)
		s.silent.Store(false)
		f.RetryOverdue(3 * time.Second)
		time.Sleep(time.Second)
		assert.Equal(t, f.CurrentAsOf(), time.Duration(0), "a call that is not overdue was repeated")
		f.RetryOverdue(100 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, f.CurrentAsOf() > 0, "the overdue call was not repeated")
		cancel()
		synctest.Wait()
	})
}
