package histories

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/chicorystand/chicorystand/verify/workload"
)

// trafficTime is the time in which submissions arrive and faults begin.
const trafficTime = 20 * time.Second

// faultKind is a kind of trouble.
type faultKind string

// Kinds of faults. A target is the number of an entry or of an executor.
const (
	killEntry      faultKind = "entry is killed"
	killAll        faultKind = "all processes are killed"
	cutEntryStore  faultKind = "entry is cut off from the store"
	cutEntry       faultKind = "entry is cut off from all processes"
	killAgent      faultKind = "agent is killed"
	cutAgent       faultKind = "agent is cut off from all processes"
	crashExecutor  faultKind = "executor crashes"
	rebirth        faultKind = "executor starts again under its id"
	muteExecutor   faultKind = "executor answers nothing"
	busyExecutor   faultKind = "executor refuses all orders"
	lostOrders     faultKind = "orders are carried out and not answered"
	lateOrders     faultKind = "orders are carried out late"
	failingRuns    faultKind = "executor fails all that it starts"
	storeDown      faultKind = "store is down"
	storeSlow      faultKind = "store is slow"
	storeLoses     faultKind = "store loses answers"
	storeDelays    faultKind = "store carries out writes late"
	storeForgets   faultKind = "store drops its history"
	drainExecutors faultKind = "executor drains and is replaced"
)

var faultKinds = []faultKind{killEntry, killAll, cutEntryStore, cutEntry, killAgent, cutAgent, crashExecutor, rebirth, muteExecutor,
	busyExecutor, lostOrders, lateOrders, failingRuns, storeDown, storeSlow, storeLoses, storeDelays, storeForgets, drainExecutors}

// fault is one trouble of a plan.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	target    int
	amount    int
}

func (f fault) String() string {
	return fmt.Sprintf("%v for %v: %s (target %d, amount %d)", f.at, f.lasts, f.kind, f.target, f.amount)
}

// plan is the work and the troubles of one run.
type plan struct {
	work   workload.Plan
	faults []fault
}

func milliseconds(t *rapid.T, label string, from, to time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(from.Milliseconds(), to.Milliseconds()).Draw(t, label)) * time.Millisecond
}

func drawPlan(t *rapid.T) plan {
	seed := rapid.Uint64().Draw(t, "work")
	p := plan{work: workload.Generate(rand.New(rand.NewPCG(seed, 1)),
		workload.Config{MinSubmissions: 4, MaxSubmissions: 12, ArrivalWindow: trafficTime, Executors: executorCount})}
	for range rapid.IntRange(1, 6).Draw(t, "faults") {
		p.faults = append(p.faults, fault{at: milliseconds(t, "at", time.Second, trafficTime), lasts: milliseconds(t, "lasts", 200*time.Millisecond, 7*time.Second),
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"), target: rapid.IntRange(0, executorCount-1).Draw(t, "target"),
			amount: rapid.IntRange(1, 5).Draw(t, "amount")})
	}
	return p
}
