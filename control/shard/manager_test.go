package shard_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

const testShard = "z-0"

// cluster runs shard managers that call each other directly, without a network.
type cluster struct {
	t       *testing.T
	ctx     context.Context
	table   *standin.Table
	mu      sync.Mutex
	entries map[string]*testEntry
	// doubleHeld counts the samples in which two entries held the same shard.
	doubleHeld int
}

type testEntry struct {
	*shard.Manager
	link        *standin.Link
	follower    *confsync.Follower
	stop        context.CancelFunc
	unreachable atomic.Bool
}

func runCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &cluster{t: t, ctx: ctx, table: standin.NewTable(1e6, 1e6), entries: make(map[string]*testEntry)}
		go c.watchHolders()
		f(t, c)
		assert.Equal(t, c.doubleHeld, 0, "two entries held the shard at the same time")
	})
}

func (c *cluster) startEntry(id string) *testEntry {
	ctx, stop := context.WithCancel(c.ctx)
	m := &testEntry{link: standin.NewLink(c.table), stop: stop}
	clk := clock.NewRuntime()
	m.follower = confsync.NewFollower(m.link, clk)
	m.Manager = shard.NewManager(shard.ManagerConfig{
		Entry: id, Addr: id, Zone: "z", Incarnation: uint64(time.Now().UnixNano()), Table: m.link, Clock: clk,
		Log: zerolog.Nop(), Follower: m.follower,
		RequestExtension: func(ctx context.Context, other string) bool {
			c.mu.Lock()
			n := c.entries[other]
			c.mu.Unlock()
			return n != nil && !n.unreachable.Load() && n.GrantExtension(ctx, id)
		},
	})
	c.mu.Lock()
	c.entries[id] = m
	c.mu.Unlock()
	m.EnsureOwned(testShard)
	go m.Run(ctx)
	go c.sendDigests(ctx, id, m)
	return m
}

func (c *cluster) sendDigests(ctx context.Context, id string, m *testEntry) {
	for ctx.Err() == nil {
		shards := m.Digests(ctx)
		c.mu.Lock()
		for other, n := range c.entries {
			if other != id && !m.unreachable.Load() {
				n.DigestReceived(id, shards)
			}
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(8 * time.Second):
		}
	}
}

// holders returns the entries that currently hold a valid lease on the test shard.
func (c *cluster) holders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, m := range c.entries {
		if m.HoldsLease(testShard) {
			out = append(out, id)
		}
	}
	return out
}

