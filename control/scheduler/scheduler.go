// Package scheduler runs one scheduling pass over the tables on each tick and returns
// its decisions. It performs no I/O; a pass depends only on the tables, the time and
// the random source.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler/eviction"
	"github.com/chicorystand/chicorystand/control/scheduler/quarantine"
	"github.com/chicorystand/chicorystand/control/scheduler/queue"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/control/task"
)

// DecisionKind is the kind of action that a decision requests.
type DecisionKind uint8

// Decision kinds.
const (
	// Assign places the task on the VM with the reservation.
	Assign DecisionKind = iota
	// Evict checkpoints and stops the task on its VM and makes it pending again.
	Evict
	// Reject ends a task that can never run.
	Reject
	// Park stops retrying a task that failed on several VMs.
	Park
	// ReservationExceeded reports that a task uses more than its reservation; Reservation is the
	// amount that would cover the use. The VM may throttle or checkpoint the task. When Reason
	// is errkind.CapacityExceeded, the VM cannot hold the larger reservation.
	ReservationExceeded
	// Quarantine reports that the VM is quarantined and gets probe tasks only.
	Quarantine
)

// Decision is one action that a scheduling pass asks the caller to take.
type Decision struct {
	Kind        DecisionKind
	Task        string
	VM          string
	Reservation task.Resources
	Reason      errkind.Kind
	Detail      string
}

// Limits of one scheduling pass, and of holds.
const (
	// maxFailedSearches bounds the unsuccessful searches in a pass. Tasks of the same
	// customer, job class, size and zone share one search.
	maxFailedSearches = 64
	// minSearchBackoff and maxSearchBackoff bound the exponential backoff before a failed
	// search is repeated. Urgent tasks do not wait.
	minSearchBackoff = 100 * time.Millisecond
	maxSearchBackoff = 1600 * time.Millisecond
	// maxPreemptionSearches bounds the searches for victims in a pass.
	maxPreemptionSearches = 8
	// preemptionVMs is the number of VMs that such a search compares.
	preemptionVMs = 8
	// holdTime is how long a VM is held after evictions; an eviction takes at most 2 s.
	holdTime = 5 * time.Second
	// drainTime is how long a VM is held without evictions, so that running tasks end by
	// themselves. One VM in vmsPerHold may be held. Starving tasks that are not urgent get
	// drainsBeforeEviction such waits before other tasks are evicted for them.
	drainTime            = 2 * time.Minute
	vmsPerHold           = 20
	drainsBeforeEviction = 2
	// A VM becomes a candidate for relief after reliefReports consecutive reports of a tail
	// above reliefTail: the guard has had two report intervals to bring it down.
	reliefTail    = 1.2
	reliefReports = 3
	// fleetSlowdownShare is the share of VMs above reliefTail beyond which relief stops: a
	// simultaneous slowdown of many VMs is not caused by the placement of tasks.
	fleetSlowdownShare = 0.25
)

// Config configures a scheduler.
type Config struct {
	// TailWeight weighs tail latency (1) against batch throughput and evictions (0).
	TailWeight float64
	// Seed seeds the choice among VMs of equal score.
	Seed uint64
	// RejectDelay is the time from the first pass with a VM until tasks are rejected because
	// they exceed every VM. A new owner learns of its VMs within one heartbeat.
	RejectDelay time.Duration
}

// DefaultConfig weighs tail latency and throughput equally.
func DefaultConfig() Config { return Config{TailWeight: 0.5, RejectDelay: 10 * time.Second} }

// PressureLimits returns the pressure up to which batch tasks are placed beside services. It
// is set so that the expected tail stays below a fraction of the target, given the service's
// tail without batch tasks at its load.
func (c Config) PressureLimits(t *tables.Tables) *tables.PressureLimits {
	w := min(max(c.TailWeight, 0), 1)
	return t.PressureLimits(maxExpectedTail-maxExpectedTailRange*w, unreportedLimit-unreportedLimitRange*w)
}

// Highest expected tail that a placement may cause, as a fraction of the target, at tail
// weight 0, and its reduction at tail weight 1; and the same for the pressure limit of a
// service that reports no tail.
const (
	maxExpectedTail      = 0.94
	maxExpectedTailRange = 0.01
	unreportedLimit      = 0.3
	unreportedLimitRange = 0.2
)

// Scheduler holds the state that is kept between passes in addition to the tables.
type Scheduler struct {
	cfg            Config
	rng            *rand.Rand
	queue          queue.Queue
	budget         eviction.Budget
	holds          map[string]hold
	drains         map[string]int
	probing        map[string]struct{}
	slowReports    map[string]int
	failedSearches map[searchKey]*failedSearch
	firstVMAt      time.Duration
	vmSeen         bool
}

// hold keeps other tasks off a VM until the time, for a task that found no place.
type hold struct {
	vm    string
	until time.Duration
}

// New returns a scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), holds: make(map[string]hold), drains: make(map[string]int),
		probing: make(map[string]struct{}), slowReports: make(map[string]int), failedSearches: make(map[searchKey]*failedSearch)}
}

// pass is the state of one scheduling pass.
type pass struct {
	*Scheduler
	t                  *tables.Tables
	now                time.Duration
	decisions          []Decision
	assignments        []assignment
	searchFailures     int
	preemptionSearches int
	evicting           map[string]bool
}

type assignment struct {
	tk   *tables.Task
	vm   *tables.VM
	need task.Resources
}

// searchKey holds the properties of a task that determine the outcome of a search.
type searchKey struct {
	job  tables.JobKey
	need task.Resources
	zone string
}

// failedSearch is the last unsuccessful search for a key.
type failedSearch struct {
	reason     tables.Reason
	searchedAt time.Duration
	// retryAt is the time before which the search is not repeated.
	retryAt time.Duration
	// failures counts consecutive failures.
	failures int
}

// Tick runs one scheduling pass. The reservations of the returned assignments are not yet
// applied to the tables; the caller applies the decisions that it commits.
func (s *Scheduler) Tick(t *tables.Tables, now time.Duration) []Decision {
	t.Now = now
	if !s.vmSeen && len(t.VMs) > 0 {
		s.vmSeen, s.firstVMAt = true, now
	}
	k := &pass{Scheduler: s, t: t, now: now, evicting: make(map[string]bool)}
	k.pruneSlowReports()
	k.learn()
	quarantine.CheckProbes(t, s.probing, now)
	k.expireHolds()
	k.expireFailedSearches()
	k.place()
	for i := len(k.assignments) - 1; i >= 0; i-- {
		p := k.assignments[i]
		t.Unreserve(p.vm, p.tk, p.need)
	}
	return k.decisions
}
