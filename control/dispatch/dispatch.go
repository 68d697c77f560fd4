// Package dispatch is the scheduler core of a deployment. For all submissions it decides which
// tasks may start and where, and what the end of a run means. Its state is held in tables of jobs,
// tasks and executors. Reports from agents update the tables, and Tick runs the scheduling passes
// over them. Orders leave the package only after the records that they depend on are committed.
//
// The tables are in tables.go and neighbours.go; jobs.go and reports.go change them by submissions and by reports, incarnations.go when an
// executor has restarted, tombstones.go by cancellations of submissions that do not exist. records.go divides the record of a job into
// rows.
//
// Each pass of Tick has a file: place.go, poolplan.go, preempt.go, move.go, relocation.go, zones.go, stall.go and speed.go, contention.go for
// speed limits. freshness.go limits starts by the age of what they depend on. crash.go attributes crashes of executors to tasks. commit.go
// and orders.go turn decisions into records and orders, backlog.go describes the work that waits, share.go orders it by shares of queues,
// and refusal.go handles commits that the store refuses. placewait.go and placewait_gang.go hold tasks and gangs back for their rack. What
// can be decided without the tables is in packages of its own: ordering, placement, placewait, poolplan, relocation, backlog, contention,
// speed, blame, eviction and advice.
//
// The package uses no network and no clock of its own. An Owner is not safe for concurrent use.
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/evacuation"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/speed"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Bounds are the time limits of a deployment from which the owner derives its timeouts.
type Bounds struct {
	// LeaseDuration is how far ahead of its clock an executor may run without contact.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that an executor accepts, 0 for LeaseDuration.
	MaxLease time.Duration
	// AckValidity is how long the owner may extend leases after a commit or after the other
	// entries have acknowledged it.
	AckValidity time.Duration
	// PreviousOwnerWindow is how long after this owner's start the previous owner may have
	// extended leases.
	PreviousOwnerWindow time.Duration
	// MaxStoreOutage is how long an owner extends leases without a successful commit, given that
	// all entries acknowledge it.
	MaxStoreOutage time.Duration
	// Evacuation is how long after the evacuation of a zone was acknowledged a run may still begin
	// there, 0 where zones can't be evacuated.
	Evacuation time.Duration
	// Cancel is how long after the cancellation of a submission was acknowledged a run of it may still begin, 0 for no limit.
	Cancel time.Duration
	// MaxInterference is how long best-effort work may keep a latency-critical task over its target, 0 for the
	// default of package contention.
	MaxInterference time.Duration
	// StopTimeout is the longest time that a task takes to stop.
	StopTimeout time.Duration
	// Restore is the time that a run takes to resume from a checkpoint.
	Restore time.Duration
	// Retention is how long the record of an ended submission is kept.
	Retention time.Duration
	// MaxRowBytes is the size of the largest value that the store accepts, 0 for no limit.
	MaxRowBytes int
	// RemoteFactor is the ratio of a task's run time away from its preferred rack to that there, 0 if unknown.
	RemoteFactor float64
	Features     Features
}

// Features are the optional decisions. Each takes effect only on work and pools that call for it.
type Features struct {
	// PoolPlan gathers latency-critical tasks by image, and moves best-effort runs off executors with a task over its target.
	PoolPlan bool
	// Backlog estimates how long the accepted work of each queue takes.
	Backlog bool
	// FairShares divides the capacity among the queues of one priority while they ask for more than there is.
	FairShares bool
	// PlaceWait lets tasks wait for their preferred rack.
	PlaceWait bool
}

const (
	// leaseMargin is added to the end of a lease, for the resolution of the clocks.
	leaseMargin = 150 * time.Millisecond
	// maxBatchWrites is the largest number of records in one commit. The store accepts 100 entries
	// in a transaction, some of which belong to the ownership lease.
	maxBatchWrites = 90
	// maxBatchBytes bounds the records in one commit. The store accepts 1 MB in a transaction, in which
	// the records take a third more, beside their keys and the owner's other rows.
	maxBatchBytes = 600_000
	// pauseMargin is how long before the bound on the impact of best-effort work that work is paused: a
	// scheduling pass, the order's way to the executor, one retry, and the time until the limit takes effect.
	pauseMargin = 800 * time.Millisecond
)