func (c *cluster) watchHolders() {
	for c.ctx.Err() == nil {
		if len(c.holders()) > 1 {
			c.doubleHeld++
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// awaitHolder waits until the entry is the only holder of the shard and returns the time that took.
func (c *cluster) awaitHolder(id string, limit time.Duration) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !slices.Equal(c.holders(), []string{id}) {
		assert.Assert(c.t, time.Since(began) < limit, "shard held by %v, want %s", c.holders(), id)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (c *cluster) row() shard.LeaseRow {
	rows, err := c.table.Get(c.ctx, shard.LeasePrefix+testShard)
	assert.NilError(c.t, err)
	var row shard.LeaseRow
	assert.NilError(c.t, msgpack.Unmarshal(rows[0].Value, &row))
	return row
}

// startInOrder starts the entries 20 s apart, so that the first one owns the shard.
func (c *cluster) startInOrder(ids ...string) []*testEntry {
	var out []*testEntry
	for _, id := range ids {
		out = append(out, c.startEntry(id))
		time.Sleep(20 * time.Second)
	}
	c.awaitHolder(ids[0], time.Second)
	return out
}

// Guards against two concurrent owners and against a missed takeover when the owner loses only its
// connection to the store, crashes, restarts or is stopped as planned.
func TestTakeover(t *testing.T) {
	cases := map[string]struct {
		fail        func(c *cluster, m *testEntry)
		least, most time.Duration
	}{
		"store unreachable": {func(_ *cluster, m *testEntry) { m.link.SetDisconnected(true) }, 10 * time.Second, 60 * time.Second},
		"crashed, connections reset": {func(c *cluster, m *testEntry) {
			m.stop()
			m.unreachable.Store(true)
			c.entries["b"].EntryDisconnected("a")
		}, 10 * time.Second, 19 * time.Second},
		"crashed, connections not reset": {func(_ *cluster, m *testEntry) { m.stop(); m.unreachable.Store(true) }, 10 * time.Second, 36 * time.Second},
		"planned stop":                   {func(c *cluster, m *testEntry) { m.Release(c.ctx); c.entries["b"].EntryDisconnected("a") }, 0, 4 * time.Second},
		"restarted immediately":          {func(c *cluster, m *testEntry) { m.stop(); c.startEntry("a") }, 10 * time.Second, 36 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				m := c.startInOrder("a", "b")
				epoch := c.row().Epoch
				began := time.Now()
				tc.fail(c, m[0])
				for c.row().Epoch == epoch || len(c.holders()) != 1 {
					time.Sleep(10 * time.Millisecond)
					assert.Assert(t, time.Since(began) < tc.most, "no takeover")
				}
				assert.Assert(t, time.Since(began) >= tc.least, "takeover after %v", time.Since(began))
				assert.Equal(t, c.row().ReassignDelayMS, int64(0))
				if name == "store unreachable" {
					m[0].link.SetDisconnected(false)
					time.Sleep(time.Minute)
					c.awaitHolder("b", time.Second)
				}
			})
		})
	}
}

type nopCaller struct{}

func (nopCaller) Call(context.Context, wire.Message) (wire.Message, error) { return &wire.Ack{}, nil }
func (nopCaller) Close()                                                   {}

// Guards against VM grants by an owner that has released its shard but has not seen the reply to that write.
func TestNoGrantAfterReleaseWithLostReply(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startInOrder("a", "b")
		o, ok := m[0].Owner(testShard)
		assert.Assert(t, ok)
		_, err := shard.Ask(c.ctx, o, func() (*wire.AnnounceReply, error) {
			return o.Announce(c.ctx, &wire.Announce{VM: "vm", Zone: "z"}, nopCaller{})
		})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		m[0].link.DisconnectAtCommit(1)
		go m[0].Release(c.ctx)
		for c.row().Owner != "b" {
			time.Sleep(10 * time.Millisecond)
			m[1].EntryDisconnected("a")
		}
		_, err = shard.Ask(c.ctx, o, func() (*wire.Grant, error) { return o.Heartbeat("vm", &wire.Heartbeat{}) })
		assert.Equal(t, errkind.Of(err), errkind.NotOwner)
		time.Sleep(time.Second)
	})
}

// Guards against "not found" from an owner that has lost its lease, for a task that the new owner has accepted.
func TestLapsedOwnerKnowsOfNoTask(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startInOrder("a", "b")
		lapsed, ok := m[0].Owner(testShard)
		assert.Assert(t, ok)
		m[0].link.SetDisconnected(true)
		c.awaitHolder("b", time.Minute)
		current, ok := m[1].Owner(testShard)
		assert.Assert(t, ok)
		assert.NilError(t, submit(t, current, task.Spec{ID: "t", Customer: "c"})[0])
		done := make(chan error, 1)
		assert.NilError(t, lapsed.Do(c.ctx, func() { lapsed.Cancel(c.ctx, "c", []string{"t"}, func(_ string, err error) { done <- err }) }))
		assert.Equal(t, errkind.Of(<-done), errkind.NotOwner)
		_, err := shard.Ask(c.ctx, lapsed, func() (*wire.LookupReply, error) { return lapsed.Select(&wire.Lookup{IDs: []string{"t"}}) })
		assert.Equal(t, errkind.Of(err), errkind.NotOwner)
	})
}

