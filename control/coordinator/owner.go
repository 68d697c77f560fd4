package coordinator

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/worktable"
	"github.com/chicorystand/chicorystand/state/follow"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// minCommitInterval is the shortest time between the starts of two commits, so that
	// decisions made close together share one commit.
	minCommitInterval = 15 * time.Millisecond
	// maxCommitInterval is the longest time between two commits.
	maxCommitInterval = 500 * time.Millisecond
	// maxPassInterval is the longest time between two scheduling passes.
	maxPassInterval = 100 * time.Millisecond
	// leaseExtensionInterval is the time between two extensions of all leases.
	leaseExtensionInterval = 500 * time.Millisecond
	// queueCountInterval is the time between two broadcasts of the queue counts.
	queueCountInterval = 700 * time.Millisecond
	// statusInterval is the time between two status lines in the log.
	statusInterval = 2 * time.Second
	// maxForwardedWrites bounds the writes in progress for entries that the store does not serve.
	maxForwardedWrites = 64
	// forwardedWriteTimeout bounds such a write. The entry does not wait for longer.
	forwardedWriteTimeout = 700 * time.Millisecond
	// maxCommitAgeToForward is the age of the last commit from which the store does not seem to serve the owner either, so
	// that it refuses such writes instead of leaving their outcome unknown.
	maxCommitAgeToForward = 2 * maxCommitInterval
	// overduePollFactor and overduePollMargin give the time after which the answer of a poll of the work table is overdue, as a multiple
	// of what the last commit took and a margin.
	overduePollFactor = 3
	overduePollMargin = 100 * time.Millisecond
	// inboxSize bounds the events queued for the owner's loop.
	inboxSize = 4096
)

// Config holds the dependencies and settings of an owner.
type Config struct {
	Store  store.Follower
	Clock  clock.Clock
	Log    zerolog.Logger
	Bounds dispatch.Bounds
	Member member.Member
	// Advice is nil where the deployment has no advice service.
	Advice advice.Client
	// Dial connects to a member; nil connects over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// TakeoverDelay is added to the wait before this entry takes over, so that an entry
	// better suited to be the owner takes over first.
	TakeoverDelay time.Duration
	// HighestEpoch returns the highest epoch that this process has seen.
	HighestEpoch func() uint64
	// Manifest returns the manifest in force in this process, nil before the first.
	Manifest func() *manifest.Manifest
	// Evacuations returns what this process knows of the evacuated zones. It may be nil where
	// Bounds.Evacuation is 0.
	Evacuations func() evacuation.State
}

// owner runs one term of ownership.
type owner struct {
	cfg          Config
	dispatcher   *dispatch.Owner
	committer    committer
	conns        *memberConns
	workFollower *follow.Follower
	// ackEntries must acknowledge the owner: those of the last commit and of the one in progress.
	ackEntries []string
	// grantRecorded is set once a commit has recorded that this owner grants leases. Before that the row names the entries that an earlier
	// owner needs.
	grantRecorded bool
	// lastCommitSent is the clock reading when the last successful commit was sent.
	lastCommitSent atomic.Int64
	inbox          chan inboxEvent
	// stop ends the term and closes done.
	stop context.CancelFunc
	done <-chan struct{}

	// adviceInFlight is true while a call to the advice service is in progress; the next
	// one does not start before nextAdviceAt.
	adviceInFlight bool
	nextAdviceAt   time.Duration

	// forwardedWrites holds a token for each write in progress for another entry.
	forwardedWrites chan struct{}

	counters *counters
	// pendingBatch is the commit in progress, nil when there is none.
	pendingBatch       *dispatch.Batch
	cancelCommit       context.CancelFunc
	commitResults      chan commitResult
	lastCommit         time.Duration
	lastLeaseExtension time.Duration
	lastQueueCounts    time.Duration
	lastMemberCleanup  time.Duration
	lastStatus         time.Duration
	lastHandOverCheck  time.Duration
	pace               pace
	// startedAt is when the term began, handedOverAt when this process last handed over, 0 for never.
	startedAt, handedOverAt time.Duration
	wg                      sync.WaitGroup
}

type commitResult struct {
	batch *dispatch.Batch
	grant *grant
	sent  time.Duration
	err   error
}

func newOwner(cfg Config, row ownerRow, previousOwnerWindow time.Duration) *owner {
	o := &owner{cfg: cfg, inbox: make(chan inboxEvent, inboxSize), commitResults: make(chan commitResult, 1), forwardedWrites: make(chan struct{}, maxForwardedWrites), cancelCommit: func() {}}
	unix := func(now time.Duration) int64 { return time.Now().Add(now - cfg.Clock.Now()).UnixMilli() }
	bounds := cfg.Bounds
	bounds.PreviousOwnerWindow = previousOwnerWindow
	o.lastCommitSent.Store(int64(cfg.Clock.Now()))
	o.lastMemberCleanup, o.startedAt = cfg.Clock.Now(), cfg.Clock.Now()
	o.dispatcher = dispatch.New(bounds, row.Epoch, cfg.Clock.Now(), unix, cfg.Log)
	o.dispatcher.SetPassClock(cfg.Clock.Now)
	o.committer = committer{table: cfg.Store, row: row, onRetry: func(err error) {
		events.CommitRetried.Log(cfg.Log).Err(err).Uint64("epoch", row.Epoch).Send()
	}}
	dial := cfg.Dial
	if dial == nil {
		dial = dialTCP
	}
	o.conns = &memberConns{leadMessage: o.leadMessage, clock: cfg.Clock, log: cfg.Log, dial: dial, handler: o.receive,
		registeredAt: make(map[string]time.Duration), lastAcked: make(map[string]time.Duration), connectedAt: make(map[string]time.Duration),
		onDisconnect: o.memberDisconnected,
		peers:        make(map[string]*wire.Peer), cancels: make(map[string]context.CancelFunc), ended: make(map[string]chan struct{}), members: make(map[string]member.Member),
		versions: make(map[string]uint64)}
	return o
}

