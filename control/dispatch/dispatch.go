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
	// Lease is how far ahead of its clock an executor may run without contact.
	Lease time.Duration
	// Consent is how long the consent of the other entries, or a commit, lets the owner extend leases.
	Consent time.Duration
	// EarlierOwner is how long after this owner's start the owner before it may have extended leases.
	EarlierOwner time.Duration
	// StoreLoss is how long an owner extends leases without a successful commit, with the consent of all entries.
	StoreLoss time.Duration
	// StopTimeout is the longest time that a task takes to stop.
	StopTimeout time.Duration
	// Retention is how long the record of an ended submission is kept.
	Retention time.Duration
}

const (
	// clockRate is the slowest rate of an executor's clock: it may be 2% slow.
	clockRate = 0.98
	// leaseMargin is added to the end of a lease, for the resolution of the clocks.
	leaseMargin = 150 * time.Millisecond
	// maxBatch is the largest number of records in one commit; the store accepts
	// 100 entries in a transaction, some of which belong to the lease.
	maxBatch = 90
)

// leaseEnd returns how long it takes at most until an executor's clock has advanced by d.
func leaseEnd(d time.Duration) time.Duration {
	return time.Duration(float64(d)/clockRate) + leaseMargin
}

// Owner holds the tables.
type Owner struct {
	bounds Bounds
	epoch  uint64
	// since is when this owner took over.
	since time.Duration
	log   zerolog.Logger
	// unix converts the owner's clock to Unix milliseconds.
	unix func(now time.Duration) int64

	manifest  *manifest.Manifest
	jobs      map[string]*job
	executors map[submission.Incarnation]*node
	// lifetimes lists the executors by their id and by their address.
	lifetimes map[string][]*node
	// waiting holds the steps with tasks that may start.
	waiting map[stepKey]*waitingStep
	// timed holds jobs with occurrences that are not due yet.
	timed map[string]*job
	dirty map[string]*job
	// changed tells that a placement may succeed that did not before.
	changed  bool
	placedAt time.Duration
	movedAt  time.Duration
	// preemptedAt is when the last look for runs to preempt was.
	preemptedAt time.Duration
	// movePlaces are the executors that can take tasks of a step, found once in each look for runs to move.
	movePlaces map[stepKey]*pool
	// estimates is what is known of the estimates of each queue's submissions.
	estimates map[string]*speed.EstimateAccuracy
	// now is the time of the last run of the systems.
	now         time.Duration
	knowledgeAt time.Duration
	// lastCommit is when the last successful commit was sent.
	lastCommit time.Duration
	// consentAt is when all other entries were last known to follow this owner.
	consentAt  time.Duration
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
	stats  Counters
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
	return &Owner{bounds: b, epoch: epoch, since: now, now: now, knowledgeAt: now, lastCommit: now, log: log, unix: unix, jobs: make(map[string]*job),
		executors: make(map[submission.Incarnation]*node), lifetimes: make(map[string][]*node), waiting: make(map[stepKey]*waitingStep), timed: make(map[string]*job),
		dirty: make(map[string]*job), outbox: make(map[submission.Incarnation]*outbox), pending: newEffects(), estimates: make(map[string]*speed.EstimateAccuracy), contention: contention.New(),
		compatibility: make(map[string]float64), pools: make(map[string]*pool), movePlaces: make(map[stepKey]*pool), advice: advice.NewTable()}
}

// Epoch returns the owner's epoch.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Counters returns the totals.
func (o *Owner) Counters() Counters { return o.stats }

// SetManifest puts a manifest in force. Older versions are ignored.
func (o *Owner) SetManifest(m *manifest.Manifest) {
	if o.manifest == nil || m.Version > o.manifest.Version {
		o.manifest = m
		o.changed = true
	}
}

// Tick runs the systems.
func (o *Owner) Tick(now time.Duration) {
	o.now = now
	clear(o.pools)
	o.expireLeases(now)
	o.releaseDue(now)
	o.evacuate(now)
	o.moveRuns(now)
	o.place(now)
	o.preempt(now)
	o.repeatOrders(now)
	o.forget(now)
}
