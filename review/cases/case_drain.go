package main

import (
	"errors"
	"time"
)

const (
	// hangTime is how long the executor answers no call while its heartbeats are good.
	hangTime = 3500 * time.Millisecond
	// drainAfter is the time from the start of that until the executor reports that it will leave.
	drainAfter = 500 * time.Millisecond
	// serveTime is how long the executor goes on after its drain is acknowledged.
	serveTime = 6 * time.Second
	// drainTimeout is drainTimeoutMs.
	drainTimeout    = 2 * time.Second
	streamInterval  = 100 * time.Millisecond
	streamTaskMS    = 400
	streamBefore    = 3 * time.Second
	drainCheckEvery = 100 * time.Millisecond
)

// runDrain lets an executor leave, which with trouble answers no call from shortly before that on for
// a while.
func runDrain(d *deployment, trouble bool) error {
	q := newRequester(d)
	e := d.rareExecutor()
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() { done <- streamTasks(q, stop) }()
	time.Sleep(streamBefore)
	if trouble {
		e.setHanging(true)
	}
	time.Sleep(drainAfter)
	e.drain()
	time.Sleep(hangTime - drainAfter)
	e.setHanging(false)
	time.Sleep(serveTime - (hangTime - drainAfter))
	close(stop)
	if err := <-done; err != nil {
		return err
	}
	e.mu.Lock()
	acked := e.drainAcked
	e.mu.Unlock()
	if acked == 0 {
		return errors.New("the drain was not acknowledged")
	}
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	for _, s := range d.history.starts {
		if s.executor == e.id && s.at > acked+drainTimeout {
			d.rec.violate("DRAIN: %s run %d starts on %s %d ms after its drain was acknowledged", s.task, s.run, e.id, (s.at - acked).Milliseconds())
		}
	}
	return nil
}

func (e *executor) setHanging(hanging bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hanging = hanging
	e.rec.line("executor %s answers no calls: %v", e.id, hanging)
}

// streamTasks hands in short tasks for the executor with the rare label until stop is closed.
func streamTasks(q *requester, stop <-chan struct{}) error {
	w := work{CPU: 500, MS: streamTaskMS}
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(streamInterval):
		}
		if !q.submit(newID(), submission{Specification: w.specification(0), Steps: []step{{Count: 1, CPU: 500, MemoryMB: 100, EstimatedMS: streamTaskMS, Requirements: rareLabel}}}) {
			return errors.New("a submission was not accepted")
		}
	}
}
