package route_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/wire"
)

func upstream(vm, zone string, slots uint16) wire.Upstream {
	return wire.Upstream{VM: vm, Incarnation: 1, Zone: zone, Service: "s", Slots: slots}
}

func skipNone(*wire.Upstream) bool { return false }

// Guards against unnecessary traffic between availability zones, uneven load and
// more requests than slots.
func TestPicker(t *testing.T) {
	near, far := upstream("near", "a", 4), upstream("far", "b", 4)
	for _, c := range []struct {
		name      string
		upstreams []wire.Upstream
		picks     int
		want      map[string]int
		result    route.PickResult
	}{
		{"own zone first", []wire.Upstream{far, near}, 1, map[string]int{"near": 1}, route.Picked},
		{"other zone when the own one has a quarter more load", []wire.Upstream{far, near}, 4, map[string]int{"near": 3, "far": 1}, route.Picked},
		{"equal load in one zone", []wire.Upstream{near, upstream("near2", "a", 4)}, 4, map[string]int{"near": 2, "near2": 2}, route.Picked},
		{"larger upstreams get more", []wire.Upstream{near, upstream("big", "a", 12)}, 8, map[string]int{"near": 2, "big": 6}, route.Picked},
		{"every slot once", []wire.Upstream{near, far}, 8, map[string]int{"near": 4, "far": 4}, route.Picked},
		{"full", []wire.Upstream{near}, 5, map[string]int{"near": 4}, route.NoFreeSlot},
		{"no upstream", nil, 1, map[string]int{}, route.NoUpstream},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := route.NewPicker("a", 1)
			got := make(map[string]int)
			var result route.PickResult
			for range c.picks {
				var u wire.Upstream
				if u, _, result = p.Pick(c.upstreams, skipNone, time.Now()); result == route.Picked {
					got[u.VM]++
				}
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, result, c.result)
		})
	}
}

// Guards against an entry that sends requests to slots that other entries use, and
// against one that never retries a full upstream.
func TestPickerTracksLoadFromOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, list := route.NewPicker("a", 1), []wire.Upstream{upstream("vm", "a", 2)}
		u, _, _ := p.Pick(list, skipNone, time.Now())
		p.Done(&u, 0, time.Now())
		_, _, v := p.Pick(list, skipNone, time.Now())
		assert.Equal(t, v, route.NoFreeSlot)
		time.Sleep(30 * time.Millisecond)
		_, _, v = p.Pick(list, skipNone, time.Now())
		assert.Equal(t, v, route.Picked)
		_, _, v = p.Pick(list, skipNone, time.Now())
		assert.Equal(t, v, route.NoFreeSlot, "one extra request per interval")
	})
}

func members(epoch, version uint64, list ...wire.Upstream) wire.Members {
	return wire.Members{Digest: wire.ShardDigest{Shard: "a-0", Epoch: epoch, Version: version}, Upstreams: list}
}

// Guards against old membership lists that replace newer ones, requests to draining
// upstreams, and a gap without upstreams when a shard gets a new owner.
func TestTableMembership(t *testing.T) {
	vm := upstream("vm", "a", 1)
	leaving, restarted := vm, vm
	leaving.Draining, restarted.Incarnation = true, 2
	for _, c := range []struct {
		name string
		act  func(tb *route.Table)
		want []uint64
	}{
		{"listed", func(*route.Table) {}, []uint64{1}},
		{"removed by the owner", func(tb *route.Table) { tb.Apply(members(1, 2)) }, nil},
		{"older list", func(tb *route.Table) { tb.Apply(members(1, 1)); tb.Apply(members(0, 9)) }, []uint64{1}},
		{"draining", func(tb *route.Table) { tb.Apply(members(1, 2, leaving)) }, nil},
		{"draining, reported by the agent", func(tb *route.Table) { tb.SetDraining(route.KeyOf(&vm), true) }, nil},
		{"drain reverted, reported by the agent", func(tb *route.Table) {
			tb.SetDraining(route.KeyOf(&vm), true)
			tb.SetDraining(route.KeyOf(&vm), false)
		}, []uint64{1}},
		{"new owner without agents", func(tb *route.Table) { tb.Apply(members(2, 1)) }, []uint64{1}},
		{"new owner, restarted agent", func(tb *route.Table) { tb.Apply(members(2, 1)); tb.Apply(members(2, 2, restarted)) }, []uint64{2}},
		{"new owner, agent not announced within the grace period", func(tb *route.Table) { tb.Apply(members(2, 1)); time.Sleep(11 * time.Second) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := route.NewTable("a", 1)
				tb.Apply(members(1, 1, vm))
				c.act(tb)
				var got []uint64
				if u, _, v := tb.Pick("s", skipNone); v == route.Picked {
					got = append(got, u.Incarnation)
				}
				assert.DeepEqual(t, got, c.want)
				time.Sleep(11 * time.Second)
			})
		})
	}
}

