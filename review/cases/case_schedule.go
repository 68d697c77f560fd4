package main

import (
	"errors"
	"time"
)

// Work of the case: ordinary submissions, and one nightly schedule of the size that the sheets name.
const (
	ordinarySubmissions = 12
	ordinaryInterval    = 500 * time.Millisecond
	nightsOfYear        = 365
	nightsOfWeek        = 7
	day                 = 24 * time.Hour
	// finishTime is finish_s, the time after the end of the traffic.
	finishTime = 14 * time.Second
	// idleTime is for how long nothing of a submission may run while there is room.
	idleTime      = 3 * time.Second
	checkInterval = 100 * time.Millisecond
)

// runSchedule hands in ordinary submissions and one schedule: two steps of eight tasks each night, for
// a year with trouble and for a week without. The first night is due at once.
func runSchedule(d *deployment, trouble bool) error {
	q := newRequester(d)
	nights := nightsOfWeek
	if trouble {
		nights = nightsOfYear
	}
	var accepted []string
	for i := range ordinarySubmissions {
		if i == ordinarySubmissions/2 {
			id := newID()
			w := work{CPU: 3500, MS: 2000}
			schedule := submission{Specification: w.specification(0), RepeatCount: nights, StartAtMS: time.Now().UnixMilli(), IntervalMS: day.Milliseconds(),
				Steps: []step{{Count: 8, CPU: 3500, MemoryMB: 6400, EstimatedMS: 2000}, {Count: 8, CPU: 3500, MemoryMB: 6400, EstimatedMS: 2000, DependsOn: []int{0}}}}
			if !q.submit(id, schedule) {
				return errors.New("the schedule was not accepted")
			}
			d.rec.line("the schedule %s of %d nights is accepted", id, nights)
		}
		id := newID()
		w := work{CPU: 500, MS: 1000}
		if !q.submit(id, submission{Specification: w.specification(0), Steps: []step{{Count: 6, CPU: 500, MemoryMB: 960, EstimatedMS: 1000}}}) {
			return errors.New("an ordinary submission was not accepted")
		}
		accepted = append(accepted, id)
		time.Sleep(ordinaryInterval)
	}
	d.rec.line("end of the traffic")
	time.Sleep(finishTime)
	checkNotIdle(d, q, accepted)
	return nil
}

// checkNotIdle reports the submissions that are not in a final state and have nothing running for
// idleTime, while under half of the capacity is in use.
func checkNotIdle(d *deployment, q *requester, ids []string) {
	var pending []string
	for _, id := range ids {
		if s := q.state(id); s != "completed" {
			pending = append(pending, id)
		}
	}
	idle := make(map[string]bool)
	for _, id := range pending {
		idle[id] = true
	}
	mostUsed := int64(0)
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(checkInterval) {
		used := int64(0)
		for _, e := range d.executors {
			used += e.usedCPU()
			for _, id := range pending {
				if e.runsOf(id) > 0 {
					idle[id] = false
				}
			}
		}
		mostUsed = max(mostUsed, used)
	}
	total := int64(executorCount * executorCPU)
	if 2*mostUsed >= total {
		d.rec.line("half of the capacity or more is in use, the check does not apply")
		return
	}
	for _, id := range pending {
		if s := q.state(id); idle[id] && s != "completed" {
			d.rec.violate("LOST: %s was accepted, is %q, and had nothing running for %v, with %d of %d thousandths of a processor in use", id, s, idleTime, mostUsed, total)
		}
	}
}
