package standin

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// Link is one process's path to a table. It can be cut, and can lose the answer
// of a chosen commit, without an effect on other processes.
type Link struct {
	table store.Follower

	mu      sync.Mutex
	cut     bool
	commits int
	lose    int
}

// NewLink returns an intact link to table.
func NewLink(table store.Follower) *Link { return &Link{table: table} }

// SetCut makes every operation fail without effect while cut is true.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// LoseCommit makes the nth commit from now, counted from 1, lose its answer after it took effect.
func (l *Link) LoseCommit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits, l.lose = 0, n
}

// Commits returns the number of commits since the last LoseCommit.
func (l *Link) Commits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commits
}

func (l *Link) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return errkind.New(errkind.StoreUnavailable, "the table service can not be reached")
	}
	return nil
}

// Get implements store.Table.
func (l *Link) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	return l.table.Get(ctx, keys...)
}

// Scan implements store.Table.
func (l *Link) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	return l.table.Scan(ctx, prefix, after, limit)
}

// Commit implements store.Table.
func (l *Link) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.commits++
	lose := l.commits == l.lose
	l.mu.Unlock()
	versions, err := l.table.Commit(ctx, txn)
	if err == nil && lose {
		return nil, errkind.New(errkind.StoreAmbiguous, "answer lost")
	}
	return versions, err
}

// List implements store.Follower.
func (l *Link) List(ctx context.Context, table, after string) (store.Page, error) {
	if err := l.check(); err != nil {
		return store.Page{}, err
	}
	return l.table.List(ctx, table, after)
}

// Changes implements store.Follower. A cut ends a call that waits.
func (l *Link) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Page, error) {
	if err := l.check(); err != nil {
		return store.Page{}, err
	}
	page, err := l.table.Changes(ctx, table, version, wait)
	if cut := l.check(); cut != nil {
		return store.Page{}, cut
	}
	return page, err
}
