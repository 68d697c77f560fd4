package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/member"
)

// An owner whose process has ended can extend no lease. When its next life waited for
// the longest time without a commit, tasks of executors that were lost with it stood
// still for 20 s, though others had room.
func TestNextLifeOfTheOwnerDoesNotWaitForItsOwnLeases(t *testing.T) {
	bounds := dispatch.Bounds{Consent: 2 * time.Second, StoreLoss: 15 * time.Second}
	c := &Candidate{cfg: Config{Bounds: bounds, Member: member.Member{Name: "a", Incarnation: 2}}}
	for name, tc := range map[string]struct {
		seen head
		want time.Duration
	}{
		"no owner before":       {head{}, bounds.Consent},
		"own earlier life":      {head{OwnerRecord: OwnerRecord{Owner: "a", Incarnation: 1, Entries: []string{"b"}}, version: 3}, bounds.Consent},
		"gives its consent":     {head{OwnerRecord: OwnerRecord{Owner: "b", Entries: []string{"a"}}, version: 3}, bounds.Consent},
		"not asked for consent": {head{OwnerRecord: OwnerRecord{Owner: "b", Entries: []string{"c"}}, version: 3}, bounds.StoreLoss},
		"nobody was asked":      {head{OwnerRecord: OwnerRecord{Owner: "b"}, version: 3}, bounds.StoreLoss},
	} {
		t.Run(name, func(t *testing.T) {
			c.seen = tc.seen
			assert.Equal(t, c.earlierOwner(), tc.want)
		})
	}
}
