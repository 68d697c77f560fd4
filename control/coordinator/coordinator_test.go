package coordinator

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/executor"
	"github.com/chicorystand/chicorystand/vm/vmagent"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	testTimeout = 20 * time.Second
	// testCancel is the bound of cancellations.
	testCancel = 3 * time.Second
)

func newTable() *standin.Table { return standin.NewTable(10_000, 100_000) }

// testEntry is an entry process without a request API.
type testEntry struct {
	candidate *Candidate
	link      *member.OwnerLink
	store     *standin.Link
	stop      context.CancelFunc
	done      chan struct{}
}

func startEntry(t *testing.T, table *standin.Table, name string) *testEntry {
	t.Helper()
	return startEntryWithStore(t, table, name, table)
}

// startEntryWithStore starts an entry that accesses the store through path.
func startEntryWithStore(t *testing.T, table *standin.Table, name string, path store.Follower) *testEntry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := clock.Boottime{}
	e := &testEntry{store: standin.NewLink(path), link: member.NewOwnerLink(c, zerolog.Nop()), stop: cancel, done: make(chan struct{})}
	l := listen(t)
	self := member.Member{Name: name, Address: l.Addr().String(), Role: member.Entry, Incarnation: uint64(time.Now().UnixNano())}
	go member.Serve(l, e.link, e.link.Handle)
	go member.KeepRegistered(ctx, e.store, self, e.link.SinceLastMessage)
	bounds := dispatch.Bounds{LeaseDuration: 2 * time.Second, AckValidity: 2 * time.Second, MaxStoreOutage: 15 * time.Second,
		Cancel: testCancel, StopTimeout: 100 * time.Millisecond, Retention: time.Hour}
	e.candidate = NewCandidate(Config{Store: e.store, Clock: c, Log: zerolog.Nop(), Bounds: bounds, Member: self,
		Manifest: func() *manifest.Manifest { return nil }, HighestEpoch: e.link.Epoch}, e.link)
	go func() {
		defer close(e.done)
		e.candidate.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-e.done
		_ = l.Close()
	})
	return e
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", testTimeout, what)
}

// instantExecutor completes every task as soon as it is started.
type instantExecutor struct {
	mu    sync.Mutex
	ends  []executor.End
	start time.Time
	runs  map[string]int
}

func (d *instantExecutor) clockNow() int64 { return time.Since(d.start).Milliseconds() + 1 }

func (d *instantExecutor) Start(_ context.Context, _ executor.Info, s executor.Start) executor.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[s.Task]++
	d.ends = append(d.ends, executor.End{Number: int64(len(d.ends) + 1), Task: s.Task, Run: s.Run, Cause: executor.Done})
	return executor.Answer{Clock: d.clockNow()}
}

func (d *instantExecutor) Stop(context.Context, executor.Info, string, uint32, uint64) executor.Answer {
	return executor.Answer{Clock: d.clockNow()}
}

func (d *instantExecutor) Throttle(context.Context, executor.Info, string, uint32, uint64, int) executor.Answer {
	return executor.Answer{Clock: d.clockNow()}
}

func (d *instantExecutor) Poll(_ context.Context, _ executor.Info, h executor.PollRequest) executor.Snapshot {
	time.Sleep(5 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := executor.Snapshot{Answer: executor.Answer{Clock: d.clockNow()}, StartedAt: 1}
	for _, e := range d.ends {
		if e.Number > h.LastSeen {
			s.Ended = append(s.Ended, e)
		}
	}
	return s
}

func startAgent(t *testing.T, table *standin.Table, name string) *instantExecutor {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := clock.Boottime{}
	link := member.NewOwnerLink(c, zerolog.Nop())
	ex := &instantExecutor{start: time.Now(), runs: make(map[string]int)}
	a := vmagent.New(ctx, vmagent.Config{Name: name, Client: ex, Clock: c, Log: zerolog.Nop(), Link: link, Observe: func(string, executor.Answer) {}})
	l := listen(t)
	go member.Serve(l, link, a.Handle)
	go member.KeepRegistered(ctx, table, member.Member{Name: name, Address: l.Addr().String(), Role: member.Agent}, link.SinceLastMessage)
	a.Heartbeat(executor.Info{Incarnation: submission.Incarnation{ID: "i-" + name, StartedAt: 1}, Service: "pool", Address: name,
		Capacity: task.Resources{CPU: 4000, Memory: 4000}, Sequence: 1, Clock: 1})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
	})
	return ex
}

