package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
)

// loadRetryDelay is the delay after a failed read of the tables.
const loadRetryDelay = 100 * time.Millisecond

// storedTables holds the tables that a new owner reads from the store.
type storedTables struct {
	work, progress, contentionModel []store.Row
	// version is the store version from which the changes of the work table are followed.
	version uint64
	// workAsOf is the time as of which work is complete.
	workAsOf time.Duration
}

// load reads all submissions and their progress records. It returns the store version
// from which the changes of the work table are followed.
func (o *owner) load(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan storedTables, 1)
	go func() {
		for ctx.Err() == nil {
			if t, err := o.readTables(ctx); err == nil {
				read <- t
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(loadRetryDelay):
			}
		}
	}()
	renew := time.NewTicker(maxCommitInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			// A stopping owner resigns unless the ownership is lost.
			return 0, ctx.Err()
		case t := <-read:
			o.applyTables(t)
			return t.version, nil
		case <-renew.C:
			// Reading may take longer than takeoverAfter, so the ownership is renewed meanwhile.
			if err := o.committer.commit(ctx, nil, nil, func() {}); err != nil {
				return 0, err
			}
			o.lastCommit = o.cfg.Clock.Now()
		}
	}
}

func (o *owner) readTables(ctx context.Context) (storedTables, error) {
	var t storedTables
	var err error
	if t.progress, _, err = store.ReadAll(ctx, o.cfg.Store, dispatch.ProgressTable); err != nil {
		return t, err
	}
	if t.contentionModel, err = o.cfg.Store.Get(ctx, dispatch.ContentionModelKey); err != nil {
		return t, err
	}
	t.workAsOf = o.cfg.Clock.Now()
	t.work, t.version, err = store.ReadAll(ctx, o.cfg.Store, dispatch.WorkTable)
	return t, err
}

// applyTables loads the tables that were read into the dispatcher.
func (o *owner) applyTables(t storedTables) {
	records := make(map[string][]byte, len(t.progress))
	for _, r := range t.progress {
		records[r.Key] = r.Value
	}
	for _, r := range t.contentionModel {
		if err := o.dispatcher.ImportContentionModel(r.Value); err != nil {
			events.RowInvalid.Log(o.cfg.Log).Str("key", r.Key).Err(err).Send()
		}
	}
	if m := o.cfg.Manifest(); m != nil {
		o.dispatcher.SetManifest(m)
	}
	now := o.cfg.Clock.Now()
	for _, r := range t.work {
		o.applyWorkRow(r, records, now)
	}
	o.dispatcher.SetCancellationsAsOf(t.workAsOf)
	events.OwnershipLoaded.Log(o.cfg.Log).Uint64("epoch", o.dispatcher.Epoch()).Int("work", len(t.work)).Int("records", len(t.progress)).Send()
}

// applyWorkRow applies a row of the work table: a submission, a tombstone or a cancellation. records are the values of the progress
// table by key, as far as they are known.
func (o *owner) applyWorkRow(r store.Row, records map[string][]byte, now time.Duration) {
	id := strings.TrimPrefix(r.Key, dispatch.WorkTable+"/")
	if cancelled, ok := strings.CutSuffix(id, dispatch.CancelSuffix); ok {
		o.dispatcher.Cancel(cancelled, now)
		return
	}
	if submission.IsTombstone(r.Value) {
		o.dispatcher.AddTombstone(id, now)
		return
	}
	s, err := submission.Decode(r.Value)
	if err == nil {
		err = o.dispatcher.Add(s, records, now)
	}
	if err != nil {
		events.RowInvalid.Log(o.cfg.Log).Str("key", r.Key).Err(err).Send()
	}
}

// followWork follows the work table after a version. Its rows are kept recent enough to start runs.
func (o *owner) followWork(ctx context.Context, version uint64) {
	o.workFollower = o.newWorkFollower(version)
	o.runFollower(ctx, o.workFollower, version)
}

func (o *owner) newWorkFollower(version uint64) *follow.Follower {
	f := follow.New(o.cfg.Store, dispatch.WorkTable, newWorkSink(o, version), o.cfg.Clock, o.cfg.Log)
	f.KeepWithin(o.cfg.Bounds.MaxInputAge())
	return f
}

func (o *owner) runFollower(ctx context.Context, f *follow.Follower, version uint64) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f.Run(ctx, version)
	}()
}

// inboxEvent is an event for the owner's loop. It happened when it was received, however late the loop reads it.
type inboxEvent struct {
	receivedAt time.Duration
	apply      func(now time.Duration)
}

// enqueue applies an event that is received now on the owner's loop, unless the ownership term ends first.
func (o *owner) enqueue(apply func(now time.Duration)) {
	select {
	case o.inbox <- inboxEvent{o.cfg.Clock.Now(), apply}:
	case <-o.done:
	}
}

// workSink passes the rows of the work table to the owner.
type workSink struct {
	o *owner
	// delivered is the version up to which all rows have been passed on.
	delivered uint64
}

// newWorkSink returns a sink for the changes after the version as of which the table was loaded.
func newWorkSink(o *owner, version uint64) *workSink { return &workSink{o: o, delivered: version} }

// Row implements follow.Sink.
func (s *workSink) Row(c store.Change) {
	if !c.Deleted {
		s.apply(c.Row)
	}
	s.delivered = max(s.delivered, c.Version)
}

// Table implements follow.TableSink. A row that was passed on before may be of a submission that has ended and was
// removed since the read began.
func (s *workSink) Table(rows []store.Row, version uint64) {
	for _, r := range rows {
		if r.Version > s.delivered {
			s.apply(r)
		}
	}
	s.delivered = max(s.delivered, version)
}

// Current implements follow.CurrentSink. It takes the way of the rows, so that these are applied before.
func (s *workSink) Current(asOf time.Duration) {
	s.o.enqueue(func(time.Duration) { s.o.dispatcher.SetCancellationsAsOf(asOf) })
}

func (s *workSink) apply(r store.Row) {
	s.o.enqueue(func(now time.Duration) { s.o.applyWorkRow(r, nil, now) })
}

type memberSink struct {
	ctx context.Context
	o   *owner
}

// Current implements follow.CurrentSink.
func (s memberSink) Current(time.Duration) { s.o.conns.setMembersRead() }

// Row implements follow.Sink.
func (s memberSink) Row(c store.Change) {
	name := strings.TrimPrefix(c.Key, member.Table+"/")
	if c.Deleted {
		s.o.conns.forgetMember(name)
		return
	}
	m, err := member.Decode(c.Value)
	if err != nil {
		events.RowInvalid.Log(s.o.cfg.Log).Str("key", c.Key).Err(err).Send()
		return
	}
	s.o.conns.setMember(s.ctx, m, c.Version)
}
