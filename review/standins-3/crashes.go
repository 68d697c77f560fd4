package main

import (
	"fmt"
	"strings"
	"time"
)

// crashesSetup: one executor of eleven goes down and up by turns. A task runs only there, since it requires that executor's kind.
var crashesSetup = scenarioSetup{entries: 3, executors: 11, play: playCrashes, tasks: func(task string) workload {
	return workload{cpu: 2000, memory: 1000, duration: 1500 * time.Millisecond}
}}

const (
	// flapPeriod is the time from one crash to the next, downTime the part of it in which the executor is down.
	flapPeriod = 1400 * time.Millisecond
	downTime   = 700 * time.Millisecond
	// flapTime is for how long the executor goes down and up.
	flapTime = 6500 * time.Millisecond
)

func playCrashes(c *cluster, trouble bool) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	for _, e := range c.executors {
		if e == c.executors[len(c.executors)-1] {
			e.kind = "b"
		}
		if err := e.boot(false); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	client := newRequester(c)
	flapping := c.executors[len(c.executors)-1]
	if err := client.submit(id, []map[string]any{{"count": 1, "cpu": 2000, "memoryRequestMb": 1000, "estimatedMs": 1500, "requirements": "b"}}); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(flapPeriod - downTime)
		for end := time.Now().Add(flapTime); time.Now().Before(end); {
			flapping.crash()
			time.Sleep(downTime)
			if err := flapping.boot(false); err != nil {
				return nil, err
			}
			time.Sleep(flapPeriod - downTime)
		}
	}
	state := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if state = client.state(id); state == "completed" || state == "failed" {
			break
		}
	}
	failed := 0
	for _, o := range c.observations() {
		if strings.HasPrefix(o.task, id) && o.what == "failed" {
			failed++
		}
	}
	c.note("the submission is shown as %q, and %d runs of its task have ended failed, of %d", state, failed, maxAttempts)
	if state == "failed" && failed < maxAttempts {
		return []string{fmt.Sprintf("LOST: submission %s is shown as failed, and %d runs of its only task have ended failed; maxAttempts is %d", id, failed, maxAttempts)}, nil
	}
	if state != "completed" {
		return nil, fmt.Errorf("the submission is shown as %q at the end", state)
	}
	return nil, nil
}
