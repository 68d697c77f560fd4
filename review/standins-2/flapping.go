package main

import (
	"errors"
	"time"
)

var errNotReady = errors.New("the deployment did not become ready")

const (
	// flapUp and flapDown are the times for which the executor is up and down by turns.
	flapUp   = 3 * time.Second
	flapDown = time.Second
	flaps    = 6
	// flapWork is longer than flapUp, so that the task can only end after the last crash.
	flapWork = 6 * time.Second
	flapCPU  = 4000
)

// flappingExecutor has one executor of its kind go down and up by turns while a task that needs this kind works there. No run
// of the task ends failed, so that the submission must not be shown as failed.
func flappingExecutor(t *trial) ([]string, error) {
	const plainExecutors = 7
	for host := 1; host <= 2; host++ {
		if err := t.addEntry(host); err != nil {
			return nil, err
		}
	}
	for host := 3; host < 3+plainExecutors; host++ {
		if _, err := t.addExecutor(host, "a", 16000); err != nil {
			return nil, err
		}
	}
	special, err := t.addExecutor(3+plainExecutors, "b", 16000)
	if err != nil {
		return nil, err
	}
	if !t.client.ready("00000000000000aa", "a") || !t.client.ready("00000000000000bb", "b") {
		return nil, errNotReady
	}
	const id = "0123456789abcdef"
	if !t.client.submit(id, flapWork, flapCPU, step{Count: 1, CPU: flapCPU, MemoryMB: 1000, EstimatedMS: flapWork.Milliseconds(), Label: "b"}) {
		return nil, errNotReady
	}
	if t.trouble {
		go func() {
			for range flaps {
				time.Sleep(flapUp)
				special.crash()
				time.Sleep(flapDown)
				if err := special.boot(""); err != nil {
					t.rec.log("%v", err)
				}
			}
		}()
	}
	state := t.client.await(id, flaps*(flapUp+flapDown)+flapWork+20*time.Second)
	failures := t.rec.failures(id + ".0.0.0")
	if state == "failed" && failures < t.route.MaxAttempts {
		return []string{"LOST: the submission is shown as failed, though no run of its task has ended failed"}, nil
	}
	t.rec.log("the submission is shown as %q", state)
	return nil, nil
}