// submit writes a submission to the store as an entry does.
func submit(t *testing.T, table *standin.Table, id string) {
	t.Helper()
	s := &submission.Submission{ID: id, Queue: "q", Service: "pool", Accepted: time.Now().UnixMilli(), MaxAttempts: 3,
		Steps: []submission.Step{{Count: 3, Request: task.Resources{CPU: 500}}, {Count: 2, Request: task.Resources{CPU: 500}, DependsOn: []int{0}}}}
	value, err := s.Encode()
	assert.NilError(t, err)
	_, err = table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.WorkKey(id), Value: value}}})
	assert.NilError(t, err)
}

func completed(table *standin.Table, id string) bool {
	rows, err := table.Get(context.Background(), dispatch.ProgressKey(id))
	if err != nil || len(rows) == 0 {
		return false
	}
	state, err := submission.DecodeState(rows[0].Value)
	return err == nil && state == submission.Completed
}

func owners(entries ...*testEntry) int {
	n := 0
	for _, e := range entries {
		if e.candidate.Owning() {
			n++
		}
	}
	return n
}

// End to end: a submission in the store is completed by a real candidate and agent, and
// each task is started once.
func TestSubmissionCompletes(t *testing.T) {
	table := newTable()
	startEntry(t, table, "entry-1")
	ex := startAgent(t, table, "agent-1")
	submit(t, table, "00000000000000a1")
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000a1") })
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for name, n := range ex.runs {
		assert.Equal(t, n, 1, name)
	}
	assert.Equal(t, len(ex.runs), 5)
}

// An owner that cannot reach the store keeps its connections to members. Another entry
// must take over nevertheless, or accepted work makes no progress.
func TestOwnerWithoutStoreIsReplaced(t *testing.T) {
	table := newTable()
	first := startEntry(t, table, "entry-1")
	eventually(t, "first entry owns", first.candidate.Owning)
	second := startEntry(t, table, "entry-2")
	startAgent(t, table, "agent-1")
	eventually(t, "second entry hears from the owner", func() bool { return second.link.SinceLastMessage() < time.Second })
	first.store.SetDisconnected(true)
	submit(t, table, "00000000000000a2")
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000a2") })
	eventually(t, "one owner", func() bool { return owners(first, second) == 1 && second.candidate.Owning() })
}

// An owner that shuts down resigns, so that another entry takes over without delay.
func TestStoppedOwnerResigns(t *testing.T) {
	table := newTable()
	first := startEntry(t, table, "entry-1")
	eventually(t, "first entry owns", first.candidate.Owning)
	second := startEntry(t, table, "entry-2")
	first.stop()
	<-first.done
	h, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	if h.Owner != "" {
		assert.Equal(t, h.Owner, "entry-2")
	}
	eventually(t, "second entry owns", second.candidate.Owning)
}

// An owner that shuts down nearly always has a commit in progress. It must learn the
// outcome before it resigns, or its last write is refused and work makes no progress
// until another entry's takeover wait has passed.
func TestOwnerResignsWithACommitInProgress(t *testing.T) {
	table := newTable()
	slow := &slowTable{Follower: table, commitDelay: 200 * time.Millisecond}
	first := startEntryWithStore(t, table, "entry-1", slow)
	eventually(t, "first entry owns", first.candidate.Owning)
	eventually(t, "no commit is in progress", func() bool { return slow.commits.Load() == 0 })
	eventually(t, "a commit is in progress", func() bool { return slow.commits.Load() > 0 })
	first.stop()
	<-first.done
	h, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, h.Owner, "")
}

