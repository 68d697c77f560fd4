package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// silentOwner is the view of an entry that hears of no owner.
type silentOwner struct{}

func (silentOwner) Staleness() time.Duration { return time.Hour }
func (silentOwner) BeginTakeover()           {}
func (silentOwner) AbortTakeover()           {}

// testCandidate returns a candidate that takes over as soon as the owner's row has been unchanged for long enough.
func testCandidate(table store.Follower, c *clock.Fake, name string) *Candidate {
	bounds := dispatch.Bounds{AckValidity: 2 * time.Second, MaxStoreOutage: 15 * time.Second}
	return NewCandidate(Config{Store: table, Clock: c, Log: zerolog.Nop(), Bounds: bounds, Member: member.Member{Name: name, Incarnation: 9},
		Manifest: func() *manifest.Manifest { return nil }, HighestEpoch: func() uint64 { return 0 }}, silentOwner{})
}

// takeOver makes a candidate take over from an owner that is lost, and returns the row that it has written.
func takeOver(t *testing.T, c *clock.Fake, candidate *Candidate) ownerRow {
	t.Helper()
	for range 100 {
		if row, ok := candidate.tryTakeover(t.Context()); ok {
			return row
		}
		c.Advance(watchInterval)
	}
	t.Fatal("no takeover")
	return ownerRow{}
}

// writeRow writes the row of an owner that grants leases.
func writeRow(t *testing.T, table *standin.Table, r OwnerRecord) {
	t.Helper()
	value, err := r.encode()
	assert.NilError(t, err)
	table.Apply(store.Write{Key: ownerKey, Value: value})
}

// An owner that was lost before it granted a lease used to leave a row without entries, after a takeover as well as after a renewal
// while it loaded. The next one then waited for the longest time without a commit, and tasks of lost executors stood still.
func TestOwnerLostWhileLoadingProlongsNoLease(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		table, c := newTable(), new(clock.Fake)
		c.Advance(time.Hour)
		writeRow(t, table, OwnerRecord{Epoch: 1, Owner: "a", Entries: []string{"a", "b", "c", "d"}})
		// A chain of two owners that are lost while they load.
		for _, name := range []string{"b", "c"} {
			lost := testCandidate(table, c, name)
			row := takeOver(t, c, lost)
			if renewed {
				o := newOwner(lost.cfg, row, lost.previousOwnerWindow())
				assert.NilError(t, o.committer.commit(t.Context(), nil, nil, func() {}))
			}
		}
		next := testCandidate(table, c, "d")
		takeOver(t, c, next)
		assert.Equal(t, next.previousOwnerWindow(), next.cfg.Bounds.AckValidity, "renewed: %v", renewed)
		joined := testCandidate(table, c, "e")
		takeOver(t, c, joined)
		assert.Equal(t, joined.previousOwnerWindow(), joined.cfg.Bounds.MaxStoreOutage, "an entry that no owner has listed")
	}
}

// A takeover whose answer was lost replaces the same row, and carries on the same entries.
func TestTakeoverWithLostAnswerKeepsEntries(t *testing.T) {
	table, c := newTable(), new(clock.Fake)
	c.Advance(time.Hour)
	writeRow(t, table, OwnerRecord{Epoch: 1, Owner: "a", Entries: []string{"a", "b", "c"}})
	link := standin.NewLink(table)
	link.LoseCommitResponse(1)
	lost := testCandidate(link, c, "b")
	row := takeOver(t, c, lost)
	assert.DeepEqual(t, row.Entries, []string{"a", "b", "c"})
	assert.Equal(t, row.grantor(), "a")
	assert.Equal(t, lost.previousOwnerWindow(), lost.cfg.Bounds.AckValidity)
}

// A resigned owner of the build before does not tell who it was, so that its entries can't be carried on.
func TestEntriesOfUnknownGrantorAreNotCarriedOn(t *testing.T) {
	resigned := OwnerRecord{Epoch: 4, Entries: []string{"a", "b"}}
	next := resigned.successor("b", 9)
	assert.Equal(t, next.Grantor, "")
	assert.Equal(t, len(next.Entries), 0)
	assert.Equal(t, next.grantor(), "")
}

// Until a commit has recorded that an owner grants leases, its successor asks only the entries of an earlier one, so that acknowledgements
// of others must not extend a lease.
func TestLeasesAreNotExtendedByAcknowledgementsBeforeTheyAreRecorded(t *testing.T) {
	c := new(clock.Fake)
	c.Advance(time.Hour)
	candidate := testCandidate(newTable(), c, "b")
	o := newOwner(candidate.cfg, ownerRow{OwnerRecord: OwnerRecord{Epoch: 2, Owner: "b", Grantor: "a", Entries: []string{"a"}}}, 0)
	o.workFollower = o.newWorkFollower(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o.done = ctx.Done()
	memberSink{ctx, o}.Current(c.Now())
	o.conns.members["b"], o.conns.registeredAt["b"] = member.Member{Name: "b", Role: member.Entry}, c.Now()
	assert.NilError(t, o.startCommit(ctx, c.Now()))
	c.Advance(candidate.cfg.Bounds.AckValidity)
	o.conns.lastAcked["b"] = c.Now()
	assert.Equal(t, o.acknowledgedAt(), time.Duration(0))
	assert.NilError(t, o.applyCommitResult(<-o.commitResults))
	assert.Equal(t, o.acknowledgedAt(), c.Now())
	assert.Equal(t, o.committer.row.grantor(), "b")
	assert.DeepEqual(t, o.committer.row.Entries, []string{"b"})
}
