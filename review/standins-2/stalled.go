package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// The entries have their share of a processor as a usage cap: they run for a share of each tenth of a second.
	capPeriod = 100 * time.Millisecond
	// wideSteps and wideSubmissions are those of the burst.
	wideSteps       = 256
	wideSubmissions = 150
	wideClients     = 8
	// steadyTasks run all the while.
	steadySubmissions = 8
	steadyTasks       = 60
	steadyWork        = 900 * time.Millisecond
	steadyCPU         = 2000
	// finish is finish_s, the time after the traffic from which the rule is checked, idleFor the time for which it has to be broken.
	finish   = 14 * time.Second
	watchAll = 40 * time.Second
	idleFor  = 3 * time.Second
)

// stalledOwner hands in submissions of many steps at once, while others run. The entries have their share of a processor.
func stalledOwner(t *trial) ([]string, error) {
	if err := t.startSmall(4); err != nil {
		return nil, err
	}
	if !t.client.ready("00000000000000aa", "") {
		return nil, errNotReady
	}
	stop := make(chan struct{})
	var capped sync.WaitGroup
	for _, p := range t.entries {
		capped.Go(func() { p.capUsage(entryCPU, stop) })
	}
	defer capped.Wait()
	defer close(stop)
	for n := range steadySubmissions {
		if !t.client.submit(fmt.Sprintf("00000000000004%02x", n), steadyWork, steadyCPU, step{Count: steadyTasks, CPU: steadyCPU, MemoryMB: 10, EstimatedMS: steadyWork.Milliseconds()}) {
			return nil, errNotReady
		}
	}
	time.Sleep(2 * time.Second)
	if t.trouble {
		var wide []step
		for range wideSteps {
			wide = append(wide, step{Count: 1, CPU: roomCPU, MemoryMB: 100, EstimatedMS: steadyWork.Milliseconds()})
		}
		var wg sync.WaitGroup
		for c := range wideClients {
			wg.Go(func() {
				for n := c; n < wideSubmissions; n += wideClients {
					t.client.submit(fmt.Sprintf("000000000005%04x", n), steadyWork, roomCPU, wide...)
				}
			})
		}
		wg.Wait()
	}
	t.rec.log("the burst is over")
	time.Sleep(finish)
	from := t.rec.since()
	time.Sleep(watchAll)
	done, idle := t.rec.done(), t.rec.idle(from)
	t.rec.log("%d of %d tasks of the steady submissions and the first one have ended done; no run was at work for %v", done, steadySubmissions*steadyTasks+1, idle)
	if done <= steadySubmissions*steadyTasks && idle >= idleFor {
		return []string{fmt.Sprintf("LOST: accepted work waits, all executors are idle, and nothing runs for %v, from %v after the last request on", idle, finish)}, nil
	}
	return nil, nil
}

// capUsage lets the process run for a share of each period.
func (p *process) capUsage(share float64, stop chan struct{}) {
	run := time.Duration(share * float64(capPeriod))
	for {
		p.signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(run):
		}
		p.signal(syscall.SIGSTOP)
		time.Sleep(capPeriod - run)
	}
}
