package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/advice"
	"github.com/chicorystand/chicorystand/clock"
	"github.com/chicorystand/chicorystand/dispatch"
	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/events"
	"github.com/chicorystand/chicorystand/follow"
	"github.com/chicorystand/chicorystand/manifest"
	"github.com/chicorystand/chicorystand/member"
	"github.com/chicorystand/chicorystand/store"
	"github.com/chicorystand/chicorystand/submission"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// commitInterval is the least time between the starts of two commits, so that
	// decisions of the same moment share one.
	commitInterval = 15 * time.Millisecond
	// renewInterval is the longest time between two commits.
	renewInterval = 500 * time.Millisecond
	// tickInterval is the longest time between two runs of the systems.
	tickInterval = 100 * time.Millisecond
	// leaseInterval is the time between two extensions of all leases.
	leaseInterval = 500 * time.Millisecond
	// countInterval is the time between two reports of the queue counts.
	countInterval = 700 * time.Millisecond
	// statusInterval is the time between two summaries in the log.
	statusInterval = 2 * time.Second
	// inboxSize bounds the messages that wait for the owner's loop.
	inboxSize = 4096
)

// Config is what an owner needs.
type Config struct {
	Store  store.Follower
	Clock  clock.Clock
	Log    zerolog.Logger
	Bounds dispatch.Bounds
	Member member.Member
	// Advice is nil where the deployment has no advice service.
	Advice advice.Client
	// HighestEpoch returns the highest epoch that this process has heard of.
	HighestEpoch func() uint64
	// Manifest returns the manifest in force in this process, nil before the first.
	Manifest func() *manifest.Manifest
}

// owner is one period of ownership.
type owner struct {
	cfg    Config
	core   *dispatch.Owner
	commit committer
	links  *links
	// entries are those of the last commit.
	entries []string
	// commitSent is when the last successful commit was sent, on the clock.
	commitSent atomic.Int64
	inbox      chan func(now time.Duration)
	// stop ends the period, done is closed then.
	stop context.CancelFunc
	done <-chan struct{}

	// advising tells that a call for advice is in progress; none begins before adviseAfter.
	advising    bool
	adviseAfter time.Duration

	batch      *dispatch.Batch
	committed  chan commitResult
	lastCommit time.Duration
	lastLease  time.Duration
	lastCounts time.Duration
	lastStatus time.Duration
	wg         sync.WaitGroup
}

type commitResult struct {
	batch   *dispatch.Batch
	entries []string
	sent    time.Duration
	err     error
}

func newOwner(cfg Config, h head, earlier time.Duration) *owner {
	o := &owner{cfg: cfg, inbox: make(chan func(time.Duration), inboxSize), committed: make(chan commitResult, 1)}
	unix := func(now time.Duration) int64 { return time.Now().Add(now - cfg.Clock.Now()).UnixMilli() }
	bounds := cfg.Bounds
	bounds.EarlierOwner = earlier
	o.commitSent.Store(int64(cfg.Clock.Now()))
	o.core = dispatch.New(bounds, h.Epoch, cfg.Clock.Now(), unix, cfg.Log)
	o.commit = committer{table: cfg.Store, head: h, retried: func(err error) {
		events.CommitRetried.Log(cfg.Log).Err(err).Uint64("epoch", h.Epoch).Send()
	}}
	o.links = &links{lead: o.lead, clock: cfg.Clock, log: cfg.Log, received: o.receive,
		acked: make(map[string]time.Duration),
		lost:  o.memberLost,
		peers: make(map[string]*wire.Peer), stops: make(map[string]context.CancelFunc), known: make(map[string]member.Member)}
	return o
}

// lead returns the message to members.
func (o *owner) lead() *wire.Lead {
	age := o.cfg.Clock.Now() - time.Duration(o.commitSent.Load())
	return &wire.Lead{Epoch: o.core.Epoch(), Owner: o.cfg.Member.Name, CommitAgeMS: age.Milliseconds()}
}