// maxLeaseTime returns the longest time in which an executor's clock advances by d.
func maxLeaseTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/executor.MinClockRate) + leaseMargin
}

// Owner holds the scheduler's tables and the orders that wait to be sent.
type Owner struct {
	bounds Bounds
	epoch  uint64
	// startedAt is when this owner took over.
	startedAt time.Duration
	log       zerolog.Logger
	// unixMillis converts the owner's clock to Unix milliseconds.
	unixMillis func(now time.Duration) int64

	manifest    *manifest.Manifest
	evacuations evacuation.State
	// cancellationsAsOf is the time as of which all cancellations are known, 0 before.
	cancellationsAsOf time.Duration
	// placementHeld is set since placementHeldAt while nothing is placed because a start input is not known.
	placementHeld   bool
	placementHeldAt time.Duration

	jobs map[string]*job
	// tombstones are the cancelled submissions without a row.
	tombstones tombstones
	executors  map[submission.Incarnation]*node
	// incarnations lists the executors by their ID and by their address.
	incarnations map[string][]*node
	// waiting holds the steps with tasks that are ready to start.
	waiting map[stepKey]*waitingStep
	// scheduled holds the jobs with occurrences that are not due yet.
	scheduled map[string]*job
	// dirty holds the parts of records with changes that no prepared commit has; dirtySequence counts the additions.
	dirty         map[*recordPart]struct{}
	dirtySequence uint64
	// placementChanged is set when a placement that failed before may now succeed.
	placementChanged bool
	placedAt         time.Duration
	// unplaced are the steps that the last pass had no time for, in their order.
	unplaced []*waitingStep
	// passClock bounds the time of a pass, nil for no bound.
	passClock func() time.Duration
	plannedAt time.Duration
	movedAt   time.Duration
	// preemptedAt is when runs to preempt were last searched for.
	preemptedAt time.Duration
	// unmet holds the needs that no executor can meet in this scheduling pass.
	unmet map[needs]struct{}
	// moveTargets are the executors that can take tasks of a step, computed once in each search
	// for runs to move.
	moveTargets map[stepKey]*pool
	// estimates holds the observed accuracy of the run time estimates, by queue.
	estimates map[string]*speed.EstimateAccuracy
	// now is the time of the current scheduling pass.
	now            time.Duration
	modelWrittenAt time.Duration
	// lastCommit is when the last successful commit was sent.
	lastCommit time.Duration
	// acknowledgedAt is when all other entries were last known to acknowledge this owner.
	acknowledgedAt time.Duration
	outbox         map[submission.Incarnation]*outbox
	uncommitted    effects
	// retries are the parts of a batch that the store has refused. refusedTried is set if the last other batch was an attempt
	// to write a part that was refused before.
	retries      []*Batch
	refusedTried bool
	// modelRefused is set once the store has refused the contention model, which this owner then writes no more.
	modelRefused bool
	contention   *contention.Model
	// compatibility is the share of best-effort work that is compatible with a set of
	// latency-critical images, by the key of the set. It was computed at compatibleAt.
	compatibility map[string]float64
	compatibleAt  time.Duration
	// crashes holds the last crash on each VM, by the name of its agent.
	crashes map[string]crash
	// pools are the executors that can take tasks in this scheduling pass, by service.
	pools      map[string]*pool
	placeWaits placeWaits
	advice     *advice.Table
	counters   Counters
	// backlogLoggedAt is when a backlog was last logged.
	backlogLoggedAt time.Duration
}

// Counters are totals since the owner started.
type Counters struct {
	Starts, Ends, Failures, Lost, Rejected uint64
	// Withdrawn counts the starts that were taken back from evacuated zones.
	Withdrawn uint64
	// ZoneWaits counts the steps that waited since only evacuated zones could run them.
	ZoneWaits uint64
	// GivenUp counts the tasks that were given up since they crash their executors.
	GivenUp uint64
	// Resent counts the copies of starts after the first.
	Resent uint64
	// PlannedMoves counts the latency-critical tasks that the pool plan has moved, Relocated the best-effort runs that have left
	// executors with a task over its target.
	PlannedMoves, Relocated uint64
	// RefusedWrites counts the changes that the store has refused for good.
	RefusedWrites uint64
	// PlaceWaits counts the waits of tasks and gangs for their rack, PlaceWaitsLocal those that ended there, PlaceWaitsRemote
	// those that ended elsewhere. RemoteStarts counts the runs that started away from their data or split over racks.
	PlaceWaits, PlaceWaitsLocal, PlaceWaitsRemote, RemoteStarts uint64
	// LatePasses counts the passes that began too long after the one before.
	LatePasses uint64
	// HandOvers counts the terms that ended since a more capable entry was to own the work.
	HandOvers uint64
}

