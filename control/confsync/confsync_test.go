package confsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/control/lease"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// node is an entry that runs only the configuration protocol.
type node struct {
	id       string
	link     *standin.Link
	clock    clock.Clock
	follower *confsync.Follower
	proposer *confsync.Proposer
	grants   *lease.ExtensionGrants
	members  []string
	stop     context.CancelFunc

	mu      sync.Mutex
	applied map[uint64]time.Duration
}

func start(ctx context.Context, table *standin.Table, id string, members ...string) *node {
	link := standin.NewLink(table)
	c := clock.NewRuntime()
	n := &node{id: id, link: link, clock: c, follower: confsync.NewFollower(link, c), grants: lease.NewExtensionGrants(),
		members: members, applied: make(map[uint64]time.Duration)}
	n.proposer = confsync.NewProposer(id, link, c, n.grants)
	ctx, n.stop = context.WithCancel(ctx)
	go n.run(ctx)
	return n
}

// run polls, and registers every 5 s and immediately when a change becomes pending.
func (n *node) run(ctx context.Context) {
	reg := confsync.Registration{ID: n.id, Incarnation: 1, Members: n.members}
	var nextRegister time.Duration
	for ctx.Err() == nil {
		change, err := n.follower.Poll(ctx)
		if err == nil && change.InForce != nil {
			n.mu.Lock()
			n.applied[change.InForce.Generation] = n.clock.Now()
			n.mu.Unlock()
		}
		if now := n.clock.Now(); change.Prepare || now >= nextRegister {
			reg.Counter++
			reg.Prepared, reg.InForce = n.follower.Generations()
			value, _ := msgpack.Marshal(reg)
			if _, err := n.link.Commit(ctx, store.Txn{Writes: []store.Write{{Key: confsync.RegistrationPrefix + n.id, Value: value}}}); err == nil {
				n.follower.Registered(now)
				nextRegister = now + 5*time.Second
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(n.follower.PollInterval()):
		}
	}
}

// apply proposes a change and waits until it is accepted.
func (n *node) apply(ctx context.Context, base uint64, customer string) (plan.Document, error) {
	next, accepted, err := n.proposer.Propose(ctx, document(base, customer))
	if err != nil || accepted {
		return next, err
	}
	for ctx.Err() == nil {
		if done, _, err := n.proposer.TryAccept(ctx, next.Generation); done || errkind.Of(err) == errkind.Conflict {
			return next, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return next, ctx.Err()
}

func document(base uint64, customer string) plan.Document {
	return plan.Document{Generation: base, Plans: []plan.CustomerPlan{{Customer: customer, Plan: "p"}}, Limits: []plan.Limit{{Plan: "p"}}}
}

func withTestClock(t *testing.T, f func(t *testing.T, ctx context.Context, table *standin.Table)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(t, ctx, standin.NewTable(1e6, 1e6))
	})
}

// inForceBound is the required limit: 3 s after acceptance a change is in force at every
// entry that admits requests.
const inForceBound = 3 * time.Second

func (n *node) assertNoStaleAdmission(t *testing.T, generation uint64) {
	t.Helper()
	assert.Assert(t, n.follower.Document().Generation >= generation || n.follower.Admit() != nil,
		"%s admits under generation %d after %d was accepted", n.id, n.follower.Document().Generation, generation)
}

// Guards against an entry that admits requests under a replaced configuration,
// and against a crashed or partitioned entry that blocks a change forever.
func TestChangeWithFailedEntry(t *testing.T) {
	cases := map[string]struct {
		inject func(n *node)
		limit  time.Duration
	}{
		"all healthy":              {func(*node) {}, 3 * time.Second},
		"entry crashed":            {func(n *node) { n.stop() }, 13 * time.Second},
		"entry cut off from store": {func(n *node) { n.link.SetDisconnected(true) }, 13 * time.Second},
		"partition that heals": {func(n *node) {
			n.link.SetDisconnected(true)
			go func() { time.Sleep(20 * time.Second); n.link.SetDisconnected(false) }()
		}, 13 * time.Second},
		"cut off while preparing": {func(n *node) {
			go func() { time.Sleep(600 * time.Millisecond); n.link.SetDisconnected(true) }()
		}, 13 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
				a, b := start(ctx, table, "a", "b"), start(ctx, table, "b", "a")
				time.Sleep(8 * time.Second)
				assert.NilError(t, b.follower.Admit())
				c.inject(b)
				began := time.Now()
				doc, err := a.apply(ctx, 0, "x")
				assert.NilError(t, err)
				assert.Assert(t, time.Since(began) <= c.limit, "acceptance took %v", time.Since(began))
				time.Sleep(inForceBound)
				a.assertNoStaleAdmission(t, doc.Generation)
				b.assertNoStaleAdmission(t, doc.Generation)
				assert.Equal(t, a.follower.Document().Generation, doc.Generation)
				time.Sleep(30 * time.Second)
				b.assertNoStaleAdmission(t, doc.Generation)
			})
		})
	}
}

