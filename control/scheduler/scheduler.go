// Package scheduler runs the scheduling systems over the tables on each tick and
// returns their effects. It performs no I/O; a tick depends only on the tables,
// the time and the random source.
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

// EffectKind selects what an effect does.
type EffectKind uint8

// Effect kinds.
const (
	// Assign places the task on the VM with the reservation.
	Assign EffectKind = iota
	// Evict checkpoints and stops the task on its VM and makes it pending again.
	Evict
	// Reject ends a task that can never run.
	Reject
	// Park sets a task aside that failed on several VMs.
	Park
	// Grow reports that a task uses more than its reservation; Reservation is what would
	// cover the use. The VM may throttle or checkpoint the task. When Reason is
	// errkind.CapacityExceeded, the VM cannot hold the larger reservation.
	Grow
	// Quarantine reports that the VM gets no work except for probes.
	Quarantine
)

// Effect is one decision of a tick.
type Effect struct {
	Kind        EffectKind
	Task        string
	VM          string
	Reservation task.Resources
	Reason      errkind.Kind
	Detail      string
}

// Limits of one tick and of holds.
const (
	// maxFailedSearches bounds the searches without result in a tick. Tasks of the same
	// customer, job class, size and zone share one search.
	maxFailedSearches = 64
	// firstRetry and lastRetry bound the wait before a shape without a place is searched
	// again. Urgent tasks do not wait.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
	// maxEvictionSearches bounds the searches for victims in a tick.
	maxEvictionSearches = 8
	// victimVMs is the number of VMs compared in such a search.
	victimVMs = 8
	// holdTime keeps room for the task it was made for; an eviction takes at most 2 s.
	holdTime = 5 * time.Second
	// drainTime keeps a VM free of new tasks, so that it empties by itself. One VM in
	// vmsPerHold may be held. Starving tasks that are not urgent get drainsFirst such waits
	// before others are evicted for them.
	drainTime   = 2 * time.Minute
	vmsPerHold  = 20
	drainsFirst = 2
	// hotTail and hotReports make a VM a candidate for relief: the guard has had the time
	// of two reports to bring the tail down.
	hotTail    = 1.2
	hotReports = 3
	// waveShare is the part of services that may be hot before relief stops, since a wave
	// that hits many VMs is not caused by where tasks were placed.
	waveShare = 0.25
)

// Config configures a scheduler.
type Config struct {
	// TailWeight weighs tail latency (1) against batch throughput and evictions (0).
	TailWeight float64
	// Seed seeds the choice among VMs of equal score.
	Seed uint64
	// RejectAfter is the time from the first tick with a VM before a task is rejected for
	// exceeding every VM. A new owner learns of its VMs within one heartbeat.
	RejectAfter time.Duration
}

// DefaultConfig weighs tail latency and throughput alike.
func DefaultConfig() Config { return Config{TailWeight: 0.5, RejectAfter: 10 * time.Second} }

// Limits returns the pressure up to which batch tasks are placed beside services: as much
// as is expected to keep the tail below a part of the target, given the service's tail
// without batch tasks at its load.
func (c Config) Limits(t *tables.Tables) *tables.Limits {
	w := min(max(c.TailWeight, 0), 1)
	return t.LimitsOf(maxTail-maxTailRange*w, unknownLimit-unknownRange*w)
}

// Tail that placements may be expected to cause, as a fraction of the target, at tail
// weight 0, and how much less it is at tail weight 1; and the same for the pressure beside
// a service that reports no tail.
const (
	maxTail      = 0.94
	maxTailRange = 0.01
	unknownLimit = 0.3
	unknownRange = 0.2
)

// Scheduler holds what the systems keep between ticks besides the tables.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	queue   queue.Queue
	budget  eviction.Budget
	holds   map[string]hold
	drains  map[string]int
	probing map[string]struct{}
	hot     map[string]int
	failed  map[shape]*failure
	since   time.Duration
	started bool
}

// hold keeps a VM for a task for which others were evicted.
type hold struct {
	vm    string
	until time.Duration
}

// New returns a scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), holds: make(map[string]hold), drains: make(map[string]int),
		probing: make(map[string]struct{}), hot: make(map[string]int), failed: make(map[shape]*failure)}
}

// tick is the state of one run of the systems.
type tick struct {
	*Scheduler
	t        *tables.Tables
	now      time.Duration
	effects  []Effect
	planned  []plan
	failures int
	searches int
	evicting map[string]bool
}

type plan struct {
	tk   *tables.Task
	vm   *tables.VM
	need task.Resources
}

// shape is what the outcome of a search depends on.
type shape struct {
	job  tables.JobKey
	need task.Resources
	zone string
}

// failure is the last search for a shape without result.
type failure struct {
	reason tables.Reason
	// at is the time of the search.
	at time.Duration
	// until is the time before which the shape is not searched again, tries the number of
	// failures in a row.
	until time.Duration
	tries int
}

// Tick runs every system once. Reservations of the returned assignments are
// not yet applied to the tables; the caller applies effects that it commits.
func (s *Scheduler) Tick(t *tables.Tables, now time.Duration) []Effect {
	t.Now = now
	if !s.started && len(t.VMs) > 0 {
		s.started, s.since = true, now
	}
	k := &tick{Scheduler: s, t: t, now: now, evicting: make(map[string]bool)}
	k.forgetHot()
	k.ingest()
	quarantine.Run(t, s.probing, now)
	k.expireHolds()
	k.expireFailures()
	k.place()
	for i := len(k.planned) - 1; i >= 0; i-- {
		p := k.planned[i]
		t.Unreserve(p.vm, p.tk, p.need)
	}
	return k.effects
}
