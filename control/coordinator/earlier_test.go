package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/member"
)

// An owner whose process has ended extends no lease. If its next incarnation waited for
// the longest time without a commit, tasks of executors that were lost with it would
// not restart for 20 s although other executors had free capacity.
func TestRestartedOwnerDoesNotWaitForItsOwnLeases(t *testing.T) {
	bounds := dispatch.Bounds{AckValidity: 2 * time.Second, MaxStoreOutage: 15 * time.Second}
	c := &Candidate{cfg: Config{Bounds: bounds, Member: member.Member{Name: "a", Incarnation: 2}}}
	for name, tc := range map[string]struct {
		seen ownerRow
		want time.Duration
	}{
		"no owner before":        {ownerRow{}, bounds.AckValidity},
		"earlier incarnation":    {ownerRow{OwnerRecord: OwnerRecord{Owner: "a", Incarnation: 1, Entries: []string{"b"}}, version: 3}, bounds.AckValidity},
		"acknowledged the owner": {ownerRow{OwnerRecord: OwnerRecord{Owner: "b", Entries: []string{"a"}}, version: 3}, bounds.AckValidity},
		"not listed in the row":  {ownerRow{OwnerRecord: OwnerRecord{Owner: "b", Entries: []string{"c"}}, version: 3}, bounds.MaxStoreOutage},
		"no entry listed":        {ownerRow{OwnerRecord: OwnerRecord{Owner: "b"}, version: 3}, bounds.MaxStoreOutage},
		// The rows below are of owners that were lost before they granted a lease.
		"acknowledged the one before":                      {ownerRow{OwnerRecord: OwnerRecord{Owner: "b", Grantor: "c", Entries: []string{"a", "c"}}, version: 3}, bounds.AckValidity},
		"was the one before":                               {ownerRow{OwnerRecord: OwnerRecord{Owner: "b", Grantor: "a", Entries: []string{"c"}}, version: 3}, bounds.AckValidity},
		"joined after the one before":                      {ownerRow{OwnerRecord: OwnerRecord{Owner: "b", Grantor: "c", Entries: []string{"c"}}, version: 3}, bounds.MaxStoreOutage},
		"earlier incarnation that granted none":            {ownerRow{OwnerRecord: OwnerRecord{Owner: "a", Incarnation: 1, Grantor: "c", Entries: []string{"c"}}, version: 3}, bounds.MaxStoreOutage},
		"earlier incarnation of the build before, loading": {ownerRow{OwnerRecord: OwnerRecord{Owner: "a", Incarnation: 1}, version: 3}, bounds.MaxStoreOutage},
	} {
		t.Run(name, func(t *testing.T) {
			c.lastRow = tc.seen
			assert.Equal(t, c.previousOwnerWindow(), tc.want)
		})
	}
}
