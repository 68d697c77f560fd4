package ordering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an order that mixes priorities or lets late work go before work that can be on time, and against
// a queue that gets more than its share.
func TestShareKeepsPrioritiesAndLateness(t *testing.T) {
	claims := []Claim{{Queue: "a", LongRunning: true, CPU: 9}, {Queue: "a", CPU: 1}, {Queue: "a", CPU: 1}, {Queue: "a", CPU: 1}, {Queue: "b", CPU: 3}, {Queue: "b", CPU: 3},
		{Queue: "a", Timeliness: Late}, {Queue: "b", Timeliness: Late}, {Queue: "b", Priority: 1}, {Queue: "a", Priority: 1}}
	assert.DeepEqual(t, Share(claims, nil), []int{0, 1, 4, 2, 3, 5, 6, 7, 8, 9})
	assert.DeepEqual(t, Share(claims[:8], map[string]int64{"a": 4}), []int{0, 4, 5, 1, 2, 3, 6, 7})
}

type playedJob struct {
	step  PendingStep
	queue string
	left  time.Duration
}

// playQueues plays two queues of one priority on ten processors: "steady" asks for 0.4 of them with tasks of 2 s, "burst" for more than twice
// all with tasks of 0.5 s. It returns the share of each that is on time.
func playQueues(shared bool) map[string]float64 {
	const processors, tick, length = 10, 20 * time.Millisecond, 20 * time.Second
	r := rand.New(rand.NewPCG(1, 1))
	var waiting, running []*playedJob
	total, good := make(map[string]float64), make(map[string]float64)
	add := func(queue string, d, now time.Duration, rate float64) {
		if r.Float64() >= rate*tick.Seconds() {
			return
		}
		total[queue]++
		waiting = append(waiting, &playedJob{PendingStep{SoftDeadline: now + 3*d, HardDeadline: now + 9*d, RemainingPath: d, Work: d.Seconds(), Arrived: now, ID: fmt.Sprint(total)}, queue, d})
	}
	for now := time.Duration(0); now < length; now += tick {
		add("steady", 2*time.Second, now, 2)
		add("burst", 500*time.Millisecond, now, 45)
		held := make(map[string]int64)
		running = slices.DeleteFunc(running, func(j *playedJob) bool {
			if j.left -= tick; j.left > 0 {
				held[j.queue]++
				return false
			}
			if now <= j.step.SoftDeadline {
				good[j.queue]++
			}
			return true
		})
		waiting = slices.DeleteFunc(waiting, func(j *playedJob) bool {
			timeliness, _ := j.step.Timeliness(now)
			return timeliness == Expired
		})
		slices.SortFunc(waiting, func(a, b *playedJob) int {
			if Less(&a.step, &b.step, now) {
				return -1
			}
			return 1
		})
		if shared {
			waiting = sharedOrder(waiting, held, now)
		}
		n := min(len(waiting), processors-len(running))
		running, waiting = append(running, waiting[:n]...), waiting[n:]
	}
	return map[string]float64{"steady": good["steady"] / total["steady"], "burst": good["burst"] / total["burst"]}
}

func sharedOrder(waiting []*playedJob, held map[string]int64, now time.Duration) (out []*playedJob) {
	var claims []Claim
	for _, j := range waiting {
		timeliness, _ := j.step.Timeliness(now)
		claims = append(claims, Claim{Queue: j.queue, Timeliness: timeliness, CPU: 1})
	}
	for _, i := range Share(claims, held) {
		out = append(out, waiting[i])
	}
	return out
}

// Guards against a burst of small submissions of one queue that starves the larger ones of another: the latter ask for less than half of the
// processors and are on time.
func TestBurstOfSmallSubmissionsDoesNotStarveAnotherQueue(t *testing.T) {
	without, with := playQueues(false), playQueues(true)
	t.Logf("on time without shares: %v, with shares: %v", without, with)
	assert.Assert(t, without["steady"] < 0.1 && with["steady"] > 0.8)
	assert.Assert(t, with["burst"] > 0.1)
}
