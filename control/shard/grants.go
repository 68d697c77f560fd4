package shard

import (
	"container/heap"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// grantExpiryQueue orders VMs by the earliest time at which their grant may have expired. Every VM
// with an unexpired grant has one valid entry. When an entry is due, it is checked against the
// current grant and queued again if that was extended. A heartbeat therefore does not touch the
// queue, and a tick examines due VMs only.
type grantExpiryQueue struct {
	items grantExpiryHeap
	// expiryOf is the time of the valid entry of each VM; entries with another time are ignored.
	expiryOf map[string]time.Duration
}

type grantExpiry struct {
	vm string
	at time.Duration
}

// push adds the VM, or moves its entry to an earlier time.
func (q *grantExpiryQueue) push(vm string, at time.Duration) {
	if next, ok := q.expiryOf[vm]; ok && next <= at {
		return
	}
	if q.expiryOf == nil {
		q.expiryOf = make(map[string]time.Duration)
	}
	q.expiryOf[vm] = at
	heap.Push(&q.items, grantExpiry{vm, at})
}

// popDue removes and returns a due entry.
func (q *grantExpiryQueue) popDue(now time.Duration) (string, bool) {
	for len(q.items) > 0 && now >= q.items[0].at {
		it := heap.Pop(&q.items).(grantExpiry)
		if next, ok := q.expiryOf[it.vm]; ok && next == it.at {
			delete(q.expiryOf, it.vm)
			return it.vm, true
		}
	}
	return "", false
}

type grantExpiryHeap []grantExpiry

func (h grantExpiryHeap) Len() int           { return len(h) }
func (h grantExpiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h grantExpiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *grantExpiryHeap) Push(x any)        { *h = append(*h, x.(grantExpiry)) }
func (h *grantExpiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// vmRetention is how long a VM is kept after its grant expired. Until then a task that fits only this
// VM waits for it to return instead of being rejected.
const vmRetention = time.Hour

// expireGrants requeues the tasks of VMs whose grants have expired on the agent's clock too.
func (o *Owner) expireGrants(now time.Duration) {
	for {
		vm, ok := o.grantExpiries.popDue(now)
		if !ok {
			return
		}
		until := o.cfg.ReassignFrom
		v, known := o.tables.VMs[vm]
		if known {
			until = max(until, v.GrantedUntil)
		}
		if now < until {
			o.grantExpiries.push(vm, until)
			continue
		}
		if known && !v.Connected && len(v.Tasks) == 0 && now >= v.GrantedUntil+vmRetention {
			o.tables.RemoveVM(vm)
			continue
		}
		if known {
			o.expireVM(vm, v)
			o.grantExpiries.push(vm, v.GrantedUntil+vmRetention)
		}
		o.requeueOrphans(vm)
		o.dropStops(vm)
	}
}

// expireVM treats the VM as failed. It closes the connection, so that the VM gets a new grant only
// after a new announcement.
func (o *Owner) expireVM(vm string, v *tables.VM) {
	if l, ok := o.agents[vm]; ok {
		go l.caller.Close()
		o.Disconnected(vm, l.caller)
	}
	for id := range v.Tasks {
		o.requeue(o.tables.Tasks[id], nil)
	}
}

// dropStops discards pending stops on a VM whose grant has expired, since its attempts no longer run.
// If the VM returns, its announcement is reconciled.
func (o *Owner) dropStops(vm string) {
	for key := range o.pendingStops {
		if key.vm == vm {
			delete(o.pendingStops, key)
		}
	}
}

func (o *Owner) requeueOrphans(vm string) {
	ids := o.orphans[vm]
	delete(o.orphans, vm)
	for id := range ids {
		if tk, ok := o.tables.Tasks[id]; ok && tk.Record.VM == vm && tables.OccupiesVM(tk.Record.State) {
			o.requeue(tk, nil)
		}
	}
}
