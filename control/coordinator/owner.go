package coordinator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
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
	// Dial connects to a member; nil connects over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// TakeoverDelay is added to the wait before this entry takes over, so that one that can
	// carry the ownership better comes first.
	TakeoverDelay time.Duration
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

	counters *counters
	// batch is the commit in progress, nil when there is none.
	batch        *dispatch.Batch
	cancelCommit context.CancelFunc
	committed    chan commitResult
	lastCommit   time.Duration
	lastLease    time.Duration
	lastCounts   time.Duration
	lastStatus   time.Duration
	wg           sync.WaitGroup
}

type commitResult struct {
	batch   *dispatch.Batch
	entries []string
	sent    time.Duration
	err     error
}

func newOwner(cfg Config, h head, earlier time.Duration) *owner {
	o := &owner{cfg: cfg, inbox: make(chan func(time.Duration), inboxSize), committed: make(chan commitResult, 1), cancelCommit: func() {}}
	unix := func(now time.Duration) int64 { return time.Now().Add(now - cfg.Clock.Now()).UnixMilli() }
	bounds := cfg.Bounds
	bounds.EarlierOwner = earlier
	o.commitSent.Store(int64(cfg.Clock.Now()))
	o.core = dispatch.New(bounds, h.Epoch, cfg.Clock.Now(), unix, cfg.Log)
	o.commit = committer{table: cfg.Store, head: h, retried: func(err error) {
		events.CommitRetried.Log(cfg.Log).Err(err).Uint64("epoch", h.Epoch).Send()
	}}
	dial := cfg.Dial
	if dial == nil {
		dial = dialTCP
	}
	o.links = &links{lead: o.lead, clock: cfg.Clock, log: cfg.Log, dial: dial, received: o.receive,
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
	// The followers, which add links, end before the links are waited for.
	defer o.links.wg.Wait()
	defer o.wg.Wait()
	defer func() { o.cancelCommit() }()
	defer o.stop()
	version, err := o.load(ctx)
	if err != nil {
		return err
	}
	o.follow(ctx, dispatch.WorkTable, version, workSink{o})
	o.follow(ctx, member.Table, 0, memberSink{ctx, o})
	return o.loop(ctx)
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
