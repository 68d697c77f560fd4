package standin

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
)

// pageRows is the maximum number of rows in a page.
const pageRows = 500

// recordChange appends a change to the history and wakes waiting followers. The caller holds mu.
func (t *Table) recordChange(c store.Change) {
	t.history = append(t.history, c)
	t.versions = append(t.versions, t.version)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Compact drops the change history, so that followers have to make a full read of their tables.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.versions, t.compacted = nil, nil, t.version
}

// List implements store.Follower.
func (t *Table) List(ctx context.Context, table, after string) (store.Page, error) {
	if err := t.begin(ctx, t.reads); err != nil {
		return store.Page{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkUp(); err != nil {
		return store.Page{}, err
	}
	t.counts.Reads++
	// A store has a version before its first row: version 0 stands for a table that was not read yet.
	t.version = max(1, t.version)
	page := store.Page{Version: t.version}
	for key, r := range t.rows {
		if strings.HasPrefix(key, table+"/") && key > after {
			page.Changes = append(page.Changes, store.Change{Row: r})
		}
	}
	sort.Slice(page.Changes, func(i, j int) bool { return page.Changes[i].Key < page.Changes[j].Key })
	if len(page.Changes) > pageRows {
		page.Changes, page.More = page.Changes[:pageRows], true
	}
	return page, nil
}

// Changes implements store.Follower.
func (t *Table) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := t.begin(ctx, t.reads); err != nil {
			return store.Page{}, err
		}
		page, changed, err := t.changesSince(table, version)
		if err != nil || len(page.Changes) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "follow %s", table)
		case <-timeout.C:
			return page, nil
		case <-changed:
		}
	}
}

func (t *Table) changesSince(table string, version uint64) (store.Page, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkUp(); err != nil {
		return store.Page{}, nil, err
	}
	t.counts.Reads++
	if version < t.compacted {
		return store.Page{}, nil, errkind.New(errkind.NotFound, "the change history before version %d has been compacted", t.compacted)
	}
	page := store.Page{Version: t.version}
	for i, c := range t.history {
		if t.versions[i] > version && strings.HasPrefix(c.Key, table+"/") {
			page.Changes = append(page.Changes, c)
		}
	}
	return page, t.changed, nil
}
