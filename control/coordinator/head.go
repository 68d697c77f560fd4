// Package coordinator runs the owner of a deployment's work on an entry: it
// acquires ownership through the store, loads the tables of package dispatch,
// commits their changes, and communicates with the agents and the other entries.
package coordinator

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/state/store"
)

// ownerKey is the key of the row that names the owner. Every commit of the owner is
// conditional on the row's version and rewrites it, so that each commit renews the
// ownership and a commit of a previous owner cannot take effect.
const ownerKey = "owner/work"

// OwnerRecord is the value of the owner row.
type OwnerRecord struct {
	Epoch uint64 `msgpack:"e"`
	// Owner is the name of the owner's VM, empty after the owner has resigned.
	Owner string `msgpack:"o"`
	// Incarnation distinguishes successive starts of the process on one VM.
	Incarnation uint64 `msgpack:"i"`
	// Sequence counts the commits of the epoch.
	Sequence uint64 `msgpack:"s"`
	// Entries are the entries that must acknowledge the last owner that granted leases for it to extend
	// these while it cannot commit.
	Entries []string `msgpack:"n,omitempty"`
	// Strongest is the capability of the most capable entry, nil where the entries are alike or it is unknown.
	Strongest *succession.Capability `msgpack:"c,omitempty"`
	// HandedOver is set from a hand-over until an owner has served for succession.HandOverInterval.
	HandedOver bool `msgpack:"h,omitempty"`
	// Grantor is the name of that owner: Owner itself, or an earlier one as long as Owner has granted no lease. It is empty in the rows
	// of builds before.
	Grantor string `msgpack:"g,omitempty"`
}

// grantor returns the name of the last owner that granted leases, empty if it is not known. Builds without
// Grantor list entries only while they grant leases.
func (h *OwnerRecord) grantor() string {
	if h.Grantor == "" && len(h.Entries) > 0 {
		return h.Owner
	}
	return h.Grantor
}

// successor returns the record of a takeover. The new owner has granted no lease, so the record still tells whose acknowledgements the
// last one that did needs.
func (h *OwnerRecord) successor(owner string, incarnation uint64) OwnerRecord {
	next := OwnerRecord{Epoch: h.Epoch + 1, Owner: owner, Incarnation: incarnation, Strongest: h.Strongest, HandedOver: h.HandedOver, Grantor: h.grantor()}
	if next.Grantor != "" {
		next.Entries = h.Entries
	}
	return next
}

// sameCommit reports whether both records were written by the same commit.
func (h *OwnerRecord) sameCommit(o *OwnerRecord) bool {
	return h.Epoch == o.Epoch && h.Incarnation == o.Incarnation && h.Sequence == o.Sequence && h.Owner == o.Owner
}

// ownerRow is an owner record with the version of its row.
type ownerRow struct {
	OwnerRecord
	version uint64
}

func (h OwnerRecord) encode() ([]byte, error) {
	b, err := msgpack.Marshal(&h)
	return b, errkind.Wrap(errkind.Internal, err, "encode owner row")
}

// readOwnerRow returns the owner row; the version is 0 when there is none.
func readOwnerRow(ctx context.Context, t store.Table) (ownerRow, error) {
	rows, err := t.Get(ctx, ownerKey)
	if err != nil || len(rows) == 0 {
		return ownerRow{}, err
	}
	h := ownerRow{version: rows[0].Version}
	if err := msgpack.Unmarshal(rows[0].Value, &h.OwnerRecord); err != nil {
		return ownerRow{}, errkind.Wrap(errkind.InvalidArgument, err, "decode owner row")
	}
	return h, nil
}

// writeOwnerRow replaces the owner row and applies further writes in the same transaction.
func writeOwnerRow(ctx context.Context, t store.Table, from ownerRow, to OwnerRecord, writes []store.Write) (ownerRow, error) {
	value, err := to.encode()
	if err != nil {
		return ownerRow{}, err
	}
	versions, err := t.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: ownerKey, Version: from.version}},
		Writes: append([]store.Write{{Key: ownerKey, Value: value}}, writes...)})
	if err != nil {
		return ownerRow{}, err
	}
	return ownerRow{OwnerRecord: to, version: versions[0]}, nil
}

// commitRetryDelay is the delay before an unconfirmed commit is sent again.
const commitRetryDelay = 60 * time.Millisecond

// committer sends one commit at a time and retries it until its outcome is known.
type committer struct {
	table store.Table
	row   ownerRow
	// sequence is that of the last commit that was tried.
	sequence uint64
	// onRetry is called after each failed attempt.
	onRetry func(err error)
}

// refusedForGood reports whether the store will refuse the same transaction again: a value is too large, for example. Nothing
// was written.
func refusedForGood(err error) bool {
	switch errkind.Of(err) {
	case errkind.InvalidArgument, errkind.TooLarge, errkind.PermissionDenied, errkind.NotFound:
		return true
	}
	return false
}

// grant is what a commit says of the owner's leases.
type grant struct {
	// entries must acknowledge the owner for it to extend leases while it cannot commit.
	entries []string
}

// commit returns when the writes are durable. The owner grants leases by g; with nil it has granted none yet, and the row
// keeps the entries and the grantor of the one before. An error means that the ownership
// is lost, ctx has ended, or the store has refused the writes for good. sent is called at the start of each attempt.
func (c *committer) commit(ctx context.Context, writes []store.Write, g *grant, sent func()) error {
	// A refused commit has a number of its own, so that the next one is not taken for it.
	c.sequence = max(c.sequence, c.row.Sequence) + 1
	to := c.row.OwnerRecord
	to.Sequence = c.sequence
	if g != nil {
		to.Grantor, to.Entries = to.Owner, g.entries
	}
	for {
		sent()
		next, err := writeOwnerRow(ctx, c.table, c.row, to, writes)
		if err == nil {
			c.row = next
			return nil
		}
		if ctx.Err() != nil {
			return errkind.Wrap(errkind.NotOwner, ctx.Err(), "commit stopped")
		}
		switch errkind.Of(err) {
		case errkind.Conflict:
			done, err := c.resolve(ctx, to)
			if done || err != nil {
				return err
			}
		case errkind.StoreAmbiguous, errkind.StoreUnavailable:
			// The same transaction is retried. Its condition lets at most one attempt take effect.
		default:
			return err
		}
		c.onRetry(err)
		select {
		case <-ctx.Done():
		case <-time.After(commitRetryDelay):
		}
	}
}

// resolve determines after a conflict whether an earlier attempt took effect. It
// returns errkind.NotOwner when another owner has written the row.
func (c *committer) resolve(ctx context.Context, to OwnerRecord) (bool, error) {
	now, err := readOwnerRow(ctx, c.table)
	switch {
	case err != nil:
		return false, nil // The commit is retried and gets the same conflict.
	case now.sameCommit(&to):
		c.row = now
		return true, nil
	case now.Epoch != to.Epoch || now.Incarnation != to.Incarnation:
		return false, errkind.New(errkind.NotOwner, "epoch %d is owned by %s", now.Epoch, now.Owner)
	}
	// An attempt without a reply of a commit before, which was refused later, has taken effect.
	c.row = now
	return false, nil
}
