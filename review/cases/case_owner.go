package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// ownerFreezeTime is how long the owner of the work stands still. It is too short for another entry to
	// take over in most cases.
	ownerFreezeTime  = 1600 * time.Millisecond
	ownerFreezePause = 2400 * time.Millisecond
	ownerFreezes     = 20
	// shedShare is the share of its starts that one executor answers with 503, for unhealthyTime at a time.
	shedShare     = 0.75
	unhealthyTime = 6 * time.Second
	healthyTime   = 500 * time.Millisecond
	shedTasks     = 40
	shedTaskMS    = 500
	shedTaskCPU   = 300
	shedStreams   = 2
	// shedPause is the mean time between two submissions of a requester.
	shedPause      = 600 * time.Millisecond
	shedSettleTime = 6 * time.Second
)

// runOwner hands in short tasks that two executors can run. With trouble, one of them is unhealthy, and
// the owner of the work stands still now and then.
func runOwner(d *deployment, trouble bool) error {
	q := newRequester(d)
	stop := make(chan struct{})
	var streams sync.WaitGroup
	for range shedStreams {
		streams.Go(func() { streamRare(q, stop) })
	}
	if trouble {
		go d.rareExecutor().shedAtTimes(stop)
	}
	for range ownerFreezes {
		time.Sleep(ownerFreezePause)
		owner := d.owner()
		if owner == nil {
			return errors.New("the owner is not known")
		}
		if trouble {
			owner.signal(syscall.SIGSTOP)
		}
		time.Sleep(ownerFreezeTime)
		if trouble {
			owner.signal(syscall.SIGCONT)
		}
	}
	close(stop)
	streams.Wait()
	time.Sleep(shedSettleTime)
	if len(d.history.starts) == 0 {
		return errors.New("no task has started")
	}
	d.checkNoStartAfterDone()
	return nil
}

// shedAtTimes makes the executor unhealthy, with short breaks, until stop is closed.
func (e *executor) shedAtTimes(stop <-chan struct{}) {
	for share, wait := shedShare, unhealthyTime; ; share, wait = shedShare-share, unhealthyTime+healthyTime-wait {
		e.mu.Lock()
		e.shedding = share
		e.mu.Unlock()
		e.rec.line("executor %s answers a share of %v of its starts with 503", e.id, share)
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// streamRare hands in submissions for the executors with the rare label until stop is closed.
func streamRare(q *requester, stop <-chan struct{}) {
	w := work{CPU: shedTaskCPU, MS: shedTaskMS}
	for {
		select {
		case <-stop:
			return
		case <-time.After(shedPause/2 + rand.N(shedPause)):
		}
		q.submit(newID(), submission{Specification: w.specification(0), Steps: []step{{Count: shedTasks, CPU: shedTaskCPU, MemoryMB: 100, EstimatedMS: shedTaskMS, Requirements: rareLabel}}})
	}
}