// Guards against customers that exceed their plan, and against applying the limits of
// an older configuration.
func TestLimiter(t *testing.T) {
	for _, c := range []struct {
		name         string
		limit        plan.Limit
		send         int
		keepInFlight bool
		want         int
		kind         errkind.Kind
	}{
		{"no limit", plan.Limit{}, 1000, true, 1000, errkind.None},
		{"burst of a tenth of a second", plan.Limit{RequestsPerSecond: 100}, 50, false, 10, errkind.RateLimited},
		{"at least one", plan.Limit{RequestsPerSecond: 0.5}, 2, false, 1, errkind.RateLimited},
		{"concurrency", plan.Limit{Concurrency: 3}, 5, true, 3, errkind.ConcurrencyLimited},
		{"concurrency, sequential requests", plan.Limit{Concurrency: 1}, 5, false, 5, errkind.None},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l route.Limiter
				admitted, kind := 0, errkind.None
				for range c.send {
					release, err := l.Acquire("c", c.limit)
					if err != nil {
						kind = errkind.Of(err)
						continue
					}
					admitted++
					if !c.keepInFlight {
						release()
					}
				}
				assert.Equal(t, admitted, c.want)
				assert.Equal(t, kind, c.kind)
				_, err := l.Acquire("other", c.limit)
				assert.NilError(t, err, "another customer is not affected")
				time.Sleep(2 * time.Second)
				_, err = l.Acquire("c", plan.Limit{RequestsPerSecond: 1000})
				assert.NilError(t, err, "the current limit applies")
			})
		})
	}
}

// Guards against unbounded waits, shedding in the wrong order and lost wakes.
func TestQueue(t *testing.T) {
	type waiting struct {
		priority int
		maxWait  time.Duration
	}
	for _, c := range []struct {
		name    string
		waiting []waiting
		// wakes is the number of waiters woken, one per millisecond, before poll wakes any.
		wakes int
		// want is the order in which waiters proceed; the others are rejected.
		want []int
		// within bounds the time until the last rejection.
		within time.Duration
	}{
		{"arrival order", []waiting{{1, time.Second}, {1, time.Second}}, 2, []int{0, 1}, time.Hour},
		{"priority before arrival", []waiting{{1, time.Second}, {9, time.Second}}, 2, []int{1, 0}, time.Hour},
		{"full, the same priority is rejected immediately", []waiting{{1, time.Second}, {1, time.Second}, {1, time.Second}}, 2, []int{0, 1}, 0},
		{"full, the lowest priority is shed immediately", []waiting{{1, time.Second}, {0, time.Second}, {1, time.Second}}, 2, []int{0, 2}, 0},
		{"rejected after the maximum wait", []waiting{{1, 10 * time.Millisecond}}, 0, nil, 10 * time.Millisecond},
		{"woken by the poll", []waiting{{1, time.Second}}, 0, []int{0}, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := route.NewQueue(2)
				start := time.Now()
				var mu sync.Mutex
				var got []int
				for i, w := range c.waiting {
					go func() {
						err := q.Wait(context.Background(), q.Waiter(w.priority, w.maxWait))
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							got = append(got, i)
							return
						}
						assert.Check(t, errkind.Of(err) == errkind.QueueFull)
						assert.Check(t, time.Since(start) <= c.within, "rejected after %v", time.Since(start))
					}()
					synctest.Wait()
				}
				for range c.wakes {
					time.Sleep(time.Millisecond)
					q.Wake(1)
				}
				time.Sleep(2 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				assert.DeepEqual(t, got, c.want)
				assert.Equal(t, q.Len(), 0)
			})
		})
	}
}

// Guards against requests that wait although the expected wait exceeds their maximum.
func TestQueueRejectsExcessiveWaitsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := route.NewQueue(1000)
		wait := func(maxWait time.Duration) error { return q.Wait(context.Background(), q.Waiter(1, maxWait)) }
		for range 500 {
			go func() { _ = wait(time.Hour) }()
		}
		synctest.Wait()
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			q.Wake(1)
		}
		synctest.Wait()
		assert.Assert(t, q.Len() > 0)
		start := time.Now()
		assert.Equal(t, errkind.Of(wait(5*time.Millisecond)), errkind.QueueFull)
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.Sleep(time.Minute)
	})
}

// Guards against queueing every request of a starved priority: only one waits at a
// time, and the others are rejected immediately until one proceeds.
func TestQueueShedsStarvedPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := route.NewQueue(100)
		wait := func(priority int, maxWait time.Duration) (time.Duration, error) {
			start := time.Now()
			err := q.Wait(context.Background(), q.Waiter(priority, maxWait))
			return time.Since(start), err
		}
		for range 50 {
			go func() { _, _ = wait(9, time.Hour) }()
		}
		synctest.Wait()
		took, err := wait(1, 100*time.Millisecond)
		assert.Equal(t, errkind.Of(err), errkind.QueueFull)
		assert.Equal(t, took, 100*time.Millisecond)
		go func() { _, _ = wait(1, time.Hour) }()
		synctest.Wait()
		for _, priority := range []int{1, 0} {
			took, err = wait(priority, time.Hour)
			assert.Equal(t, errkind.Of(err), errkind.QueueFull)
			assert.Equal(t, took, time.Duration(0))
		}
		q.Wake(100)
		synctest.Wait()
		_, err = wait(1, time.Hour)
		assert.NilError(t, err, "a request of the priority has proceeded")
	})
}