// Guards against a lease or request admission that ends in a store outage without a second fault, a
// lease extension beyond 40 minutes or not granted by every member, and an entry that admits
// requests or owns shards after starting in an outage.
func TestStoreOutage(t *testing.T) {
	cases := map[string]struct {
		unreachable bool
		length      time.Duration
		held        bool
	}{
		"30 minutes":             {false, 30 * time.Minute, true},
		"longer than 40 min":     {false, 41 * time.Minute, false},
		"one member unreachable": {true, 2 * time.Minute, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				m := c.startInOrder("a", "b", "c")
				time.Sleep(10 * time.Second)
				m[2].unreachable.Store(tc.unreachable)
				poll(c.ctx, m[0])
				time.Sleep(2 * time.Second)
				c.table.SetFaults(standin.Faults{Down: true})
				late := c.startEntry("d")
				down := time.Now()
				for time.Since(down) < tc.length {
					time.Sleep(time.Second)
					held := m[0].HoldsLease(testShard)
					assert.Assert(t, held || !tc.held, "lease ended after %v", time.Since(down))
					if tc.held && time.Since(down) > 15*time.Second {
						assert.NilError(t, m[0].follower.Admit())
					}
				}
				assert.Equal(t, m[0].HoldsLease(testShard), tc.held)
				assert.Equal(t, errkind.Of(late.follower.Admit()), errkind.NotReady)
				assert.Equal(t, len(late.Owners()), 0)
				c.table.SetFaults(standin.Faults{})
				time.Sleep(40 * time.Second)
				assert.Equal(t, len(c.holders()), 1)
				if tc.held {
					assert.Equal(t, c.row().Epoch, uint64(1), "owner changed")
				}
			})
		})
	}
}

func poll(ctx context.Context, m *testEntry) {
	go func() {
		for ctx.Err() == nil {
			_, _ = m.follower.Poll(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
}

// Guards against reassigning tasks too early when the new owner is not in the old owner's member list,
// as the old owner may still extend its lease, and against losing the delay at the next takeover.
func TestUnlistedEntryDefersReassignment(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startInOrder("a", "b")
		m[0].link.SetDisconnected(true)
		m[1].link.SetDisconnected(true)
		time.Sleep(time.Second)
		unlisted := c.startEntry("c")
		began := time.Now()
		for c.row().Owner != "c" {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(began) < time.Minute)
		}
		// The old owner may still extend its lease. Two holders with different epochs are expected here;
		// the reassignment delay makes that safe.
		assert.Assert(t, c.row().ReassignDelayMS > (39*time.Minute).Milliseconds(), "%d", c.row().ReassignDelayMS)
		time.Sleep(10 * time.Minute)
		left := c.row().ReassignDelayMS
		assert.Assert(t, left > (29*time.Minute).Milliseconds() && left < (31*time.Minute).Milliseconds(), "%d", left)
		m[0].stop()
		m[1].stop()
		unlisted.Release(c.ctx)
		d := c.startEntry("d")
		began = time.Now()
		for !d.HoldsLease(testShard) {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(began) < time.Minute)
		}
		assert.Assert(t, c.row().ReassignDelayMS > (28*time.Minute).Milliseconds())
		time.Sleep(31 * time.Minute)
		assert.Equal(t, c.row().ReassignDelayMS, int64(0))
		c.doubleHeld = 0
	})
}

// Guards against a shard that is lost, left without an owner or owned twice when the reply to any single
// write of the lease protocol is lost.
func TestLostReplyAtEveryLeaseWrite(t *testing.T) {
	for n := 1; n <= 8; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				m := c.startEntry("a")
				m.link.LoseCommitResponse(n)
				c.awaitHolder("a", 10*time.Second)
				// The eighth write occurs 30 s after the first.
				time.Sleep(35 * time.Second)
				assert.Assert(t, m.link.Commits() >= n)
				c.awaitHolder("a", time.Second)
				assert.Equal(t, c.row().Epoch, uint64(1))
				m.Release(c.ctx)
				assert.Equal(t, c.row().Owner, "")
			})
		})
	}
}

func submit(t *testing.T, o *shard.Owner, specs ...task.Spec) []error {
	t.Helper()
	ch := make(chan error, len(specs))
	assert.NilError(t, o.Do(t.Context(), func() {
		o.Submit(specs, 1, func(_ string, err error) { ch <- err })
	}))
	var out []error
	for range specs {
		out = append(out, <-ch)
	}
	return out
}

