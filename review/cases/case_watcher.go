package main

import (
	"errors"
	"strings"
	"time"
)

// The executor of the watcher crashes now and then, and is back soon.
const (
	watcherUpTime   = 5 * time.Second
	watcherDownTime = time.Second
	watcherCrashes  = 12
	// lastingGap is for how long a task that lasts may be without a run in calm times, and calmTime the
	// time that counts as near a disruption.
	lastingGap = 6 * time.Second
	calmTime   = 4 * time.Second
)

// runWatcher keeps a standing submission of one task that only one executor can run, and lets that
// executor crash several times.
func runWatcher(d *deployment, trouble bool) error {
	q := newRequester(d)
	e := d.rareExecutor()
	id := newID()
	w := work{CPU: 6400}
	if !q.submit(id, submission{Specification: w.specification(0), Steps: []step{{Count: 1, CPU: 6400, MemoryMB: 13000, EstimatedMS: 500, LongRunning: true, Requirements: rareLabel}}}) {
		return errors.New("the standing submission was not accepted")
	}
	state := ""
	for range watcherCrashes {
		time.Sleep(watcherUpTime)
		if state = q.state(id); state == "failed" {
			break
		}
		if !trouble {
			continue
		}
		e.crash()
		time.Sleep(watcherDownTime)
		if err := e.boot(); err != nil {
			return err
		}
	}
	d.rec.line("no more crashes")
	time.Sleep(calmTime + lastingGap)
	ran := false
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(checkInterval) {
		ran = ran || e.runsOf(id) > 0
	}
	state = q.state(id)
	if state == "failed" && d.failedEnds(id) == 0 {
		d.rec.violate("LOST: the standing submission %s is shown as failed, and none of its runs has ended failed", id)
	}
	if !ran {
		d.rec.violate("LOST: the task of %s, which lasts, has not run for %v on an idle executor, %v after the last crash", id, idleTime, calmTime+lastingGap+idleTime)
	}
	return nil
}

// failedEnds returns how many runs of a submission have ended as failed.
func (d *deployment) failedEnds(id string) int {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	n := 0
	for _, e := range d.history.ends {
		if strings.HasPrefix(e.task, id) && e.how == "failed" {
			n++
		}
	}
	return n
}