// Guards against losing a wake that was delivered to a cancelled waiter.
func TestQueuePassesOnWakeOfCancelledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := route.NewQueue(10)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = q.Wait(ctx, q.Waiter(9, time.Second)) }()
		synctest.Wait()
		start, proceeded := time.Now(), make(chan time.Time, 1)
		go func() {
			if q.Wait(context.Background(), q.Waiter(1, time.Second)) == nil {
				proceeded <- time.Now()
			}
		}()
		synctest.Wait()
		cancel()
		q.Wake(1)
		q.Wake(1)
		assert.Equal(t, (<-proceeded).Sub(start), time.Duration(0))
		time.Sleep(time.Second)
	})
}

// Guards against retries that amplify an overload.
func TestBudget(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		idle     time.Duration
		want     int
	}{
		{"no traffic", 0, 0, 0},
		{"a tenth of the requests", 100, 0, 10},
		{"slow refill without traffic", 0, 3 * time.Second, 6},
		{"saved retries are bounded", 10_000, time.Hour, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := route.NewBudget(route.DefaultBudget())
				for b.Take() {
				}
				for range c.requests {
					b.RecordRequest()
				}
				time.Sleep(c.idle)
				got := 0
				for b.Take() {
					got++
				}
				assert.Assert(t, got >= c.want-1 && got <= c.want, "got %d, want %d", got, c.want)
			})
		})
	}
}

// Guards against retry delays without jitter or bound.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for n, bound := range []time.Duration{5, 10, 20, 40, 80, 160, 250, 250} {
		seen := make(map[time.Duration]bool)
		for range 50 {
			d := route.Backoff(n, random)
			assert.Assert(t, d > 0 && d <= bound*time.Millisecond, "retry %d: %v", n, d)
			seen[d] = true
		}
		assert.Assert(t, len(seen) > 40)
	}
}

// Guards against keeping repeatedly failing upstreams in use, and against ejecting too many.
func TestOutliers(t *testing.T) {
	key := func(i int) route.Key { return route.Key{VM: fmt.Sprint(i), Incarnation: 1} }
	fail := func(o *route.Outliers, i, times, total int) {
		for range times {
			o.RecordFailure(key(i), total)
		}
	}
	for _, c := range []struct {
		name  string
		total int
		act   func(o *route.Outliers)
		want  int
	}{
		{"four failures", 4, func(o *route.Outliers) { fail(o, 0, 4, 4) }, 0},
		{"five consecutive failures", 4, func(o *route.Outliers) { fail(o, 0, 5, 4) }, 1},
		{"a success in between", 4, func(o *route.Outliers) { fail(o, 0, 4, 4); o.RecordSuccess(key(0)); fail(o, 0, 4, 4) }, 0},
		{"half stay in use", 4, func(o *route.Outliers) {
			for i := range 4 {
				fail(o, i, 9, 4)
			}
		}, 2},
		{"the only upstream stays in use", 1, func(o *route.Outliers) { fail(o, 0, 50, 1) }, 0},
		{"back after the ejection", 4, func(o *route.Outliers) { fail(o, 0, 5, 4); time.Sleep(time.Second) }, 0},
		{"one failure after the ejection", 4, func(o *route.Outliers) { fail(o, 0, 5, 4); time.Sleep(time.Second); fail(o, 0, 1, 4) }, 1},
		{"the second ejection is longer", 4, func(o *route.Outliers) {
			fail(o, 0, 5, 4)
			time.Sleep(time.Second)
			fail(o, 0, 1, 4)
			time.Sleep(1500 * time.Millisecond)
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := route.NewOutliers(route.DefaultOutliers())
				c.act(o)
				got := 0
				for i := range c.total {
					if o.Ejected(key(i)) {
						got++
					}
				}
				assert.Equal(t, got, c.want)
			})
		})
	}
}

// Guards against hedging ordinary requests: the delay must settle near the 95th percentile.
func TestHedgeDelay(t *testing.T) {
	var h route.HedgeDelay
	random := rand.New(rand.NewPCG(3, 4))
	for range 20_000 {
		h.Observe(time.Duration(random.Float64() * float64(100*time.Millisecond)))
	}
	d := h.Delay()
	assert.Assert(t, d > 85*time.Millisecond && d < 105*time.Millisecond, "delay %v", d)
}

// Upstreams of an evacuated zone get no requests, also when no other zone serves them.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	table := route.NewTable("z1", 1)
	table.Apply(members(1, 1, upstream("a", "z1", 2), upstream("b", "z2", 2)))
	table.SetEvacuated([]string{"z1"})
	for range 4 {
		if u, _, v := table.Pick("s", skipNone); v == route.Picked {
			assert.Equal(t, u.VM, "b")
		}
	}
	table.SetEvacuated([]string{"z1", "z2"})
	_, _, v := table.Pick("s", skipNone)
	assert.Equal(t, v, route.NoUpstream)
	table.SetEvacuated(nil)
	_, _, v = table.Pick("s", skipNone)
	assert.Equal(t, v, route.Picked)
}
