package faultmatrix

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// Durations of faults. Pauses outlast the leases: a shard lease lasts 15 s, a VM's grant 30 s.
const (
	storeOutage     = 20 * time.Second
	storeSlowPeriod = 20 * time.Second
	slowLatency     = 400 * time.Millisecond
	entryRestart    = 20 * time.Second
	entryPause      = 25 * time.Second
	agentRestart    = 5 * time.Second
	agentPause      = 45 * time.Second
	vmReplacement   = 60 * time.Second
	zoneOutage      = 60 * time.Second
	messageDelay    = 3 * time.Second
	// reorderDelay exceeds every call timeout, so that messages on a new connection arrive before the delayed one.
	reorderDelay = 12 * time.Second
)

// fault is one kind of failure.
type fault struct {
	name string
	// onMessage is set for faults that affect the message of the step.
	onMessage bool
	// onCrash is set for process crashes, which are injected before the call is written and before the reply is.
	onCrash bool
	// vmUnreachable is set when a VM fails or may be unreachable for longer than its grant.
	vmUnreachable bool
	// apply injects the fault and schedules its end.
	apply func(*cluster, *scenario, event) impairment
}

// dropUnsent drops the message that the host was about to write when it crashed.
func (e event) dropUnsent(host string) impairment {
	return impairment{drop: e.msg != nil && e.msg.from == host}
}

// runAfter runs f after d unless the run has ended.
func (c *cluster) runAfter(d time.Duration, f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		select {
		case <-c.ctx.Done():
		case <-time.After(d):
			f()
		}
	}()
}

func injectStoreFault(f standin.Faults, d time.Duration) func(*cluster, *scenario, event) impairment {
	return func(c *cluster, _ *scenario, _ event) impairment {
		c.table.SetFaults(f)
		c.objects.SetDown(f.Down)
		if d > 0 {
			c.runAfter(d, func() { c.table.SetFaults(standin.Faults{}); c.objects.SetDown(false) })
		}
		return impairment{}
	}
}

func injectMessageFault(v impairment) func(*cluster, *scenario, event) impairment {
	return func(*cluster, *scenario, event) impairment { return v }
}

// faults lists the columns of docs/fault-matrix.md.
var faults = []fault{
	{name: "store down", apply: injectStoreFault(standin.Faults{Down: true}, storeOutage)},
	{name: "store slow", apply: injectStoreFault(standin.Faults{Latency: slowLatency}, storeSlowPeriod)},
	{name: "answer lost after write", apply: injectStoreFault(standin.Faults{LoseResponses: 3}, 0)},
	{name: "entry dies", onCrash: true, apply: func(c *cluster, s *scenario, e event) impairment {
		host := e.entryHost()
		c.killEntry(host)
		c.runAfter(entryRestart, func() { s.ensureEntryRunning(host) })
		return e.dropUnsent(host)
	}},
	{name: "entry paused past its lease", vmUnreachable: true, apply: func(c *cluster, _ *scenario, e event) impairment { return c.pauseHost(e.entryHost(), entryPause) }},
	{name: "agent dies", onCrash: true, apply: func(c *cluster, _ *scenario, e event) impairment {
		id := e.vmHost()
		v := c.vm(id)
		c.killAgent(id)
		c.runAfter(agentRestart, func() {
			if v != nil && c.vm(id) == v {
				c.startAgent(v)
			}
		})
		return e.dropUnsent(id)
	}},
	{name: "agent paused past its lease", vmUnreachable: true, apply: func(c *cluster, _ *scenario, e event) impairment { return c.pauseHost(e.vmHost(), agentPause) }},
	{name: "VM fails", onCrash: true, vmUnreachable: true, apply: func(c *cluster, _ *scenario, e event) impairment {
		c.failVMs(e.vmHost())
		return e.dropUnsent(e.vmHost())
	}},
	{name: "rack lost", onCrash: true, vmUnreachable: true, apply: func(c *cluster, _ *scenario, e event) impairment {
		var lost []string
		for id, p := range vmLocations {
			if p == vmLocations[e.vmHost()] {
				lost = append(lost, id)
			}
		}
		c.failVMs(lost...)
		return e.dropUnsent(e.vmHost())
	}},
	{name: "zone cut off", vmUnreachable: true, apply: func(c *cluster, _ *scenario, _ event) impairment {
		c.net.changeState(func() {
			c.net.partitioned = func(a, b string) bool { return (zoneOf(a) == "z1") != (zoneOf(b) == "z1") }
		})
		c.runAfter(zoneOutage, func() { c.net.changeState(func() { c.net.partitioned = nil }) })
		return impairment{}
	}},
	{name: "connection silent", onMessage: true, apply: injectMessageFault(impairment{silence: true})},
	{name: "message lost", onMessage: true, apply: injectMessageFault(impairment{drop: true})},
	{name: "message delayed", onMessage: true, apply: injectMessageFault(impairment{delay: messageDelay})},
	{name: "message duplicated", onMessage: true, apply: injectMessageFault(impairment{duplicate: true})},
	{name: "message reordered", onMessage: true, apply: injectMessageFault(impairment{delay: reorderDelay})},
	{name: "usage missing", apply: func(c *cluster, _ *scenario, _ event) impairment { return c.setUsageFault(1) }},
	{name: "usage wrong", apply: func(c *cluster, _ *scenario, _ event) impairment { return c.setUsageFault(2) }},
	{name: "operator conflict", apply: operatorConflict},
}

func (c *cluster) setUsageFault(mode int) impairment {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usageFaultMode = mode
	return impairment{}
}

func (c *cluster) pauseHost(host string, d time.Duration) impairment {
	c.logf("%s paused", host)
	c.net.changeState(func() { c.net.paused[host] = true })
	c.runAfter(d, func() { c.net.changeState(func() { delete(c.net.paused, host) }); c.logf("%s resumed", host) })
	return impairment{}
}

func (c *cluster) failVMs(ids ...string) {
	for _, id := range ids {
		if c.vm(id) == nil {
			continue
		}
		c.failVM(id)
		c.runAfter(vmReplacement, func() { c.replaceVM(id) })
	}
}

// operatorConflict sends two different configurations for the same generation concurrently. At most one may be
// accepted.
func operatorConflict(c *cluster, s *scenario, _ event) impairment {
	var mu sync.Mutex
	accepted := 0
	for i := range 2 {
		c.runAfter(0, func() {
			generation := uint64(1)
			if time.Since(c.start) < configAt+time.Second {
				generation = 0
			}
			doc := s.config(generation)
			doc.Limits[0].MemoryMiB += int64(i + 1)
			body, err := yaml.Marshal(doc)
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(c.ctx, 15*time.Second)
			defer cancel()
			resp, _, err := s.sendHTTP(ctx, http.MethodPut, "/v1/config", nil, body)
			if err != nil || resp.StatusCode != http.StatusOK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if accepted++; accepted > 1 {
				c.rec.Record(history.Event{Kind: history.ConfigAccepted, Generation: generation})
				c.logf("%s: both proposals were accepted as generation %d", errkind.Conflict, generation+1)
			}
		})
	}
	return impairment{}
}
