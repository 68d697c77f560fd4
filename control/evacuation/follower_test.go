package evacuation_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

const prefix = "t/zone/"

func zoneOf(key string) (string, bool) { return strings.CutPrefix(key, prefix) }

// operator changes evacuations in a table that a follower reads.
type operator struct {
	t        *testing.T
	table    *standin.Table
	zones    *evacuation.Follower
	follower *follow.Follower
	clock    clock.Clock
}

func newOperator(t *testing.T, ctx context.Context) *operator {
	t.Helper()
	o := &operator{t: t, table: standin.NewTable(10_000, 10_000), zones: evacuation.NewFollower(zoneOf, zerolog.Nop()), clock: clock.NewRuntime()}
	o.follower = follow.New(o.table, "t", follow.Sinks{o.zones}, o.clock, zerolog.Nop())
	go o.follower.Run(ctx, 0)
	return o
}

func (o *operator) write(zone string, evacuate bool) {
	_, err := o.table.Commit(o.t.Context(), store.Txn{Writes: []store.Write{{Key: prefix + zone, Value: []byte("{}"), Delete: !evacuate}}})
	assert.NilError(o.t, err)
}

// run runs a test in virtual time.
func run(t *testing.T, test func(t *testing.T, o *operator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, newOperator(t, ctx))
		cancel()
		synctest.Wait()
	})
}

// Two zones at once, withdrawn and set again: each change counts, in its order.
func TestFollowsChanges(t *testing.T) {
	run(t, func(t *testing.T, o *operator) {
		o.write("other-kind-of-row", false)
		o.write("a", true)
		o.write("b", true)
		time.Sleep(time.Second)
		assert.DeepEqual(t, o.zones.Current().Names(), []string{"a", "b"})
		o.write("a", false)
		o.write("a", true)
		o.write("b", false)
		time.Sleep(time.Second)
		assert.DeepEqual(t, o.zones.Current().Names(), []string{"a"})
	})
}

// While the store is out of reach, zones are evacuated and restored, and the history of that time is
// dropped. A restored zone must not stay evacuated, since no change will tell of it any more, and
// one that was evacuated must not be missed.
func TestChangesInDroppedHistoryAreSeen(t *testing.T) {
	run(t, func(t *testing.T, o *operator) {
		o.write("restored", true)
		o.write("stays", true)
		time.Sleep(time.Second)
		assert.DeepEqual(t, o.zones.Current().Names(), []string{"restored", "stays"})
		o.table.SetFaults(standin.Faults{Latency: 3 * time.Second})
		time.Sleep(time.Second)
		o.write("restored", false)
		o.write("new", true)
		o.table.Compact()
		o.table.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, o.zones.Current().Names(), []string{"new", "stays"})
	})
}

// A process that is cut off from the store can't know of new evacuations. The age of what it knows
// must show that, or it goes on to place tasks in an evacuated zone.
func TestKnowledgeAgesDuringOutage(t *testing.T) {
	run(t, func(t *testing.T, o *operator) {
		age := func() time.Duration { return o.clock.Now() - o.follower.CurrentAsOf() }
		time.Sleep(3 * time.Second)
		assert.Assert(t, age() <= 2*time.Second, "knowledge is %v old", age())
		o.table.SetFaults(standin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		assert.Assert(t, age() >= 4*time.Second, "knowledge is %v old after an outage of 5 s", age())
		o.table.SetFaults(standin.Faults{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, age() <= 2*time.Second, "knowledge is %v old", age())
	})
}

// A table read or a change that is older than what is known arrives late. It must neither bring back
// an evacuation that was withdrawn nor drop one that stands.
func TestOlderReadsAreIgnored(t *testing.T) {
	f := evacuation.NewFollower(zoneOf, zerolog.Nop())
	f.Table([]store.Row{{Key: prefix + "a", Version: 5}}, 7)
	f.Row(store.Change{Row: store.Row{Key: prefix + "a", Version: 9}, Deleted: true})
	f.Row(store.Change{Row: store.Row{Key: prefix + "b", Version: 10}})
	f.Table([]store.Row{{Key: prefix + "a", Version: 5}}, 8)
	f.Row(store.Change{Row: store.Row{Key: prefix + "a", Version: 5}})
	assert.DeepEqual(t, f.Current().Names(), []string{"b"})
}
