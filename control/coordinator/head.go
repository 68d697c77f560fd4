// Package coordinator runs the owner of a deployment's work on an entry: it
// takes ownership through the store, loads the tables of package dispatch,
// commits their changes, and talks to the agents and the other entries.
package coordinator

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// headKey is the row that names the owner. Every commit of the owner is
// conditional on its version and writes it, so that each commit renews the
// ownership, and a commit of an earlier owner can not take effect.
const headKey = "owner/work"

// OwnerRecord is the value of the owner row.
type OwnerRecord struct {
	Epoch uint64 `msgpack:"e"`
	// Owner is the name of the owner's VM, empty after it has resigned.
	Owner string `msgpack:"o"`
	// Incarnation tells the lives of one VM's process apart.
	Incarnation uint64 `msgpack:"i"`
	// Sequence counts the commits of the epoch.
	Sequence uint64 `msgpack:"s"`
	// Entries are the entries whose consent the owner needs to extend leases
	// while it cannot commit.
	Entries []string `msgpack:"n,omitempty"`
}

// same reports whether two values are those of one commit.
func (h *OwnerRecord) same(o *OwnerRecord) bool {
	return h.Epoch == o.Epoch && h.Incarnation == o.Incarnation && h.Sequence == o.Sequence && h.Owner == o.Owner
}

// head is the owner row with its version.
type head struct {
	OwnerRecord
	version uint64
}

func (h OwnerRecord) encode() ([]byte, error) {
	b, err := msgpack.Marshal(&h)
	return b, errkind.Wrap(errkind.Internal, err, "encode owner row")
}

// readHead returns the owner row; the version is 0 when there is none.
func readHead(ctx context.Context, t store.Table) (head, error) {
	rows, err := t.Get(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head{}, err
	}
	h := head{version: rows[0].Version}
	if err := msgpack.Unmarshal(rows[0].Value, &h.OwnerRecord); err != nil {
		return head{}, errkind.Wrap(errkind.InvalidArgument, err, "decode owner row")
	}
	return h, nil
}

// writeHead replaces the owner row, with further writes in the same transaction.
func writeHead(ctx context.Context, t store.Table, from head, to OwnerRecord, writes []store.Write) (head, error) {
	value, err := to.encode()
	if err != nil {
		return head{}, err
	}
	versions, err := t.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: headKey, Version: from.version}},
		Writes: append([]store.Write{{Key: headKey, Value: value}}, writes...)})
	if err != nil {
		return head{}, err
	}
	return head{OwnerRecord: to, version: versions[0]}, nil
}

// commitRetry is the pause before an unconfirmed commit is sent again.
const commitRetry = 60 * time.Millisecond

// committer sends one commit at a time until its outcome is known.
type committer struct {
	table store.Table
	head  head
	// retried is told of each failed attempt.
	retried func(err error)
}

// commit returns when the writes are durable. An error means that the ownership
// is lost or ctx has ended. sent is called with the start of each attempt.
func (c *committer) commit(ctx context.Context, writes []store.Write, entries []string, sent func()) error {
	to := c.head.OwnerRecord
	to.Sequence++
	to.Entries = entries
	for {
		sent()
		next, err := writeHead(ctx, c.table, c.head, to, writes)
		if err == nil {
			c.head = next
			return nil
		}
		if ctx.Err() != nil {
			return errkind.Wrap(errkind.NotOwner, ctx.Err(), "commit")
		}
		switch errkind.Of(err) {
		case errkind.Conflict:
			done, err := c.resolve(ctx, to)
			if done || err != nil {
				return err
			}
		case errkind.StoreAmbiguous, errkind.StoreUnavailable:
			// The same transaction is sent again. The condition lets at most one of the attempts take effect.
		default:
			return err
		}
		c.retried(err)
		select {
		case <-ctx.Done():
		case <-time.After(commitRetry):
		}
	}
}

// resolve finds out whether an earlier attempt has taken effect. It returns
// errkind.NotOwner when another owner has written the row.
func (c *committer) resolve(ctx context.Context, to OwnerRecord) (bool, error) {
	now, err := readHead(ctx, c.table)
	switch {
	case err != nil:
		return false, nil // the commit is tried again, and meets the same conflict
	case now.same(&to):
		c.head = now
		return true, nil
	case now.Epoch != to.Epoch || now.Incarnation != to.Incarnation:
		return false, errkind.New(errkind.NotOwner, "epoch %d is owned by %s", now.Epoch, now.Owner)
	}
	return false, nil
}