// Guards against a change that is applied twice or lost when the reply to any write of the protocol is lost.
func TestLostReplyAtEveryWrite(t *testing.T) {
	for n := 1; n <= 4; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
				a := start(ctx, table, "a")
				start(ctx, table, "b", "a")
				time.Sleep(8 * time.Second)
				a.link.LoseCommitResponse(n)
				doc, err := a.apply(ctx, 0, "x")
				assert.NilError(t, err)
				repeated, err := a.apply(ctx, 0, "x")
				assert.NilError(t, err)
				assert.Equal(t, repeated.Generation, doc.Generation)
				time.Sleep(inForceBound)
				assert.Equal(t, a.follower.Document().Generation, uint64(1))
			})
		})
	}
}

// Guards against a lost update between concurrent operators, and against a conflict
// that does not return the current generation and document.
func TestConcurrentOperators(t *testing.T) {
	withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
		a, b := start(ctx, table, "a", "b"), start(ctx, table, "b", "a")
		time.Sleep(8 * time.Second)
		type result struct {
			doc plan.Document
			err error
		}
		results := make(chan result, 2)
		for i, n := range []*node{a, b} {
			go func() {
				doc, err := n.apply(ctx, 0, fmt.Sprint("customer-", i))
				results <- result{doc, err}
			}()
		}
		conflicts := 0
		for range 2 {
			if r := <-results; r.err != nil {
				assert.Equal(t, errkind.Of(r.err), errkind.Conflict)
				conflicts++
			}
		}
		assert.Equal(t, conflicts, 1)
		doc, err := a.apply(ctx, 0, "late")
		assert.Equal(t, errkind.Of(err), errkind.Conflict)
		assert.Equal(t, doc.Generation, uint64(1))
		assert.Equal(t, len(doc.Plans), 1)
	})
}

// Guards against a crashed proposer that blocks all further changes.
func TestOtherEntryAcceptsChange(t *testing.T) {
	withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
		a, b := start(ctx, table, "a", "b"), start(ctx, table, "b", "a")
		time.Sleep(8 * time.Second)
		next, _, err := a.proposer.Propose(ctx, document(0, "x"))
		assert.NilError(t, err)
		a.stop()
		for range 200 {
			if done, _, _ := b.proposer.TryAccept(ctx, next.Generation); done {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(inForceBound)
		assert.Equal(t, b.follower.Document().Generation, next.Generation)
		a.assertNoStaleAdmission(t, next.Generation)
	})
}

