package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/dispatch"
	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
	"github.com/chicorystand/chicorystand/follow"
	"github.com/chicorystand/chicorystand/member"
	"github.com/chicorystand/chicorystand/store"
	"github.com/chicorystand/chicorystand/submission"
)

// loadRetry is the pause after a failed reading of the tables.
const loadRetry = 100 * time.Millisecond

// load reads all submissions and their records. It returns the version from
// which the changes of the work table are followed.
func (o *owner) load(ctx context.Context) (uint64, error) {
	for {
		version, err := o.loadOnce(ctx)
		if err == nil {
			return version, nil
		}
		if o.cfg.Clock.Now()-o.lastCommit > renewInterval {
			// Reading may take long; the ownership is renewed meanwhile.
			if err := o.commit.commit(ctx, nil, nil, func() {}); err != nil {
				return 0, err
			}
			o.lastCommit = o.cfg.Clock.Now()
		}
		select {
		case <-ctx.Done():
			return 0, errkind.Wrap(errkind.NotOwner, ctx.Err(), "load")
		case <-time.After(loadRetry):
		}
	}
}

func (o *owner) loadOnce(ctx context.Context) (uint64, error) {
	progress, _, err := store.ReadAll(ctx, o.cfg.Store, dispatch.ProgressTable)
	if err != nil {
		return 0, err
	}
	records := make(map[string][]byte, len(progress))
	for _, r := range progress {
		records[strings.TrimPrefix(r.Key, dispatch.ProgressTable+"/")] = r.Value
	}
	learnt, err := o.cfg.Store.Get(ctx, dispatch.KnowledgeKey)
	if err != nil {
		return 0, err
	}
	for _, r := range learnt {
		if err := o.core.Learnt(r.Value); err != nil {
			events.RowInvalid.Log(o.cfg.Log).Str("key", r.Key).Err(err).Send()
		}
	}
	work, version, err := store.ReadAll(ctx, o.cfg.Store, dispatch.WorkTable)
	if err != nil {
		return 0, err
	}
	if m := o.cfg.Manifest(); m != nil {
		o.core.SetManifest(m)
	}
	now := o.cfg.Clock.Now()
	for _, r := range work {
		o.workRow(r, records, now)
	}
	events.OwnerLoaded.Log(o.cfg.Log).Uint64("epoch", o.core.Epoch()).Int("work", len(work)).Int("records", len(progress)).Send()
	return version, nil
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
