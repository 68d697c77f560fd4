package main

import (
	"errors"
	"fmt"
	"time"
)

// Work of the case: small tasks that run on one executor at the same time, more than an answer lists ends.
const (
	smallTasks       = 600
	smallTaskCPU     = 50
	smallTaskMS      = 6000
	ownerDownTime    = 2 * time.Second
	startLimit       = 15 * time.Second
	settleAfterKill  = 20 * time.Second
	killBeforeEnds   = 500 * time.Millisecond
	runsPollInterval = 10 * time.Millisecond
)

// runEnds lets all tasks of a step end while there is no owner of the work, whose process was killed.
func runEnds(d *deployment, trouble bool) error {
	q := newRequester(d)
	e := d.rareExecutor()
	id := newID()
	w := work{CPU: smallTaskCPU, MS: smallTaskMS}
	if !q.submit(id, submission{Specification: w.specification(0), Steps: []step{{Count: smallTasks, CPU: smallTaskCPU, MemoryMB: 100, EstimatedMS: smallTaskMS, Requirements: rareLabel}}}) {
		return errors.New("the submission was not accepted")
	}
	began := time.Time{}
	for limit := time.Now().Add(startLimit); e.runsOf(id) < smallTasks; time.Sleep(runsPollInterval) {
		if began.IsZero() && e.runsOf(id) > 0 {
			began = time.Now()
		}
		if time.Now().After(limit) {
			return fmt.Errorf("only %d of %d tasks run at a time", e.runsOf(id), smallTasks)
		}
	}
	d.rec.line("all %d tasks run, %v after the first", smallTasks, time.Since(began).Round(time.Millisecond))
	time.Sleep(time.Until(began.Add(startUpTime + smallTaskMS*time.Millisecond - killBeforeEnds)))
	if trouble {
		owner := d.owner()
		if owner == nil {
			return errors.New("the owner is not known")
		}
		owner.kill()
		time.Sleep(ownerDownTime)
		if err := owner.run(); err != nil {
			return err
		}
	}
	time.Sleep(settleAfterKill)
	d.rec.line("state at the end: %s", q.state(id))
	d.checkNoStartAfterDone()
	return nil
}
