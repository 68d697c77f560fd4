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

// Lengths of faults, chosen against the leases: a shard lease is 15 s, a grant 30 s.
const (
	storeOutage   = 20 * time.Second
	storeSlowness = 20 * time.Second
	slowLatency   = 400 * time.Millisecond
	entryRestart  = 20 * time.Second
	entryPause    = 25 * time.Second
	agentRestart  = 5 * time.Second
	agentPause    = 45 * time.Second
	vmReplacement = 60 * time.Second
	zoneOutage    = 60 * time.Second
	messageDelay  = 3 * time.Second
	// reorderDelay exceeds every call timeout, so that messages on a new connection
	// overtake the delayed one.
	reorderDelay = 12 * time.Second
)

// fault is one failure. apply starts it and arranges its end.
type fault struct {
	name string
	// message faults strike the message of the step.
	message bool
	// death faults strike before the message is written, and before the answer is.
	death bool
	// separates is true when a VM fails or is out of reach for longer than a grant.
	separates bool
	apply     func(*cluster, *scenario, event) verdict
}

// unwritten drops the message that a process was about to write when it died.
func (e event) unwritten(host string) verdict {
	return verdict{drop: e.msg != nil && e.msg.from == host}
}

// after runs f later unless the run has ended.
func (c *cluster) after(d time.Duration, f func()) {
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

func storeFaults(f standin.Faults, d time.Duration) func(*cluster, *scenario, event) verdict {
	return func(c *cluster, _ *scenario, _ event) verdict {
		c.table.SetFaults(f)
		c.objects.SetDown(f.Down)
		if d > 0 {
			c.after(d, func() { c.table.SetFaults(standin.Faults{}); c.objects.SetDown(false) })
		}
		return verdict{}
	}
}

func messageFault(v verdict) func(*cluster, *scenario, event) verdict {
	return func(*cluster, *scenario, event) verdict { return v }
}

// faults in the order of the page.
var faults = []fault{
	{name: "store down", apply: storeFaults(standin.Faults{Down: true}, storeOutage)},
	{name: "store slow", apply: storeFaults(standin.Faults{Latency: slowLatency}, storeSlowness)},
	{name: "answer lost after write", apply: storeFaults(standin.Faults{LoseResponses: 3}, 0)},
	{name: "entry dies", death: true, apply: func(c *cluster, s *scenario, e event) verdict {
		host := e.entryHost()
		c.killEntry(host)
		c.after(entryRestart, func() { s.ensureEntry(host) })
		return e.unwritten(host)
	}},
	{name: "entry paused past its lease", separates: true, apply: func(c *cluster, _ *scenario, e event) verdict { return c.pause(e.entryHost(), entryPause) }},
	{name: "agent dies", death: true, apply: func(c *cluster, _ *scenario, e event) verdict {
		id := e.vmHost()
		v := c.vm(id)
		c.killAgent(id)
		c.after(agentRestart, func() {
			if v != nil && c.vm(id) == v {
				c.startAgent(v)
			}
		})
		return e.unwritten(id)
	}},
	{name: "agent paused past its lease", separates: true, apply: func(c *cluster, _ *scenario, e event) verdict { return c.pause(e.vmHost(), agentPause) }},
	{name: "VM fails", death: true, separates: true, apply: func(c *cluster, _ *scenario, e event) verdict { c.loseVMs(e.vmHost()); return e.unwritten(e.vmHost()) }},
	{name: "rack lost", death: true, separates: true, apply: func(c *cluster, _ *scenario, e event) verdict {
		var lost []string
		for id, p := range places {
			if p == places[e.vmHost()] {
				lost = append(lost, id)
			}
		}
		c.loseVMs(lost...)
		return e.unwritten(e.vmHost())
	}},
	{name: "zone cut off", separates: true, apply: func(c *cluster, _ *scenario, _ event) verdict {
		c.net.alter(func() { c.net.cut = func(a, b string) bool { return (zoneOf(a) == "z1") != (zoneOf(b) == "z1") } })
		c.after(zoneOutage, func() { c.net.alter(func() { c.net.cut = nil }) })
		return verdict{}
	}},
	{name: "connection silent", message: true, apply: messageFault(verdict{silence: true})},
	{name: "message lost", message: true, apply: messageFault(verdict{drop: true})},
	{name: "message delayed", message: true, apply: messageFault(verdict{delay: messageDelay})},
	{name: "message duplicated", message: true, apply: messageFault(verdict{duplicate: true})},
	{name: "message reordered", message: true, apply: messageFault(verdict{delay: reorderDelay})},
	{name: "usage missing", apply: func(c *cluster, _ *scenario, _ event) verdict { return c.falsifyUsage(1) }},
	{name: "usage wrong", apply: func(c *cluster, _ *scenario, _ event) verdict { return c.falsifyUsage(2) }},
	{name: "operator conflict", apply: operatorConflict},
}

func (c *cluster) falsifyUsage(mode int) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.badUsage = mode
	return verdict{}
}

func (c *cluster) pause(host string, d time.Duration) verdict {
	c.logf("%s pauses", host)
	c.net.alter(func() { c.net.held[host] = true })
	c.after(d, func() { c.net.alter(func() { delete(c.net.held, host) }); c.logf("%s continues", host) })
	return verdict{}
}

func (c *cluster) loseVMs(ids ...string) {
	for _, id := range ids {
		if c.vm(id) == nil {
			continue
		}
		c.failVM(id)
		c.after(vmReplacement, func() { c.replaceVM(id) })
	}
}

// operatorConflict lets two operators propose different documents on the same
// generation. At most one may be accepted.
func operatorConflict(c *cluster, s *scenario, _ event) verdict {
	var mu sync.Mutex
	accepted := 0
	for i := range 2 {
		c.after(0, func() {
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
			resp, _, err := s.do(ctx, http.MethodPut, "/v1/config", nil, body)
			if err != nil || resp.StatusCode != http.StatusOK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if accepted++; accepted > 1 {
				c.rec.Record(history.Event{Kind: history.ConfigAccepted, Generation: generation})
				c.logf("%s: both operators were told that generation %d is theirs", errkind.Conflict, generation+1)
			}
		})
	}
	return verdict{}
}