func (c Counters) Add(d Counters) Counters {
	return Counters{Starts: c.Starts + d.Starts, Ends: c.Ends + d.Ends, Failures: c.Failures + d.Failures,
		Lost: c.Lost + d.Lost, Rejected: c.Rejected + d.Rejected, Withdrawn: c.Withdrawn + d.Withdrawn, ZoneWaits: c.ZoneWaits + d.ZoneWaits,
		GivenUp: c.GivenUp + d.GivenUp, Resent: c.Resent + d.Resent, RefusedWrites: c.RefusedWrites + d.RefusedWrites,
		PlannedMoves: c.PlannedMoves + d.PlannedMoves, Relocated: c.Relocated + d.Relocated,
		PlaceWaits: c.PlaceWaits + d.PlaceWaits, PlaceWaitsLocal: c.PlaceWaitsLocal + d.PlaceWaitsLocal,
		PlaceWaitsRemote: c.PlaceWaitsRemote + d.PlaceWaitsRemote, RemoteStarts: c.RemoteStarts + d.RemoteStarts,
		LatePasses: c.LatePasses + d.LatePasses, HandOvers: c.HandOvers + d.HandOvers}
}

// New returns an owner without work. now is the owner's clock, which includes time in suspension;
// unixMillis converts it to Unix milliseconds.
func New(b Bounds, epoch uint64, now time.Duration, unix func(time.Duration) int64, log zerolog.Logger) *Owner {
	model := contention.New()
	b.MaxLease = max(b.MaxLease, b.LeaseDuration)
	if b.MaxInterference > 0 {
		model.PauseAfter = max(0, b.MaxInterference-pauseMargin)
	}
	return &Owner{bounds: b, epoch: epoch, startedAt: now, now: now, modelWrittenAt: now, lastCommit: now, log: log, unixMillis: unix, jobs: make(map[string]*job), tombstones: tombstones{byID: make(map[string]*tombstone)},
		executors: make(map[submission.Incarnation]*node), incarnations: make(map[string][]*node), waiting: make(map[stepKey]*waitingStep), scheduled: make(map[string]*job),
		dirty: make(map[*recordPart]struct{}), outbox: make(map[submission.Incarnation]*outbox), uncommitted: newEffects(), estimates: make(map[string]*speed.EstimateAccuracy), contention: model,
		compatibility: make(map[string]float64), crashes: make(map[string]crash), pools: make(map[string]*pool), unmet: make(map[needs]struct{}), moveTargets: make(map[stepKey]*pool), advice: advice.NewTable()}
}

func (o *Owner) Epoch() uint64 { return o.epoch }

func (o *Owner) Counters() Counters { return o.counters }

// CountLatePass counts a pass that began too long after the one before.
func (o *Owner) CountLatePass() { o.counters.LatePasses++ }

// SetManifest applies a manifest. Older versions than the current one are ignored.
func (o *Owner) SetManifest(m *manifest.Manifest) {
	if o.manifest == nil || m.Version > o.manifest.Version {
		o.manifest = m
		o.placementChanged = true
	}
}

// Tick runs one scheduling pass.
func (o *Owner) Tick(now time.Duration) {
	o.now = now
	clear(o.pools)
	o.expireLeases(now)
	o.releaseDueOccurrences(now)
	o.saveDrainingRuns(now)
	o.withdrawStarts(now)
	mayStart := o.mayStart(now)
	o.holdPlacement(!mayStart, now)
	if mayStart {
		o.planPools(now)
		o.moveRuns(now)
		o.placeWaiting(now)
		o.preempt(now)
	}
	o.retryOrders(now)
	o.removeExpired(now)
}
