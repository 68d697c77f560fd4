package main

import (
	"errors"
	"time"
)

const (
	servingCPU     = 2000
	servingTarget  = 50
	servingInside  = 20
	servingOver    = 60
	fillTasks      = 2
	fillCPU        = 1000
	fillMS         = 1000
	servingStartup = 5 * time.Second
)

// runStarve puts one serving task on each executor, whose own load brings its latency over its target
// with trouble, and hands in tasks that fill.
func runStarve(d *deployment, trouble bool) error {
	q := newRequester(d)
	latency := int64(servingInside)
	if trouble {
		latency = servingOver
	}
	serving := work{CPU: servingCPU, LatencyMS: latency}
	if !q.submit(newID(), submission{Specification: serving.specification(0), Steps: []step{{Count: executorCount, CPU: servingCPU, MemoryMB: 4000, EstimatedMS: 500,
		LongRunning: true, AntiAffinity: 1, Image: "site", TargetMS: servingTarget}}}) {
		return errors.New("the serving submission was not accepted")
	}
	time.Sleep(servingStartup)
	var ids []string
	fill := work{CPU: fillCPU, MS: fillMS}
	for range ordinarySubmissions {
		id := newID()
		if !q.submit(id, submission{Specification: fill.specification(0), Steps: []step{{Count: fillTasks, CPU: fillCPU, MemoryMB: 500, EstimatedMS: fillMS, Image: "plan", FillRatio: 1}}}) {
			return errors.New("a submission was not accepted")
		}
		ids = append(ids, id)
		time.Sleep(ordinaryInterval)
	}
	time.Sleep(2 * finishTime)
	checkNotIdle(d, q, ids)
	return nil
}