// run serves until the ownership is lost or ctx ends, and returns why.
func (o *owner) run(ctx context.Context) error {
	ctx, o.stop = context.WithCancel(ctx)
	o.done = ctx.Done()
	defer o.wg.Wait()
	defer o.links.wg.Wait()
	defer o.stop()
	version, err := o.load(ctx)
	if err != nil {
		return err
	}
	o.follow(ctx, dispatch.WorkTable, version, workSink{o})
	o.follow(ctx, member.Table, 0, memberSink{ctx, o})
	return o.loop(ctx)
}

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

func (o *owner) memberLost(m member.Member) {
	if m.Role == member.Agent {
		o.do(func(time.Duration) { o.core.AgentLost(m.Name) })
	}
}

// receive handles the messages of members.
func (o *owner) receive(_ *wire.Peer, msg wire.Message, reply wire.Reply) {
	switch m := msg.(type) {
	case *wire.Report:
		o.do(func(now time.Duration) { o.core.Report(m, now) })
	case *wire.OrderResults:
		o.do(func(now time.Duration) { o.core.Results(m, now) })
	case *wire.StateQuery:
		o.do(func(time.Duration) {
			state, known := o.core.State(m.ID)
			reply(&wire.StateReply{Known: known, State: uint8(state)})
		})
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", msg.Type())))
	}
}

// loop runs the tables until the ownership is lost.
func (o *owner) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-o.inbox:
			now := o.cfg.Clock.Now()
			f(now)
			o.drainInbox(now)
		case r := <-o.committed:
			if r.err != nil {
				return r.err
			}
			o.batch = nil
			o.entries = r.entries
			o.commitSent.Store(int64(r.sent))
			o.core.Committed(r.batch, r.sent, o.cfg.Clock.Now())
		case <-timer.C:
		}
		if err := o.turn(ctx); err != nil {
			return err
		}
		timer.Reset(o.nextTurn())
	}
}

func (o *owner) drainInbox(now time.Duration) {
	for range inboxSize {
		select {
		case f := <-o.inbox:
			f(now)
		default:
			return
		}
	}
}

// nextTurn returns the time until something has to be done without an event.
func (o *owner) nextTurn() time.Duration {
	if o.batch == nil && o.core.Dirty() {
		return max(time.Millisecond, commitInterval-(o.cfg.Clock.Now()-o.lastCommit))
	}
	return tickInterval
}

// turn runs the systems, starts the next commit and sends what is due.
func (o *owner) turn(ctx context.Context) error {
	now := o.cfg.Clock.Now()
	if heard := o.cfg.HighestEpoch(); heard > o.core.Epoch() {
		return errkind.New(errkind.NotOwner, "epoch %d is known", heard)
	}
	if m := o.cfg.Manifest(); m != nil {
		o.core.SetManifest(m)
	}
	o.core.Consent(o.links.consent(o.entries))
	if o.batch == nil && now-o.lastCommit >= commitInterval {
		o.core.Tick(now)
		if o.core.Dirty() || now-o.lastCommit >= renewInterval {
			if err := o.startCommit(ctx, now); err != nil {
				return err
			}
		}
	}
	o.askAdvice(ctx, now)
	lease := now-o.lastLease >= leaseInterval
	if lease {
		o.lastLease = now
	}
	for _, mail := range o.core.Flush(now, lease) {
		if err := o.links.send(mail.Agent, mail.Orders); err != nil {
			o.core.AgentLost(mail.Agent)
		}
	}
	if now-o.lastCounts >= countInterval {
		o.lastCounts = now
		o.links.broadcast(member.Entry, &wire.QueueCounts{Epoch: o.core.Epoch(), Counts: o.core.Pending()})
	}
	if now-o.lastStatus >= statusInterval {
		o.lastStatus = now
		o.core.LogStatus(now)
	}
	return nil
}

func (o *owner) startCommit(ctx context.Context, now time.Duration) error {
	batch, err := o.core.Prepare()
	if err != nil {
		return err
	}
	o.batch, o.lastCommit = batch, now
	entries := o.links.names(member.Entry)
	o.entries = union(o.entries, entries)
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		var sent time.Duration
		err := o.commit.commit(ctx, batch.Writes, entries, func() { sent = o.cfg.Clock.Now() })
		o.committed <- commitResult{batch, entries, sent, err}
	}()
	return nil
}

// union returns the sorted names of both lists. Until a commit is confirmed, the
// consent of the entries of both the last and the next one is needed.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
