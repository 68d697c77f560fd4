package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	gangSize   = 4
	gangCPU    = 4000
	gangWork   = 8 * time.Second
	gangDrain  = 3 * time.Second
	drainTime  = 2500 * time.Millisecond
	gangWatch  = 30 * time.Second
	contactOut = 3 * time.Second
)

// runGang runs a gang with checkpoints. With trouble, an executor of one of its tasks leaves as planned.
func runGang(d *deployment, trouble bool) error {
	q := newRequester(d)
	id := newID()
	w := work{CPU: gangCPU, MS: gangWork.Milliseconds(), Gang: gangSize}
	if !q.submit(id, submission{Specification: w.specification(0), Steps: []step{{Count: gangSize, CPU: gangCPU, MemoryMB: 4000, EstimatedMS: gangWork.Milliseconds(), Gang: true,
		Checkpointing: true, AntiAffinity: 1}}}) {
		return errors.New("the gang was not accepted")
	}
	time.Sleep(gangDrain)
	calmFrom := d.rec.elapsed()
	if trouble {
		e := d.executorOf(id)
		if e == nil {
			return errors.New("no executor runs the gang")
		}
		e.drain()
		time.Sleep(drainTime)
		e.leave()
		calmFrom = d.rec.elapsed() + contactOut + calmTime
	}
	time.Sleep(gangWatch)
	d.rec.line("state at the end: %s", q.state(id))
	d.logCheckpoints(id)
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	for _, e := range d.history.ends {
		if strings.HasPrefix(e.task, id) && e.how == "alone" && e.at > calmFrom {
			d.rec.violate("GANG: %s run %d ends alone at %d ms, with nothing disrupted since %d ms", e.task, e.run, e.at.Milliseconds(), (calmFrom - contactOut - calmTime).Milliseconds())
		}
	}
	return nil
}

// executorOf returns an executor that runs a task of the submission.
func (d *deployment) executorOf(id string) *executor {
	for _, e := range d.executors {
		if e.runsOf(id) > 0 {
			return e
		}
	}
	return nil
}

// logCheckpoints writes which checkpoints the members of each run of a gang carried.
func (d *deployment) logCheckpoints(id string) {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	carried := make(map[uint32][]string)
	var runs []uint32
	for _, s := range d.history.starts {
		if strings.HasPrefix(s.task, id) {
			if carried[s.run] == nil {
				runs = append(runs, s.run)
			}
			carried[s.run] = append(carried[s.run], fmt.Sprintf("%q", s.checkpoint))
		}
	}
	for _, n := range runs {
		d.rec.line("run %d of the gang carried the checkpoints %s", n, strings.Join(carried[n], " "))
	}
}
