package histories

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/verify/workload"
)

// arrivalWindow is the period in which submissions arrive and faults begin.
const arrivalWindow = 20 * time.Second

type faultKind string

// Kinds of faults. The target of a fault is the index of an entry or of an executor.
const (
	killEntry            faultKind = "entry is killed"
	killAll              faultKind = "all processes are killed"
	cutEntryStore        faultKind = "entry is cut off from the store"
	cutEntry             faultKind = "entry is cut off from all processes"
	killAgent            faultKind = "agent is killed"
	cutAgent             faultKind = "agent is cut off from all processes"
	crashExecutor        faultKind = "executor crashes"
	restartSameID        faultKind = "executor restarts under the same id"
	unresponsiveExecutor faultKind = "executor does not respond"
	rejectingExecutor    faultKind = "executor rejects all orders"
	lostOrderReplies     faultKind = "replies to orders are lost"
	delayedOrders        faultKind = "orders are carried out after a delay"
	failingRuns          faultKind = "executor fails all runs"
	storeDown            faultKind = "store is down"
	storeSlow            faultKind = "store is slow"
	storeLosesReplies    faultKind = "store loses replies"
	storeDelaysCommits   faultKind = "store delays commits"
	storeCompacts        faultKind = "store compacts its history"
	drainExecutors       faultKind = "executor drains and is replaced"
	evacuateZone         faultKind = "operator evacuates a zone"
	evacuateAllZones     faultKind = "operator evacuates all zones"
	// storeRefusesRows is not drawn, so that the plans of earlier seeds stay the same.
	storeRefusesRows faultKind = "store refuses rows of records"
)

var faultKinds = []faultKind{killEntry, killAll, cutEntryStore, cutEntry, killAgent, cutAgent, crashExecutor, restartSameID, unresponsiveExecutor,
	rejectingExecutor, lostOrderReplies, delayedOrders, failingRuns, storeDown, storeSlow, storeLosesReplies, storeDelaysCommits, storeCompacts, drainExecutors,
	evacuateZone, evacuateAllZones}

// fault is one fault of a plan. The meaning of amount depends on the kind.
type fault struct {
	at, duration time.Duration
	kind         faultKind
	target       int
	amount       int
}

func (f fault) String() string {
	return fmt.Sprintf("%v for %v: %s (target %d, amount %d)", f.at, f.duration, f.kind, f.target, f.amount)
}

// plan is the work and the faults of one run.
type plan struct {
	work   workload.Plan
	faults []fault
	// machines are the capabilities of the entries, nothing for unknown ones.
	machines [entryCount]succession.Capability
	// inspect, if not nil, is called at the end of the run.
	inspect func(*cluster)
}

func milliseconds(t *rapid.T, label string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(from.Milliseconds(), to.Milliseconds()).Draw(t, label)) * time.Millisecond
}

func generatePlan(t *rapid.T) plan {
	seed := rapid.Uint64().Draw(t, "work")
	p := plan{work: workload.Generate(rand.New(rand.NewPCG(seed, 1)),
		workload.Config{MinSubmissions: 4, MaxSubmissions: 12, ArrivalWindow: arrivalWindow, Executors: executorCount})}
	for range rapid.IntRange(1, 6).Draw(t, "faults") {
		p.faults = append(p.faults, fault{at: milliseconds(t, "at", time.Second, arrivalWindow), duration: milliseconds(t, "lasts", 200*time.Millisecond, 7*time.Second),
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"), target: rapid.IntRange(0, executorCount-1).Draw(t, "target"),
			amount: rapid.IntRange(1, 5).Draw(t, "amount")})
	}
	return p
}