// Guards against a process that admits requests without a configuration, against an
// admission after the lease has expired, and against an acceptance while a lease
// extension is in effect.
func TestStoreOutage(t *testing.T) {
	withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
		a, b := start(ctx, table, "a", "b"), start(ctx, table, "b", "a")
		time.Sleep(8 * time.Second)
		table.SetFaults(standin.Faults{Down: true})
		late := start(ctx, table, "c")
		// Entry a gets lease extensions from b for 30 minutes; b gets none.
		for range 600 {
			requestedAt := a.clock.Now()
			if b.grants.Grant("a", b.clock.Now()) {
				a.follower.ExtendLease(requestedAt)
			}
			time.Sleep(3 * time.Second)
		}
		assert.NilError(t, a.follower.Admit())
		assert.Equal(t, errkind.Of(b.follower.Admit()), errkind.ConfigStale)
		assert.Equal(t, errkind.Of(late.follower.Admit()), errkind.NotReady)
		a.link.SetDisconnected(true)
		table.SetFaults(standin.Faults{})
		doc, err := b.apply(ctx, 0, "x")
		assert.NilError(t, err)
		time.Sleep(inForceBound)
		a.assertNoStaleAdmission(t, doc.Generation)
		assert.NilError(t, late.follower.Admit())
	})
}

// Guards against an early acceptance by a proposer that the lease holder does not list
// as a member: the holder may have extended its lease with other members.
func TestUnlistedProposerWaitsLonger(t *testing.T) {
	withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
		a := start(ctx, table, "a", "b")
		unlisted := start(ctx, table, "c")
		time.Sleep(8 * time.Second)
		a.link.SetDisconnected(true)
		next, _, err := unlisted.proposer.Propose(ctx, document(0, "x"))
		assert.NilError(t, err)
		began := time.Now()
		for done := false; !done; {
			done, _, _ = unlisted.proposer.TryAccept(ctx, next.Generation)
			time.Sleep(time.Second)
		}
		assert.Assert(t, time.Since(began) >= lease.MaxExtension)
	})
}

// Guards against configuration histories that are not linearizable, under lost replies
// and short outages.
func TestConfigurationLinearizable(t *testing.T) {
	type op struct {
		propose bool
		base    uint64
	}
	type out struct {
		generation uint64
		accepted   bool
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			s, in, o := state.(uint64), input.(op), output.(out)
			switch {
			case !in.propose:
				return o.generation == s, s
			case o.accepted:
				return s == in.base && o.generation == s+1, s + 1
			}
			return true, s
		},
	}
	for seed := range uint64(4) {
		withTestClock(t, func(t *testing.T, ctx context.Context, table *standin.Table) {
			begin := time.Now()
			var mu sync.Mutex
			var ops []porcupine.Operation
			record := func(client int, in op, call time.Duration, o out) {
				mu.Lock()
				defer mu.Unlock()
				ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: o, Return: int64(time.Since(begin))})
			}
			var nodes []*node
			for _, id := range []string{"a", "b", "c"} {
				nodes = append(nodes, start(ctx, table, id, "a", "b", "c"))
			}
			time.Sleep(8 * time.Second)
			var wg sync.WaitGroup
			for i, n := range nodes {
				wg.Add(1)
				go func() {
					defer wg.Done()
					r := rand.New(rand.NewPCG(seed, uint64(i)))
					for k := range 10 {
						time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
						call := time.Since(begin)
						f := confsync.NewFollower(n.link, n.clock)
						if _, err := f.Poll(ctx); err != nil {
							continue
						}
						base := f.Document().Generation
						record(i, op{}, call, out{generation: base})
						call = time.Since(begin)
						doc, err := n.apply(ctx, base, fmt.Sprintf("%d-%d", i, k))
						record(i, op{true, base}, call, out{doc.Generation, err == nil})
					}
				}()
			}
			r := rand.New(rand.NewPCG(seed, 77))
			for range 40 {
				time.Sleep(500 * time.Millisecond)
				table.SetFaults(standin.Faults{LoseResponses: r.IntN(2), Down: r.IntN(8) == 0, Latency: time.Duration(r.IntN(20)) * time.Millisecond})
			}
			table.SetFaults(standin.Faults{})
			wg.Wait()
			assert.Assert(t, porcupine.CheckOperations(model, ops), "seed %d", seed)
		})
	}
}
