package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
)

// loadRetry is the pause after a failed reading of the tables.
const loadRetry = 100 * time.Millisecond

// tables is what a new owner reads from the store.
type tables struct {
	work, progress, learnt []store.Row
	// version is that from which the changes of the work table are followed.
	version uint64
}

// load reads all submissions and their records. It returns the version from
// which the changes of the work table are followed.
func (o *owner) load(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan tables, 1)
	go func() {
		for ctx.Err() == nil {
			if t, err := o.read(ctx); err == nil {
				read <- t
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(loadRetry):
			}
		}
	}()
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, errkind.Wrap(errkind.NotOwner, ctx.Err(), "load")
		case t := <-read:
			o.take(t)
			return t.version, nil
		case <-renew.C:
			// Reading may take longer than the others wait for a sign of the owner.
			if err := o.commit.commit(ctx, nil, nil, func() {}); err != nil {
				return 0, err
			}
			o.lastCommit = o.cfg.Clock.Now()
		}
	}
}

func (o *owner) read(ctx context.Context) (tables, error) {
	var t tables
	var err error
	if t.progress, _, err = store.ReadAll(ctx, o.cfg.Store, dispatch.ProgressTable); err != nil {
		return t, err
	}
	if t.learnt, err = o.cfg.Store.Get(ctx, dispatch.ContentionModelKey); err != nil {
		return t, err
	}
	t.work, t.version, err = store.ReadAll(ctx, o.cfg.Store, dispatch.WorkTable)
	return t, err
}

// take fills the tables of the owner.
func (o *owner) take(t tables) {
	records := make(map[string][]byte, len(t.progress))
	for _, r := range t.progress {
		records[strings.TrimPrefix(r.Key, dispatch.ProgressTable+"/")] = r.Value
	}
	for _, r := range t.learnt {
		if err := o.core.ImportContentionModel(r.Value); err != nil {
			events.RowInvalid.Log(o.cfg.Log).Str("key", r.Key).Err(err).Send()
		}
	}
	if m := o.cfg.Manifest(); m != nil {
		o.core.SetManifest(m)
	}
	now := o.cfg.Clock.Now()
	for _, r := range t.work {
		o.workRow(r, records, now)
	}
	events.OwnershipLoaded.Log(o.cfg.Log).Uint64("epoch", o.core.Epoch()).Int("work", len(t.work)).Int("records", len(t.progress)).Send()
}

// workRow takes in a row of the work table.
func (o *owner) workRow(r store.Row, records map[string][]byte, now time.Duration) {
	id := strings.TrimPrefix(r.Key, dispatch.WorkTable+"/")
	if cancelled, ok := strings.CutSuffix(id, dispatch.CancelSuffix); ok {
		o.core.Cancel(cancelled, now)
		return
	}
	s, err := submission.Decode(r.Value)
	if err == nil {
		err = o.core.Add(s, records[id], now)
	}
	if err != nil {
		events.RowInvalid.Log(o.cfg.Log).Str("key", r.Key).Err(err).Send()
	}
}

func (o *owner) follow(ctx context.Context, table string, version uint64, sink follow.Sink) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		follow.New(o.cfg.Store, table, sink, o.cfg.Clock, o.cfg.Log).Run(ctx, version)
	}()
}

// do runs f on the owner's loop, unless the period of ownership ends before.
func (o *owner) do(f func(now time.Duration)) {
	select {
	case o.inbox <- f:
	case <-o.done:
	}
}

type workSink struct{ o *owner }

// Row implements follow.Sink.
func (s workSink) Row(c store.Change) {
	if !c.Deleted {
		s.o.do(func(now time.Duration) { s.o.workRow(c.Row, nil, now) })
	}
}

type memberSink struct {
	ctx context.Context
	o   *owner
}

// Row implements follow.Sink.
func (s memberSink) Row(c store.Change) {
	name := strings.TrimPrefix(c.Key, member.Table+"/")
	if c.Deleted {
		s.o.links.remove(name)
		return
	}
	m, err := member.Decode(c.Value)
	if err != nil {
		events.RowInvalid.Log(s.o.cfg.Log).Str("key", c.Key).Err(err).Send()
		return
	}
	s.o.links.set(s.ctx, m)
}
