package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	gangTimeout        = 3 * time.Second
	checkpointInterval = time.Second
)

// gang holds the members of one run of a gang, on all executors. They work from the moment on at which
// all are present, from the one checkpoint that all of them carry. Members that carry different
// checkpoints can't work together, and wait.
type gang struct {
	mu      sync.Mutex
	members map[string]string
	// since is when the members began to work, from the progress base.
	since        time.Time
	base, length time.Duration
	// left is set once a member has ended before the work was done.
	left bool
}

// joinGang adds a run to its gang. The caller holds mu.
func (h *fleetHistory) joinGang(r *run) *gang {
	key := fmt.Sprint(r.task[:strings.LastIndexByte(r.task, '.')], " ", r.number)
	if h.gangs == nil {
		h.gangs = make(map[string]*gang)
	}
	g := h.gangs[key]
	if g == nil {
		g = &gang{members: make(map[string]string), length: time.Duration(r.work.MS) * time.Millisecond}
		h.gangs[key] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[r.task] = r.checkpoint
	if len(g.members) < r.work.Gang || g.left {
		return g
	}
	for _, c := range g.members {
		if c != r.checkpoint {
			return g
		}
	}
	g.since, g.base = time.Now(), decodeCheckpoint(r.checkpoint)
	return g
}

// leave records that a member ends before the work is done. It returns a new checkpoint if the gang
// was at work.
func (g *gang) leave() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = true
	if g.since.IsZero() {
		return ""
	}
	return encodeCheckpoint(g.progress())
}

func (g *gang) progress() time.Duration { return g.base + time.Since(g.since) }

// advance returns how a member has ended, empty while it has not, and its checkpoint.
func (g *gang) advance(r *run, now time.Time) (how, checkpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		if now.Sub(r.started) >= gangTimeout {
			return "alone", r.checkpoint
		}
		return "", r.checkpoint
	}
	checkpoint = r.checkpoint
	if saved := g.progress().Truncate(checkpointInterval); !g.left && saved > decodeCheckpoint(checkpoint) {
		checkpoint = encodeCheckpoint(saved)
	}
	switch {
	case g.left:
		return "broken", checkpoint
	case g.progress() >= g.length:
		return "done", checkpoint
	}
	return "", checkpoint
}

func (g *gang) percent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		return 0
	}
	return int(min(99, 100*g.progress()/g.length))
}

func encodeCheckpoint(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", d.Milliseconds())
}

func decodeCheckpoint(s string) time.Duration {
	ms, _ := strconv.ParseInt(s, 16, 64)
	return time.Duration(ms) * time.Millisecond
}
