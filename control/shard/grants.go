package shard

import (
	"container/heap"
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// grantQueue orders VMs by the time at which their grant may have lapsed. Every
// VM with an unexpired grant has one entry; an entry that comes due is checked
// against the current grant and queued again when that was extended, so that a
// heartbeat costs nothing here and a tick looks at due VMs only.
type grantQueue struct {
	items grantHeap
	// next is the time of the valid entry of each VM; other entries are skipped.
	next map[string]time.Duration
}

type grantItem struct {
	vm string
	at time.Duration
}

// push adds the VM, or moves its entry to an earlier time.
func (q *grantQueue) push(vm string, at time.Duration) {
	if next, ok := q.next[vm]; ok && next <= at {
		return
	}
	if q.next == nil {
		q.next = make(map[string]time.Duration)
	}
	q.next[vm] = at
	heap.Push(&q.items, grantItem{vm, at})
}

// due removes and returns an entry whose time has come.
func (q *grantQueue) due(now time.Duration) (string, bool) {
	for len(q.items) > 0 && now >= q.items[0].at {
		it := heap.Pop(&q.items).(grantItem)
		if next, ok := q.next[it.vm]; ok && next == it.at {
			delete(q.next, it.vm)
			return it.vm, true
		}
	}
	return "", false
}

type grantHeap []grantItem

func (h grantHeap) Len() int           { return len(h) }
func (h grantHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h grantHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *grantHeap) Push(x any)        { *h = append(*h, x.(grantItem)) }
func (h *grantHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// vmRetention is how long a VM that lost its grant is remembered. Until then a task
// that fits only this VM waits for its return.
const vmRetention = time.Hour

// expireGrants requeues the tasks of VMs whose grants have certainly lapsed.
func (o *Owner) expireGrants(now time.Duration) {
	for {
		vm, ok := o.grants.due(now)
		if !ok {
			return
		}
		until := o.cfg.ReassignFrom
		v, known := o.tables.VMs[vm]
		if known {
			until = max(until, v.GrantedUntil)
		}
		if now < until {
			o.grants.push(vm, until)
			continue
		}
		if known && !v.Connected && len(v.Tasks) == 0 && now >= v.GrantedUntil+vmRetention {
			o.tables.RemoveVM(vm)
			continue
		}
		if known {
			o.lapsed(vm, v)
			o.grants.push(vm, v.GrantedUntil+vmRetention)
		}
		o.requeueOrphans(vm)
		o.dropStops(vm)
	}
}

// lapsed treats the VM as failed. Its connection is closed, so that a grant
// follows only after a new announcement.
func (o *Owner) lapsed(vm string, v *tables.VM) {
	if l, ok := o.agents[vm]; ok {
		go l.caller.Close()
		o.Disconnected(vm, l.caller)
	}
	for id := range v.Tasks {
		o.requeue(o.tables.Tasks[id], nil)
	}
}

// dropStops forgets stops on a VM whose attempts no longer run. Should it come
// back, its announcement is reconciled.
func (o *Owner) dropStops(vm string) {
	for key := range o.stops {
		if key.vm == vm {
			delete(o.stops, key)
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
