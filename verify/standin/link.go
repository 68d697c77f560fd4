package standin

import (
	"context"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// Link is one process's connection to a table. It can be disconnected, or lose the response
// of a chosen commit, without affecting other processes.
type Link struct {
	table store.Follower

	mu             sync.Mutex
	disconnected   bool
	commits        int
	loseResponseOf int
	// disconnectThen disconnects the link when the response is lost.
	disconnectThen bool
}

// NewLink returns a connected link to table.
func NewLink(table store.Follower) *Link { return &Link{table: table} }

// SetDisconnected makes every operation fail without effect while disconnected is true.
func (l *Link) SetDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

// LoseCommitResponse makes the nth commit from now, counted from 1, lose its response after it has taken effect.
func (l *Link) LoseCommitResponse(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits, l.loseResponseOf, l.disconnectThen = 0, n, false
}

// DisconnectAtCommit disconnects the link after the nth commit from now, counted from 1, has taken effect and lost its response.
func (l *Link) DisconnectAtCommit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits, l.loseResponseOf, l.disconnectThen = 0, n, true
}

// Commits returns the number of commits since the last LoseCommitResponse.
func (l *Link) Commits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commits
}

func (l *Link) checkConnected() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disconnected {
		return errkind.New(errkind.StoreUnavailable, "cannot connect to the table service")
	}
	return nil
}

// Get implements store.Table.
func (l *Link) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := l.checkConnected(); err != nil {
		return nil, err
	}
	return l.table.Get(ctx, keys...)
}

// Scan implements store.Table.
func (l *Link) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := l.checkConnected(); err != nil {
		return nil, err
	}
	return l.table.Scan(ctx, prefix, after, limit)
}

// Commit implements store.Table.
func (l *Link) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	if err := l.checkConnected(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.commits++
	loseResponse := l.commits == l.loseResponseOf
	l.mu.Unlock()
	versions, err := l.table.Commit(ctx, txn)
	if err == nil && loseResponse {
		l.disconnectIfRequested()
		return nil, errkind.New(errkind.StoreAmbiguous, "response lost")
	}
	return versions, err
}

func (l *Link) disconnectIfRequested() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = l.disconnected || l.disconnectThen
}

// List implements store.Follower.
func (l *Link) List(ctx context.Context, table, after string) (store.Page, error) {
	if err := l.checkConnected(); err != nil {
		return store.Page{}, err
	}
	return l.table.List(ctx, table, after)
}

// Changes implements store.Follower. A call during which the link was disconnected fails.
func (l *Link) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Page, error) {
	if err := l.checkConnected(); err != nil {
		return store.Page{}, err
	}
	page, err := l.table.Changes(ctx, table, version, wait)
	if disconnectErr := l.checkConnected(); disconnectErr != nil {
		return store.Page{}, disconnectErr
	}
	return page, err
}
