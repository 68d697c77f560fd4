package coordinator

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/succession"
	"github.com/chicorystand/chicorystand/state/member"
)

const (
	// handOverCheckInterval is the time between two checks for a more capable entry.
	handOverCheckInterval = time.Second
	// maxCalmCommitAge is the age of the last successful commit up to which the store counts as answering: one commit
	// interval and the time of a usual commit.
	maxCalmCommitAge = maxCommitInterval + 100*time.Millisecond
)

// errHandOver ends a term of an owner that gives way to a more capable entry.
var errHandOver = errors.New("the ownership is handed over to a more capable entry")

// capabilityOf returns what a member's row tells of its machine.
func capabilityOf(m member.Member) succession.Capability {
	return succession.Capability{CPU: m.CPU, MemoryMB: m.MemoryMB, LinkMbps: m.LinkMbps}
}

// takeoverDelay returns how much longer than others this entry waits before it replaces the owner of a row.
func (c *Candidate) takeoverDelay(h *ownerRow) time.Duration {
	self := capabilityOf(c.cfg.Member)
	if !self.Known() || h.Strongest == nil {
		return c.cfg.TakeoverDelay
	}
	return succession.TakeoverDelay(self, *h.Strongest)
}

// sinceHandOver returns the time since this process last handed over, 0 if it never did.
func (o *owner) sinceHandOver(now time.Duration) time.Duration {
	if o.handedOverAt == 0 {
		return 0
	}
	return now - o.handedOverAt
}

// entriesNow returns the entries other than this one.
func (l *memberConns) entriesNow(self string, now time.Duration) []succession.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []succession.Entry
	for name, m := range l.members {
		if m.Role != member.Entry || name == self || l.silentFor(name, now) >= absentEntryAge {
			continue
		}
		e := succession.Entry{Name: name, Capability: capabilityOf(m), Silent: now - l.lastAcked[name]}
		if l.peers[name] != nil {
			e.Connected = now - l.connectedAt[name]
		}
		entries = append(entries, e)
	}
	return entries
}

// considerHandOver updates what the owner's row tells its successors, and returns errHandOver if a more
// capable entry should own the work now. It runs on the owner's loop.
func (o *owner) considerHandOver(now time.Duration) error {
	self := capabilityOf(o.cfg.Member)
	if !self.Known() || o.pendingBatch != nil || now-o.lastHandOverCheck < handOverCheckInterval {
		return nil
	}
	o.lastHandOverCheck = now
	entries := o.conns.entriesNow(o.cfg.Member.Name, now)
	o.recordStrongest(self, entries)
	if now-o.startedAt >= succession.HandOverInterval {
		o.committer.row.HandedOver = false
	}
	calm := now-time.Duration(o.lastCommitSent.Load()) <= maxCalmCommitAge && o.dispatcher.Settled()
	situation := succession.Situation{Calm: calm, RecentHandOver: o.committer.row.HandedOver, SinceOwnHandOver: o.sinceHandOver(now)}
	to, ok := succession.ShouldHandOver(self, entries, situation)
	if !ok {
		return nil
	}
	events.OwnershipHandedOver.Log(o.cfg.Log).Uint64("epoch", o.dispatcher.Epoch()).Str("to", to.Name).
		Int64("cpu", to.Capability.CPU).Int64("memory_mb", to.Capability.MemoryMB).Float64("link_mbps", to.Capability.LinkMbps).
		Int64("own_cpu", self.CPU).Int64("own_memory_mb", self.MemoryMB).Float64("own_link_mbps", self.LinkMbps).Send()
	return errHandOver
}

// recordStrongest writes the capability of the most capable entry to the owner's row with the next commit, if the entries differ.
func (o *owner) recordStrongest(self succession.Capability, entries []succession.Entry) {
	all := []succession.Capability{self}
	for _, e := range entries {
		all = append(all, e.Capability)
	}
	o.committer.row.Strongest = nil
	if strongest, ok := succession.Strongest(all); ok {
		o.committer.row.Strongest = &strongest
	}
}