// Guards against a delayed commit of the old owner that takes effect after the takeover.
func TestLateCommitIsFenced(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startInOrder("a", "b")
		o, ok := m[0].Owner(testShard)
		assert.Assert(t, ok)
		// Half an interval after a renewal, so that the submission is the commit that is delayed.
		time.Sleep(2500 * time.Millisecond)
		c.table.SetFaults(standin.Faults{DelayCommits: 1, CommitDelay: time.Minute})
		go func() {
			_ = o.Do(c.ctx, func() { o.Submit([]task.Spec{{ID: "t"}}, 1, func(string, error) {}) })
		}()
		time.Sleep(time.Millisecond)
		c.table.SetFaults(standin.Faults{})
		m[0].link.SetDisconnected(true)
		time.Sleep(2 * time.Minute)
		c.awaitHolder("b", time.Second)
		rows, err := c.table.Get(c.ctx, "task/"+testShard+"/t")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
	})
}

// Guards against two shards that accept a task under the same id, and against a repeated submission that
// is refused or written twice.
func TestTaskIDsAreUniqueAcrossShards(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startEntry("a")
		m.EnsureOwned("z-1")
		time.Sleep(10 * time.Second)
		first, _ := m.Owner(testShard)
		second, _ := m.Owner("z-1")
		assert.NilError(t, submit(t, first, task.Spec{ID: "t", Customer: "x"})[0])
		assert.NilError(t, submit(t, first, task.Spec{ID: "t", Customer: "x"})[0])
		assert.NilError(t, submit(t, second, task.Spec{ID: "t", Customer: "x"})[0])
		assert.Equal(t, errkind.Of(submit(t, second, task.Spec{ID: "t", Customer: "y"})[0]), errkind.AlreadyExists)
		rows, err := c.table.Scan(c.ctx, "task/", "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
	})
}

// Guards against one write per task in a bulk cancellation, and against a submission that has to wait
// until the cancellations are written.
func TestBulkCancellationIsBatched(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startEntry("a")
		time.Sleep(10 * time.Second)
		o, _ := m.Owner(testShard)
		const n = 3000
		specs, ids := make([]task.Spec, n), make([]string, n)
		for i := range specs {
			ids[i] = fmt.Sprintf("t%04d", i)
			specs[i] = task.Spec{ID: ids[i]}
		}
		for _, err := range submit(t, o, specs...) {
			assert.NilError(t, err)
		}
		before := c.table.Counts().Commits
		done := make(chan error, n)
		assert.NilError(t, o.Do(c.ctx, func() { o.Cancel(c.ctx, "", ids, func(_ string, err error) { done <- err }) }))
		began := time.Now()
		assert.NilError(t, submit(t, o, task.Spec{ID: "other"})[0])
		assert.Assert(t, time.Since(began) <= 3*shard.CommitInterval, "submission waited %v", time.Since(began))
		for range n {
			assert.NilError(t, <-done)
		}
		assert.Assert(t, c.table.Counts().Commits-before <= n/store.MaxTxnRows+3)
	})
}

// Guards against a submission that hangs in a store outage, and against losing a change made during one.
func TestOutageKeepsChanges(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		m := c.startInOrder("a", "b")
		o, _ := m[0].Owner(testShard)
		assert.NilError(t, submit(t, o, task.Spec{ID: "t"})[0])
		c.table.SetFaults(standin.Faults{Down: true})
		assert.Equal(t, errkind.Of(submit(t, o, task.Spec{ID: "u"})[0]), errkind.StoreUnavailable)
		done := make(chan error, 1)
		assert.NilError(t, o.Do(c.ctx, func() { o.Cancel(c.ctx, "", []string{"t"}, func(_ string, err error) { done <- err }) }))
		time.Sleep(10 * time.Minute)
		assert.Equal(t, errkind.Of(submit(t, o, task.Spec{ID: "v"})[0]), errkind.StoreUnavailable)
		c.table.SetFaults(standin.Faults{})
		assert.NilError(t, <-done)
		assert.NilError(t, submit(t, o, task.Spec{ID: "w"})[0])
	})
}

// Guards against shards that all stay with the entry that started first, and against a hand-over that
// leaves a shard without an owner.
func TestShardsAreBalanced(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startEntry("a")
		for i := range 4 {
			a.EnsureOwned(fmt.Sprintf("z-%d", i))
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(a.Owners()), 4)
		b := c.startEntry("b")
		time.Sleep(90 * time.Second)
		assert.Equal(t, len(a.Owners()), 2)
		assert.Equal(t, len(b.Owners()), 2)
	})
}
