package route_test

import (
	"sync"
	"testing"
	"time"

	"github.com/chicorystand/chicorystand/ingress/route"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against a deadlock between requests that pick an upstream and changes of the
// membership list, which used to acquire the same two locks in opposite orders.
func TestPickWhileMembersChange(t *testing.T) {
	const changes = 20_000
	table := route.NewTable("a", 1)
	members := func(version uint64) wire.Members {
		return wire.Members{Digest: wire.ShardDigest{Shard: "s", Epoch: 1, Version: version},
			Upstreams: []wire.Upstream{{VM: "vm-0", Incarnation: version, Zone: "a", Service: "x", Slots: 8}, {VM: "vm-1", Incarnation: 1, Zone: "b", Service: "x", Slots: 8}}}
	}
	table.Apply(members(1))
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		var wg sync.WaitGroup
		for range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range changes {
					if u, _, v := table.Pick("x", func(*wire.Upstream) bool { return false }); v == route.Picked {
						table.Done(&u, -1)
					}
				}
			}()
		}
		for v := uint64(2); v < changes; v++ {
			table.Apply(members(v))
		}
		wg.Wait()
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("deadlock between requests and membership changes")
	}
}