// leadMessage returns the heartbeat message to members.
func (o *owner) leadMessage() *wire.Lead {
	age := o.cfg.Clock.Now() - time.Duration(o.lastCommitSent.Load())
	return &wire.Lead{Epoch: o.dispatcher.Epoch(), Owner: o.cfg.Member.Name, CommitAgeMS: age.Milliseconds()}
}

// run runs the owner until the ownership is lost or ctx ends, and returns the cause.
func (o *owner) run(ctx context.Context) error {
	ctx, o.stop = context.WithCancel(ctx)
	o.done = ctx.Done()
	// The table followers add connections, so they end before the connections are awaited.
	defer o.conns.wg.Wait()
	defer o.wg.Wait()
	defer func() { o.cancelCommit() }()
	defer o.stop()
	version, err := o.load(ctx)
	if err != nil {
		return err
	}
	o.followWork(ctx, version)
	o.runFollower(ctx, follow.New(o.cfg.Store, member.Table, memberSink{ctx, o}, o.cfg.Clock, o.cfg.Log), 0)
	return o.loop(ctx)
}

func (o *owner) memberDisconnected(m member.Member) {
	if m.Role == member.Agent {
		o.enqueue(func(time.Duration) { o.dispatcher.AgentDisconnected(m.Name) })
	}
}

// deleteAbsentMembers deletes the rows of members that have left for good, so that their number does not grow with each
// VM that is replaced. A row that is written meanwhile stays; one that can't be deleted now is tried again later. An owner that
// has not committed lately may have been suspended, and then has heard of nobody.
func (o *owner) deleteAbsentMembers(ctx context.Context, now time.Duration) {
	if now-time.Duration(o.lastCommitSent.Load()) > 2*maxCommitInterval {
		return
	}
	rows := o.conns.absentMembers(now)
	if len(rows) == 0 {
		return
	}
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		for _, row := range rows {
			_, err := o.cfg.Store.Commit(ctx, store.Txn{Conds: []store.Cond{row}, Writes: []store.Write{{Key: row.Key, Delete: true}}})
			events.MemberDeleted.Log(o.cfg.Log).Str("member", row.Key).AnErr("error", err).Send()
		}
	}()
}

// receive handles a message from a member.
func (o *owner) receive(_ *wire.Peer, msg wire.Message, reply wire.Reply) {
	switch m := msg.(type) {
	case *wire.Report:
		o.enqueue(func(now time.Duration) { o.dispatcher.ApplyReport(m, now) })
	case *wire.OrderResults:
		o.enqueue(func(now time.Duration) { o.dispatcher.ApplyOrderResults(m, now) })
	case *wire.StateQuery:
		o.enqueue(func(time.Duration) {
			state, known := o.dispatcher.State(m.ID)
			reply(&wire.StateReply{Known: known, State: uint8(state)})
		})
	case *wire.CreateRow:
		go func() { reply(o.createRow(m)) }()
	default:
		reply(wire.ErrorReply(errkind.New(errkind.InvalidArgument, "unexpected message type %d", msg.Type())))
	}
}

// createRow writes a row for an entry that the store does not serve. The write is independent of the
// ownership, like those of the entries.
func (o *owner) createRow(m *wire.CreateRow) wire.Message {
	if !strings.HasPrefix(m.Key, dispatch.WorkTable+"/") {
		return wire.ErrorReply(errkind.New(errkind.InvalidArgument, "row %s is not in the work table; nothing was written", m.Key))
	}
	select {
	case o.forwardedWrites <- struct{}{}:
	default:
		return wire.ErrorReply(errkind.New(errkind.QueueFull, "%d forwarded writes are in progress; nothing was written", maxForwardedWrites))
	}
	defer func() { <-o.forwardedWrites }()
	if age := o.cfg.Clock.Now() - time.Duration(o.lastCommitSent.Load()); age > maxCommitAgeToForward {
		return wire.ErrorReply(errkind.New(errkind.StoreUnavailable, "the owner's last commit is %s old; nothing was written", age.Round(time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardedWriteTimeout)
	defer cancel()
	if err := worktable.Create(ctx, o.cfg.Store, m.Key, m.Value); err != nil {
		return wire.ErrorReply(err)
	}
	return &wire.Ack{}
}