// Guards against a takeover that waits, although the owner has stopped as planned, since it was reading the tables.
func TestOwnerResignsWhileItReadsTheTables(t *testing.T) {
	table := newTable()
	first := startEntryWithStore(t, table, "entry-1", &slowTable{Follower: table, readDelay: testTimeout})
	eventually(t, "first entry owns", first.candidate.Owning)
	first.stop()
	<-first.done
	h, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, h.Owner, "")
}

// An entry on a slow network link takes over after the others, but it does take over
// when no other entry can.
func TestTakeoverDelayAppliesPerEntry(t *testing.T) {
	delayed := &Candidate{cfg: Config{TakeoverDelay: 300 * time.Millisecond, Member: member.Member{Name: "delayed"}}}
	undelayed := &Candidate{cfg: Config{Member: member.Member{Name: "undelayed"}}, jitter: maxTakeoverJitter}
	resigned, expired := &ownerRow{version: 3}, &ownerRow{OwnerRecord: OwnerRecord{Owner: "other"}, version: 3}
	assert.Equal(t, undelayed.takeoverWait(resigned), time.Duration(0))
	assert.Equal(t, delayed.takeoverWait(resigned), 300*time.Millisecond)
	assert.Assert(t, delayed.takeoverWait(expired) >= undelayed.takeoverWait(expired))
	own := &ownerRow{OwnerRecord: OwnerRecord{Owner: "delayed"}, version: 3}
	assert.Equal(t, delayed.takeoverWait(own), time.Duration(0))
}

// Reading the tables may take longer than takeoverAfter; the new owner must not be
// replaced meanwhile.
func TestOwnerIsNotReplacedDuringSlowLoad(t *testing.T) {
	table := newTable()
	slow := &slowTable{Follower: table, readDelay: 2 * takeoverAfter}
	first := startEntryWithStore(t, table, "entry-1", slow)
	second := startEntry(t, table, "entry-2")
	eventually(t, "an entry owns", func() bool { return first.candidate.Owning() || second.candidate.Owning() })
	if second.candidate.Owning() {
		second.stop()
		<-second.done
		eventually(t, "first entry owns", first.candidate.Owning)
		second = startEntry(t, table, "entry-3")
	}
	taken, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	for end := time.Now().Add(2*takeoverAfter + maxTakeoverJitter); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, !second.candidate.Owning())
	}
	now, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, now.Epoch, taken.Epoch)
}

// slowTable delays reads of the work table and replies to commits, as a slow link does.
type slowTable struct {
	store.Follower
	readDelay, commitDelay time.Duration
	// commits counts the commits in progress.
	commits atomic.Int32
}

func (s *slowTable) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errkind.Wrap(errkind.StoreAmbiguous, ctx.Err(), "slow")
	case <-time.After(d):
		return nil
	}
}

func (s *slowTable) List(ctx context.Context, table, after string) (store.Page, error) {
	if table == dispatch.WorkTable {
		if err := s.wait(ctx, s.readDelay); err != nil {
			return store.Page{}, err
		}
	}
	return s.Follower.List(ctx, table, after)
}

// Commit takes effect at once; its reply is delayed.
func (s *slowTable) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	s.commits.Add(1)
	defer s.commits.Add(-1)
	versions, err := s.Follower.Commit(ctx, txn)
	if wait := s.wait(ctx, s.commitDelay); wait != nil {
		return nil, wait
	}
	return versions, err
}

// While the store is down for all entries, none can take over and the owner continues.
func TestStoreOutageKeepsOwner(t *testing.T) {
	table := newTable()
	first := startEntry(t, table, "entry-1")
	eventually(t, "first entry owns", first.candidate.Owning)
	second := startEntry(t, table, "entry-2")
	eventually(t, "second entry hears from the owner", func() bool { return second.link.SinceLastMessage() < time.Second })
	table.SetFaults(standin.Faults{Down: true})
	time.Sleep(3 * time.Second)
	table.SetFaults(standin.Faults{})
	time.Sleep(time.Second)
	assert.Assert(t, first.candidate.Owning())
	assert.Assert(t, !second.candidate.Owning())
}

