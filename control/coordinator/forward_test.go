package coordinator

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against writes with an unknown outcome through an owner that the store does not serve either: a refusal is definite
// and lets the requester try again at once.
func TestOwnerWithoutCommitsRefusesForwardedWrites(t *testing.T) {
	table := newTable()
	c := &clock.Fake{}
	c.Advance(time.Hour)
	o := newOwner(Config{Store: table, Clock: c, Log: zerolog.Nop()}, ownerRow{}, 0)
	row := &wire.CreateRow{Key: dispatch.WorkKey("a")}
	c.Advance(maxCommitAgeToForward + 1)
	refusal, ok := o.createRow(row).(*wire.Error)
	assert.Assert(t, ok)
	assert.Equal(t, refusal.Kind, errkind.StoreUnavailable)
	assert.Equal(t, table.Counts().Commits, int64(0))
	o.lastCommitSent.Store(int64(c.Now()))
	_, ok = o.createRow(row).(*wire.Ack)
	assert.Assert(t, ok)
}
