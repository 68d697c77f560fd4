package coordinator

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/state/member"
)

// Rows of the build before, which has no capabilities.
type (
	earlierMember struct {
		Name        string      `msgpack:"n"`
		Address     string      `msgpack:"a"`
		Role        member.Role `msgpack:"r"`
		Zone        string      `msgpack:"z"`
		Incarnation uint64      `msgpack:"i"`
	}
	earlierOwner struct {
		Epoch       uint64   `msgpack:"e"`
		Owner       string   `msgpack:"o"`
		Incarnation uint64   `msgpack:"i"`
		Sequence    uint64   `msgpack:"s"`
		Entries     []string `msgpack:"n,omitempty"`
	}
)

// Guards against rows that the previous build cannot read, or whose new keys are written where they are not called for.
func TestRowsAreReadableByEarlierBuilds(t *testing.T) {
	marshal := func(v any) []byte {
		b, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		return b
	}
	assert.DeepEqual(t, marshal(&member.Member{Name: "a", Address: "b", Incarnation: 3}), marshal(&earlierMember{Name: "a", Address: "b", Incarnation: 3}))
	assert.DeepEqual(t, marshal(&OwnerRecord{Epoch: 3, Owner: "a"}), marshal(&earlierOwner{Epoch: 3, Owner: "a"}))
	var m earlierMember
	assert.NilError(t, msgpack.Unmarshal(marshal(&member.Member{Name: "a", Zone: "z", CPU: 1, MemoryMB: 2, LinkMbps: 3}), &m))
	assert.Equal(t, m, earlierMember{Name: "a", Zone: "z"})
	var o earlierOwner
	assert.NilError(t, msgpack.Unmarshal(marshal(&OwnerRecord{Epoch: 3, Entries: []string{"a"}, Strongest: &succession.Capability{CPU: 1}, HandedOver: true}), &o))
	assert.DeepEqual(t, o, earlierOwner{Epoch: 3, Entries: []string{"a"}})
	decoded, err := member.Decode(marshal(&m))
	assert.NilError(t, err)
	assert.Assert(t, !capabilityOf(decoded).Known())
}

// Guards against a delay that ignores the capability of the others, and against another one than before where it is not known.
func TestTakeoverDelayFollowsCapability(t *testing.T) {
	small := &Candidate{cfg: Config{TakeoverDelay: 300 * time.Millisecond, Member: member.Member{Name: "small", CPU: 192, MemoryMB: 184, LinkMbps: 10}}}
	large := succession.Capability{CPU: 800, MemoryMB: 536, LinkMbps: 200}
	assert.Equal(t, small.takeoverWait(&ownerRow{version: 3}), 300*time.Millisecond)
	assert.Assert(t, small.takeoverWait(&ownerRow{version: 3, OwnerRecord: OwnerRecord{Strongest: &large}}) > 500*time.Millisecond)
	off := &Candidate{cfg: Config{TakeoverDelay: 300 * time.Millisecond, Member: member.Member{Name: "off"}}}
	assert.Equal(t, off.takeoverWait(&ownerRow{version: 3, OwnerRecord: OwnerRecord{Strongest: &large}}), 300*time.Millisecond)
}
