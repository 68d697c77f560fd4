// Package member implements what all processes of a deployment share: their
// registration in the store and the connection from the owner of the work.
package member

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/wire"
)

// Table is the store table of the processes that the owner connects to.
const Table = "member"

// Role is the kind of a member process.
type Role uint8

// Roles.
const (
	Entry Role = iota
	Agent
)

// Member is the registration of one process.
type Member struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
	Role    Role   `msgpack:"r"`
	Zone    string `msgpack:"z"`
	// Incarnation distinguishes successive starts of the process.
	Incarnation uint64 `msgpack:"i"`
	// LastMessage is the highest type of the owner's messages that the process decodes, 0 where its build does not state it.
	LastMessage uint8 `msgpack:"lm,omitempty"`
	// CPU (in thousandths of a processor), MemoryMB and LinkMbps are what the machine of an entry has, 0 if unknown.
	CPU      int64   `msgpack:"c,omitempty"`
	MemoryMB int64   `msgpack:"m,omitempty"`
	LinkMbps float64 `msgpack:"l,omitempty"`
}

// Understands reports whether the member decodes messages of a type. Types up to wire.TypeCreateRow are older than the
// statement in its row.
func (m Member) Understands(t wire.Type) bool {
	return t <= wire.TypeCreateRow || t <= wire.Type(m.LastMessage)
}

// Register writes the member's row.
func Register(ctx context.Context, t store.Table, m Member) error {
	m.LastMessage = uint8(wire.LastDispatchType)
	value, err := msgpack.Marshal(&m)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode member")
	}
	_, err = t.Commit(ctx, store.Txn{Writes: []store.Write{{Key: Table + "/" + m.Name, Value: value}}})
	return err
}

// Timing of registration.
const (
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 200 * time.Millisecond
	// reregisterInterval is how long a member goes without a message from the owner before it registers again.
	reregisterInterval = 4 * time.Second
)

// KeepRegistered registers the member immediately, and again whenever no owner has
// sent a message for reregisterInterval, until ctx ends.
func KeepRegistered(ctx context.Context, t store.Table, m Member, sinceOwnerMessage func() time.Duration) {
	delay := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = reregisterInterval
		if sinceOwnerMessage() < reregisterInterval {
			continue
		}
		if err := Register(ctx, t, m); err != nil {
			delay = registerRetryDelay
		}
	}
}

// Decode decodes the value of a member's row.
func Decode(b []byte) (Member, error) {
	var m Member
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return m, errkind.Wrap(errkind.InvalidArgument, err, "decode member")
	}
	return m, nil
}
