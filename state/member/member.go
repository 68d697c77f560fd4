// Package member holds what all processes of a deployment share: their
// registration in the store, and the connection from the owner of the work.
package member

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// Table lists the processes that the owner connects to.
const Table = "member"

// Role is what a member does.
type Role uint8

// Roles.
const (
	Entry Role = iota
	Agent
)

// Member is a process of the system.
type Member struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
	Role    Role   `msgpack:"r"`
	Zone    string `msgpack:"z"`
	// Incarnation tells the lives of the process apart.
	Incarnation uint64 `msgpack:"i"`
}

// Register writes the member's row.
func Register(ctx context.Context, t store.Table, m Member) error {
	value, err := msgpack.Marshal(&m)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode member")
	}
	_, err = t.Commit(ctx, store.Txn{Writes: []store.Write{{Key: Table + "/" + m.Name, Value: value}}})
	return err
}

// Times of registration.
const (
	// registerRetry is the pause after a failed registration.
	registerRetry = 200 * time.Millisecond
	// registerAgain is how long a member waits for the owner before it registers again.
	registerAgain = 4 * time.Second
)

// KeepRegistered registers the member at once, and again whenever no owner has
// been heard for a while, until ctx ends.
func KeepRegistered(ctx context.Context, t store.Table, m Member, ownerSilent func() time.Duration) {
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = registerAgain
		if ownerSilent() < registerAgain {
			continue
		}
		if err := Register(ctx, t, m); err != nil {
			pause = registerRetry
		}
	}
}

// Decode reads the value of a member's row.
func Decode(b []byte) (Member, error) {
	var m Member
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return m, errkind.Wrap(errkind.InvalidArgument, err, "decode member")
	}
	return m, nil
}
