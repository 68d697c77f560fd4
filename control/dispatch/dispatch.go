// Package dispatch decides for all submissions of a deployment: which tasks may
// start, where, and what their ends mean. Its state is held in tables of jobs,
// tasks and executors. Reports change the tables, systems run over them in Tick,
// and nothing that a decision causes leaves the package before the records that
// it depends on are committed.
//
// The package uses no network and no clock of its own. An Owner is not safe for
// concurrent use.
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/control/advice"
	"github.com/chicorystand/chicorystand/control/contention"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/speed"
	"github.com/chicorystand/chicorystand/control/submission"
)

// Bounds are the figures of a deployment that the owner's time-outs follow.
type Bounds struct {
	// LeaseDuration is how far ahead of its clock an executor may run without contact.
	LeaseDuration time.Duration
	// AckValidity is how long the consent of the other entries, or a commit, lets the owner extend leases.
	AckValidity time.Duration
	// PreviousOwnerWindow is how long after this owner's start the owner before it may have extended leases.
	PreviousOwnerWindow time.Duration
	// MaxStoreOutage is how long an owner extends leases without a successful commit, with the consent of all entries.
	MaxStoreOutage time.Duration
	// StopTimeout is the longest time that a task takes to stop.
	StopTimeout time.Duration
	// Retention is how long the record of an ended submission is kept.
	Retention time.Duration
}

const (
	// minClockRate is the slowest rate of an executor's clock: it may be 2% slow.
	minClockRate = 0.98
	// leaseMargin is added to the end of a lease, for the resolution of the clocks.
	leaseMargin = 150 * time.Millisecond
	// maxBatchWrites is the largest number of records in one commit; the store accepts
	// 100 entries in a transaction, some of which belong to the lease.
	maxBatchWrites = 90
)

// maxLeaseTime returns how long it takes at most until an executor's clock has advanced by d.
func maxLeaseTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/minClockRate) + leaseMargin
}

// Owner holds the tables.
type Owner struct {
	bounds Bounds
	epoch  uint64
	// startedAt is when this owner took over.
	startedAt time.Duration
	log   zerolog.Logger
	// unixMillis converts the owner's clock to Unix milliseconds.
	unixMillis func(now time.Duration) int64

	manifest  *manifest.Manifest
	jobs      map[string]*job
	executors map[submission.Incarnation]*node
	// incarnations lists the executors by their id and by their address.
	incarnations map[string][]*node
	// waiting holds the steps with tasks that may start.
	waiting map[stepKey]*waitingStep
	// scheduled holds jobs with occurrences that are not due yet.
	scheduled map[string]*job
	dirty map[string]*job
	// placementChanged tells that a placement may succeed that did not before.
	placementChanged  bool
	placedAt time.Duration
	movedAt  time.Duration
	// preemptedAt is when the last look for runs to preempt was.
	preemptedAt time.Duration
	// moveTargets are the executors that can take tasks of a step, found once in each look for runs to move.
	moveTargets map[stepKey]*pool
	// estimates is what is known of the estimates of each queue's submissions.
	estimates map[string]*speed.Estimates
	// now is the time of the last run of the systems.
	now         time.Duration
	modelWrittenAt time.Duration
	// lastCommit is when the last successful commit was sent.
	lastCommit time.Duration
	// acknowledgedAt is when all other entries were last known to follow this owner.
	acknowledgedAt  time.Duration
	outbox     map[submission.Incarnation]*outbox
	pending    effects
	contention *contention.Model
	// compatibility is the share of filling work that gets along with a set of serving
	// images, by the key of the set; it was derived at compatibleAt.
	compatibility map[string]float64
	compatibleAt  time.Duration
	// pools are the executors that can take tasks in this run of the systems, by service.
	pools  map[string]*pool
	advice *advice.Table
	counters  Counters
}

// Counters are totals since the owner started.
type Counters struct {
	Starts, Ends, Failures, Lost, Rejected uint64
}

// Add returns the sums.
func (c Counters) Add(d Counters) Counters {
	return Counters{Starts: c.Starts + d.Starts, Ends: c.Ends + d.Ends, Failures: c.Failures + d.Failures,
		Lost: c.Lost + d.Lost, Rejected: c.Rejected + d.Rejected}
}

// New returns an owner without work. now is the owner's clock, which includes
// time in suspension; unix converts it to Unix milliseconds.
func New(b Bounds, epoch uint64, now time.Duration, unix func(time.Duration) int64, log zerolog.Logger) *Owner {
	return &Owner{bounds: b, epoch: epoch, startedAt: now, now: now, modelWrittenAt: now, lastCommit: now, log: log, unixMillis: unix, jobs: make(map[string]*job),
		executors: make(map[submission.Incarnation]*node), incarnations: make(map[string][]*node), waiting: make(map[stepKey]*waitingStep), scheduled: make(map[string]*job),
		dirty: make(map[string]*job), outbox: make(map[submission.Incarnation]*outbox), pending: newEffects(), estimates: make(map[string]*speed.Estimates), contention: contention.New(),
		compatibility: make(map[string]float64), pools: make(map[string]*pool), moveTargets: make(map[stepKey]*pool), advice: advice.NewTable()}
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Counters returns the totals.
func (o *Owner) Counters() Counters { return o.counters }

// SetManifest puts a manifest in force. Older versions are ignored.
func (o *Owner) SetManifest(m *manifest.Manifest) {
	if o.manifest == nil || m.Version > o.manifest.Version {
		o.manifest = m
		o.placementChanged = true
	}
}

// Tick runs the systems.
func (o *Owner) Tick(now time.Duration) {
	o.now = now
	clear(o.pools)
	o.expireLeases(now)
	o.releaseDueOccurrences(now)
	o.evacuate(now)
	o.moveRuns(now)
	o.place(now)
	o.preempt(now)
	o.retryOrders(now)
	o.removeExpired(now)
}
