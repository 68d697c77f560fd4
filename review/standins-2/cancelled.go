package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cancelBound is cancel_ms.
	cancelBound = 3 * time.Second
	// cutLength is that of each cut of the frontend machine that gives the orders, period the time from one to the next.
	cutLength = 12 * time.Second
	period    = 16 * time.Second
	cycles    = 5
	// The other machine reaches the store from answersAt to answersUntil of each period, and again from backAt to backUntil. Its cuts
	// are of 8 s and of 6.5 s.
	answersAt    = 6 * time.Second
	answersUntil = 7 * time.Second
	backAt       = 15 * time.Second
	backUntil    = 15500 * time.Millisecond
	// roomWork and roomCPU are those of each task: one takes all room of an executor.
	roomWork = 6 * time.Second
	roomCPU  = 8000
	// smallExecutors is the number of executors without room for a task, smallCPU their size.
	smallExecutors = 3
	smallCPU       = 2000
	// waitingStretch leaves all submissions time to wait, so that they start in the order in which they were handed in.
	waitingStretch = 20
)

// cancelledBehindCut cuts the three frontend machines off from the store by turns. While the one that gives the orders is cut off, the
// others reach the store for a second and acknowledges a cancelling. No task of that submission may start later than
// cancel_ms after that.
func cancelledBehindCut(t *trial) ([]string, error) {
	t.route.Stretch = waitingStretch
	if err := t.publishRoute(2); err != nil {
		return nil, err
	}
	if err := t.startSmall(3); err != nil {
		return nil, err
	}
	const thirdEntry = 6
	if err := t.addEntry(thirdEntry); err != nil {
		return nil, err
	}
	// Executors that are too small for the tasks: three frontend machines are a third of the nine in use.
	for host := thirdEntry + 1; host <= thirdEntry+smallExecutors; host++ {
		if _, err := t.addExecutor(host, "a", smallCPU); err != nil {
			return nil, err
		}
	}
	if !t.client.ready("00000000000000aa", "") {
		return nil, errNotReady
	}
	// One submission takes all room, the next one waits for it and is cancelled meanwhile, and so on.
	for n := range cycles + 1 {
		for _, id := range []string{keptID(n), cancelledID(n)} {
			if !t.client.submit(id, roomWork, roomCPU, step{Count: 3, CPU: roomCPU, MemoryMB: 1000, EstimatedMS: roomWork.Milliseconds()}) {
				return nil, errNotReady
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	begin := time.Now()
	var wg sync.WaitGroup
	if t.trouble {
		wg.Go(func() { t.cutOwner(begin) })
		for _, p := range t.entries[1:] {
			wg.Go(func() { t.cutOther(p, begin) })
		}
	}
	var breaks []string
	for n := range cycles {
		cycle := begin.Add(time.Duration(n) * period)
		time.Sleep(time.Until(cycle.Add(answersAt)))
		id := cancelledID(n)
		acked, ok := t.cancel(id)
		if !ok {
			t.rec.log("the cancelling of %s was not acknowledged", id)
			continue
		}
		wg.Go(func() {
			time.Sleep(time.Until(cycle.Add(period)))
			found := t.rec.startsAfter(id, acked+cancelBound)
			t.rec.mu.Lock()
			defer t.rec.mu.Unlock()
			breaks = append(breaks, found...)
		})
	}
	wg.Wait()
	return breaks, nil
}

// cutOwner cuts the first machine off from the store in each period.
func (t *trial) cutOwner(begin time.Time) {
	for n := range cycles {
		cycle := begin.Add(time.Duration(n) * period)
		time.Sleep(time.Until(cycle))
		t.cutFromStore(t.entries[0], true)
		time.Sleep(time.Until(cycle.Add(cutLength)))
		t.cutFromStore(t.entries[0], false)
	}
}

// cutOther cuts another machine off from the store, but for a second amid each cut of the first one and half a second after it.
func (t *trial) cutOther(p *process, begin time.Time) {
	t.cutFromStore(p, true)
	for n := range cycles {
		cycle := begin.Add(time.Duration(n) * period)
		for _, change := range []struct {
			at    time.Duration
			isCut bool
		}{{answersAt, false}, {answersUntil, true}, {backAt, false}, {backUntil, true}} {
			time.Sleep(time.Until(cycle.Add(change.at)))
			t.cutFromStore(p, change.isCut)
		}
	}
	t.cutFromStore(p, false)
}

func keptID(n int) string      { return fmt.Sprintf("00000000000001%02x", n) }
func cancelledID(n int) string { return fmt.Sprintf("00000000000002%02x", n) }

func (t *trial) cutFromStore(p *process, on bool) {
	what := "reaches the store again"
	if on {
		what = "is cut off from the store"
	}
	t.rec.log("%s %s", p.name, what)
	p.platform.cut(on)
}

// cancel cancels a submission at the second entry, and returns when that was acknowledged.
func (t *trial) cancel(id string) (time.Duration, bool) {
	for end := time.Now().Add(answersUntil - answersAt); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, _ := t.client.call(http.MethodDelete, t.client.entry(1), id, nil)
		t.rec.log("client: DELETE %s at entry 2: %d", id, status)
		if status == http.StatusOK {
			return t.rec.since(), true
		}
	}
	return 0, false
}

// startsAfter returns the starts of tasks of a submission after a time, as breaks of the rule UNASKED.
func (r *record) startsAfter(id string, limit time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, x := range r.runs {
		if strings.HasPrefix(x.task, id+".") && x.from > limit {
			found = append(found, fmt.Sprintf("UNASKED: %s run %d starts on %s at %v, later than cancel_ms after its cancelling was acknowledged (limit %v)",
				x.task, x.number, x.vm, x.from, limit))
		}
	}
	return found
}
