package main

import (
	"errors"
	"time"
)

// Work of the case: a step whose tasks fit one executor together, with the longest specification.
const (
	manyTasks          = 300
	manyTaskCPU        = 100
	manyTaskMS         = 2000
	longSpecification  = 4000
	shortSpecification = 400
	afterSubmission    = 4 * time.Second
)

// runOrders hands in a step of many tasks for one executor, with a specification of 4,000 bytes.
func runOrders(d *deployment, trouble bool) error {
	q := newRequester(d)
	size := shortSpecification
	if trouble {
		size = longSpecification
	}
	var ids []string
	standing := work{CPU: 1000}
	if id := newID(); !q.submit(id, submission{Specification: standing.specification(0), Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 1000, EstimatedMS: 500, LongRunning: true, Requirements: rareLabel}}}) {
		return errors.New("the standing submission was not accepted")
	}
	time.Sleep(afterSubmission)
	id := newID()
	w := work{CPU: manyTaskCPU, MS: manyTaskMS}
	if !q.submit(id, submission{Specification: w.specification(size), Steps: []step{{Count: manyTasks, CPU: manyTaskCPU, MemoryMB: 100, EstimatedMS: manyTaskMS, Requirements: rareLabel}}}) {
		return errors.New("the submission was not accepted")
	}
	ids = append(ids, id)
	time.Sleep(finishTime)
	checkNotIdle(d, q, ids)
	return nil
}
