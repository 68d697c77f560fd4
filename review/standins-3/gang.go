package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const gangTimeout = 3 * time.Second

// gang is one run of tasks that work only together.
type gang struct {
	mu       sync.Mutex
	size     int
	duration time.Duration
	members  int
	// complete is when the last member has started.
	complete time.Time
	// finished is set once the work is done, broken once a member has ended before.
	finished, broken bool
	fails            bool
	failed           bool
}

// gang returns the gang that a run of a task belongs to.
func (c *cluster) gang(task string, run uint32, w workload) *gang {
	step := task[:strings.LastIndex(task, ".")]
	key := fmt.Sprintf("%s/%d", step, run)
	c.gangMu.Lock()
	defer c.gangMu.Unlock()
	g := c.gangs[key]
	if g == nil {
		g = &gang{size: w.gang, duration: w.duration, fails: rand.Float64() < w.fails}
		c.gangs[key] = g
	}
	return g
}

func (g *gang) joined() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members++; g.members == g.size {
		g.complete = time.Now()
	}
}

// state returns how a member ends now, empty if it does not.
func (g *gang) state(now time.Time, r *activeRun) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.finished:
		return "done"
	case g.broken:
		return "broken"
	case g.complete.IsZero():
		if now.Sub(r.started) > gangTimeout {
			return "alone"
		}
		return ""
	case now.Sub(g.complete) < g.duration:
		return ""
	case g.fails:
		return "failed"
	}
	g.finished = true
	return "done"
}

// ended records the end of a member. Others end with it, unless the work is done.
func (g *gang) ended(how string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if how != "done" && !g.finished {
		g.broken = true
	}
}

// checkpoint returns the value that stands for a progress, empty for none.
func (c *cluster) checkpoint(task string, saved time.Duration) string {
	if saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", task, saved.Milliseconds())
}

// progress returns what a checkpoint stands for.
func (c *cluster) progress(task, value string) time.Duration {
	if value == "" {
		return 0
	}
	name, ms, _ := strings.Cut(value, "/")
	var n int64
	if _, err := fmt.Sscan(ms, &n); err != nil || name != task {
		c.violation("UNASKED: task %s got checkpoint %q", task, value)
	}
	return time.Duration(n) * time.Millisecond
}