// A commit that took effect must be reported as successful although its reply was lost,
// and a delayed commit must not take effect after that of another owner.
func TestCommitIsResolvedAfterLostReplies(t *testing.T) {
	table := newTable()
	h, err := writeOwnerRow(t.Context(), table, ownerRow{}, OwnerRecord{Epoch: 1, Owner: "a", Incarnation: 1}, nil)
	assert.NilError(t, err)
	c := committer{table: table, row: h, onRetry: func(error) {}}
	table.SetFaults(standin.Faults{LoseResponses: 1})
	assert.NilError(t, c.commit(t.Context(), []store.Write{{Key: "progress/x", Value: []byte("1")}}, nil, func() {}))
	rows, err := table.Get(t.Context(), "progress/x")
	assert.NilError(t, err)
	owner, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, owner.version, "the commit took effect twice")
	assert.Equal(t, table.Counts().Commits, int64(2), "the commit took effect twice")

	table.SetFaults(standin.Faults{DelayCommits: 1, CommitDelay: 300 * time.Millisecond})
	assert.NilError(t, c.commit(t.Context(), []store.Write{{Key: "progress/x", Value: []byte("2")}}, nil, func() {}))
	other, err := readOwnerRow(t.Context(), table)
	assert.NilError(t, err)
	_, err = writeOwnerRow(t.Context(), table, other, OwnerRecord{Epoch: 2, Owner: "b", Incarnation: 2}, []store.Write{{Key: "progress/x", Value: []byte("3")}})
	assert.NilError(t, err)
	time.Sleep(500 * time.Millisecond)
	rows, err = table.Get(t.Context(), "progress/x")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "3", "a delayed commit of a previous owner took effect")
	err = c.commit(t.Context(), nil, nil, func() {})
	assert.Equal(t, errkind.Of(err), errkind.NotOwner)
}

// After the store has compacted its history, the owner must still see every submission.
func TestCompactionHidesNoSubmissions(t *testing.T) {
	table := newTable()
	startEntry(t, table, "entry-1")
	startAgent(t, table, "agent-1")
	submit(t, table, "00000000000000a3")
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000a3") })
	table.SetFaults(standin.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	table.SetFaults(standin.Faults{})
	submit(t, table, "00000000000000a4")
	table.Compact()
	eventually(t, "submission completed", func() bool { return completed(table, "00000000000000a4") })
}

// An entry must not be able to write anything but work through the owner, and writes of many entries
// must not pile up in it while the store is slow.
func TestForwardedWritesAreBounded(t *testing.T) {
	table := newTable()
	slow := &slowTable{Follower: table, commitDelay: 300 * time.Millisecond}
	o := newOwner(Config{Store: slow, Clock: clock.Boottime{}, Log: zerolog.Nop()}, ownerRow{}, 0)
	kindOf := func(m wire.Message) errkind.Kind {
		if e, ok := m.(*wire.Error); ok {
			return e.Kind
		}
		return errkind.None
	}
	assert.Equal(t, kindOf(o.createRow(&wire.CreateRow{Key: ownerKey})), errkind.InvalidArgument)
	assert.Equal(t, kindOf(o.createRow(&wire.CreateRow{Key: dispatch.WorkKey("a")})), errkind.None)
	assert.Equal(t, kindOf(o.createRow(&wire.CreateRow{Key: dispatch.WorkKey("a")})), errkind.Conflict)
	kinds := make(chan errkind.Kind, 2*maxForwardedWrites)
	for i := range 2 * maxForwardedWrites {
		go func() { kinds <- kindOf(o.createRow(&wire.CreateRow{Key: dispatch.WorkKey("b" + strconv.Itoa(i))})) }()
	}
	counts := make(map[errkind.Kind]int)
	for range 2 * maxForwardedWrites {
		counts[<-kinds]++
	}
	assert.Equal(t, counts[errkind.None], maxForwardedWrites)
	assert.Equal(t, counts[errkind.QueueFull], maxForwardedWrites)
}
